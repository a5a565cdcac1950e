//! Members: the daemons of the fleet, who is alive, and who owns a flow.
//!
//! Every daemon must come to the same ranking of owners without a coordinator. The
//! ranking is therefore a function of the view alone, and the view is spread by
//! a failure detector whose cost does not grow with the fleet.

mod buckets;
mod config;
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

/// The identity of a member: a hash of its name.
pub type Id = u64;

/// The time a member started in milliseconds since the Unix epoch, raised by the member to
/// refute a suspicion.
pub type Incarnation = u64;

/// Returns the id of the member `name`.
///
/// ```
/// assert_ne!(banyanwharf::member::id("entry-1"), banyanwharf::member::id("entry-2"));
/// ```
pub fn id(name: &str) -> Id {
    util::hash_bytes(&[b"member", name.as_bytes()])
}
