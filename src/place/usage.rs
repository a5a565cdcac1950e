use std::{collections::HashMap, time::Instant};

use crate::{load::Class, place::ramp::Ramp, ticket::TargetId};

/// What a placer knows about one target.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetUsage {
    /// The open flows that this daemon owns as primary.
    pub(super) open_flows: u32,
    /// The class that was last reported or observed.
    pub(super) class: Class,
    /// The ramp of a target that started a short while ago.
    pub(super) ramp: Option<Ramp>,
    /// When flows were placed that still occupy a unit.
    pub(super) units_taken_at: Vec<Instant>,
}

/// The counts of all targets.
pub(super) type UsageMap = HashMap<TargetId, TargetUsage>;
