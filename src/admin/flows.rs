use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The numbers of flows that the answering daemon holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Flows {
    /// The number of flows for which the daemon holds the authoritative record as an owner.
    pub owned: u64,
    /// The number of flows in the cache.
    pub cached: u64,
    /// The number of packets that wait for the results of lookups.
    pub pending_packets: u64,
    /// The number of queries that have no answer yet.
    pub queries: u64,
    /// The number of owned flows of each target.
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
