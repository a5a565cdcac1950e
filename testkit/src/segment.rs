use std::net::{IpAddr, SocketAddr};

use etherparse::{IpSlice, PacketBuilder, SlicedPacket, TransportSlice};

/// A TCP segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The source address.
    pub source: SocketAddr,
    /// The destination address.
    pub destination: SocketAddr,
    /// The sequence number.
    pub sequence: u32,
    /// The acknowledgment number, if the ACK flag is set.
    pub acknowledgment: Option<u32>,
    /// The SYN flag.
    pub syn: bool,
    /// The FIN flag.
    pub fin: bool,
    /// The RST flag.
    pub rst: bool,
    /// The payload.
    pub payload: Vec<u8>,
}

impl Segment {
    /// Creates a segment without flags.
    pub fn new(source: SocketAddr, destination: SocketAddr, sequence: u32) -> Self {
        Self {
            source,
            destination,
            sequence,
            acknowledgment: None,
            syn: false,
            fin: false,
            rst: false,
            payload: Vec::new(),
        }
    }

    /// Parses an IP packet. Returns `None` if it does not hold a complete TCP segment.
    pub fn parse(packet: &[u8]) -> Option<Self> {
        let sliced = SlicedPacket::from_ip(packet).ok()?;
        let (source, destination) = addresses(packet)?;
        let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
            return None;
        };
        Some(Self {
            source: SocketAddr::new(source, tcp.source_port()),
            destination: SocketAddr::new(destination, tcp.destination_port()),
            sequence: tcp.sequence_number(),
            acknowledgment: tcp.ack().then(|| tcp.acknowledgment_number()),
            syn: tcp.syn(),
            fin: tcp.fin(),
            rst: tcp.rst(),
            payload: tcp.payload().to_vec(),
        })
    }

    /// Builds the IP packet.
    ///
    /// # Panics
    ///
    /// Panics if source and destination are of different IP versions, or the payload exceeds
    /// an IP packet.
    pub fn build(&self) -> Vec<u8> {
        let ip = match (self.source.ip(), self.destination.ip()) {
            (IpAddr::V4(from), IpAddr::V4(to)) => {
                PacketBuilder::ipv4(from.octets(), to.octets(), 64)
            }
            (IpAddr::V6(from), IpAddr::V6(to)) => {
                PacketBuilder::ipv6(from.octets(), to.octets(), 64)
            }
            (from, to) => panic!("no packet from {from} to {to}: IP versions differ"),
        };
        let mut tcp = ip.tcp(self.source.port(), self.destination.port(), self.sequence, 65_000);
        if let Some(number) = self.acknowledgment {
            tcp = tcp.ack(number);
        }
        if self.syn {
            tcp = tcp.syn();
        }
        if self.fin {
            tcp = tcp.fin();
        }
        if self.rst {
            tcp = tcp.rst();
        }
        let mut packet = Vec::with_capacity(tcp.size(self.payload.len()));
        tcp.write_to_vec(&mut packet, &self.payload).expect("payload fits into an IP packet");
        packet
    }

    /// Returns the length of the segment in sequence numbers; SYN and FIN count as one each.
    pub fn length(&self) -> u32 {
        self.payload.len() as u32 + u32::from(self.syn) + u32::from(self.fin)
    }

    /// Returns the RST segment that rejects this segment.
    pub fn reset(&self) -> Self {
        let mut reset = Self::new(self.destination, self.source, self.acknowledgment.unwrap_or(0));
        reset.rst = true;
        if self.acknowledgment.is_none() {
            reset.acknowledgment = Some(self.sequence.wrapping_add(self.length()));
        }
        reset
    }
}

/// Returns the source and the destination address of an IP packet.
pub(crate) fn addresses(packet: &[u8]) -> Option<(IpAddr, IpAddr)> {
    match IpSlice::from_slice(packet).ok()? {
        IpSlice::Ipv4(ip) => {
            Some((ip.header().source_addr().into(), ip.header().destination_addr().into()))
        }
        IpSlice::Ipv6(ip) => {
            Some((ip.header().source_addr().into(), ip.header().destination_addr().into()))
        }
    }
}
