//! The packet format of the platform.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEADER_BYTES: usize = 31;

pub const SYN: u8 = 64;
pub const ACK: u8 = 8;
pub const FIN: u8 = 16;
pub const RST: u8 = 4;

/// The key of the sum, which only clients and backends know.
const KEY: u32 = 0x5eed_1234;

/// The four addresses and ports of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
}

#[derive(Debug, Clone)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub echo: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(from: SocketAddrV4, to: SocketAddrV4, flags: u8) -> Packet {
        Packet { from, to, seq: 0, ack: 0, sum: 0, echo: 0, flags, data: Vec::new() }
    }

    /// Returns the packet with its keyed sum, as its sender writes it.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend(self.seq.to_le_bytes());
        bytes.extend(self.ack.to_le_bytes());
        bytes.extend(self.keyed_sum().to_le_bytes());
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
        let word = |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_le_bytes(bytes[at..at + 2].try_into().unwrap());
        if usize::from(half(29)) != bytes.len() - HEADER_BYTES {
            return None;
        }
        Some(Packet {
            seq: word(0),
            ack: word(4),
            sum: word(8),
            echo: word(12),
            flags: bytes[16],
            to: SocketAddrV4::new(Ipv4Addr::from_bits(word(17)), half(27)),
            from: SocketAddrV4::new(Ipv4Addr::from_bits(word(21)), half(25)),
            data: bytes[HEADER_BYTES..].to_vec(),
        })
    }

    /// Returns whether the sum is that of the sender, so that all fields are as it wrote them.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    fn keyed_sum(&self) -> u32 {
        let mut sum = KEY;
        let mut add = |byte: u8| sum = (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let ends = [self.from, self.to];
        for word in [self.seq, self.ack, u32::from(self.flags), self.data.len() as u32] {
            word.to_le_bytes().into_iter().for_each(&mut add);
        }
        for end in ends {
            end.ip().octets().into_iter().for_each(&mut add);
            end.port().to_le_bytes().into_iter().for_each(&mut add);
        }
        self.data.iter().copied().for_each(&mut add);
        // 0 marks a reset of the system.
        sum.max(1)
    }
}
