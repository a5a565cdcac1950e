use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ticket::{Number, ZoneState};

/// An availability zone as the answering daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Zone {
    /// The zone's name.
    pub name: Arc<str>,
    /// Whether the zone is in service.
    pub state: ZoneState,
    /// The ticket that set the state; `None` if no ticket names the zone.
    pub ticket: Option<Number>,
    /// The number of members in the zone that are alive.
    pub members_alive: u64,
    /// The number of targets in the zone.
    pub targets: u64,
}
