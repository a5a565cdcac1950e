use std::sync::Arc;

use ractor::RpcReplyPort;

use crate::{
    member::Id,
    node::{handoff::Handoff, request::Summary},
    spread::Message,
};

/// What the actor [`Tickets`](crate::node::tickets::Tickets) can be told.
#[derive(Debug)]
pub(in crate::node) enum Tickets {
    /// Runs the timers.
    Tick,
    /// A message of another member's disseminator has arrived.
    Received {
        /// The sender.
        from: Id,
        /// The message.
        message: Message,
    },
    /// The platform has published these tickets.
    Published(Vec<Arc<str>>),
    /// Another member's state has arrived.
    Merge(Handoff),
    /// The process was paused, so the state must be confirmed.
    Confirm,
    /// Returns the state for a joiner.
    Snapshot(RpcReplyPort<Handoff>),
    /// Returns what the API shows of the tickets.
    Summary(RpcReplyPort<Summary>),
}
