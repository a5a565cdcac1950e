use std::{collections::HashMap, time::Instant};

use crate::{load::Class, place::ramp::Ramp, ticket::TargetId};

/// What a placer knows about one target.
#[derive(Debug, Clone, Default)]
pub(super) struct Count {
    /// The open flows that this daemon owns as primary.
    pub(super) open: u32,
    /// The class that was last reported or observed.
    pub(super) class: Class,
    /// The ramp of a target that started a short while ago.
    pub(super) ramp: Option<Ramp>,
    /// When flows were placed that still occupy a unit.
    pub(super) spent: Vec<Instant>,
}

/// The counts of all targets.
pub(super) type Counts = HashMap<TargetId, Count>;
