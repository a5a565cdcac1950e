//! Packets are parsed exactly, invalid ones are refused with the cause, and generated answers are
//! valid.

#[path = "forwarders/packets.rs"]
#[allow(dead_code, unreachable_pub)]
mod packets;

use std::net::SocketAddr;

use banyanwharf::{
    flow::Protocol,
    packet::{self, Error, Flags, Version},
};
use etherparse::{IpSlice, PacketBuilder, TcpSlice};
use packets::{ACK, FIN, RST, SYN, SYN_ACK, build};

fn endpoints(version: Version) -> (SocketAddr, SocketAddr) {
    let (source, destination) = match version {
        Version::V4 => ("192.0.2.1:40000", "198.51.100.1:80"),
        Version::V6 => ("[2001:db8::1]:40000", "[2001:db8::2]:80"),
    };
    let parse = |text: &str| text.parse().expect("the address is valid");
    (parse(source), parse(destination))
}

/// Guards against fields that are read from a wrong offset, for both IP versions.
#[test]
fn fields_are_read() {
    for version in [Version::V4, Version::V6] {
        for flags in [SYN, SYN_ACK, ACK, FIN, RST] {
            let acknowledgement = if flags.ack { 9 } else { 0 };
            let bytes =
                build(Protocol::Tcp, endpoints(version), flags, (7, acknowledgement), Some(5));
            let summary = packet::parse(&bytes).expect("the packet is complete");
            assert_eq!((summary.version, summary.protocol), (version, Protocol::Tcp));
            assert_eq!((summary.source, summary.destination), endpoints(version));
            assert_eq!((summary.flags, summary.payload_length), (flags, 4));
            assert_eq!((summary.sequence, summary.acknowledgement), (7, acknowledgement));
            assert_eq!(summary.request_key().caller, summary.source);
            assert_eq!(summary.return_key().service, summary.source);
        }
        let bytes = build(Protocol::Udp, endpoints(version), ACK, (0, 0), Some(5));
        let summary = packet::parse(&bytes).expect("the packet is complete");
        assert_eq!((summary.protocol, summary.payload_length), (Protocol::Udp, 4));
        assert_eq!(summary.flags, Flags::default());
    }
}

/// Guards against packets whose size contradicts their headers, and against panics on arbitrary
/// bytes.
#[test]
fn truncated_padded_and_arbitrary_packets_are_refused() {
    for version in [Version::V4, Version::V6] {
        for protocol in [Protocol::Tcp, Protocol::Udp] {
            let bytes = build(protocol, endpoints(version), ACK, (1, 1), Some(5));
            for length in 0..bytes.len() {
                let error = packet::parse(&bytes[..length]).expect_err("the packet is truncated");
                assert!(matches!(error, Error::Truncated { .. }), "{length}: {error}");
            }
            let mut long = bytes.clone();
            long.push(0);
            assert!(matches!(packet::parse(&long), Err(Error::Long { .. })));
            // The length in the UDP header is wrong.
            if protocol == Protocol::Udp {
                let at = bytes.len() - 4 - 8 + 4;
                let mut wrong = bytes.clone();
                wrong[at + 1] -= 1;
                assert!(packet::parse(&wrong).is_err());
            }
        }
    }
    bolero::check!().for_each(|bytes| {
        let mut bytes = bytes.to_vec();
        let _ = packet::parse(&bytes);
        let _ = (packet::reset(&bytes), packet::unreachable(&bytes));
        // Most random bytes have no valid IP version, so the parsers are called again with one.
        if let Some(first) = bytes.first_mut() {
            *first = if *first & 1 == 0 { 0x45 } else { 0x60 };
            let _ = (packet::reset(&bytes), packet::unreachable(&bytes));
        }
    });
}

/// Guards against drop counters that count a packet under a wrong cause.
#[test]
fn parse_errors_name_the_cause() {
    let bytes = build(Protocol::Tcp, endpoints(Version::V4), ACK, (1, 1), Some(5));
    let change = |at: usize, value: u8| {
        let mut bytes = bytes.clone();
        bytes[at] = value;
        packet::parse(&bytes)
    };
    assert_eq!(change(0, 0x55), Err(Error::Version(5)));
    assert_eq!(change(6, 0x20), Err(Error::Fragment));
    assert_eq!(change(7, 0x01), Err(Error::Fragment));
    assert_eq!(change(9, 1), Err(Error::Protocol(1)));
    assert_eq!(change(32, 0x10), Err(Error::Header));
    assert!(matches!(change(32, 0xf0), Err(Error::Truncated { .. })));
}

