use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use url::Url;

use crate::ticket::{
    Content, Item, Location, ObjectKey, Policy, Service, ServiceState, Target, Ticket,
    ValidationError, ValidationErrorKind, Zone,
};

const MAX_NAME_BYTES: usize = 64;
const MAX_NOTE_BYTES: usize = 4096;
const MAX_URL_BYTES: usize = 256;
const MAX_OBJECTS: usize = 4096;
const MAX_ADDRESSES: usize = 64;

/// The limit keeps the time to disseminate a service within the rate limit of control messages:
/// 1,024 targets with two URLs each are about 170 KB, which take 50 s at 2 KB/s after the initial
/// burst.
const MAX_TARGETS: usize = 1024;

const MAX_WEIGHT: u16 = 10_000;
const MAX_SLOTS: u16 = 10_000;
const MAX_CONNECTIONS: u32 = 1_000_000;
const MAX_RAMP_SECONDS: u32 = 3_600;
const MAX_DRAIN_SECONDS: u32 = 7 * 24 * 3_600;

type CheckResult = Result<(), ValidationError>;

impl Ticket {
    /// Checks the ticket without regard to the state. If `zones` is given, each zone that the
    /// ticket names must be in the list.
    ///
    /// # Errors
    ///
    /// Returns a [`ValidationError`] for the first field that does not validate.
    pub fn validate(&self, zones: Option<&[Arc<str>]>) -> CheckResult {
        let ticket = |field, kind| validation_error(Location::Ticket, field, kind);
        check_range(&Location::Ticket, "number", self.number, 1, u64::MAX)?;
        if let Some(note) = &self.note
            && note.len() > MAX_NOTE_BYTES
        {
            let (found, maximum) = (note.len(), MAX_NOTE_BYTES);
            return Err(ticket("note", ValidationErrorKind::TooLong { found, maximum }));
        }
        let found = self.services.len() + self.zones.len() + self.policies.len();
        if found == 0 {
            return Err(ticket("services", ValidationErrorKind::NoObjects));
        }
        if found > MAX_OBJECTS {
            let maximum = MAX_OBJECTS;
            return Err(ticket("services", ValidationErrorKind::TooMany { found, maximum }));
        }
        let mut validator = Validator::default();
        for service in &self.services {
            validator.check_object(ObjectKey::Service(service.name.clone()))?;
            validator.check_service(service, zones)?;
        }
        for zone in &self.zones {
            validator.check_object(ObjectKey::Zone(zone.name.clone()))?;
            check_zone(zone, zones)?;
        }
        for policy in &self.policies {
            validator.check_object(ObjectKey::Policy(policy.name.clone()))?;
            check_policy(policy)?;
        }
        Ok(())
    }
}

impl Item {
    /// Checks an item from another member.
    ///
    /// The zones are not compared with the known zones. A member with newer settings may know more
    /// zones, and the state of a daemon that refused its items would never converge with the
    /// other states.
    ///
    /// # Errors
    ///
    /// Returns a [`ValidationError`] for the first field that does not validate.
    pub fn validate(&self) -> CheckResult {
        check_range(&Location::Ticket, "number", self.number, 1, u64::MAX)?;
        match &*self.content {
            Content::Service(service) => Validator::default().check_service(service, None),
            Content::Zone(zone) => check_zone(zone, None),
            Content::Policy(policy) => check_policy(policy),
        }
    }
}

/// Checks the objects of a ticket and detects duplicates among them.
#[derive(Default)]
struct Validator {
    objects: HashSet<ObjectKey>,
    addresses: HashSet<crate::ticket::Address>,
    targets: HashSet<SocketAddr>,
}

impl Validator {
    fn check_object(&mut self, object: ObjectKey) -> CheckResult {
        if self.objects.insert(object.clone()) {
            return Ok(());
        }
        let location = Location::Object(object);
        let name = location.name().unwrap_or_default().into();
        Err(validation_error(location, "name", ValidationErrorKind::DuplicateName(name)))
    }

    fn check_service(&mut self, service: &Service, zones: Option<&[Arc<str>]>) -> CheckResult {
        let location = Location::Object(ObjectKey::Service(service.name.clone()));
        let error = |field, kind| Err(validation_error(location.clone(), field, kind));
        check_name(&location, "name", &service.name)?;
        if let Some(policy) = &service.policy {
            check_name(&location, "policy", policy)?;
        }
        let active = service.state == ServiceState::Active;
        if active && service.addresses.is_empty() {
            return error("addresses", ValidationErrorKind::EmptyList);
        }
        check_count(&location, "addresses", service.addresses.len(), MAX_ADDRESSES)?;
        check_count(&location, "targets", service.targets.len(), MAX_TARGETS)?;
        for address in &service.addresses {
            check_address(&location, "addresses", address.address)?;
            if active && !self.addresses.insert(*address) {
                return error("addresses", ValidationErrorKind::DuplicateAddress(*address));
            }
        }
        let mut names = HashSet::new();
        for target in &service.targets {
            let location =
                Location::Target { service: service.name.clone(), target: target.name.clone() };
            check_target(&location, target, zones)?;
            if !names.insert(&target.name) {
                let kind = ValidationErrorKind::DuplicateName(target.name.clone());
                return Err(validation_error(location, "name", kind));
            }
            if active && !self.targets.insert(target.address) {
                let kind = ValidationErrorKind::DuplicateTarget(target.address);
                return Err(validation_error(location, "address", kind));
            }
        }
        Ok(())
    }
}

