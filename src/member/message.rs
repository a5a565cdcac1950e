use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation, Info, Status};

/// A change of one member's state, piggybacked on the detector's messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Update {
    /// The member that the update is about.
    // Ids are hashes: the variable-length encoding would take 10 bytes.
    #[serde(with = "postcard::fixint::le")]
    pub id: Id,
    /// The member's incarnation that the update belongs to.
    pub incarnation: Incarnation,
    /// The member's state.
    pub status: Status,
    /// The checksum of the member's description.
    #[serde(rename = "check", with = "postcard::fixint::le")]
    pub checksum: u16,
    /// The member's description, sent while the member is new to others or on request.
    pub info: Option<Arc<Info>>,
}

/// The state of one member in a [`Message::Summary`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// The member.
    #[serde(with = "postcard::fixint::le")]
    pub id: Id,
    /// The highest incarnation that the sender has heard of.
    pub incarnation: Incarnation,
    /// The member's state.
    pub status: Status,
    /// The checksum of the member's description.
    #[serde(rename = "check", with = "postcard::fixint::le")]
    pub checksum: u16,
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
        #[serde(with = "postcard::fixint::le")]
        target: Id,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
    /// Compares the sender's view with the receiver's, who answers with [`Message::Summary`].
    Digest {
        /// Matches the answers.
        sequence: u32,
        /// Whether the sender needs all differences at once, because it has paused.
        urgent: bool,
        /// The hashes of the sender's members, by the high bits of their ids.
        buckets: Vec<[u8; 4]>,
    },
    /// Answers [`Message::Digest`] with the states of all members in a range of ids that differs.
    Summary {
        /// The sequence number of the digest.
        sequence: u32,
        /// How many messages answer the digest.
        parts: u8,
        /// The first id of the range.
        #[serde(with = "postcard::fixint::le")]
        from: Id,
        /// The last id of the range; the range is empty if it is below `from`.
        #[serde(with = "postcard::fixint::le")]
        to: Id,
        /// The sender's members in the range.
        entries: Vec<Entry>,
    },
    /// Carries updates that the receiver lacks.
    Updates {
        /// The updates.
        updates: Vec<Update>,
        /// Members whose state and description the sender requests.
        wanted: Vec<Id>,
    },
}
