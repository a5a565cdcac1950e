use crate::{
    load::{Observation, Reading, Report},
    ticket::TargetId,
};

/// What the actor [`Targets`](crate::node::targets::Targets) can be told.
#[derive(Debug)]
pub(in crate::node) enum Targets {
    /// Reads targets and decides classes.
    Tick,
    /// A target's endpoints were read.
    Read(TargetId, Reading),
    /// Reports of another member have arrived.
    Reports(Vec<Report>),
    /// The packet loop has seen this of targets.
    Observed(Vec<(TargetId, Observation)>),
}