fn check_target(location: &Location, target: &Target, zones: Option<&[Arc<str>]>) -> CheckResult {
    check_name(location, "name", &target.name)?;
    check_known_zone(location, "zone", &target.zone, zones)?;
    check_address(location, "address", target.address)?;
    check_range(location, "weight", target.weight, 0, MAX_WEIGHT)?;
    check_range(location, "slots", target.slots, 1, MAX_SLOTS)?;
    check_range(location, "connections", target.connections, 1, MAX_CONNECTIONS)?;
    check_range(location, "cold_slots", target.cold_slots, 1, target.slots)?;
    check_range(location, "ramp_seconds", target.ramp_seconds, 0, MAX_RAMP_SECONDS)?;
    if let Some(drain) = target.drain_seconds {
        check_range(location, "drain_seconds", drain, 0, MAX_DRAIN_SECONDS)?;
    }
    for (field, url) in [("health", &target.health), ("load", &target.load)] {
        if let Some(url) = url
            && (url.len() > MAX_URL_BYTES
                || !Url::parse(url).is_ok_and(|url| url.scheme() == "http" && url.has_host()))
        {
            return Err(validation_error(
                location.clone(),
                field,
                ValidationErrorKind::InvalidUrl(url.clone()),
            ));
        }
    }
    Ok(())
}

fn check_zone(zone: &Zone, zones: Option<&[Arc<str>]>) -> CheckResult {
    let location = Location::Object(ObjectKey::Zone(zone.name.clone()));
    check_known_zone(&location, "name", &zone.name, zones)
}

fn check_known_zone(
    location: &Location,
    field: &'static str,
    name: &Arc<str>,
    zones: Option<&[Arc<str>]>,
) -> CheckResult {
    check_name(location, field, name)?;
    if zones.is_some_and(|zones| !zones.contains(name)) {
        let kind = ValidationErrorKind::UnknownZone(name.clone());
        return Err(validation_error(location.clone(), field, kind));
    }
    Ok(())
}

fn check_policy(policy: &Policy) -> CheckResult {
    let location = Location::Object(ObjectKey::Policy(policy.name.clone()));
    check_name(&location, "name", &policy.name)?;
    match policy.bound {
        Some(bound) => check_range(&location, "bound", bound, 1.0, 4.0),
        None => Ok(()),
    }
}

fn check_name(location: &Location, field: &'static str, name: &Arc<str>) -> CheckResult {
    let bytes = name.as_bytes();
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"._-".contains(byte);
    if bytes.first().is_some_and(u8::is_ascii_alphanumeric)
        && bytes.len() <= MAX_NAME_BYTES
        && bytes.iter().all(allowed)
    {
        return Ok(());
    }
    Err(validation_error(location.clone(), field, ValidationErrorKind::InvalidName(name.clone())))
}

fn check_address(location: &Location, field: &'static str, address: SocketAddr) -> CheckResult {
    let reason = match address {
        _ if address.port() == 0 => "port 0",
        _ if address.ip().is_unspecified() => "unspecified address",
        _ if address.ip().is_multicast() => "multicast address",
        SocketAddr::V4(v4) if v4.ip().is_broadcast() => "broadcast address",
        // A flow's fingerprint maps IPv4 addresses to IPv6, so flows to the two forms of an address
        // would have the same fingerprint.
        SocketAddr::V6(v6) if v6.ip().to_ipv4_mapped().is_some() => "IPv4 address in IPv6 form",
        SocketAddr::V6(v6) if v6.scope_id() != 0 || v6.flowinfo() != 0 => "scope or flow label set",
        _ if matches!(address.ip(), IpAddr::V6(ip) if ip.is_unicast_link_local()) => {
            "link-local address"
        }
        _ => return Ok(()),
    };
    let kind = ValidationErrorKind::UnusableAddress { address, reason };
    Err(validation_error(location.clone(), field, kind))
}

fn check_count(
    location: &Location,
    field: &'static str,
    found: usize,
    maximum: usize,
) -> CheckResult {
    if found > maximum {
        let kind = ValidationErrorKind::TooMany { found, maximum };
        return Err(validation_error(location.clone(), field, kind));
    }
    Ok(())
}

fn check_range<T>(
    location: &Location,
    field: &'static str,
    found: T,
    minimum: T,
    maximum: T,
) -> CheckResult
where
    T: PartialOrd + ToF64,
{
    if minimum <= found && found <= maximum {
        return Ok(());
    }
    let kind = ValidationErrorKind::OutOfRange {
        found: found.to_f64(),
        minimum: minimum.to_f64(),
        maximum: maximum.to_f64(),
    };
    Err(validation_error(location.clone(), field, kind))
}

fn validation_error(
    location: Location,
    field: &'static str,
    kind: ValidationErrorKind,
) -> ValidationError {
    ValidationError { location, field, kind }
}

/// Converts a number for [`ValidationErrorKind::OutOfRange`].
trait ToF64: Copy {
    fn to_f64(self) -> f64;
}

impl ToF64 for u16 {
    fn to_f64(self) -> f64 {
        f64::from(self)
    }
}

impl ToF64 for u32 {
    fn to_f64(self) -> f64 {
        f64::from(self)
    }
}

impl ToF64 for u64 {
    fn to_f64(self) -> f64 {
        self as f64
    }
}

impl ToF64 for f64 {
    fn to_f64(self) -> f64 {
        self
    }
}
