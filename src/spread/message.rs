use serde::{Deserialize, Serialize};

use crate::ticket::{Digest, Number, ObjectId, Range, Summary};

/// The maximum size of an encoded message in bytes.
///
/// With the 27 bytes that a frame adds (26 for its header and authentication tag, one for the type
/// of its body) and the IP and UDP headers, a message stays below 1,280 bytes, the minimum MTU of
/// IPv6.
pub const MAX_MESSAGE_BYTES: usize = 1_170;

/// The maximum content bytes of a [`Part`]. The rest of the message needs at most 40 bytes.
pub(super) const PART_BYTES: usize = 1_100;

/// The id of a piece of the ticket state that members request from each other. The piece is encoded
/// and sent in [`Part`]s.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Blob {
    /// The list of the objects that a ticket changed.
    Ticket(Number),
    /// The version of an object that is in force.
    Newest(ObjectId),
    /// All kept versions of an object.
    Object(ObjectId),
}

/// A request for a blob or for some of its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BlobRequest {
    /// The requested blob.
    pub blob: Blob,
    /// The indices of the requested parts; if empty, all parts are requested.
    pub parts: Vec<u16>,
}

/// A part of an encoded piece of the ticket state. Most pieces fit in one part; large services need
/// many.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Part {
    /// The blob that the part belongs to.
    pub blob: Blob,
    /// The hash of the whole encoded blob, which keeps parts of different encodings apart.
    pub hash: u32,
    /// The index of the part.
    pub index: u16,
    /// The number of parts of the blob.
    pub count: u16,
    /// The content of the part.
    pub bytes: Vec<u8>,
}

/// A message for the dissemination of tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Announces ticket numbers that are in force at the sender.
    Announce(Vec<Number>),
    /// Requests blobs.
    Request(Vec<BlobRequest>),
    /// Carries a part of a requested blob.
    Part(Part),
    /// Starts an anti-entropy exchange with a summary of the sender's state.
    Digest(Summary),
    /// Answers a digest of another state with the hash of each bucket of objects.
    Buckets(Vec<u32>),
    /// Answers bucket hashes that differ with the digests of the objects in a range of ids.
    Listing {
        /// The first id that the listing covers.
        from: ObjectId,
        /// The last id that the listing covers.
        to: ObjectId,
        /// The digests of the sender's objects in the range.
        digests: Vec<Digest>,
    },
    /// Sends a part of the history: the numbers of the tickets that were applied or refused.
    History {
        /// A summary of the sender's state. `applied` is valid only for members that have the
        /// same objects.
        summary: Summary,
        /// Ranges of ticket numbers that are in force at the sender.
        applied: Vec<Range>,
        /// Ranges of ticket numbers that the sender has refused.
        refused: Vec<Range>,
        /// Whether the message answers another [`Message::History`].
        reply: bool,
    },
    /// Requests a summary of the receiver's state after the sender was paused.
    Confirm {
        /// The number that the answer repeats.
        sequence: u32,
        /// A summary of the sender's state.
        summary: Summary,
    },
    /// Answers [`Message::Confirm`].
    Confirmed {
        /// The sequence number of the request.
        sequence: u32,
        /// A summary of the sender's state.
        summary: Summary,
    },
}
