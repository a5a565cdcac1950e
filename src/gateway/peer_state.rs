use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cookie::{Listing, OperatorState};

/// The state of one daemon, sent to another daemon that cannot read the store. It is the response
/// to the admin call `state_snapshot`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct PeerState {
    /// The configuration and the zones out of service, as operators published them.
    pub(super) operator: OperatorState,
    /// The entries of all targets.
    pub(super) listing: Listing,
    /// The ids of the targets whose entries the store no longer contains, but which may still run.
    #[serde(default)]
    pub(super) lapsed: Vec<Arc<str>>,
    /// The milliseconds since the targets were read; `None` if they have never been read.
    pub(super) age_ms: Option<u64>,
}
