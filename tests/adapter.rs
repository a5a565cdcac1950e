//! Packets and store items of the platform are decoded completely or refused with a typed error,
//! and no bytes cause a panic.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    adapter::{
        Error, HEADER_BYTES, Item, PacketCodec, Store, TARGET_NUMBER_BYTES, decode_config,
        decode_entry,
    },
    cookie::{
        Availability, Change, Destination, Directory, EntryChange, Flow, Kind, Listing,
        ListingUpdate, OperatorState, Packet, Position, Revision, Target, Tuning,
    },
    gateway::{Codec as _, Consistency, DecodeError, Source as _},
    platform::{Error as CallError, Timeouts},
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
    Item { key: key.to_owned(), value, rev: 7, created: 5, ..Item::default() }
}

fn entry() -> Value {
    json!({
        "service": "web", "address": "10.0.0.9:8080", "zone": "zone-a", "version": "v1",
        "slots": 4, "state": "ready", "warmupLeftMs": 250, "seqNo": 4, "born": 99,
    })
}

fn configuration() -> Value {
    json!({
        "version": 4,
        "routes": [
            { "name": "a", "host": "198.51.100.9", "prefix": "/443/", "service": "web" },
            { "name": "b", "host": "198.51.100.9", "prefix": "/80/",
              "split": [{ "service": "web", "weight": 90 }, { "service": "files", "weight": 10 }] },
        ],
        "services": [{ "name": "web", "warmupS": 2.0, "warmupPerS": 8.0 }],
        "limits": { "idleTimeoutMs": 15000 },
    })
}

