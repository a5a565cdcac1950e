//! What the actors of a daemon can be told.
//!
//! Actors know these messages and not each other.

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
