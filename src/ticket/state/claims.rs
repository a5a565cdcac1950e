use std::{collections::HashMap, net::SocketAddr};

use crate::ticket::{Address, Content, Item, ObjectId, ServiceState};

/// An address that a service uses. At most one active service may use an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Claim {
    /// An address at which callers reach the service.
    Address(Address),
    /// The address of a target of the service.
    Target(SocketAddr),
}

/// Maps each address to the services that use it. A service is listed once for each of its kept
/// versions that uses the address.
///
/// The index avoids comparing each ticket with every target of every service.
#[derive(Debug, Clone, Default)]
pub(super) struct ClaimIndex(HashMap<Claim, Vec<ObjectId>>);

impl ClaimIndex {
    /// Returns the services that use an address, in any of their kept versions.
    pub(super) fn services(&self, claim: Claim) -> &[ObjectId] {
        self.0.get(&claim).map_or(&[], Vec::as_slice)
    }

    /// Adds the addresses that a version of the object `id` uses.
    pub(super) fn insert(&mut self, id: ObjectId, item: &Item) {
        for claim in of(item) {
            self.0.entry(claim).or_default().push(id);
        }
    }

    /// Removes the addresses that a version of the object `id` uses.
    pub(super) fn remove(&mut self, id: ObjectId, item: &Item) {
        for claim in of(item) {
            let Some(services) = self.0.get_mut(&claim) else { continue };
            if let Some(index) = services.iter().position(|service| *service == id) {
                services.swap_remove(index);
            }
            if services.is_empty() {
                self.0.remove(&claim);
            }
        }
    }
}

/// Returns the addresses that an item uses. Removed services, zones and policies use none.
pub(super) fn of(item: &Item) -> Vec<Claim> {
    let Content::Service(service) = &*item.content else {
        return Vec::new();
    };
    if service.state == ServiceState::Removed {
        return Vec::new();
    }
    let addresses = service.addresses.iter().copied().map(Claim::Address);
    let targets = service.targets.iter().map(|t| Claim::Target(t.address));
    addresses.chain(targets).collect()
}
