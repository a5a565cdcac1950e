use std::{collections::HashMap, net::SocketAddrV4, sync::Arc, time::Instant};

use crate::cookie::{
    Availability, Config, Cookie, Destination, Identity, Presence, Revision, Route, Service,
    Target, Version, hash::identity,
};

/// The present start of a target that was started again under its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Successor {
    /// The cookie of the present start.
    pub cookie: Cookie,
    /// A time before the present start; `None` if no such time is known.
    pub started_after: Option<Instant>,
}

/// One target in a [`View`].
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The target.
    pub target: Arc<Target>,
    /// The target's cookie.
    pub cookie: Cookie,
    /// Whether the store contains the target's entry.
    pub presence: Presence,
    /// When the target stops being cold.
    pub warm_at: Instant,
    /// Whether the target may get new flows according to the store, whether or not it answers.
    pub is_usable: bool,
    /// The present start of the same target, if it is known and this is an earlier one. While this
    /// daemon did not know of the present start, it forwarded opening packets to it with the cookie
    /// of the earlier one.
    pub successor: Option<Successor>,
}

impl Entry {
    /// Returns the destination of packets for the target.
    pub fn destination(&self) -> Destination {
        let Target { address, number, .. } = *self.target;
        Destination { address, number, cookie: self.cookie }
    }

    /// Returns whether the target is cold, which limits its new flows.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}

/// The targets, indexed by cookie and by service.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    entries: Vec<Entry>,
    by_cookie: HashMap<Cookie, usize>,
    /// The targets that have not ended; `None` if several of them share the identity.
    by_identity: HashMap<Identity, Option<usize>>,
    /// The usable targets of each service, as indices into `entries`.
    pools: HashMap<Arc<str>, Pool>,
}

/// The usable targets of one service, as indices into the entries of an [`Index`].
#[derive(Debug, Clone, Default)]
struct Pool {
    all: Vec<usize>,
    zones: Vec<ZonePool>,
}

/// The usable targets of one service in one zone.
#[derive(Debug, Clone)]
pub(super) struct ZonePool {
    pub(super) zone: Arc<str>,
    indices: Vec<usize>,
    /// The slots of all these targets.
    pub(super) slots: u64,
}

impl ZonePool {
    /// Returns the number of targets.
    pub(super) fn len(&self) -> usize {
        self.indices.len()
    }
}

impl Index {
    /// Adds a target, unless another target has the same cookie.
    pub(super) fn push(&mut self, entry: Entry) {
        let index = self.entries.len();
        if self.by_cookie.contains_key(&entry.cookie) {
            return;
        }
        self.by_cookie.insert(entry.cookie, index);
        if entry.presence != Presence::Gone {
            self.by_identity
                .entry(identity(entry.cookie))
                .and_modify(|holder| *holder = None)
                .or_insert(Some(index));
        }
        if entry.is_usable {
            self.pools.entry(entry.target.service.clone()).or_default().push(index, &entry.target);
        }
        self.entries.push(entry);
    }
}

impl Pool {
    fn push(&mut self, index: usize, target: &Target) {
        self.all.push(index);
        let slots = u64::from(target.slots.max(1));
        match self.zones.iter_mut().find(|pool| pool.zone == target.zone) {
            Some(pool) => {
                pool.indices.push(index);
                pool.slots += slots;
            }
            None => {
                self.zones.push(ZonePool {
                    zone: target.zone.clone(),
                    indices: vec![index],
                    slots,
                });
            }
        }
    }
}

/// An immutable snapshot of the [`Directory`](crate::cookie::Directory), indexed for the decisions
/// on packets.
#[derive(Debug, Clone, Default)]
pub struct View {
    pub(super) config: Option<Arc<Config>>,
    pub(super) index: Arc<Index>,
    /// The services to which any configuration that this daemon knew has routed a service address.
    pub(super) former_services: Arc<HashMap<SocketAddrV4, Vec<Arc<str>>>>,
    /// Whether `former_services` covers the maximum lifetime of a flow.
    pub(super) is_former_complete: bool,
    /// The store's revision at the last read of the targets.
    pub revision: Revision,
    /// When the targets were last read.
    pub read_at: Option<Instant>,
    /// When the configuration was last confirmed.
    pub confirmed_at: Option<Instant>,
    /// Whether a missing store entry proves that its target has ended, since the store has been
    /// available for [`Tuning::settle_time`](crate::cookie::Tuning::settle_time).
    pub is_absence_conclusive: bool,
    /// Whether the targets have to be listed, since changes of entries that may have been removed
    /// before the store returned from a copy are unknown to this daemon.
    pub is_listing_due: bool,
}

impl View {
    /// Returns whether the view contains a configuration and targets, so that flows can be served.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.read_at.is_some()
    }

    /// Returns the version of the configuration, if there is one.
    pub fn version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns the revision of the configuration's item in the store; the lowest one
    /// without a configuration.
    pub fn config_revision(&self) -> Revision {
        self.config.as_ref().map_or(Revision::default(), |config| config.revision)
    }

    /// Returns all known targets, including those that ended recently.
    pub fn entries(&self) -> &[Entry] {
        &self.index.entries
    }

    /// Returns the route of a service address.
    pub fn route(&self, service: SocketAddrV4) -> Option<&Route> {
        self.config.as_ref()?.routes.get(&service)
    }

    /// Returns the target with a cookie.
    pub fn target(&self, cookie: Cookie) -> Option<&Entry> {
        self.index.entries.get(*self.index.by_cookie.get(&cookie)?)
    }

    /// Returns the target that has not ended and whose cookie differs from `cookie` at most by the
    /// start of the target. Returns `None` if several targets are possible.
    pub(super) fn present_start(&self, cookie: Cookie) -> Option<&Entry> {
        let index = *self.index.by_identity.get(&identity(cookie))?;
        self.index.entries.get(index?)
    }

    /// Returns the settings of a service.
    pub(super) fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(name)
    }

    /// Returns the usable targets of a service.
    pub(super) fn pool(&self, service: &str) -> impl Iterator<Item = &Entry> {
        let pool =
            self.index.pools.get(service).map(|pool| pool.all.as_slice()).unwrap_or_default();
        pool.iter().filter_map(|index| self.index.entries.get(*index))
    }

    /// Returns the usable targets of a service by zone.
    pub(super) fn zone_pools(&self, service: &str) -> &[ZonePool] {
        self.index.pools.get(service).map(|pool| pool.zones.as_slice()).unwrap_or_default()
    }

    /// Returns the target at `position` in a pool.
    pub(super) fn pool_entry(&self, pool: &ZonePool, position: usize) -> Option<&Entry> {
        self.index.entries.get(*pool.indices.get(position)?)
    }

    /// Returns whether an open flow of the service address `address` may be on a target of
    /// `service`.
    ///
    /// A new configuration does not move open flows. A daemon that has run for less than the
    /// maximum lifetime of a flow may not know all previous routes, and so allows every service.
    pub(super) fn may_have_routed(&self, address: SocketAddrV4, service: &str) -> bool {
        !self.is_former_complete
            || self.route(address).is_some_and(|route| route.includes_service(service))
            || self
                .former_services
                .get(&address)
                .is_some_and(|services| services.iter().any(|name| &**name == service))
    }
}

/// Returns whether a target may get new flows according to the store.
pub(super) fn is_usable(target: &Target, presence: Presence, is_zone_out: bool) -> bool {
    matches!(presence, Presence::Present | Presence::Lapsed)
        && target.availability == Availability::Ready
        && !is_zone_out
}
