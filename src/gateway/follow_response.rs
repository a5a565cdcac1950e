use serde::{Deserialize, Serialize};

use crate::cookie::Delta;

/// What a daemon tells one that follows it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct FollowResponse {
    /// Distinguishes the starts of the daemon.
    pub(super) incarnation: u64,
    /// What has changed.
    pub(super) delta: Delta,
}
