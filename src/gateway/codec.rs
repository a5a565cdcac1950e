use crate::cookie::{Destination, Flow, Packet};

/// Why a datagram is no packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The datagram ends within the head.
    #[error("datagram of {length} bytes ends within the head")]
    Short {
        /// The length in bytes.
        length: usize,
    },
    /// The head states another length of the data.
    #[error("head states {stated} bytes of data, but {found} follow")]
    Length {
        /// The stated length in bytes.
        stated: u16,
        /// The length in bytes.
        found: usize,
    },
}

/// The format of packets.
pub trait Codec: Send + 'static {
    /// Decodes a caller's packet.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] if the datagram is no packet.
    fn decode(&self, datagram: &[u8]) -> Result<Packet, Malformed>;

    /// Appends the datagram for a target that carries the packet in `datagram`.
    fn deliver(&self, datagram: &[u8], destination: &Destination, buffer: &mut Vec<u8>);

    /// Appends the datagram that resets `flow` at its caller, who expects the sequence number
    /// `expected` next.
    fn reset(&self, flow: &Flow, expected: u32, buffer: &mut Vec<u8>);
}
