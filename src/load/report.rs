use serde::{Deserialize, Serialize};

use crate::ticket::TargetId;

/// The load class of a target, which limits the new flows that are placed on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The target has recently started and is in slow start.
    Cold,
    /// No reason is known to place fewer flows than the target's full share.
    #[default]
    Normal,
    /// The target reports that all its slots are busy and requests are queued.
    Hot,
    /// The target fails its health checks or does not accept connections.
    Failing,
}

/// A target's class as determined from its endpoints. The daemon that reads the endpoints sends the
/// report to the other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// The target.
    pub target: TargetId,
    /// The target's class.
    pub class: Class,
    /// The hash of the start identifier that the target reports; 0 if it reports none.
    pub start: u32,
    /// The endpoint reader's sequence number, which orders its reports about the target.
    pub sequence: u32,
    /// The age of the observation at the time of sending, in units of 100 ms.
    pub age: u16,
}
