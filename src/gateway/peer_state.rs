use serde::{Deserialize, Serialize};

use crate::cookie::{Listing, OperatorState};

/// What one daemon knows, for another one that cannot read the store.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct PeerState {
    /// What operators published.
    pub(super) operator: OperatorState,
    /// The targets.
    pub(super) listing: Listing,
    /// The time since the targets were read, in ms; `None` if they never were.
    pub(super) age_ms: Option<u64>,
}
