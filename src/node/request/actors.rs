use ractor::ActorRef;

use crate::node::request;

/// References to the actors of a daemon, except the coordinator.
#[derive(Debug, Clone)]
pub(in crate::node) struct Actors {
    /// The actor of the member view.
    pub(in crate::node) members: ActorRef<request::Members>,
    /// The actor of the ticket state.
    pub(in crate::node) tickets: ActorRef<request::Tickets>,
    /// The actor of the target classes.
    pub(in crate::node) targets: ActorRef<request::Targets>,
}
