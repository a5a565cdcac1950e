use serde::{Deserialize, Serialize};

use crate::ticket::{Digest, Number, ObjectId, Range, Summary};

/// The largest encoded message in bytes. With the 27 bytes of a frame and the IP and UDP
/// headers it stays below 1,280 bytes, the least MTU of IPv6.
pub const MAX_MESSAGE_BYTES: usize = 1_170;

/// The content bytes of a [`Part`]; the rest of a message needs at most 40 bytes.
pub(super) const PART_BYTES: usize = 1_100;

/// A piece of state that one member can ask another for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Blob {
    /// The list of the objects that a ticket changed.
    Ticket(Number),
    /// The version in force of an object.
    Newest(ObjectId),
    /// All kept versions of an object.
    Object(ObjectId),
}

/// A request for a blob.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BlobRequest {
    /// The blob.
    pub blob: Blob,
    /// The indices of the missing parts; all parts if empty.
    pub parts: Vec<u16>,
}

/// A part of an encoded blob. Most blobs have one part; large services have many.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Part {
    /// The blob.
    pub blob: Blob,
    /// The hash of the whole encoded blob, so that parts of two states are not mixed.
    pub hash: u32,
    /// The index of the part.
    pub index: u16,
    /// The number of parts.
    pub count: u16,
    /// The bytes of the part.
    pub bytes: Vec<u8>,
}

/// A message of the dissemination of tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Announces ticket numbers that are in force at the sender.
    Announce(Vec<Number>),
    /// Asks for blobs.
    Request(Vec<BlobRequest>),
    /// Sends a part of a blob.
    Part(Part),
    /// Starts a comparison of the states.
    Digest(Summary),
    /// Answers a digest that differs: the hash of each bucket.
    Buckets(Vec<u32>),
    /// Answers bucket hashes that differ: the objects with ids from `from` to `to`.
    Listing {
        /// The first id that the listing covers.
        from: ObjectId,
        /// The last id that the listing covers.
        to: ObjectId,
        /// The objects that the sender has.
        digests: Vec<Digest>,
    },
    /// Sends a part of the history.
    History {
        /// The sender's state; the numbers in force are valid for members with the same items.
        summary: Summary,
        /// Numbers in force.
        applied: Vec<Range>,
        /// Numbers refused.
        refused: Vec<Range>,
        /// Whether the message answers another one of its kind.
        reply: bool,
    },
    /// Asks for the receiver's state after a pause.
    Confirm {
        /// Matches the answer.
        sequence: u32,
        /// The sender's state.
        summary: Summary,
    },
    /// Answers [`Message::Confirm`].
    Confirmed {
        /// The sequence number of the question.
        sequence: u32,
        /// The sender's state.
        summary: Summary,
    },
}
