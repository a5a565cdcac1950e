use std::net::SocketAddr;

use etherparse::{IpNumber, IpSlice, TcpSlice, UdpSlice, err};

use crate::{
    flow::{Key, Protocol},
    packet::{Error, Result},
};

/// The version of an IP packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Version {
    /// IPv4.
    V4,
    /// IPv6.
    V6,
}

/// The TCP flags that forwarding depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Flags {
    /// The sender opens a connection.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The sender aborts the connection.
    pub rst: bool,
}

/// The header fields of an IP packet that forwarding depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Summary {
    /// The IP version.
    pub version: Version,
    /// The transport protocol.
    pub protocol: Protocol,
    /// The source address and port.
    pub source: SocketAddr,
    /// The destination address and port.
    pub destination: SocketAddr,
    /// The TCP flags; all unset for UDP.
    pub flags: Flags,
    /// The TCP sequence number; 0 for UDP.
    pub sequence: u32,
    /// The TCP acknowledgement number; 0 for UDP.
    pub acknowledgement: u32,
    /// The length of the transport payload in bytes.
    pub payload_length: usize,
}

impl Summary {
    /// Returns the key of the flow, for a packet from a caller to a service.
    pub fn request_key(&self) -> Key {
        Key { protocol: self.protocol, caller: self.source, service: self.destination }
    }

    /// Returns the key of the flow, for a packet from a target to a caller.
    pub fn return_key(&self) -> Key {
        Key { protocol: self.protocol, caller: self.destination, service: self.source }
    }

    /// Returns whether the packet is a SYN without ACK and RST, which requests a connection.
    pub fn is_syn(&self) -> bool {
        self.flags.syn && !self.flags.ack && !self.flags.rst
    }

    /// Returns whether the packet opens or ends a connection, by its SYN, FIN and RST flags.
    pub fn has_syn_fin_or_rst(&self) -> bool {
        self.flags.syn || self.flags.fin || self.flags.rst
    }
}

/// Parses an IP packet that fills `bytes` exactly.
///
/// # Errors
///
/// Returns an error if the packet is truncated, longer than its IP header says, a fragment, of an
/// unsupported IP version or protocol, or has an invalid header or length field.
pub fn parse(bytes: &[u8]) -> Result<Summary> {
    let ip = IpSlice::from_slice(bytes).map_err(|error| ip_error(bytes, error))?;
    let (version, expected) = match &ip {
        IpSlice::Ipv4(ip) => (Version::V4, usize::from(ip.header().total_len())),
        IpSlice::Ipv6(ip) => {
            (Version::V6, etherparse::Ipv6Header::LEN + usize::from(ip.header().payload_length()))
        }
    };
    if bytes.len() > expected {
        return Err(Error::Long { length: bytes.len(), expected });
    }
    if ip.is_fragmenting_payload() {
        return Err(Error::Fragment);
    }
    let transport = transport(ip.payload().payload, ip.payload_ip_number(), bytes.len())?;
    Ok(Summary {
        version,
        protocol: transport.protocol,
        source: SocketAddr::new(ip.source_addr(), transport.source),
        destination: SocketAddr::new(ip.destination_addr(), transport.destination),
        flags: transport.flags,
        sequence: transport.sequence,
        acknowledgement: transport.acknowledgement,
        payload_length: transport.payload_length,
    })
}

struct Transport {
    protocol: Protocol,
    source: u16,
    destination: u16,
    flags: Flags,
    sequence: u32,
    acknowledgement: u32,
    payload_length: usize,
}

fn transport(payload: &[u8], number: IpNumber, length: usize) -> Result<Transport> {
    match number {
        IpNumber::TCP => tcp(payload, length),
        IpNumber::UDP => udp(payload, length),
        IpNumber(other) => Err(Error::Protocol(other)),
    }
}

fn tcp(payload: &[u8], length: usize) -> Result<Transport> {
    let tcp = TcpSlice::from_slice(payload).map_err(|error| match error {
        err::tcp::HeaderSliceError::Len(_) => Error::Truncated { length },
        err::tcp::HeaderSliceError::Content(_) => Error::Header,
    })?;
    Ok(Transport {
        protocol: Protocol::Tcp,
        source: tcp.source_port(),
        destination: tcp.destination_port(),
        flags: Flags { syn: tcp.syn(), ack: tcp.ack(), fin: tcp.fin(), rst: tcp.rst() },
        sequence: tcp.sequence_number(),
        acknowledgement: tcp.acknowledgment_number(),
        payload_length: tcp.payload().len(),
    })
}

fn udp(payload: &[u8], length: usize) -> Result<Transport> {
    let udp = UdpSlice::from_slice(payload).map_err(|_| Error::Truncated { length })?;
    if usize::from(udp.length()) != payload.len() {
        return Err(Error::Length { found: usize::from(udp.length()), expected: payload.len() });
    }
    Ok(Transport {
        protocol: Protocol::Udp,
        source: udp.source_port(),
        destination: udp.destination_port(),
        flags: Flags::default(),
        sequence: 0,
        acknowledgement: 0,
        payload_length: udp.payload().len(),
    })
}

fn ip_error(bytes: &[u8], error: err::ip::SliceError) -> Error {
    match bytes.first() {
        Some(first) if !matches!(first >> 4, 4 | 6) => return Error::Version(first >> 4),
        _ => {}
    }
    match error {
        err::ip::SliceError::Len(_) => Error::Truncated { length: bytes.len() },
        err::ip::SliceError::IpHeaders(_) => Error::Header,
    }
}
