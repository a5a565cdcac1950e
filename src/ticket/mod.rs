//! Change tickets and the state that results from merging them.
//!
//! Tickets arrive late, twice and in any order, from the platform and from other
//! members. The merged state must not depend on that. Each object therefore
//! carries the number of the ticket that set it, and the higher number wins.

mod content;
mod service;
mod target;

pub use content::{Policy, Priority, Ticket, Zone, ZoneState};
pub use service::{Address, Service, ServiceState};
pub use target::{Target, TargetState};

use crate::util;

/// The number of a ticket. Operators number tickets in the order they apply.
pub type Number = u64;

/// The identity of a target: a hash of service, target name and address.
pub type TargetId = u64;

/// Returns the id of `target` of the service `service`.
///
/// The address is part of the identity, so that a flow never follows an address that a later
/// ticket gives to another target or service.
pub fn target_id(service: &str, target: &Target) -> TargetId {
    util::hash_bytes(&[
        b"target",
        service.as_bytes(),
        target.name.as_bytes(),
        target.address.to_string().as_bytes(),
    ])
}
