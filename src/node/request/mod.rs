//! The requests that the actors of a daemon handle.
//!
//! An actor depends on the request types of the other actors, not on the actors themselves.

mod actors;
mod coordinator;
mod members;
mod summary;
mod targets;
mod tickets;

pub(super) use actors::Actors;
pub(super) use coordinator::Coordinator;
pub(super) use members::Members;
pub(super) use summary::Summary;
pub(super) use targets::Targets;
pub(super) use tickets::Tickets;
