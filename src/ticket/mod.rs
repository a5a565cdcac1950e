//! Change tickets and the state that results from merging them.
//!
//! Tickets arrive late, twice and in any order, from the platform and from other
//! members. The merged state must not depend on that. Each object therefore
//! carries the number of the ticket that set it, and the higher number wins.

mod applied;
mod content;
mod digest;
mod history;
mod invalid;
mod merged;
mod object;
mod parse;
mod ranges;
mod refusal;
mod service;
mod snapshot;
mod state;
mod target;
mod validate;
mod version;

pub use applied::Applied;
pub use content::{Policy, Priority, Ticket, Zone, ZoneState};
pub use digest::{BUCKETS, Digest, Summary};
pub use history::History;
pub use invalid::{Fault, Invalid, Place};
pub use merged::Merged;
pub use object::{Content, Item, Object, ObjectId};
pub use parse::{Error, parse};
pub use ranges::{Range, Ranges};
pub use refusal::Refusal;
pub use service::{Address, Service, ServiceState};
pub use snapshot::Snapshot;
pub use state::{GENERATIONS, State};
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
