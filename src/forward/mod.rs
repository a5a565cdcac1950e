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
mod copying;
mod counters;
mod deciding;
mod explanation;
mod forwarder;
mod frames;
mod history;
mod holding;
mod inquiry;
mod mode;
mod packet;
mod placing;
mod probing;
mod returning;
mod standing;
mod storing;
mod unknown;

pub use action::{Action, Cause};
pub use config::Config;
pub use counters::Counters;
pub use explanation::Explanation;
pub use forwarder::Forwarder;
pub use mode::Mode;
pub use standing::Standing;
