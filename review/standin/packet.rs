use std::net::Ipv4Addr;

pub const SYN: u8 = 64;
pub const FIN: u8 = 16;
pub const ACK: u8 = 8;
pub const RST: u8 = 4;

const HEADER_BYTES: usize = 31;

/// A packet of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    /// Clients and backends write `OWN_SUM`; a reset of the system has 0.
    pub sum: u32,
    pub echo: u32,
    pub flags: u8,
    pub dst: (Ipv4Addr, u16),
    pub src: (Ipv4Addr, u16),
    pub data: Vec<u8>,
}

pub const OWN_SUM: u32 = 0x5eed_0001;

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        for field in [self.seq, self.ack, self.sum, self.echo] {
            bytes.extend(field.to_le_bytes());
        }
        bytes.push(self.flags);
        bytes.extend(self.dst.0.to_bits().to_le_bytes());
        bytes.extend(self.src.0.to_bits().to_le_bytes());
        for field in [self.src.1, self.dst.1, self.data.len() as u16] {
            bytes.extend(field.to_le_bytes());
        }
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let u32_at = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let u16_at = |at: usize| Some(u16::from_le_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let packet = Packet {
            seq: u32_at(0)?,
            ack: u32_at(4)?,
            sum: u32_at(8)?,
            echo: u32_at(12)?,
            flags: *bytes.get(16)?,
            dst: (Ipv4Addr::from_bits(u32_at(17)?), u16_at(27)?),
            src: (Ipv4Addr::from_bits(u32_at(21)?), u16_at(25)?),
            data: bytes.get(HEADER_BYTES..)?.to_vec(),
        };
        (usize::from(u16_at(29)?) == packet.data.len()).then_some(packet)
    }
}
