use crate::{
    load::{Observation, Reading, Report},
    ticket::TargetId,
};

/// A request to the actor [`Targets`](crate::node::targets::Targets).
#[derive(Debug)]
pub(in crate::node) enum Targets {
    /// Starts the reading of targets, sends reports and decides the load classes.
    Tick,
    /// The health and load endpoints of a target were read.
    Read(TargetId, Reading),
    /// Load reports from another member were received.
    Reports(Vec<Report>),
    /// The packet loop has made observations of targets.
    Observed(Vec<(TargetId, Observation)>),
}
