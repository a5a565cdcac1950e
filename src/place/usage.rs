use std::{collections::HashMap, time::Instant};

use crate::{load::Class, place::ramp::Ramp, ticket::TargetId};

/// The flows and the load state of one target, as far as this daemon knows.
#[derive(Debug, Clone, Default)]
pub(super) struct TargetUsage {
    /// The number of open flows of which this daemon is the primary owner.
    pub(super) open_flows: u32,
    /// The class that was last reported or observed.
    pub(super) class: Class,
    /// The ramp of a target that started a short while ago.
    pub(super) ramp: Option<Ramp>,
    /// When the slow-start units in use were taken.
    pub(super) units_taken_at: Vec<Instant>,
}

/// The usage of all targets.
pub(super) type UsageMap = HashMap<TargetId, TargetUsage>;
