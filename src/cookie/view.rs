use std::{collections::HashMap, net::SocketAddrV4, sync::Arc, time::Instant};

use crate::cookie::{
    Availability, Config, Cookie, Destination, Presence, Revision, Route, Service, Target, Version,
};

/// One target in a [`View`].
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The target.
    pub target: Arc<Target>,
    /// The target's cookie.
    pub cookie: Cookie,
    /// What is known about its presence.
    pub presence: Presence,
    /// When the target is no longer cold.
    pub warm_at: Instant,
    /// Whether the target may get new flows as far as the store says.
    pub is_usable: bool,
}

impl Entry {
    /// Returns where packets for the target go.
    pub fn destination(&self) -> Destination {
        let Target { address, number, .. } = *self.target;
        Destination { address, number, cookie: self.cookie }
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }
}

/// The targets by cookie and by service.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    entries: Vec<Entry>,
    by_cookie: HashMap<Cookie, usize>,
    /// The targets of each service that the store lets get new flows.
    pools: HashMap<Arc<str>, Vec<usize>>,
}

impl Index {
    /// Adds a target, unless another one has its cookie.
    pub(super) fn push(&mut self, entry: Entry) {
        let index = self.entries.len();
        if self.by_cookie.contains_key(&entry.cookie) {
            return;
        }
        self.by_cookie.insert(entry.cookie, index);
        if entry.is_usable {
            self.pools.entry(entry.target.service.clone()).or_default().push(index);
        }
        self.entries.push(entry);
    }
}

/// What a daemon knows at one moment, in the form in which packets ask for it.
#[derive(Debug, Clone, Default)]
pub struct View {
    pub(super) config: Option<Arc<Config>>,
    pub(super) index: Arc<Index>,
    /// The services that any known configuration allowed for a service address.
    pub(super) former_services: Arc<HashMap<SocketAddrV4, Vec<Arc<str>>>>,
    /// Whether `former_services` covers the largest age of a flow.
    pub(super) is_former_complete: bool,
    /// The store's revision at the last read of the targets.
    pub revision: Revision,
    /// When the targets were last read.
    pub read_at: Option<Instant>,
    /// When the configuration was last confirmed.
    pub confirmed_at: Option<Instant>,
    /// Whether the store has answered for a while, so that a missing entry proves something.
    pub is_settled: bool,
}

impl View {
    /// Returns whether the view suffices to serve.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.read_at.is_some()
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Option<Version> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Returns all targets that are remembered.
    pub fn entries(&self) -> &[Entry] {
        &self.index.entries
    }

    /// Returns the route from a service address.
    pub fn route(&self, service: SocketAddrV4) -> Option<&Route> {
        self.config.as_ref()?.routes.get(&service)
    }

    /// Returns the target with a cookie.
    pub fn target(&self, cookie: Cookie) -> Option<&Entry> {
        self.index.entries.get(*self.index.by_cookie.get(&cookie)?)
    }

    /// Returns what the configuration says about a service.
    pub(super) fn service(&self, name: &str) -> Option<&Service> {
        self.config.as_ref()?.services.get(name)
    }

    /// Returns the targets of a service that the store lets get new flows.
    pub(super) fn pool(&self, service: &str) -> impl Iterator<Item = &Entry> {
        let pool = self.index.pools.get(service).map(Vec::as_slice).unwrap_or_default();
        pool.iter().filter_map(|index| self.index.entries.get(*index))
    }

    /// Returns whether a flow from `address` may be on a target of `service`. A configuration leaves
    /// open flows where they are, so a daemon that has not run for as long as a flow may live does
    /// not know all services that a flow may be on.
    pub(super) fn may_have_routed(&self, address: SocketAddrV4, service: &str) -> bool {
        !self.is_former_complete
            || self.route(address).is_some_and(|route| route.includes_service(service))
            || self
                .former_services
                .get(&address)
                .is_some_and(|services| services.iter().any(|name| &**name == service))
    }
}

/// Returns whether the store lets a target get new flows.
pub(super) fn is_usable(target: &Target, presence: Presence, is_zone_out: bool) -> bool {
    presence != Presence::Gone && target.availability == Availability::Ready && !is_zone_out
}
