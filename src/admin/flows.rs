use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The numbers of flows that the answering daemon holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Flows {
    /// The flows with an authoritative record.
    pub owned: u64,
    /// The flows in the cache.
    pub cached: u64,
    /// The packets that wait for the answer to a query.
    pub pending_packets: u64,
    /// The open queries.
    pub queries: u64,
    /// The owned flows by target.
    pub targets: Vec<TargetFlows>,
}

/// The number of owned flows on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TargetFlows {
    /// The service.
    pub service: Arc<str>,
    /// The target.
    pub target: Arc<str>,
    /// The number of flows.
    pub flows: u64,
}
