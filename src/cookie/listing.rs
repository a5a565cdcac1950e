use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, Target};

/// The result of one read of all targets from the store. The inventory of a
/// [`Delta`](crate::cookie::Delta) names targets without their content.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The targets. Entries that could not be decoded are left out.
    pub targets: Vec<Target>,
}