fn decode(entry: &Value) -> Result<Target, Error> {
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

/// Values that another writer may leave in any field, as JSON text.
const ODD_VALUES: &[&str] = &[
    "null",
    "true",
    "{}",
    "[]",
    "\"\"",
    "0",
    "-0.0",
    "-1",
    "0.5",
    "1e22",
    "1e300",
    "1e999",
    "-1e999",
    "5e-324",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999999",
    "\"\\ud800\"",
    "\"\\u0000\"",
    "\"0.0.0.0:0\"",
    "\"255.255.255.255:65535\"",
    "\"10.0.0.9:65536\"",
    "\"10.0.0.9:-1\"",
    "\"draining\"",
];

/// Returns an odd value: one of [`ODD_VALUES`], a number, a text or a deeply nested value.
fn odd_value(kind: u8, number: u64, text: &str) -> String {
    match usize::from(kind) {
        index if index < ODD_VALUES.len() => ODD_VALUES[index].to_owned(),
        index if index % 6 == 0 => number.to_string(),
        index if index % 6 == 1 => format!("{:e}", f64::from_bits(number)),
        index if index % 6 == 2 => json!(text).to_string(),
        index if index % 6 == 3 => "[".repeat(index * 50) + &"]".repeat(index * 50),
        index if index % 6 == 4 => "{\"a\":".repeat(index * 50) + "1" + &"}".repeat(index * 50),
        index => "[".repeat(index * 50),
    }
}

/// Returns the text of `object` with `value` in one of its fields, in an additional field, or as a
/// duplicate of a field.
fn with_odd_field(object: &Value, choice: u8, value: &str) -> String {
    let fields = object.as_object().expect("an object");
    let odd = usize::from(choice) % (2 * fields.len() + 1);
    let mut parts: Vec<String> = Vec::new();
    for (index, (name, content)) in fields.iter().enumerate() {
        match index == odd {
            true => parts.push(format!("\"{name}\":{value}")),
            false => parts.push(format!("\"{name}\":{content}")),
        }
        if index + fields.len() == odd {
            parts.push(format!("\"{name}\":{value}"));
        }
    }
    if odd == 2 * fields.len() {
        parts.push(format!("\"more\":{value}"));
    }
    format!("{{{}}}", parts.join(","))
}

/// Applies an operator state and targets in each way in which they reach a directory.
fn apply_everywhere(operator: &OperatorState, targets: &[Target]) {
    let now = Instant::now();
    let operators = |revision, zones_out| OperatorState { revision, zones_out, ..operator.clone() };
    let zones: Vec<Arc<str>> = targets.iter().map(|target| target.zone.clone()).collect();
    let listing = |revision| Listing { revision, targets: targets.to_vec(), ..Listing::default() };
    let mut reader = Directory::new(Tuning::default());
    // The zones return after the entries were written, so the service's time applies to the targets.
    reader.apply_operator_state(now, &operators(10.into(), zones));
    reader.apply_operator_state(now, &operators(11.into(), Vec::new()));
    if let Some(config) = &operator.config {
        reader.apply_change(now, 12.into(), Change::Config(config.clone()));
    }
    reader.apply_listing(now, listing(7.into()));
    let changes = targets.iter().cloned().map(EntryChange::Written).collect();
    reader.apply_update(now, ListingUpdate { revision: 8.into(), changes });
    let mut follower = Directory::new(Tuning::default());
    follower.confirm_config(now);
    reader.confirm_config(now);
    follower.apply_delta(now, reader.delta(now, Position::Read(0.into())));
    let mut peer = Directory::new(Tuning::default());
    for age in [Duration::ZERO, Duration::MAX] {
        peer.apply_peer(now, age, &reader.operator_state(now), reader.listing(), &reader.lapsed());
    }
    let later = now + Duration::from_secs(100);
    for directory in [&mut reader, &mut follower, &mut peer] {
        directory.apply_listing(
            later,
            Listing { revision: 9.into(), targets: Vec::new(), ..Listing::default() },
        );
        directory.view(later);
    }
}

/// Checks that an entry with an odd value is refused, or gives a target that can be used.
fn check_odd_entry(choice: u8, value: &str) {
    let content = with_odd_field(&entry(), choice, value);
    let Ok(target) = decode_entry(&item("servers/i-00ff", &content)) else {
        return;
    };
    assert!(target.cold_for <= Duration::from_secs(24 * 3600), "{content}");
    assert!((1..=65_536).contains(&target.slots), "{content}");
    assert!(!target.address.ip().is_unspecified() && target.address.port() > 0, "{content}");
    assert!(target.zone.len() <= 200 && target.service.len() <= 200, "{content}");
    apply_everywhere(&OperatorState::default(), &[target]);
}

/// Guards against a value in any field of an entry that crashes the daemon or gives a target that
/// cannot be used.
#[test]
fn no_odd_field_of_an_entry_panics() {
    for choice in 0..20 {
        (0..60).for_each(|kind| check_odd_entry(choice, &odd_value(kind, 0, "")));
    }
    check!().with_type::<(u8, u8, u64, String)>().for_each(|(choice, kind, number, text)| {
        check_odd_entry(*choice, &odd_value(*kind, *number, text));
    });
}

/// Checks that a configuration with an odd value in one of its parts does not cause a panic.
fn check_odd_configuration(part: u8, choice: u8, value: &str) {
    let pointers = ["", "/routes/0", "/routes/1", "/routes/1/split/0", "/services/0", "/limits"];
    let pointer = pointers[usize::from(part) % pointers.len()];
    let mut configuration = configuration();
    let part = configuration.pointer_mut(pointer).expect("a part");
    let odd = with_odd_field(part, choice, value);
    *part = json!("PART");
    let content = configuration.to_string().replace("\"PART\"", &odd);
    if let Ok(config) = decode_config(&item("op/config", &content)) {
        let target = decode(&entry()).expect("a target");
        let config = Some(Arc::new(config));
        apply_everywhere(&OperatorState { config, ..OperatorState::default() }, &[target]);
    }
}

/// Guards against a value in any field of a configuration that crashes the daemon.
#[test]
fn no_odd_field_of_a_configuration_panics() {
    for part in 0..6 {
        for choice in 0..10 {
            (0..60).for_each(|kind| check_odd_configuration(part, choice, &odd_value(kind, 0, "")));
        }
    }
    check!().with_type::<(u8, u8, u8, u64, String)>().for_each(
        |(part, choice, kind, number, text)| {
            check_odd_configuration(*part, *choice, &odd_value(*kind, *number, text));
        },
    );
}

/// Guards against durations and revisions of another daemon that crash the daemon.
#[test]
fn no_peer_state_panics() {
    check!().with_type::<(u64, u32, u64, u64, u64)>().for_each(
        |(secs, nanos, revision, born, sequence)| {
            let duration = json!({ "secs": secs, "nanos": nanos % 1_000_000_000 }).to_string();
            let duration: Duration = serde_json::from_str(&duration).expect("a duration");
            let mut target = decode(&entry()).expect("a target");
            let revision = Revision { era: sequence % 3, number: *revision };
            (target.cold_for, target.revision, target.born) = (duration, revision, *born);
            let mut config = decode_config(&item("op/config", &configuration().to_string()))
                .expect("a configuration");
            config.revision = revision;
            config.idle_timeout = duration;
            config.services.values_mut().for_each(|service| service.cold_for = duration);
            let operator = OperatorState {
                revision,
                config: Some(Arc::new(config)),
                ..OperatorState::default()
            };
            apply_everywhere(&operator, std::slice::from_ref(&target));
            let now = Instant::now();
            let mut directory = Directory::new(Tuning::default());
            let mut delta = directory.delta(now, Position::Followed(*sequence));
            (delta.age, delta.operator_age) = (Some(duration), Some(duration));
            (delta.sequence, delta.revision) = (*sequence, revision);
            delta.lapsed = vec![target];
            directory.apply_delta(now, delta);
            directory.view(now);
        },
    );
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
    assert_eq!((target.number, target.born, target.revision), (0xff, 99, 7.into()));
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

/// Guards against an entry of another writer that ends or blocks the daemons which read it, displaces
/// a target or takes flows that no target gets.
#[test]
fn odd_entries_are_refused() {
    let long = "x".repeat(1000);
    for (field, value) in [
        ("warmupLeftMs", json!(1e22)),
        ("warmupLeftMs", json!(1e9)),
        ("warmupLeftMs", json!(u64::MAX)),
        ("slots", json!(u64::MAX)),
        ("seqNo", json!(1e30)),
        ("born", json!(u64::MAX)),
        ("born", json!(1e300)),
        ("born", json!(-1)),
        ("address", json!("10.0.0.9:99999")),
        ("address", json!("10.0.0.9:0")),
        ("address", json!("0.0.0.0:8080")),
        ("address", json!("224.0.0.1:8080")),
        ("address", json!("255.255.255.255:8080")),
        ("address", json!(long)),
        ("zone", json!(long)),
        ("service", json!(long)),
    ] {
        let mut odd = entry();
        odd[field] = value;
        assert!(decode(&odd).is_err(), "{field} {}", odd[field]);
    }
    for (field, value) in [
        ("slots", json!(0)),
        ("slots", json!(u32::MAX)),
        ("state", json!({ "ready": null })),
        ("zone", json!("")),
        ("service", json!("")),
        ("warmupLeftMs", json!("250")),
    ] {
        let mut odd = entry();
        odd[field] = value;
        assert!(decode(&odd).is_err(), "{field} {}", odd[field]);
    }
    let values = json!(["web", "10.0.0.9:80", "zone-a", "v1", 4, "ready", 250, 4, 99]);
    assert!(matches!(decode(&values), Err(Error::NotAnObject)), "an array of the values");
    for id in ["i-+ff", "i-", "i-10000000000000000", &format!("{}-ff", "i".repeat(300))] {
        let key = format!("servers/{id}");
        assert!(decode_entry(&item(&key, &entry().to_string())).is_err(), "{id}");
    }
    let text = entry().to_string();
    let text = text.strip_suffix('}').expect("an object");
    for odd in [
        format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)),
        "{\"service\":".repeat(100_000),
        text.replace("250", "1e999") + "}",
        text.replace("250", &"[".repeat(100_000)) + "}",
        format!("{text},\"service\":\"files\"}}"),
    ] {
        assert!(decode_entry(&item("servers/i-00ff", &odd)).is_err(), "{}", &odd[..40]);
    }
    // Fields without a meaning here may hold anything.
    let extended = format!("{text},\"more\":{}1e999{}}}", "[".repeat(100), "]".repeat(100));
    assert!(decode_entry(&item("servers/i-00ff", &extended)).is_ok());
    for (pointer, value) in
        [("/services/0/warmupS", json!(1e22)), ("/limits/idleTimeoutMs", json!(1e300))]
    {
        let mut config = json!({
            "version": 4, "routes": [], "services": [{ "name": "web", "warmupS": 2.0 }],
            "limits": { "idleTimeoutMs": 15000 },
        });
        *config.pointer_mut(pointer).expect("a field") = value;
        assert!(decode_config(&item("op/config", &config.to_string())).is_err(), "{pointer}");
    }
}

