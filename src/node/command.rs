use std::sync::Arc;

use tokio::sync::oneshot;

use crate::{
    flow::Key,
    forward::Explanation,
    load::Change,
    member::{Ranking, View},
    route::Table,
};

/// A command to the packet loop.
#[derive(Debug)]
pub(super) enum Command {
    /// Replaces the members and the owners of the hash slots.
    SetMembers {
        /// The view.
        view: Arc<View>,
        /// The ranking of owners that was computed from the view.
        ranking: Arc<Ranking>,
    },
    /// Replaces the route table.
    SetRoutes(Arc<Table>),
    /// Sets the load classes of targets.
    SetClasses(Vec<Change>),
    /// Starts or resumes forwarding, after the first state has arrived or was confirmed.
    Resume,
    /// Starts the handover of the records for a graceful shutdown.
    BeginLeave,
    /// Returns whether all records are handed over.
    IsHandedOver(oneshot::Sender<bool>),
    /// Returns what the daemon knows about a flow and how it would route the flow.
    Explain(Key, oneshot::Sender<Explanation>),
    /// Ends the packet loop.
    Stop,
}
