use std::collections::BTreeMap;

use crate::cookie::{Basis, Cause, Reason};

/// Counters of a forwarder since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Packets forwarded to targets.
    pub delivered: u64,
    /// Opening packets for which a target was selected, including those counted in `moved`.
    pub placed: u64,
    /// The opening packets counted in `placed`, by what the selection was based on.
    pub placed_by: BTreeMap<Basis, u64>,
    /// The part of `placed` with a target in another zone than this daemon.
    pub placed_in_other_zones: u64,
    /// Retransmitted opening packets that were forwarded to another target than the previous copy.
    pub moved: u64,
    /// Retransmitted or duplicated opening packets that were forwarded to the target of the previous
    /// copy.
    pub repeated: u64,
    /// Flows reset, by reason.
    pub resets: BTreeMap<Reason, u64>,
    /// Packets dropped, by cause.
    pub drops: BTreeMap<Cause, u64>,
    /// Times that a target became silent.
    pub silences: u64,
    /// Times that an availability zone became silent.
    pub zone_silences: u64,
    /// Answers that are regarded as rejections by full targets.
    pub rejections: u64,
    /// Packets that callers retransmitted.
    pub retransmissions: u64,
}
