use std::collections::BTreeMap;

use crate::cookie::{Cause, Reason};

/// What a forwarder has done since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets delivered to targets.
    pub delivered: u64,
    /// New flows given to a target.
    pub placed: u64,
    /// New flows given to a target of another zone.
    pub placed_in_other_zones: u64,
    /// Copies of opening packets that went to another target than the first.
    pub moved: u64,
    /// Flows reset, by reason.
    pub resets: BTreeMap<Reason, u64>,
    /// Packets dropped, by cause.
    pub drops: BTreeMap<Cause, u64>,
    /// Times that a target was regarded as silent.
    pub silences: u64,
    /// Times that an availability zone was regarded as silent.
    pub zone_silences: u64,
    /// Packets that a caller repeated.
    pub retransmissions: u64,
}
