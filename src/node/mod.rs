//! The actors, sockets and the packet loop of a daemon.
//!
//! Control state changes a few times a minute and needs order more than speed, so
//! each part of it belongs to one actor: the members, the tickets, the target classes. Packets come
//! a hundred thousand times a second and need no order between flows; they are
//! handled by one loop on a thread of its own, which actors reach by a channel and
//! never wait for.
//!
//! The packet loop forwards nothing until the first state is complete, and stops
//! forwarding whenever the process was paused until the state is confirmed.

mod admin_handler;
mod baseline;
mod command;
mod coordinator;
mod daemon;
mod error;
mod join;
mod members;
mod metrics;
mod packet_loop_stats;
mod packet_tracer;
mod packets;
mod pause_detector;
mod request;
mod shared;
mod start;
mod state_snapshot;
mod targets;
mod tickets;
mod watch;
mod watch_status;

pub use crate::util::BindError;
pub use baseline::forward_all;
pub use daemon::Node;
pub use error::{Error, Result};
