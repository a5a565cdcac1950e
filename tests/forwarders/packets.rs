use std::net::{IpAddr, SocketAddr};

use banyanwharf::{flow::Protocol, packet::Flags};
use etherparse::PacketBuilder;

/// Builds an IP packet whose payload is empty or one number.
pub fn build(
    protocol: Protocol,
    (source, destination): (SocketAddr, SocketAddr),
    flags: Flags,
    (sequence, acknowledgement): (u32, u32),
    payload: Option<u32>,
) -> Vec<u8> {
    let ip = match (source.ip(), destination.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 64),
        (IpAddr::V6(from), IpAddr::V6(to)) => PacketBuilder::ipv6(from.octets(), to.octets(), 64),
        _ => panic!("the addresses have different IP versions"),
    };
    let payload = payload.map_or(Vec::new(), |number| number.to_be_bytes().to_vec());
    let mut bytes = Vec::new();
    match protocol {
        Protocol::Udp => ip.udp(source.port(), destination.port()).write(&mut bytes, &payload),
        Protocol::Tcp => {
            let mut tcp = ip.tcp(source.port(), destination.port(), sequence, 1024);
            if flags.syn {
                tcp = tcp.syn();
            }
            if flags.fin {
                tcp = tcp.fin();
            }
            if flags.rst {
                tcp = tcp.rst();
            }
            if flags.ack {
                tcp = tcp.ack(acknowledgement);
            }
            tcp.write(&mut bytes, &payload)
        }
    }
    .expect("a write to a vector succeeds");
    bytes
}

/// Returns the number in the payload of a packet from [`build`].
pub fn number(bytes: &[u8]) -> u32 {
    let tail = bytes.last_chunk::<4>().expect("the packet has a payload");
    u32::from_be_bytes(*tail)
}

pub const SYN: Flags = Flags { syn: true, ack: false, fin: false, rst: false };
pub const SYN_ACK: Flags = Flags { syn: true, ack: true, fin: false, rst: false };
pub const ACK: Flags = Flags { syn: false, ack: true, fin: false, rst: false };
pub const FIN: Flags = Flags { syn: false, ack: true, fin: true, rst: false };
pub const RST: Flags = Flags { syn: false, ack: true, fin: false, rst: true };
