use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a target accepts new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// The target accepts new flows.
    #[default]
    Active,
    /// The target gets no new flows. Its flows continue until they end or until the drain deadline.
    Draining,
}

/// A target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Target {
    /// The target's name, unique in its service.
    pub name: Arc<str>,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// The address at which the target receives and sends encapsulated packets.
    pub address: SocketAddr,
    /// The share of new flows relative to the other targets.
    #[serde(default = "default_weight")]
    pub weight: u16,
    /// The number of requests that the target can process at the same time.
    #[serde(default = "default_slots")]
    pub slots: u16,
    /// The maximum number of connections of the target.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The number of slots that may be used right after the target's start.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u16,
    /// The length of the slow start, from the target's start to full load, in seconds.
    #[serde(default = "default_ramp_seconds")]
    pub ramp_seconds: u32,
    /// Whether the target accepts new flows.
    #[serde(default)]
    pub state: TargetState,
    /// How long a draining target keeps its flows, in seconds. There is no limit if absent.
    #[serde(default)]
    pub drain_seconds: Option<u32>,
    /// The URL of the health endpoint.
    #[serde(default)]
    pub health: Option<Arc<str>>,
    /// The URL of the load endpoint.
    #[serde(default)]
    pub load: Option<Arc<str>>,
}

impl Target {
    /// Returns the length of the slow start.
    pub fn ramp(&self) -> Duration {
        Duration::from_secs(u64::from(self.ramp_seconds))
    }

    /// Returns how long a draining target keeps its flows, or `None` without limit.
    pub fn drain(&self) -> Option<Duration> {
        self.drain_seconds.map(|seconds| Duration::from_secs(u64::from(seconds)))
    }
}

fn default_weight() -> u16 {
    100
}

fn default_slots() -> u16 {
    4
}

fn default_connections() -> u32 {
    2000
}

fn default_cold_slots() -> u16 {
    1
}

fn default_ramp_seconds() -> u32 {
    30
}
