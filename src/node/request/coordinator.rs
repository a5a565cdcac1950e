use std::time::Duration;

use crate::node::request::Actors;

/// A request to the actor [`Coordinator`](crate::node::coordinator::Coordinator).
#[derive(Debug)]
pub(in crate::node) enum Coordinator {
    /// Sets the actors that must confirm their state after a pause.
    SetActors(Box<Actors>),
    /// The daemon has the first state, or has waited long enough for it.
    Joined,
    /// The process was paused for about this time.
    Paused(Duration),
    /// The member view is confirmed, or no member answered in time.
    ViewConfirmed,
    /// The ticket state is confirmed, or no member answered in time.
    StateConfirmed,
}
