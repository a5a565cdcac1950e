use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, Sequence};

/// The position up to which a follower has received the changes of the daemon that it follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Cursor {
    /// The incarnation of the followed daemon that `sequence` refers to; `None` before the first
    /// response.
    pub incarnation: Option<u64>,
    /// The number of the last change in that incarnation that the follower has received.
    pub sequence: Sequence,
    /// The store's revision of the targets that the follower knows.
    pub revision: Revision,
}
