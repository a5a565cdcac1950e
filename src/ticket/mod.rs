//! Change tickets and the state that results from merging them.
//!
//! Tickets come from the platform and from other members. They can arrive late, more than once
//! and in any order, and the merged state must not depend on that. Each object therefore has the
//! number of the ticket that set it, and the version with the higher number takes precedence.

mod apply_outcome;
mod digest;
mod document;
mod history;
mod merge_outcome;
mod object;
mod parse;
mod range_set;
mod refusal;
mod service;
mod snapshot;
mod state;
mod target;
mod validate;
mod validation_error;
mod version;

pub use apply_outcome::ApplyOutcome;
pub use digest::{BUCKET_COUNT, Digest, Summary};
pub use document::{Policy, Priority, Ticket, Zone, ZoneState};
pub use history::History;
pub use merge_outcome::MergeOutcome;
pub use object::{Content, Item, ObjectId, ObjectKey};
pub use parse::{Error, parse};
pub use range_set::{Range, RangeSet};
pub use refusal::Refusal;
pub use service::{Address, Service, ServiceState};
pub use snapshot::Snapshot;
pub use state::{MAX_GENERATIONS, State};
pub use target::{Target, TargetState};
pub use validation_error::{Location, ValidationError, ValidationErrorKind};

use crate::util;

/// The number of a ticket. Operators number tickets in the order in which they take effect.
pub type Number = u64;

/// The identity of a target: the hash of its service, name and address.
pub type TargetId = u64;

/// Returns the id of `target` of the service `service`.
///
/// The hash includes the address, so that the packets of a flow never go to an address that a
/// later ticket has assigned to another target or service.
pub fn target_id(service: &str, target: &Target) -> TargetId {
    util::hash_bytes(&[
        b"target",
        service.as_bytes(),
        target.name.as_bytes(),
        target.address.to_string().as_bytes(),
    ])
}
