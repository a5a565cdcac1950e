use std::net::SocketAddr;

use ractor::RpcReplyPort;

use crate::member::{Id, Info, Message, Snapshot};

/// What the actor [`Members`](crate::node::members::Members) can be told.
#[derive(Debug)]
pub(in crate::node) enum Members {
    /// Runs the timers.
    Tick,
    /// A message of another member's detector has arrived.
    Received {
        /// The sender.
        from: Id,
        /// The sender's address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The platform's list of VMs has changed.
    Contacts(Vec<Info>),
    /// Another member's view has arrived.
    Merge(Snapshot),
    /// The first state is complete, so the daemon becomes an owner.
    Joined,
    /// The process was paused, so the view must be confirmed.
    Confirm,
    /// The daemon is about to stop.
    Leave,
    /// The daemon has handed over and stops.
    Left,
    /// Returns whether enough members know that this daemon has left.
    IsDeparted(RpcReplyPort<bool>),
    /// Returns the view for a joiner.
    Snapshot(RpcReplyPort<Snapshot>),
}
