use serde::{Deserialize, Serialize};

use crate::ticket::TargetId;

/// What a target can bear, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The target started a short while ago.
    Cold,
    /// Nothing is known against full load.
    #[default]
    Normal,
    /// The target reports more load than it bears.
    Hot,
    /// The target fails its health checks.
    Failing,
}

/// A change of a target's class, spread by the daemon that reads the target's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// The target's class.
    pub class: Class,
    /// A hash of the start identity that the target reports; 0 if it reports none.
    pub start: u32,
    /// The sequence number of the reader, which orders its reports about a target.
    pub sequence: u32,
    /// The age of the observation when it is sent, in units of 100 ms.
    pub age: u16,
}
