use crate::{
    flow::{Entry, Fingerprint, Slot},
    forward::TargetStatus,
    member,
    ticket::TargetId,
};

/// Why a forwarder treats the packets of a flow as it does.
#[derive(Debug, Clone, PartialEq)]
pub struct Explanation {
    /// The flow.
    pub fingerprint: Fingerprint,
    /// The hash slot.
    pub slot: Slot,
    /// The flow's owners.
    pub owners: Option<member::Owners>,
    /// The members that would be asked for the flow's record.
    pub holders: Vec<member::Id>,
    /// Whether the owners of the hash slot changed a short while ago.
    pub is_unsettled: bool,
    /// The record, if this daemon holds one.
    pub record: Option<Entry>,
    /// The cached target.
    pub cached: Option<TargetId>,
    /// Whether the flow waits for answers to queries.
    pub is_pending: bool,
    /// The base targets under the service's generations, newest first.
    pub base_targets: Vec<TargetId>,
    /// What is known about the target of the record, or else of the cache.
    pub target_status: Option<TargetStatus>,
}
