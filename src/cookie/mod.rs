//! Packet decisions of gateway mode, which forwards by a cookie in each packet instead of per-flow
//! state.
//!
//! Both ends of a flow echo a 32-bit token that the daemon wrote into the opening packet. The token
//! is the target's *cookie*, so any daemon can forward any later packet of the flow without state
//! about the flow. This module therefore decides only which target gets a new flow and when a flow
//! must be reset because it can no longer be served. `docs/platform-design.md` gives the reasons.
//!
//! This module does no I/O and reads no clock: functions that need the current time take it as an
//! argument.

mod basis;
mod census;
mod check;
mod config;
mod counters;
mod delta;
mod directory;
mod event;
mod expected_work;
mod flow;
mod flows;
mod forwarder;
mod hash;
mod listing;
mod observer;
mod operator;
mod packet;
mod placement;
mod rate_limiter;
mod revision;
mod selector;
mod silence_detector;
mod store_health;
mod target;
mod tuning;
mod verdict;
mod view;
pub mod work;

pub use basis::Basis;
pub use census::Census;
pub use check::{Check, CheckOutcome};
pub use config::{Config, Route, Service, Share};
pub use counters::Counters;
pub use delta::{Delta, InventoryEntry, Position};
pub use directory::{ApplyOutcome, Directory};
pub use event::Event;
pub use flow::Flow;
pub use forwarder::Forwarder;
pub use hash::cookie;
pub use listing::{EntryChange, Listing, ListingUpdate};
pub use operator::{Change, OperatorState, ZonesOut};
pub use packet::{Kind, Packet};
pub use placement::Placement;
pub use revision::Revision;
pub use target::{Availability, Presence, Target};
pub use tuning::Tuning;
pub use verdict::{Cause, Destination, Reason, Verdict};
pub use view::{Entry, Successor, View};

/// The token that identifies the target of a flow; 0 stands for no target.
pub type Cookie = u32;

/// The part of a [`Cookie`] that is derived from the target's id and is the same for all its starts.
type Identity = u32;

/// The number that each datagram to a target carries, so that the target can reject datagrams that
/// are meant for another target.
pub type TargetNumber = u64;

/// The number of a change in the [`Directory`] of one daemon.
pub type Sequence = u64;

/// The version number of a configuration.
pub type Version = u64;
