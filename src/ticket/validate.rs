use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use url::Url;

use crate::ticket::{
    Content, Fault, Invalid, Item, Object, Place, Policy, Service, ServiceState, Target, Ticket,
    Zone,
};

const MAX_NAME_BYTES: usize = 64;
const MAX_NOTE_BYTES: usize = 4096;
const MAX_URL_BYTES: usize = 256;
const MAX_OBJECTS: usize = 4096;
const MAX_ADDRESSES: usize = 64;

/// A service with more targets would take more than the control budget to disseminate: 1,024
/// targets with two URLs are about 170 KB, 50 s at 2 KB/s after the burst.
const MAX_TARGETS: usize = 1024;

const MAX_WEIGHT: u16 = 10_000;
const MAX_SLOTS: u16 = 10_000;
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_RAMP_SECONDS: u32 = 3_600;
const MAX_DRAIN_SECONDS: u32 = 7 * 24 * 3_600;

type Check = Result<(), Invalid>;

impl Ticket {
    /// Checks the ticket on its own. With `zones`, each zone that it names must be among them.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] field.
    pub fn validate(&self, zones: Option<&[Arc<str>]>) -> Check {
        let ticket = |field, fault| invalid(Place::Ticket, field, fault);
        range(&Place::Ticket, "number", self.number, 1, u64::MAX)?;
        if let Some(note) = &self.note
            && note.len() > MAX_NOTE_BYTES
        {
            let (found, maximum) = (note.len(), MAX_NOTE_BYTES);
            return Err(ticket("note", Fault::Long { found, maximum }));
        }
        let found = self.services.len() + self.zones.len() + self.policies.len();
        if found == 0 {
            return Err(ticket("services", Fault::Empty));
        }
        if found > MAX_OBJECTS {
            let maximum = MAX_OBJECTS;
            return Err(ticket("services", Fault::TooMany { found, maximum }));
        }
        let mut seen = Seen::default();
        for service in &self.services {
            seen.object(Object::Service(service.name.clone()))?;
            seen.service(service, zones)?;
        }
        for zone in &self.zones {
            seen.object(Object::Zone(zone.name.clone()))?;
            check_zone(zone, zones)?;
        }
        for policy in &self.policies {
            seen.object(Object::Policy(policy.name.clone()))?;
            check_policy(policy)?;
        }
        Ok(())
    }
}

impl Item {
    /// Checks an item that another member sent.
    ///
    /// The zone list is not used: a member with newer settings may know more zones, and a
    /// daemon that refused its items would never agree with it.
    ///
    /// # Errors
    ///
    /// Returns the first [`Invalid`] field.
    pub fn validate(&self) -> Check {
        range(&Place::Ticket, "number", self.number, 1, u64::MAX)?;
        match &*self.content {
            Content::Service(service) => Seen::default().service(service, None),
            Content::Zone(zone) => check_zone(zone, None),
            Content::Policy(policy) => check_policy(policy),
        }
    }
}

/// What occurred before in the ticket.
#[derive(Default)]
struct Seen {
    objects: HashSet<Object>,
    addresses: HashSet<crate::ticket::Address>,
    targets: HashSet<SocketAddr>,
}

impl Seen {
    fn object(&mut self, object: Object) -> Check {
        if self.objects.insert(object.clone()) {
            return Ok(());
        }
        let place = Place::Object(object);
        let name = place.name().unwrap_or_default().into();
        Err(invalid(place, "name", Fault::DuplicateName(name)))
    }

    fn service(&mut self, service: &Service, zones: Option<&[Arc<str>]>) -> Check {
        let place = Place::Object(Object::Service(service.name.clone()));
        let error = |field, fault| Err(invalid(place.clone(), field, fault));
        check_name(&place, "name", &service.name)?;
        if let Some(policy) = &service.policy {
            check_name(&place, "policy", policy)?;
        }
        let active = service.state == ServiceState::Active;
        if active && service.addresses.is_empty() {
            return error("addresses", Fault::Missing);
        }
        limit(&place, "addresses", service.addresses.len(), MAX_ADDRESSES)?;
        limit(&place, "targets", service.targets.len(), MAX_TARGETS)?;
        for address in &service.addresses {
            check_address(&place, "addresses", address.address)?;
            if active && !self.addresses.insert(*address) {
                return error("addresses", Fault::DuplicateAddress(*address));
            }
        }
        let mut names = HashSet::new();
        for target in &service.targets {
            let place =
                Place::Target { service: service.name.clone(), target: target.name.clone() };
            check_target(&place, target, zones)?;
            if !names.insert(&target.name) {
                let fault = Fault::DuplicateName(target.name.clone());
                return Err(invalid(place, "name", fault));
            }
            if active && !self.targets.insert(target.address) {
                let fault = Fault::DuplicateTarget(target.address);
                return Err(invalid(place, "address", fault));
            }
        }
        Ok(())
    }
}

