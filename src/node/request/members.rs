use std::net::SocketAddr;

use ractor::RpcReplyPort;

use crate::member::{Id, Info, Message, Snapshot};

/// A request to the actor [`Members`](crate::node::members::Members).
#[derive(Debug)]
pub(in crate::node) enum Members {
    /// Runs the timers of the failure detector.
    Tick,
    /// A message from the failure detector of another member was received.
    Received {
        /// The member that sent the message.
        from: Id,
        /// The address that the message was sent from.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Sets the daemons in the platform's list of VMs as contacts.
    Contacts(Vec<Info>),
    /// Merges the member view of a peer.
    Merge(Snapshot),
    /// The daemon has joined, so it becomes an owner of flows.
    Joined,
    /// Confirms the view with other members, because the process was paused.
    Confirm,
    /// Announces that the daemon is leaving.
    Leave,
    /// Announces that the daemon has left.
    Left,
    /// Returns whether enough members know that this daemon has left.
    IsDeparted(RpcReplyPort<bool>),
    /// Returns the view for a joining daemon.
    Snapshot(RpcReplyPort<Snapshot>),
}
