//! Membership: which daemons of the fleet are alive, and which of them own a flow. The fleet is
//! all daemons of all regions.
//!
//! All daemons must agree on the owners of a flow without a coordinator. The owners are
//! therefore a function of the view alone, computed by rendezvous hashing. A SWIM failure
//! detector keeps the view up to date; its cost for each daemon does not grow with the number
//! of daemons.

mod buckets;
mod config;
mod contacts;
mod counters;
mod detector;
mod info;
mod message;
mod output;
mod owners;
mod ranking;
mod slot_owners;
mod snapshot;
mod update_queue;
mod view;

pub use config::Config;
pub use contacts::Contacts;
pub use counters::Counters;
pub use detector::Detector;
pub use info::{Info, Status};
pub use message::{Entry, Message, Update};
pub use output::Output;
pub use owners::Owners;
pub use ranking::Ranking;
pub use snapshot::{Snapshot, SnapshotMember};
pub use view::{Member, View};

use crate::util;

/// The id of a member: a hash of its name.
pub type Id = u64;

/// A number that orders the updates about one member.
///
/// It begins as the start time of the member in milliseconds since the Unix epoch. The member
/// increments it to refute a suspicion.
pub type Incarnation = u64;

/// Returns the id of the member `name`.
///
/// ```
/// assert_ne!(banyanwharf::member::id("entry-1"), banyanwharf::member::id("entry-2"));
/// ```
pub fn id(name: &str) -> Id {
    util::hash_bytes(&[b"member", name.as_bytes()])
}
