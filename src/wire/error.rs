use crate::wire::KeyNumber;

/// Why a frame could not be decoded or encoded.
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
    /// The frame has another version.
    #[error("frame version {found} is not supported, expected {expected}")]
    Version {
        /// The version found.
        found: u8,
        /// The version of this program.
        expected: u8,
    },
    /// The key that the frame names is not in the key ring.
    #[error("key {0} is not in the key ring")]
    UnknownKey(KeyNumber),
    /// The frame's tag does not match its content.
    #[error("authentication tag does not match under key {0}")]
    Tag(KeyNumber),
    /// The body does not follow the codec.
    #[error("frame body could not be decoded")]
    Codec(#[from] postcard::Error),
    /// The key ring is empty.
    #[error("key ring has no key")]
    NoKey,
    /// The encoded frame does not fit in a datagram.
    #[error("frame of {length} bytes exceeds {maximum} bytes")]
    Long {
        /// The encoded length in bytes.
        length: usize,
        /// The largest length in bytes.
        maximum: usize,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
