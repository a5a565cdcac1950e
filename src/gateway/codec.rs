use crate::cookie::{Destination, Flow, Packet};

/// An error in the decoding of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is shorter than the header.
    #[error("datagram of {length} bytes is shorter than the header")]
    TruncatedHeader {
        /// The length of the datagram in bytes.
        length: usize,
    },
    /// The length in the header differs from the length of the data, or the data is too long.
    #[error("header states {stated} bytes of data, but {found} bytes follow")]
    LengthMismatch {
        /// The length in the header, in bytes.
        stated: u16,
        /// The length of the data in bytes.
        found: usize,
    },
}

/// The packet format of a platform.
pub trait Codec: Send + 'static {
    /// Decodes a packet from a caller.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the datagram is not a valid packet.
    fn decode(&self, datagram: &[u8]) -> Result<Packet, DecodeError>;

    /// Appends to `buffer` the datagram that carries the packet in `datagram` to a target.
    fn encode_delivery(&self, datagram: &[u8], destination: &Destination, buffer: &mut Vec<u8>);

    /// Appends to `buffer` the datagram that resets `flow` at its caller, which expects `expected`
    /// as the next sequence number.
    fn encode_reset(&self, flow: &Flow, expected: u32, buffer: &mut Vec<u8>);
}
