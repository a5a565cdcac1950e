use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Presence, Revision, Sequence, Target};

/// How much of another daemon's directory a daemon already has, and so which changes it lacks.
///
/// A follower sends it as an [`admin::Cursor`](crate::admin::Cursor), which holds both values. The
/// followed daemon uses the number of the change, or the revision if the follower has no number of
/// its present incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Position {
    /// The daemon has applied all changes of the other directory up to this one.
    Followed(Sequence),
    /// The daemon has read the targets from the store at this revision.
    Read(Revision),
}

/// The changes of a directory since a [`Position`], for a daemon that follows the directory.
///
/// A delta does not contain the configuration, which may be large: while an entry VM sent it to all
/// daemons of its zone, the VM's link would have no capacity for packets. Each daemon reads the
/// configuration from the store instead.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delta {
    /// The number of the last included change.
    pub sequence: Sequence,
    /// The store's revision at the last read of the targets.
    pub revision: Revision,
    /// The time since the last read of the targets; `None` if there was none.
    pub age: Option<Duration>,
    /// The revision of the last change that operators published. The store may be at a later
    /// revision.
    #[serde(rename = "operator_revision")]
    pub operator_change_revision: Revision,
    /// The time since the configuration was last confirmed; `None` if it never was.
    pub operator_age: Option<Duration>,
    /// Whether a missing store entry proves that its target has ended.
    #[serde(rename = "is_settled")]
    pub is_absence_conclusive: bool,
    /// The ids and revisions of all targets that have not ended, if the directory no longer has all
    /// changes since the position; otherwise `None`.
    pub inventory: Option<Vec<InventoryEntry>>,
    /// The targets whose entries were written since the position.
    pub written: Vec<Target>,
    /// The targets that have changed since the position and are now [`Presence::Lapsed`].
    pub lapsed: Vec<Target>,
    /// The ids of the targets that have changed since the position and have now ended.
    pub ended: Vec<Arc<str>>,
}

/// A target in the inventory of a [`Delta`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct InventoryEntry {
    /// The target's id.
    pub name: Arc<str>,
    /// The revision of the target's store entry.
    pub revision: Revision,
    /// Whether the store contains the entry.
    #[serde(rename = "standing")]
    pub presence: Presence,
}
