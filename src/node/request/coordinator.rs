use std::time::Duration;

use crate::node::request::Actors;

/// What the actor [`Coordinator`](crate::node::coordinator::Coordinator) can be told.
#[derive(Debug)]
pub(in crate::node) enum Coordinator {
    /// The other actors have started.
    SetActors(Box<Actors>),
    /// The daemon has the first state and may forward.
    Joined,
    /// The process was paused for about this time.
    Paused(Duration),
    /// The member view is confirmed, or nobody answered in time.
    ViewConfirmed,
    /// The ticket state is confirmed, or nobody answered in time.
    StateConfirmed,
}