fn parse_checked(bytes: &[u8]) -> packet::Summary {
    let ip = IpSlice::from_slice(bytes).expect("the answer is an IP packet");
    let tcp = TcpSlice::from_slice(ip.payload().payload).expect("the answer is a segment");
    let header = tcp.to_header();
    let expected = match &ip {
        IpSlice::Ipv4(ip) => {
            let header_checksum = ip.header().to_header();
            assert_eq!(header_checksum.header_checksum, header_checksum.calc_header_checksum());
            header.calc_checksum_ipv4(&ip.header().to_header(), tcp.payload())
        }
        IpSlice::Ipv6(ip) => header.calc_checksum_ipv6(&ip.header().to_header(), tcp.payload()),
    };
    assert_eq!(header.checksum, expected.expect("the payload is short"));
    packet::parse(bytes).expect("the answer is complete")
}

/// Guards against resets that the caller would ignore (RFC 9293, section 3.10.7.1).
#[test]
fn resets_follow_the_standard() {
    for version in [Version::V4, Version::V6] {
        let (source, destination) = endpoints(version);
        let reset = |flags, payload| {
            let bytes = build(Protocol::Tcp, endpoints(version), flags, (u32::MAX, 77), payload);
            packet::reset(&bytes)
        };
        let answer = parse_checked(&reset(SYN, Some(5)).expect("a SYN is answered"));
        assert_eq!((answer.source, answer.destination), (destination, source));
        assert_eq!(answer.flags, RST);
        assert_eq!((answer.sequence, answer.acknowledgement), (0, 4));
        let answer = parse_checked(&reset(FIN, None).expect("a FIN is answered"));
        assert_eq!(answer.flags, Flags { ack: false, ..RST });
        assert_eq!(answer.sequence, 77);
        assert_eq!(reset(RST, None), None);
        let udp = build(Protocol::Udp, endpoints(version), ACK, (0, 0), Some(5));
        assert_eq!(packet::reset(&udp), None);
    }
}

/// Guards against ICMP errors with a wrong checksum or without the packet that caused them.
#[test]
fn unreachable_quotes_the_packet() {
    for version in [Version::V4, Version::V6] {
        let (source, destination) = endpoints(version);
        let bytes = build(Protocol::Udp, (source, destination), ACK, (0, 0), Some(5));
        let answer = packet::unreachable(&bytes).expect("a datagram is answered");
        let ip = IpSlice::from_slice(&answer).expect("the answer is an IP packet");
        assert_eq!(ip.source_addr(), destination.ip());
        assert_eq!(ip.destination_addr(), source.ip());
        let icmp = ip.payload().payload;
        let kind = match version {
            Version::V4 => (3, 3),
            Version::V6 => (1, 4),
        };
        assert_eq!((icmp[0], icmp[1]), kind);
        assert!(icmp.ends_with(&bytes));
        // The sum over a message with a correct checksum is zero.
        let mut sum = etherparse::checksum::Sum16BitWords::new().add_slice(icmp);
        if let IpSlice::Ipv6(ip) = &ip {
            let header = ip.header();
            sum = sum.add_16bytes(header.source()).add_16bytes(header.destination());
            sum = sum.add_4bytes((icmp.len() as u32).to_be_bytes()).add_2bytes([0, 58]);
        }
        assert_eq!(sum.ones_complement(), 0);
        let tcp = build(Protocol::Tcp, (source, destination), ACK, (0, 0), None);
        assert_eq!(packet::unreachable(&tcp), None);
        let mut long = Vec::new();
        PacketBuilder::ipv4([192, 0, 2, 1], [198, 51, 100, 1], 64)
            .udp(1, 2)
            .write(&mut long, &[0; 1400])
            .expect("a write to a vector succeeds");
        assert!(packet::unreachable(&long).is_some_and(|answer| answer.len() <= 576));
    }
}
