use std::sync::Arc;

use ractor::RpcReplyPort;

use crate::{
    member::Id,
    node::{request::Summary, state_snapshot::StateSnapshot},
    spread::Message,
};

/// A request to the actor [`Tickets`](crate::node::tickets::Tickets).
#[derive(Debug)]
pub(in crate::node) enum Tickets {
    /// Runs the timers of the ticket dissemination.
    Tick,
    /// A message from the ticket dissemination of another member was received.
    Received {
        /// The member that sent the message.
        from: Id,
        /// The message.
        message: Message,
    },
    /// Applies tickets that were read from the platform.
    Published(Vec<Arc<str>>),
    /// Merges the ticket state of a peer.
    Merge(StateSnapshot),
    /// Confirms the state with other members, because the process was paused.
    Confirm,
    /// Returns the state for a joining daemon.
    Snapshot(RpcReplyPort<StateSnapshot>),
    /// Returns the tickets for the admin API.
    Summary(RpcReplyPort<Summary>),
}
