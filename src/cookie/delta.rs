use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Presence, Revision, Sequence, Target};

/// How much of another daemon's directory, the targets that it knows, a daemon already has.
///
/// A follower sends an [`admin::Cursor`](crate::admin::Cursor), which contains both a sequence
/// number and a revision. The followed daemon makes a position of one of them: of the sequence
/// number if it belongs to the followed daemon's present incarnation, otherwise of the revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Position {
    /// The follower has received all changes of the followed daemon's directory up to this one.
    Followed(Sequence),
    /// The follower knows the targets as of this revision of the store, but no sequence number of
    /// the followed daemon's present incarnation.
    Read(Revision),
}

/// The changes of a directory since a [`Position`], for a daemon that follows the directory.
///
/// A delta does not contain the configuration, which may be large: if a daemon sent it to all
/// daemons of its zone, its link would be full and packets would wait. Each daemon reads the
/// configuration from the store instead.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delta {
    /// The number of the last included change.
    pub sequence: Sequence,
    /// The store's revision at the last read of the targets.
    pub revision: Revision,
    /// The age of the targets: the time since their last read; `None` if there was none.
    pub age: Option<Duration>,
    /// The store's revision at the last change that operators published. The store may be at a
    /// later revision.
    #[serde(rename = "operator_revision")]
    pub operator_change_revision: Revision,
    /// The age of the configuration: the time since the store last confirmed it as current; `None`
    /// if it never did.
    pub operator_age: Option<Duration>,
    /// Whether a missing store entry proves that its target has ended.
    #[serde(rename = "is_settled")]
    pub is_absence_conclusive: bool,
    /// All targets that have not ended, if the position is [`Position::Read`] or the directory has
    /// meanwhile removed targets that ended after it; otherwise `None`.
    pub inventory: Option<Vec<InventoryEntry>>,
    /// The targets whose entries were written since the position.
    pub written: Vec<Target>,
    /// The targets that have changed since the position and are now [`Presence::Lapsed`]: their
    /// store entries are missing, but they may still be running.
    pub lapsed: Vec<Target>,
    /// The targets that have changed since the position and are now [`Presence::Unreadable`], each as
    /// it was last read.
    #[serde(default)]
    pub unreadable: Vec<Target>,
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
    /// Whether the entry is in the store; not [`Presence::Gone`].
    #[serde(rename = "standing")]
    pub presence: Presence,
}
