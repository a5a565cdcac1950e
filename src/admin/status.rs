use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{member, platform, ticket};

/// The state of the daemon that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// The daemon's name.
    pub name: Arc<str>,
    /// The daemon's region.
    pub region: Arc<str>,
    /// The daemon's availability zone.
    pub zone: Arc<str>,
    /// The version of the program.
    pub version: Arc<str>,
    /// The state that the daemon spreads about itself.
    pub state: member::Status,
    /// The daemon's incarnation.
    pub incarnation: member::Incarnation,
    /// Whether the daemon serves.
    pub is_ready: bool,
    /// Whether the daemon regards its view as stale after a pause.
    pub is_stale: bool,
    /// The time since the start in seconds.
    pub uptime_seconds: u64,
    /// The number of members that are alive, with the daemon itself.
    pub members_alive: u64,
    /// The highest number of an accepted ticket.
    pub highest_ticket: Option<ticket::Number>,
    /// The digest of the ticket state; equal in daemons with the same state.
    pub digest: Arc<str>,
    /// The state of the platform watch.
    pub platform: PlatformStatus,
}

/// The state of a daemon's platform watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlatformStatus {
    /// Whether the daemon is one of the readers of its zone.
    pub is_reader: bool,
    /// The index of the last tickets that were read.
    pub index: platform::Index,
    /// The number of failed calls since the last success.
    pub failures: u32,
    /// The time since the last success in seconds.
    pub last_success_seconds: Option<u64>,
}
