//! The decision for each packet: deliver, hop, hold, answer or drop.
//!
//! Any daemon may receive any packet of a flow, and a guess about its target breaks the
//! flow. A daemon therefore acts on a packet only if it holds the flow's record or a cached
//! copy of it; otherwise the packet hops to the flow's primary owner. The owner that lacks
//! the record asks every member that may hold it before it treats the flow as unknown.
//!
//! [`Forwarder`] does no I/O. Its methods append [`Action`]s, which the packet loop carries
//! out.

mod action;
mod config;
mod copier;
mod counters;
mod explanation;
mod forwarder;
mod frames;
mod history;
mod lookup;
mod mode;
mod new_flow;
mod packet;
mod probe;
mod records;
mod replication;
mod request;
mod return_path;
mod secondary;
mod target_status;
mod unknown_flow;

pub use action::{Action, Cause};
pub use config::Config;
pub use counters::Counters;
pub use explanation::Explanation;
pub use forwarder::Forwarder;
pub use mode::Mode;
pub use target_status::TargetStatus;
