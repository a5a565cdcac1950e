use serde::{Deserialize, Serialize};

use crate::ticket::{History, Item};

/// The complete state, to send to a member that joins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Snapshot {
    /// All versions of all objects.
    pub items: Vec<Item>,
    /// The numbers of the tickets in force and of the refused tickets.
    pub history: History,
}
