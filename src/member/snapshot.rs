use serde::{Deserialize, Serialize};

use crate::member::{Incarnation, Info, Status};

/// One member in a [`Snapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct SnapshotMember {
    /// The member's description of itself.
    pub info: Info,
    /// The highest incarnation received for this member.
    pub incarnation: Incarnation,
    /// The status of the member at that incarnation.
    pub status: Status,
    /// The time since the status was set, in milliseconds.
    pub age_ms: u64,
}

/// A copy of a daemon's view that a joining daemon fetches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Snapshot {
    /// The members, ordered by id.
    pub members: Vec<SnapshotMember>,
}
