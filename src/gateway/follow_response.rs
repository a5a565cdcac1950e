use serde::{Deserialize, Serialize};

use crate::cookie::Delta;

/// The response to the admin call `follow`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) struct FollowResponse {
    /// A random number that each start of the responding daemon draws. Sequence numbers of
    /// different incarnations cannot be compared.
    pub(super) incarnation: u64,
    /// The changes of the responding daemon since the cursor in the request.
    pub(super) delta: Delta,
}
