use serde::{Deserialize, Serialize};

use crate::member::{Incarnation, Info, Status};

/// One member in a [`Snapshot`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct SnapshotMember {
    /// What the member says about itself.
    pub info: Info,
    /// The highest incarnation heard of.
    pub incarnation: Incarnation,
    /// The member's state.
    pub status: Status,
    /// How long ago the state was set in ms.
    pub age_ms: u64,
}

/// A daemon's view in a form that a joiner can fetch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Snapshot {
    /// The members in the order of their ids.
    pub members: Vec<SnapshotMember>,
}
