//! Packets and store items of the platform are decoded completely or refused with a typed error,
//! and no bytes cause a panic.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use banyanwharf::{
    adapter::{
        Error, HEADER_BYTES, Item, PacketCodec, Store, TARGET_NUMBER_BYTES, decode_config,
        decode_entry,
    },
    cookie::{Availability, Destination, Flow, Kind, Packet},
    gateway::{Codec as _, Consistency, DecodeError, Source as _},
    platform::Timeouts,
};
use banyanwharf_testkit::{Proxy, Replica};
use base64::{Engine as _, prelude::BASE64_STANDARD};
use bolero::check;
use serde_json::{Value, json};

/// A handwritten opening packet: sequence number 0x01020304, second retransmission, from
/// 192.0.2.7:4660 to 198.51.100.9:443.
const OPENING_PACKET: [u8; HEADER_BYTES] = [
    4, 3, 2, 1, 2, 0, 0, 0, 9, 9, 9, 9, 0, 0, 0, 0, 64, 9, 100, 51, 198, 7, 2, 0, 192, 0x34, 0x12,
    0xbb, 1, 0, 0,
];

fn item(key: &str, content: &str) -> Item {
    let value = BASE64_STANDARD.encode(content);
    Item { key: key.to_owned(), value, rev: 7, created: 5, deleted: false }
}

fn entry() -> Value {
    json!({
        "service": "web", "address": "10.0.0.9:8080", "zone": "zone-a", "version": "v1",
        "slots": 4, "state": "ready", "warmupLeftMs": 250, "seqNo": 4, "born": 99,
    })
}

fn decode(entry: &Value) -> Result<banyanwharf::cookie::Target, Error> {
    decode_entry(&item("servers/i-00ff", &entry.to_string()))
}

/// Guards against fields that are read from a wrong offset.
#[test]
fn opening_packet_is_decoded() {
    let packet = PacketCodec.decode(&OPENING_PACKET).expect("a packet");
    let flow = Flow {
        caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 7), 4660),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 9), 443),
    };
    let kind = Kind::Open { attempt: 2 };
    let (sequence, acknowledged) = (0x0102_0304, 2);
    assert_eq!(packet, Packet { flow, kind, sequence, acknowledged, cookie: 0, length: 0 });
}

/// Guards against packets that are changed in another field than the token.
#[test]
fn delivery_changes_only_the_token() {
    let destination = Destination {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        number: 0x0102_0304_0506_0708,
        cookie: 0xaabb_ccdd,
    };
    let mut buffer = Vec::new();
    PacketCodec.encode_delivery(&OPENING_PACKET, &destination, &mut buffer);
    assert_eq!(buffer[..TARGET_NUMBER_BYTES], [1, 2, 3, 4, 5, 6, 7, 8]);
    let mut expected = OPENING_PACKET;
    expected[12..16].copy_from_slice(&[0xdd, 0xcc, 0xbb, 0xaa]);
    assert_eq!(buffer[TARGET_NUMBER_BYTES..], expected);
}

/// Guards against resets that a caller does not accept.
#[test]
fn reset_goes_from_service_to_caller() {
    let packet = PacketCodec.decode(&OPENING_PACKET).expect("a packet");
    let mut buffer = Vec::new();
    PacketCodec.encode_reset(&packet.flow, 0x0a0b_0c0d, &mut buffer);
    assert_eq!(buffer.len(), HEADER_BYTES);
    assert_eq!(buffer[..4], [0x0d, 0x0c, 0x0b, 0x0a]);
    assert_eq!(buffer[8..12], [0; 4], "a reset of the daemon has no checksum");
    assert_eq!(buffer[16], 4);
    let reset = PacketCodec.decode(&buffer).expect("a packet");
    assert_eq!((reset.flow.caller, reset.flow.service), (packet.flow.service, packet.flow.caller));
}

/// Guards against datagrams that are truncated or padded.
#[test]
fn malformed_datagrams_are_refused() {
    assert_eq!(
        PacketCodec.decode(&OPENING_PACKET[..30]),
        Err(DecodeError::TruncatedHeader { length: 30 })
    );
    let mut padded = OPENING_PACKET.to_vec();
    padded.push(0);
    assert_eq!(
        PacketCodec.decode(&padded),
        Err(DecodeError::LengthMismatch { stated: 0, found: 1 })
    );
}

/// Guards against datagrams of a caller that crash the daemon, and against decoded packets that are
/// delivered in another form.
#[test]
fn no_datagram_panics() {
    check!().for_each(|bytes: &[u8]| {
        let Ok(packet) = PacketCodec.decode(bytes) else {
            return;
        };
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
        let destination = Destination { address, number: 1, cookie: packet.cookie };
        let mut buffer = Vec::new();
        PacketCodec.encode_delivery(bytes, &destination, &mut buffer);
        assert_eq!(&buffer[TARGET_NUMBER_BYTES..], bytes);
    });
}