/// Guards against a configuration of which only a part comes into force.
#[test]
fn invalid_configurations_are_refused() {
    let valid = configuration();
    let decode = |value: &Value| decode_config(&item("op/config", &value.to_string()));
    let config = decode(&valid).expect("a configuration");
    assert_eq!((config.version, config.revision, config.routes.len()), (4, 7.into(), 2));
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
        assert_eq!(read.value.revision, lowest.into(), "pages at {revisions:?}");
        assert_eq!(read.value.targets.len() as u64, revisions[1].max(50), "pages at {revisions:?}");
    }
}

/// Returns frames of the item `key` that cannot be decoded, and whether the key can be.
fn odd_frames(key: &str) -> Vec<(bool, Value)> {
    let value = BASE64_STANDARD.encode(entry().to_string());
    let nested = (0..100).fold(json!(1), |nested, _| json!([nested]));
    vec![
        (true, json!({ "key": key, "value": value })),
        (true, json!({ "key": key, "value": value, "rev": "1" })),
        (true, json!({ "key": key, "value": value, "rev": -1 })),
        (true, json!({ "key": key, "value": value, "rev": 1e30 })),
        (true, json!({ "key": key, "value": value, "rev": u64::MAX })),
        (true, json!({ "key": key, "value": 5, "rev": 1 })),
        (true, json!({ "key": key, "value": [value], "rev": 1 })),
        (true, json!({ "key": key, "value": nested, "rev": 1 })),
        (true, json!({ "key": key, "value": null, "rev": 1, "deleted": "yes" })),
        (false, json!({ "value": value, "rev": 1 })),
        (false, json!({ "key": 7, "value": value, "rev": 1 })),
        (false, json!({ "key": "servers/i-00".repeat(100), "value": value, "rev": 1 })),
        (false, json!([key, value, 1, 1, false])),
        (false, json!(null)),
    ]
}

