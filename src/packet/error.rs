/// Why a packet was rejected by [`parse`](super::parse).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Error {
    /// The packet is shorter than its headers or its length fields say.
    #[error("packet of {length} bytes is truncated")]
    Truncated {
        /// The number of bytes received.
        length: usize,
    },
    /// The packet is longer than the length in its IP header.
    #[error("packet of {length} bytes exceeds its IP length of {expected} bytes")]
    Long {
        /// The number of bytes received.
        length: usize,
        /// The length in the IP header in bytes.
        expected: usize,
    },
    /// A length field of the transport header contradicts the IP length.
    #[error("transport length of {found} bytes contradicts {expected} bytes of IP payload")]
    Length {
        /// The length in the transport header in bytes.
        found: usize,
        /// The length of the IP payload in bytes.
        expected: usize,
    },
    /// The packet is a fragment.
    #[error("packet is a fragment")]
    Fragment,
    /// The IP version is neither 4 nor 6.
    #[error("IP version {0} is not supported")]
    Version(u8),
    /// The transport protocol is neither TCP nor UDP.
    #[error("IP protocol {0} is not supported")]
    Protocol(u8),
    /// A header field has an invalid value.
    #[error("packet has an invalid header")]
    Header,
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
