use std::net::SocketAddr;

use hashbrown::HashMap;

use crate::{
    flow::Protocol,
    route::{Service, ServiceIndex, Target},
    ticket::TargetId,
};

/// The source of a return packet, by which its target is looked up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Source {
    /// The target's address.
    address: SocketAddr,
    /// The service's index.
    service: ServiceIndex,
}

/// The lookup tables of the packet path.
///
/// The maps use `foldhash` with a random seed for each process, so that an attacker cannot choose
/// addresses that collide in one bucket.
#[derive(Debug, Clone, Default)]
pub struct Table {
    services: Vec<Service>,
    addresses: HashMap<(Protocol, SocketAddr), ServiceIndex>,
    targets: Vec<Target>,
    ids: HashMap<TargetId, u32>,
    sources: HashMap<Source, TargetId>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Table {
        Table::default()
    }

    /// Adds a service with its addresses and the targets of its newest version.
    ///
    /// The `service` field of the targets is set to the index of the new service.
    pub fn insert(
        &mut self,
        service: Service,
        addresses: &[(Protocol, SocketAddr)],
        targets: Vec<Target>,
    ) -> ServiceIndex {
        let index = self.services.len() as ServiceIndex;
        for address in addresses {
            self.addresses.insert(*address, index);
        }
        for mut target in targets {
            target.service = index;
            self.sources.insert(Source { address: target.address, service: index }, target.id);
            self.ids.insert(target.id, self.targets.len() as u32);
            self.targets.push(target);
        }
        self.services.push(service);
        index
    }

    /// Returns the index of the service that callers reach at an address.
    pub fn service_at(&self, protocol: Protocol, address: SocketAddr) -> Option<ServiceIndex> {
        self.addresses.get(&(protocol, address)).copied()
    }

    /// Returns the service at `index`.
    pub fn service(&self, index: ServiceIndex) -> Option<&Service> {
        self.services.get(index as usize)
    }

    /// Returns the target `id`, of whichever service.
    pub fn target(&self, id: TargetId) -> Option<&Target> {
        self.targets.get(*self.ids.get(&id)? as usize)
    }

    /// Returns the target of `service` that sends from `address`.
    pub fn target_at(&self, service: ServiceIndex, address: SocketAddr) -> Option<TargetId> {
        self.sources.get(&Source { address, service }).copied()
    }

    /// Returns all services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns all targets, grouped by service in the order of [`Table::services`].
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter()
    }
}
