use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation, Info, Status};

/// A change of one member's state, piggybacked on the detector's messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Update {
    /// The member that the update is about.
    pub id: Id,
    /// The member's incarnation that the update belongs to.
    pub incarnation: Incarnation,
    /// The member's state.
    pub status: Status,
    /// The member's description, sent with `alive` and `leaving` updates.
    pub info: Option<Arc<Info>>,
}

/// A message of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks the receiver to answer with [`Message::Ack`].
    Ping {
        /// Matches the answer to the ping.
        sequence: u32,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answers a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u32,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to ping `target` and to pass the answer on.
    PingRequest {
        /// Matches the answer to the request.
        sequence: u32,
        /// The member to ping.
        target: Id,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
}