/// Guards against an item of a response that cannot be decoded and makes every read of the list, or
/// every watch, fail.
#[tokio::test]
async fn odd_frame_does_not_affect_the_other_items() {
    for (has_key, frame) in odd_frames("servers/i-0031") {
        let server = banyanwharf_testkit::Store::start().expect("the store starts");
        let client = Store::new(server.url().parse().expect("a URL"), Timeouts::gateway());
        // The odd item is the last one of the first page.
        for number in 0..70 {
            server.put(&format!("servers/i-{number:04x}"), entry().to_string().as_bytes());
        }
        let known = server.revision();
        server.put_frame("servers/i-0031", frame.clone());
        server.put("servers/i-0032", entry().to_string().as_bytes());
        let read = client.read_targets(Consistency::Linearizable).await.expect("a list");
        assert_eq!(read.value.targets.len(), 69, "{frame}");
        // The key of an odd item does not end a page, so the item may be on two pages.
        let key = if has_key { "servers/i-0031" } else { "" };
        assert!(!read.rejected.is_empty(), "{frame}");
        assert!(read.rejected.iter().all(|rejected| rejected.key == key), "{frame}");
        let watch = client.watch_targets(known.into(), Duration::ZERO).await.expect("changes");
        let names: Vec<&str> = watch.value.changes.iter().map(EntryChange::name).collect();
        let expected: &[&str] = if has_key { &["i-0031", "i-0032"] } else { &["i-0032"] };
        assert_eq!(names, expected, "{frame}");
        let unreadable = matches!(watch.value.changes[0], EntryChange::Unreadable { .. });
        assert_eq!(unreadable, has_key, "{frame}");
        let listed = read.value.unreadable.iter().any(|name| &**name == "i-0031");
        assert_eq!(listed, has_key, "{frame}");
        assert_eq!(watch.rejected.len(), 1, "{frame}");
    }
}

