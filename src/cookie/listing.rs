use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, Target};

/// The result of one read of all targets from the store. The inventory of a
/// [`Delta`](crate::cookie::Delta) names targets without their content.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// The store's revision at the time of the read. Targets may be newer, but none is older.
    pub revision: Revision,
    /// The targets. A target whose entry cannot be decoded is contained only if the entry was read
    /// before.
    pub targets: Vec<Target>,
    /// The ids of the targets whose entries cannot be decoded.
    #[serde(default)]
    pub unreadable: Vec<Arc<str>>,
}

impl Listing {
    /// Applies the changes of the store since the revision of the listing.
    pub fn apply(&mut self, update: ListingUpdate) {
        let targets = std::mem::take(&mut self.targets).into_iter();
        let mut by_name: BTreeMap<Arc<str>, Target> =
            targets.map(|target| (target.name.clone(), target)).collect();
        for change in update.changes {
            let known = by_name.get(change.name()).map(|target| target.revision);
            if known.is_some_and(|known| known > change.revision()) {
                continue;
            }
            self.unreadable.retain(|name| **name != *change.name());
            match change {
                EntryChange::Written(target) => {
                    by_name.insert(target.name.clone(), target);
                }
                EntryChange::Unreadable { name, .. } => self.unreadable.push(name),
                EntryChange::Removed { name, .. } => {
                    by_name.remove(&name);
                }
            }
        }
        self.targets = by_name.into_values().collect();
        self.revision = self.revision.max(update.revision);
    }
}

/// The changes of the targets' entries up to a revision of the store, in their order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ListingUpdate {
    /// The revision up to which the changes are complete.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<EntryChange>,
}

/// A change of the store entry of one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry was written.
    Written(Target),
    /// What was written cannot be decoded. It may come from another writer than the target.
    Unreadable {
        /// The id of the target.
        name: Arc<str>,
        /// The revision of the change.
        revision: Revision,
    },
    /// The entry was removed.
    Removed {
        /// The id of the target.
        name: Arc<str>,
        /// The revision of the change.
        revision: Revision,
    },
}

impl EntryChange {
    /// Returns the id of the target.
    pub fn name(&self) -> &str {
        match self {
            EntryChange::Written(target) => &target.name,
            EntryChange::Unreadable { name, .. } | EntryChange::Removed { name, .. } => name,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            EntryChange::Written(target) => target.revision,
            EntryChange::Unreadable { revision, .. } | EntryChange::Removed { revision, .. } => {
                *revision
            }
        }
    }
}
