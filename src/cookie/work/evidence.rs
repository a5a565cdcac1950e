use std::sync::Arc;

/// The answers of a zone's targets within the last second, as the reason for a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The number of answers, including rejections.
    pub answers: u32,
    /// The number of rejections.
    pub rejections: u32,
}

/// A refusal of a new flow because no zone has room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The admitted share of the flow's priority class, in percent.
    pub admitted_percent: u32,
    /// The evidence for each zone that the service may use.
    pub zones: Vec<Evidence>,
}
