use crate::{
    flow::{Entry, Fingerprint, Slot},
    forward::TargetStatus,
    member,
    ticket::TargetId,
};

/// How a forwarder treats the packets of a flow, and for which reasons.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// The flow.
    pub fingerprint: Fingerprint,
    /// The hash slot.
    pub slot: Slot,
    /// The flow's owners.
    pub owners: Option<member::Owners>,
    /// The members that would be queried for the flow's record.
    pub holders: Vec<member::Id>,
    /// Whether the owners of the hash slot changed within
    /// [`Config::unsettled_period`](super::Config::unsettled_period).
    pub is_unsettled: bool,
    /// The flow's record, if this daemon holds one.
    pub record: Option<Entry>,
    /// The cached target.
    pub cached: Option<TargetId>,
    /// Whether a lookup of the flow's record is running.
    pub is_pending: bool,
    /// The base targets of the flow in the service's generations, newest first.
    pub base_targets: Vec<TargetId>,
    /// The status of the record's target or, if there is no record, of the cached target.
    pub target_status: Option<TargetStatus>,
}