fn check_target(place: &Place, target: &Target, zones: Option<&[Arc<str>]>) -> Check {
    check_name(place, "name", &target.name)?;
    check_known_zone(place, "zone", &target.zone, zones)?;
    check_address(place, "address", target.address)?;
    range(place, "weight", target.weight, 0, MAX_WEIGHT)?;
    range(place, "slots", target.slots, 1, MAX_SLOTS)?;
    range(place, "connections", target.connections, 1, MAX_CONNECTIONS)?;
    range(place, "cold_slots", target.cold_slots, 1, target.slots)?;
    range(place, "ramp_seconds", target.ramp_seconds, 0, MAX_RAMP_SECONDS)?;
    if let Some(drain) = target.drain_seconds {
        range(place, "drain_seconds", drain, 0, MAX_DRAIN_SECONDS)?;
    }
    for (field, url) in [("health", &target.health), ("load", &target.load)] {
        if let Some(url) = url
            && (url.len() > MAX_URL_BYTES
                || !Url::parse(url).is_ok_and(|url| url.scheme() == "http" && url.has_host()))
        {
            return Err(invalid(place.clone(), field, Fault::Url(url.clone())));
        }
    }
    Ok(())
}

fn check_zone(zone: &Zone, zones: Option<&[Arc<str>]>) -> Check {
    let place = Place::Object(Object::Zone(zone.name.clone()));
    check_known_zone(&place, "name", &zone.name, zones)
}

fn check_known_zone(
    place: &Place,
    field: &'static str,
    name: &Arc<str>,
    zones: Option<&[Arc<str>]>,
) -> Check {
    check_name(place, field, name)?;
    if zones.is_some_and(|zones| !zones.contains(name)) {
        let fault = Fault::UnknownZone(name.clone());
        return Err(invalid(place.clone(), field, fault));
    }
    Ok(())
}

fn check_policy(policy: &Policy) -> Check {
    let place = Place::Object(Object::Policy(policy.name.clone()));
    check_name(&place, "name", &policy.name)?;
    match policy.bound {
        Some(bound) => range(&place, "bound", bound, 1.0, 4.0),
        None => Ok(()),
    }
}

fn check_name(place: &Place, field: &'static str, name: &Arc<str>) -> Check {
    let bytes = name.as_bytes();
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"._-".contains(byte);
    if bytes.first().is_some_and(u8::is_ascii_alphanumeric)
        && bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(allowed)
    {
        return Ok(());
    }
    Err(invalid(place.clone(), field, Fault::Name(name.clone())))
}

fn check_address(place: &Place, field: &'static str, address: SocketAddr) -> Check {
    let reason = match address {
        _ if address.port() == 0 => "port 0",
        _ if address.ip().is_unspecified() => "unspecified address",
        _ if address.ip().is_multicast() => "multicast address",
        SocketAddr::V4(v4) if v4.ip().is_broadcast() => "broadcast address",
        // A flow's fingerprint maps IPv4 into IPv6, so the two forms would be one flow.
        SocketAddr::V6(v6) if v6.ip().to_ipv4_mapped().is_some() => "IPv4 address in IPv6 form",
        SocketAddr::V6(v6) if v6.scope_id() != 0 || v6.flowinfo() != 0 => "scope or flow label set",
        _ if matches!(address.ip(), IpAddr::V6(ip) if ip.is_unicast_link_local()) => {
            "link-local address"
        }
        _ => return Ok(()),
    };
    let fault = Fault::Address { address, reason };
    Err(invalid(place.clone(), field, fault))
}

fn limit(place: &Place, field: &'static str, found: usize, maximum: usize) -> Check {
    if found > maximum {
        let fault = Fault::TooMany { found, maximum };
        return Err(invalid(place.clone(), field, fault));
    }
    Ok(())
}

fn range<T>(place: &Place, field: &'static str, found: T, minimum: T, maximum: T) -> Check
where
    T: PartialOrd + Number,
{
    if minimum <= found && found <= maximum {
        return Ok(());
    }
    let fault = Fault::Range {
        found: found.to_f64(),
        minimum: minimum.to_f64(),
        maximum: maximum.to_f64(),
    };
    Err(invalid(place.clone(), field, fault))
}

fn invalid(place: Place, field: &'static str, fault: Fault) -> Invalid {
    Invalid { place, field, fault }
}

/// A number that an error message can show.
trait Number: Copy {
    fn to_f64(self) -> f64;
}

impl Number for u16 {
    fn to_f64(self) -> f64 {
        f64::from(self)
    }
}

impl Number for u32 {
    fn to_f64(self) -> f64 {
        f64::from(self)
    }
}

impl Number for u64 {
    fn to_f64(self) -> f64 {
        self as f64
    }
}

impl Number for f64 {
    fn to_f64(self) -> f64 {
        self
    }
}
