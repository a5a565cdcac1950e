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
    /// The state of the daemon as it announces it to the other members.
    pub state: member::Status,
    /// The daemon's incarnation.
    pub incarnation: member::Incarnation,
    /// Whether the daemon is ready to forward packets.
    pub is_ready: bool,
    /// Whether the daemon regards its view as stale, as after a pause of its process.
    pub is_stale: bool,
    /// The time since the start of the daemon in seconds.
    pub uptime_seconds: u64,
    /// The number of members that are alive, including the daemon itself.
    pub members_alive: u64,
    /// The highest number of an accepted ticket.
    pub highest_ticket: Option<ticket::Number>,
    /// The digest of the ticket state; equal in daemons with the same state.
    pub digest: Arc<str>,
    /// The state of the daemon's calls to the platform.
    pub platform: PlatformStatus,
}

/// The state of a daemon's calls to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlatformStatus {
    /// Whether the daemon reads the platform itself, as a zone reader.
    pub is_reader: bool,
    /// The index of the last tickets that were read; in gateway mode the store's revision.
    pub index: platform::Index,
    /// The number of failed calls since the last successful one.
    pub failures: u32,
    /// The time since the last successful call in seconds; `None` if there was none.
    pub last_success_seconds: Option<u64>,
}
