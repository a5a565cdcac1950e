use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, Target};

/// All entries of targets, as one read of the store returned them.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// The store's revision at the read.
    pub revision: Revision,
    /// The targets. Entries that could not be decoded are left out.
    pub targets: Vec<Target>,
}
