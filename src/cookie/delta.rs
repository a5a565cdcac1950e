use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Presence, Revision, Sequence, Target};

/// How far a daemon knows what another one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Position {
    /// It has followed all changes up to this one.
    Followed(Sequence),
    /// It has read the targets itself at this revision.
    Read(Revision),
}

/// What has changed in a directory since an earlier moment, for a daemon that follows it.
///
/// It carries no configuration, which may be large: a link of an entry VM that sends it to all
/// daemons of a zone has no room for packets meanwhile. Daemons read it from the store themselves.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delta {
    /// The number of the last change that is included.
    pub sequence: Sequence,
    /// The store's revision at the last read of the targets.
    pub revision: Revision,
    /// The time since that read; `None` if there was none.
    pub age: Option<Duration>,
    /// The revision of the last change that operators published.
    pub operator_revision: Revision,
    /// The time since that was confirmed; `None` if it never was.
    pub operator_age: Option<Duration>,
    /// Whether a missing entry proves that its target has ended.
    pub is_settled: bool,
    /// All targets that have not ended, if the changes since the earlier moment are not known.
    pub inventory: Option<Vec<InventoryEntry>>,
    /// The targets whose entries were written.
    pub written: Vec<Target>,
    /// The targets whose entries lapsed and may return.
    pub lapsed: Vec<Target>,
    /// The names of the targets that have ended.
    pub ended: Vec<Arc<str>>,
}

/// One target of an inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InventoryEntry {
    /// The target's id.
    pub name: Arc<str>,
    /// The revision of its entry.
    pub revision: Revision,
    /// What is known about its presence.
    #[serde(rename = "standing")]
    pub presence: Presence,
}