/// Guards against an operators' item that cannot be decoded and hides the others, or that ends the
/// evacuation of a zone.
#[tokio::test]
async fn odd_frame_does_not_affect_other_operators_items() {
    for (has_key, frame) in odd_frames("op/evacuate/zone-a") {
        let server = banyanwharf_testkit::Store::start().expect("the store starts");
        let client = Store::new(server.url().parse().expect("a URL"), Timeouts::gateway());
        server.put_frame("op/evacuate/zone-a", frame.clone());
        server.put("op/config", configuration().to_string().as_bytes());
        server.put("op/evacuate/zone-b", b"{}");
        let read = client.read_operator_state().await.expect("the operators' items").value;
        assert!(read.config.is_some(), "{frame}");
        let zones: Vec<&str> = read.zones_out.iter().map(|zone| &**zone).collect();
        let expected: &[&str] = if has_key { &["zone-a", "zone-b"] } else { &["zone-b"] };
        assert_eq!(zones, expected, "{frame}");
        let zones_out = client.read_zones_out().await.expect("the zones").value;
        assert_eq!(
            (zones_out.revision, zones_out.zones),
            (read.revision, read.zones_out),
            "{frame}"
        );
        let watch =
            client.watch_operator_changes(0.into(), Duration::ZERO).await.expect("changes").value;
        assert_eq!(watch.changes.len(), expected.len() + 1, "{frame}");
    }
}

/// Guards against an entry of the largest size on a full page, which makes every read of the list
/// fail because the response exceeds the limit.
#[tokio::test]
async fn huge_entry_does_not_affect_the_other_items() {
    let server = banyanwharf_testkit::Store::start().expect("the store starts");
    let client = Store::new(server.url().parse().expect("a URL"), Timeouts::gateway());
    for number in 0..40 {
        let mut large = entry();
        large["more"] = json!("x".repeat(18_000));
        server.put(&format!("servers/i-{number:04x}"), large.to_string().as_bytes());
    }
    server.put("servers/i-0027f", &vec![b'['; 1 << 20]);
    let read = client.read_targets(Consistency::Linearizable).await.expect("a list");
    assert_eq!((read.value.targets.len(), read.rejected.len()), (40, 1));
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

/// Guards against a state that mixes two eras of the store: pages of one list, or a watch and the
/// state that it continues, also if the numbers of the revisions have passed the known ones.
#[tokio::test]
async fn responses_of_different_eras_are_not_mixed() {
    let server = banyanwharf_testkit::Store::start().expect("the store starts");
    for number in 0..60 {
        server.put(&format!("servers/i-{number:08x}"), entry().to_string().as_bytes());
    }
    let url = server.url().parse().expect("a URL");
    let client = Store::new(url, Timeouts::default());
    let known =
        client.read_targets(Consistency::Linearizable).await.expect("a list").value.revision;
    assert_eq!(known, 60.into());
    server.return_from_copy(Duration::ZERO, Duration::ZERO).await;
    for _ in 0..2 {
        for result in [
            client.watch_targets(known, Duration::ZERO).await.map(drop),
            client.watch_operator_changes(known, Duration::ZERO).await.map(drop),
        ] {
            let error = result.expect_err("the era has changed");
            assert!(
                matches!(error, CallError::EraChanged { found: 1, expected: 0, .. }),
                "{error}"
            );
        }
        server.put("op/other", b"");
    }
    server.set_replicas(&[Replica::Former, Replica::At(60)]);
    let mixed = client.read_targets(Consistency::Stale).await.expect_err("pages of two eras");
    assert!(matches!(mixed, CallError::EraChanged { found: 1, expected: 0, .. }), "{mixed}");
    let latest = client.read_targets(Consistency::Linearizable).await.expect("a list").value;
    assert_eq!(latest.revision, Revision { era: 1, number: 62 });
    assert!(latest.targets.iter().all(|target| target.revision.era == 1));
}
