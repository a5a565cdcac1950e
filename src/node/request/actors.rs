use ractor::ActorRef;

use crate::node::request;

/// The actors that the coordinator tells of pauses.
#[derive(Debug, Clone)]
pub(in crate::node) struct Actors {
    /// The member view.
    pub(in crate::node) members: ActorRef<request::Members>,
    /// The ticket state.
    pub(in crate::node) tickets: ActorRef<request::Tickets>,
    /// The target classes.
    pub(in crate::node) targets: ActorRef<request::Targets>,
}
