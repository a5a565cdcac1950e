//! Stateless delivery: a token in each packet names the target of its flow.
//!
//! Both ends of a flow repeat a 32-bit token that the daemon wrote into the opening packet. The
//! daemon writes the target's *cookie* there, so that any daemon can deliver any later packet
//! without a record of the flow. What remains to be decided is where new flows go and when a flow
//! cannot be served any more. `docs/platform-design.md` gives the reasons.
//!
//! Nothing here does I/O or reads a clock.

mod config;
mod counters;
mod delta;
mod directory;
mod event;
mod flow;
mod flows;
mod forwarder;
mod hash;
mod listing;
mod observer;
mod operator;
mod packet;
mod rate_limiter;
mod selector;
mod silence_detector;
mod store_health;
mod target;
mod tuning;
mod verdict;
mod view;

pub use config::{Config, Route, Service, Share};
pub use counters::Counters;
pub use delta::{Delta, InventoryEntry, Position};
pub use directory::{ApplyOutcome, Directory};
pub use event::Event;
pub use flow::Flow;
pub use forwarder::Forwarder;
pub use hash::cookie;
pub use listing::Listing;
pub use operator::{Change, OperatorState};
pub use packet::{Kind, Packet};
pub use target::{Availability, Presence, Target};
pub use tuning::Tuning;
pub use verdict::{Cause, Destination, Reason, Verdict};
pub use view::{Entry, View};

/// The token that names the target of a flow. 0 names none.
pub type Cookie = u32;

/// The number by which a target recognises the datagrams that are meant for it.
pub type TargetNumber = u64;

/// A position in the order of changes of the platform's store.
pub type Revision = u64;

/// A position in the order of changes that one daemon has noticed.
pub type Sequence = u64;

/// The version of a configuration.
pub type Version = u64;