/// Guards against items of other writers that crash the daemon.
#[test]
fn no_item_panics() {
    check!().for_each(|bytes: &[u8]| {
        let content = String::from_utf8_lossy(bytes);
        let _ = decode_entry(&item("servers/i-1", &content));
        let _ = decode_entry(&item(&content, "{}"));
        let _ = decode_config(&item("op/config", &content));
        let value = content.into_owned();
        let _ = decode_entry(&Item { key: "servers/i-1".to_owned(), value, ..Item::default() });
    });
}

#[test]
fn entry_is_decoded() {
    let target = decode(&entry()).expect("a target");
    assert_eq!((target.number, target.born, target.revision), (0xff, 99, 7));
    assert_eq!(target.cold_for.as_millis(), 250);
    assert_eq!(target.availability, Availability::Ready);
    let mut without_born = entry();
    without_born.as_object_mut().expect("an object").remove("born");
    assert_eq!(
        decode(&without_born).expect("a target").born,
        5,
        "the creation revision is used without a start time"
    );
}

/// Guards against new flows to store entries that do not describe a target.
#[test]
fn foreign_entries_are_refused() {
    for field in ["service", "address", "zone", "version", "slots", "state", "seqNo"] {
        let mut foreign = entry();
        foreign.as_object_mut().expect("an object").remove(field);
        assert!(matches!(decode(&foreign), Err(Error::Json(_))), "without {field}");
        foreign[field] = json!([1]);
        assert!(decode(&foreign).is_err(), "{field} of another type");
    }
    for (field, value) in [
        ("state", json!("sleeping")),
        ("address", json!("10.0.0.9")),
        ("warmupLeftMs", json!(-5)),
        ("slots", json!(-1)),
        ("born", json!("yesterday")),
    ] {
        let mut foreign = entry();
        foreign[field] = value;
        assert!(decode(&foreign).is_err(), "{field}");
    }
    let key = decode_entry(&item("servers/somebody", &entry().to_string()));
    assert!(matches!(key, Err(Error::TargetId { .. })));
}

/// Guards against a configuration of which only a part comes into force.
#[test]
fn invalid_configurations_are_refused() {
    let valid = json!({
        "version": 4,
        "routes": [
            { "name": "a", "host": "198.51.100.9", "prefix": "/443/", "service": "web" },
            { "name": "b", "host": "198.51.100.9", "prefix": "/80/",
              "split": [{ "service": "web", "weight": 90 }, { "service": "files", "weight": 10 }] },
        ],
        "services": [{ "name": "web", "warmupS": 2.0, "warmupPerS": 8.0 }],
        "limits": { "idleTimeoutMs": 15000 },
    });
    let decode = |value: &Value| decode_config(&item("op/config", &value.to_string()));
    let config = decode(&valid).expect("a configuration");
    assert_eq!((config.version, config.revision, config.routes.len()), (4, 7, 2));
    assert_eq!(config.services["web"].cold_rate, 8.0);
    for (pointer, value) in [
        ("/routes/0/host", json!("nowhere")),
        ("/routes/0/prefix", json!("443")),
        ("/routes/0/service", json!(null)),
        ("/routes/1/split/0/weight", json!(-1)),
        ("/services/0/warmupS", json!(-1)),
        ("/version", json!("four")),
    ] {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(pointer).expect("a field") = value;
        assert!(decode(&invalid).is_err(), "{pointer}");
    }
}

/// Guards against a list of targets that counts as newer than one of its pages: targets that are
/// missing in the older page then count as ended, and their open flows are reset.
#[tokio::test]
async fn list_of_targets_is_as_old_as_its_oldest_page() {
    let server = banyanwharf_testkit::Store::start().expect("the store starts");
    for number in 0..70 {
        server.put(&format!("servers/i-{number:04x}"), entry().to_string().as_bytes());
    }
    let client = Store::new(server.url().parse().expect("a URL"), Timeouts::gateway());
    for (revisions, lowest) in [([70, 60], 60), ([55, 70], 55), ([70, 70], 70)] {
        server.set_replicas(&revisions.map(Replica::At));
        let read = client.read_targets(Consistency::Stale).await.expect("the store responds");
        assert_eq!(read.value.revision, lowest, "pages at {revisions:?}");
        assert_eq!(read.value.targets.len() as u64, revisions[1].max(50), "pages at {revisions:?}");
    }
}

/// Guards against a call that waits for its timeout because it uses a connection which has been idle
/// and has stopped carrying data.
#[tokio::test]
async fn idle_connection_is_not_used_again() {
    let server = banyanwharf_testkit::Store::start().expect("the store starts");
    let path = Proxy::start(server.address()).expect("the proxy starts");
    let url = format!("http://{}", path.address()).parse().expect("a URL");
    let client = Store::new(url, Timeouts::gateway());
    client.read_operator_state().await.expect("the store responds");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    path.stall_open_connections();
    client.read_operator_state().await.expect("the store responds on a new connection");
}
