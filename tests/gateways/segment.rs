//! A packet as callers and targets send it. This codec is independent of the one under test.

use std::net::Ipv4Addr;

pub(crate) const SYN: u8 = 64;
pub(crate) const FIN: u8 = 16;
pub(crate) const ACK: u8 = 8;
pub(crate) const RST: u8 = 4;

const HEADER_BYTES: usize = 31;

/// The state of a flow at the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Endpoint {
    pub(crate) address: (Ipv4Addr, u16),
    pub(crate) service: (Ipv4Addr, u16),
    pub(crate) token: u32,
    pub(crate) sequence: u32,
    pub(crate) acknowledged: u32,
}

impl Endpoint {
    /// Returns the next packet of the flow.
    pub(crate) fn segment(&self, flags: u8, data: Vec<u8>) -> Segment {
        Segment {
            sequence: self.sequence,
            acknowledged: self.acknowledged,
            token: self.token,
            flags,
            destination: self.service,
            source: self.address,
            data,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) sequence: u32,
    pub(crate) acknowledged: u32,
    pub(crate) token: u32,
    pub(crate) flags: u8,
    pub(crate) destination: (Ipv4Addr, u16),
    pub(crate) source: (Ipv4Addr, u16),
    pub(crate) data: Vec<u8>,
}

impl Segment {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        for field in [self.sequence, self.acknowledged, 0x5eed, self.token] {
            bytes.extend(field.to_le_bytes());
        }
        bytes.push(self.flags);
        bytes.extend(self.destination.0.to_bits().to_le_bytes());
        bytes.extend(self.source.0.to_bits().to_le_bytes());
        for field in [self.source.1, self.destination.1, self.data.len() as u16] {
            bytes.extend(field.to_le_bytes());
        }
        bytes.extend(&self.data);
        bytes
    }

    pub(crate) fn decode(bytes: &[u8]) -> Segment {
        let u32_at = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("4 bytes"));
        let u16_at = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().expect("2 bytes"));
        let data = bytes[HEADER_BYTES..].to_vec();
        assert_eq!(usize::from(u16_at(29)), data.len());
        Segment {
            sequence: u32_at(0),
            acknowledged: u32_at(4),
            token: u32_at(12),
            flags: bytes[16],
            destination: (Ipv4Addr::from_bits(u32_at(17)), u16_at(27)),
            source: (Ipv4Addr::from_bits(u32_at(21)), u16_at(25)),
            data,
        }
    }
}
