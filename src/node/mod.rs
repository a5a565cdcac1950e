//! The actors, the sockets and the packet loop of a daemon in tunnel mode.
//!
//! Control state changes a few times a minute, and its updates must be applied in order. Each part
//! of it (members, tickets, target classes) therefore belongs to one actor. Packets arrive
//! a hundred thousand times a second, and packets of different flows need no order. One loop on a
//! separate thread handles them; actors send commands to this loop through a channel and never
//! block on it.
//!
//! The packet loop forwards nothing until the daemon has its first state: the members and the
//! tickets. After a pause of the process, forwarding waits until both are confirmed.

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
