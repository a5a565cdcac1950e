use crate::wire::KeyNumber;

/// An error of decoding or encoding a frame, or of setting up a key ring.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The datagram is shorter than the fixed parts of a frame.
    #[error("frame of {length} bytes is shorter than the minimum of {minimum} bytes")]
    Short {
        /// The datagram's length in bytes.
        length: usize,
        /// The length of the fixed parts in bytes.
        minimum: usize,
    },
    /// The version of the frame is not supported.
    #[error("frame version {found} is not supported, expected {expected}")]
    Version {
        /// The version of the frame.
        found: u8,
        /// The version that this program supports.
        expected: u8,
    },
    /// The key that a frame or the caller names is not in the key ring.
    #[error("key {0} is not in the key ring")]
    UnknownKey(KeyNumber),
    /// The authentication tag does not match the content of the frame.
    #[error("authentication tag does not match under key {0}")]
    Tag(KeyNumber),
    /// The body could not be decoded or encoded.
    #[error("frame body could not be encoded or decoded")]
    Codec(#[from] postcard::Error),
    /// The key ring is empty.
    #[error("key ring has no key")]
    NoKey,
    /// The encoded frame does not fit in a datagram.
    #[error("frame of {length} bytes exceeds {maximum} bytes")]
    Long {
        /// The encoded length in bytes.
        length: usize,
        /// The maximum length in bytes.
        maximum: usize,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
