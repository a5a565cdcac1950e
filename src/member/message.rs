use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::member::{Id, Incarnation, Info, Status};

/// The state of one member (its status at an incarnation), piggybacked on the messages of the
/// failure detector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Update {
    /// The member that the update is about.
    // A fixed-width integer takes 8 bytes; ids are hashes, for which a varint takes 10.
    #[serde(with = "postcard::fixint::le")]
    pub id: Id,
    /// The incarnation of the member at which `status` holds.
    pub incarnation: Incarnation,
    /// The member's status.
    pub status: Status,
    /// The checksum of the member's description.
    #[serde(rename = "check")]
    #[serde(with = "postcard::fixint::le")]
    pub checksum: u16,
    /// The member's description. It is sent while other members may not know it yet, and on
    /// request.
    pub info: Option<Arc<Info>>,
}

/// The state of one member in a [`Message::Summary`], without its description.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// The member.
    #[serde(with = "postcard::fixint::le")]
    pub id: Id,
    /// The highest incarnation of the member that the sender has received.
    pub incarnation: Incarnation,
    /// The member's status.
    pub status: Status,
    /// The checksum of the member's description.
    #[serde(rename = "check")]
    #[serde(with = "postcard::fixint::le")]
    pub checksum: u16,
}

/// A message of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks the receiver for a [`Message::Ack`].
    Ping {
        /// The number that the acknowledgement repeats.
        sequence: u32,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
    /// Acknowledges a ping.
    Ack {
        /// The sequence number of the ping.
        sequence: u32,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
    /// Requests an indirect ping: the receiver pings `target` and forwards the acknowledgement.
    PingRequest {
        /// The number that the forwarded acknowledgement repeats.
        sequence: u32,
        /// The member to ping.
        #[serde(with = "postcard::fixint::le")]
        target: Id,
        /// The piggybacked updates.
        updates: Vec<Update>,
    },
    /// Starts an anti-entropy exchange: the receiver answers with a [`Message::Summary`] for each
    /// part in which its view differs.
    Digest {
        /// The number that the summaries repeat.
        sequence: u32,
        /// Whether the sender was paused and needs all differences at once. The receiver then
        /// answers with more summaries, and without regard to its rate limit.
        urgent: bool,
        /// The hashes of the sender's members, one for each bucket. A member belongs to a bucket
        /// by the high bits of its id.
        buckets: Vec<[u8; 4]>,
    },
    /// Answers a [`Message::Digest`] with the states of all members in one range of ids whose
    /// hashes differ.
    Summary {
        /// The sequence number of the digest.
        sequence: u32,
        /// The number of summaries that answer the digest.
        parts: u8,
        /// The first id of the range.
        #[serde(with = "postcard::fixint::le")]
        from: Id,
        /// The last id of the range. If it is below `from`, the range is empty.
        #[serde(with = "postcard::fixint::le")]
        to: Id,
        /// The states of the sender's members in the range.
        entries: Vec<Entry>,
    },
    /// Sends updates that the receiver lacks, and requests others.
    Updates {
        /// The updates.
        updates: Vec<Update>,
        /// The ids of the members whose state and description the sender requests.
        wanted: Vec<Id>,
    },
}
