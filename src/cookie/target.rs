use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, TargetNumber};

/// Whether a target says that it takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It takes new flows.
    Ready,
    /// It keeps its flows and is about to stop.
    Draining,
}

/// A target as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The target's id.
    pub name: Arc<str>,
    /// The number that datagrams for it carry.
    pub number: TargetNumber,
    /// Distinguishes the starts of a target under the same id; compared for equality only.
    pub born: u64,
    /// The service.
    pub service: Arc<str>,
    /// Where the target receives datagrams.
    pub address: SocketAddrV4,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// The number of requests that the target runs at the same time.
    pub slots: u32,
    /// Whether the target takes new flows.
    pub availability: Availability,
    /// How long the target stayed cold when it wrote the entry.
    pub cold_for: Duration,
    /// The revision of the entry.
    pub revision: Revision,
}

/// What is known about the presence of a target's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The entry is there.
    Present,
    /// The entry lapsed while the store was away; the target may live.
    Lapsed,
    /// The target has ended.
    Gone,
}
