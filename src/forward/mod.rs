//! Forwarding decisions: whether a packet is delivered, sent to another daemon, queued, rejected or
//! dropped.
//!
//! Any daemon may receive any packet of a flow, and a packet sent to a wrong target breaks the
//! flow. A daemon therefore delivers a packet only if it holds the flow's record or has the flow's
//! target in its cache. Otherwise it sends the packet to the flow's primary owner. A primary owner
//! without the record queries all members that may hold it before it treats the flow as unknown.
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
