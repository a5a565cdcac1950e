//! The packet format of the platform: a header of 31 bytes, little-endian, and up to 1,200 bytes of data.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER_BYTES: usize = 31;
pub const SYN: u8 = 64;
pub const ACK: u8 = 8;
pub const FIN: u8 = 16;
pub const RST: u8 = 4;
const BOUNCED: u8 = 32;

/// The key of the sum. Clients and backends know it, and the system does not.
const SUM_KEY: u32 = 0x5eed_1234;

#[derive(Debug, Clone)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub echo: u32,
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Packet {
        Packet { seq, ack, sum: 0, echo: 0, flags, from, to, data: Vec::new() }
    }

    pub fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns whether the packet is as its sender wrote it.
    pub fn has_valid_sum(&self) -> bool {
        self.sum == self.expected_sum()
    }

    /// Returns whether the packet is a reset of the system: it has no data and the sum 0.
    pub fn is_reset_of_system(&self) -> bool {
        self.is(RST) && self.sum == 0 && self.data.is_empty()
    }

    fn expected_sum(&self) -> u32 {
        let mut hash = 0x811c_9dc5 ^ SUM_KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                hash = (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
            }
        };
        add(&self.seq.to_le_bytes());
        add(&self.ack.to_le_bytes());
        add(&[self.flags & !BOUNCED]);
        for end in [self.from, self.to] {
            add(&end.ip().octets());
            add(&end.port().to_le_bytes());
        }
        add(&self.data);
        // 0 marks a reset of the system.
        hash.max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend(self.expected_sum().to_le_bytes());
        bytes.extend(self.echo.to_le_bytes());
        bytes.push(self.flags);
        bytes.extend(self.to.ip().to_bits().to_le_bytes());
        bytes.extend(self.from.ip().to_bits().to_le_bytes());
        bytes.extend(self.from.port().to_le_bytes());
        bytes.extend(self.to.port().to_le_bytes());
        bytes.extend((self.data.len() as u16).to_le_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let word = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        let half = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let end = |address, port| SocketAddrV4::new(Ipv4Addr::from_bits(word(address)), half(port));
        let data = bytes[HEADER_BYTES..].to_vec();
        (usize::from(half(29)) == data.len()).then(|| Packet {
            seq: word(0),
            ack: word(4),
            sum: word(8),
            echo: word(12),
            flags: bytes[16],
            from: end(21, 25),
            to: end(17, 27),
            data,
        })
    }
}
