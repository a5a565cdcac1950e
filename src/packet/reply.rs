use std::net::IpAddr;

use etherparse::{
    Icmpv4Type, Icmpv6Type, IpHeaders, PacketBuilder, PacketBuilderStep, icmpv4, icmpv6,
};

use crate::{
    flow::Protocol,
    packet::{Summary, parse},
};

const HOP_LIMIT: u8 = 64;

/// The largest part of the original packet that an ICMP error contains, in bytes. With the headers,
/// the error stays within the 576 bytes that every IPv4 host must accept.
const MAX_QUOTE_BYTES: usize = 528;

/// Builds the reset that answers a TCP segment, as specified in RFC 9293, section 3.10.7.1.
///
/// Returns `None` for a reset, for a UDP packet and for a packet that [`parse`] rejects.
pub fn reset(packet: &[u8]) -> Option<Vec<u8>> {
    let summary = parse(packet).ok()?;
    if summary.protocol != Protocol::Tcp || summary.flags.rst {
        return None;
    }
    let ports = (summary.destination.port(), summary.source.port());
    let answer = reply_builder(&summary)?;
    let answer = if summary.flags.ack {
        let sequence = summary.acknowledgement;
        answer.tcp(ports.0, ports.1, sequence, 0).rst()
    } else {
        let length = summary.payload_length as u32
            + u32::from(summary.flags.syn)
            + u32::from(summary.flags.fin);
        let acknowledgement = summary.sequence.wrapping_add(length);
        answer.tcp(ports.0, ports.1, 0, 0).rst().ack(acknowledgement)
    };
    let mut bytes = Vec::with_capacity(answer.size(0));
    answer.write(&mut bytes, &[]).ok()?;
    Some(bytes)
}

/// Builds the ICMP or ICMPv6 "port unreachable" error that answers a UDP packet.
///
/// Returns `None` for a TCP packet and for a packet that [`parse`] rejects.
pub fn unreachable(packet: &[u8]) -> Option<Vec<u8>> {
    let summary = parse(packet).ok()?;
    if summary.protocol != Protocol::Udp {
        return None;
    }
    let quote = &packet[..packet.len().min(MAX_QUOTE_BYTES)];
    let answer = reply_builder(&summary)?;
    let mut bytes = Vec::new();
    let written = match summary.source.ip() {
        IpAddr::V4(_) => answer
            .icmpv4(Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port))
            .write(&mut bytes, quote),
        IpAddr::V6(_) => answer
            .icmpv6(Icmpv6Type::DestinationUnreachable(icmpv6::DestUnreachableCode::Port))
            .write(&mut bytes, quote),
    };
    written.ok()?;
    Some(bytes)
}

fn reply_builder(summary: &Summary) -> Option<PacketBuilderStep<IpHeaders>> {
    match (summary.destination.ip(), summary.source.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            Some(PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT))
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            Some(PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT))
        }
        _ => None,
    }
}
