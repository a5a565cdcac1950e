//! Invalid tickets must be refused as a whole with a location, and merging must not depend on the
//! order.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use banyanwharf::ticket::{
    self, ApplyOutcome, Content, Error, Item, Location, MAX_GENERATIONS, Number, RangeSet, Refusal,
    State, Ticket, ValidationErrorKind,
};
use serde_json::{Value, json};

fn valid_ticket() -> Value {
    json!({
        "number": 7,
        "services": [{
            "name": "turnos",
            "addresses": [{ "protocol": "tcp", "address": "198.51.100.1:80" }],
            "targets": [
                { "name": "t1", "zone": "prado", "address": "10.0.0.1:6080", "cold_slots": 1 },
                { "name": "t2", "zone": "cerro", "address": "[2001:db8::2]:6080", "weight": 50 },
            ],
            "policy": "steady",
        }],
        "zones": [{ "name": "prado", "state": "out" }],
        "policies": [{ "name": "steady", "priority": "balance", "bound": 1.1 }],
    })
}

fn parse(value: &Value) -> Result<Ticket, Error> {
    ticket::parse("test.json", &value.to_string())
}

/// Guards against a rule that is not checked, and against an error that names another field.
#[test]
fn invalid_fields_are_named() {
    let target = json!({ "name": "t3", "zone": "prado", "address": "10.0.0.3:1" });
    let same_address = json!({ "name": "t3", "zone": "prado", "address": "10.0.0.1:6080" });
    let with = |field: &str, value: Value| {
        let mut target = target.clone();
        target[field] = value;
        ("/services/0/targets/1", target, "t3")
    };
    let at = |path: &'static str, value: Value| (path, value, "");
    let cases = [
        (at("/number", json!(0)), "number"),
        (at("/services/0/name", json!("")), "name"),
        (at("/services/0/name", json!("a b")), "name"),
        (at("/services/0/name", json!("a".repeat(65))), "name"),
        (at("/services/0/addresses", json!([])), "addresses"),
        (at("/services/0/addresses/0/address", json!("0.0.0.0:80")), "addresses"),
        (at("/services/0/addresses/0/address", json!("[::ffff:1.2.3.4]:80")), "addresses"),
        (at("/services/0/addresses/0/address", json!("[ff02::1]:80")), "addresses"),
        (at("/services/0/policy", json!("/")), "policy"),
        (at("/zones/0/name", json!("é")), "name"),
        (at("/policies/0/bound", json!(0.99)), "bound"),
        (at("/policies/0/bound", json!(4.01)), "bound"),
        (with("name", json!("-")), "name"),
        (with("address", json!("10.0.0.3:0")), "address"),
        (with("address", json!("255.255.255.255:9")), "address"),
        (with("address", json!("[fe80::1]:9")), "address"),
        (with("weight", json!(10_001)), "weight"),
        (with("slots", json!(0)), "slots"),
        (with("connections", json!(0)), "connections"),
        (with("cold_slots", json!(5)), "cold_slots"),
        (with("cold_slots", json!(0)), "cold_slots"),
        (with("ramp_seconds", json!(3_601)), "ramp_seconds"),
        (with("drain_seconds", json!(604_801)), "drain_seconds"),
        (with("health", json!("ftp://h/")), "health"),
        (with("load", json!("x".repeat(300))), "load"),
        (with("name", json!("t1")), "name"),
        (("/services/0/targets/1", same_address, "t3"), "address"),
    ];
    parse(&valid_ticket()).expect("the ticket without a change is valid");
    for ((path, value, target), field) in cases {
        let mut ticket = valid_ticket();
        *ticket.pointer_mut(path).expect("the path exists") = value.clone();
        let error = parse(&ticket).expect_err("the ticket is not valid");
        let Error::Invalid { invalid, .. } = &error else {
            panic!("{path} = {value}: {error:?}");
        };
        assert_eq!(invalid.field, field, "{path} = {value}: {error}");
        if let Location::Target { target: found, .. } = &invalid.location {
            assert!([target, "t1", "-"].contains(&&**found), "{path}: {error}");
        }
    }
    let invalid_tickets = [
        json!({ "number": 1 }),
        json!({ "number": 1, "zones": [{ "name": "a", "state": "in" }, { "name": "a", "state": "in" }] }),
        json!({
            "number": 1,
            "services": [valid_ticket()["services"][0], valid_ticket()["services"][0]],
        }),
    ];
    for ticket in invalid_tickets {
        assert!(matches!(parse(&ticket), Err(Error::Invalid { .. })), "{ticket}");
    }
    let zones: Vec<Arc<str>> = vec!["cerro".into()];
    let ticket = parse(&valid_ticket()).expect("the ticket is valid");
    let error = ticket.validate(Some(&zones)).expect_err("prado is unknown");
    assert_eq!(error.kind, ValidationErrorKind::UnknownZone("prado".into()));
}

/// Guards against truncating numbers to the range of the type, accepting unknown fields, and labels
/// that point at the wrong token.
#[test]
fn syntax_errors_point_at_the_token() {
    let text = |field: &str| {
        format!(
            "{{ // comment\n \"number\": 7, /* é */ \"zones\": [{{ \"name\": \"a\", {field} }}] }}"
        )
    };
    ticket::parse("t", &text("\"state\": \"in\",")).expect("comments and commas are allowed");
    for (field, token) in
        [("\"state\": \"on\"", "on"), ("\"stat\": \"in\"", "stat"), ("\"state\" 1", "1")]
    {
        let text = text(field);
        let error = ticket::parse("t", &text).expect_err("the field is wrong");
        let Error::Syntax { span, .. } = &error else {
            panic!("{error:?}");
        };
        let label = &text[span.offset()..span.offset() + span.len()];
        assert!(label.contains(token), "{field}: {label:?}, {error}");
    }
    for value in ["70000", "-1", "1.5", "1e3", "NaN"] {
        let text =
            valid_ticket().to_string().replace("\"weight\":50", &format!("\"weight\":{value}"));
        assert!(matches!(ticket::parse("t", &text), Err(Error::Syntax { .. })), "{value}");
    }
    let number = u64::MAX - 1;
    let text = format!("{{\"number\":{number},\"zones\":[{{\"name\":\"a\",\"state\":\"in\"}}]}}");
    assert_eq!(ticket::parse("t", &text).expect("the number fits").number, number);
    assert!(ticket::parse("t", &"[".repeat(100_000)).is_err());
    assert!(ticket::parse("t", &"{\"a\":".repeat(100_000)).is_err());
    assert!(ticket::parse("t", &" ".repeat(2 << 20)).is_err());
}

/// Guards against a panic on arbitrary text, and against a refused ticket that changes the state.
#[test]
fn refused_tickets_change_nothing() {
    let now = Instant::now();
    let text = valid_ticket().to_string();
    bolero::check!().with_type::<(Vec<u8>, Vec<(u16, u8)>)>().for_each(|(bytes, changes)| {
        let mut state = State::default();
        state.apply(now, parse(&valid_ticket()).expect("valid")).expect("the ticket is accepted");
        let before = state.snapshot().items;
        let mut mutated = text.clone().into_bytes();
        for (position, byte) in changes {
            let position = usize::from(*position) % mutated.len();
            mutated[position] = *byte;
        }
        for bytes in [bytes, &mutated] {
            let text = String::from_utf8_lossy(bytes);
            let result = ticket::parse("t", &text);
            if let Err(error) = &result {
                let _ = format!("{:?}", miette::Report::msg(error.to_string()));
            }
            let accepted = result.is_ok_and(|ticket| {
                let number = ticket.number;
                state.apply(now, ticket).is_ok() && number != 7
            });
            assert!(accepted || state.snapshot().items == before);
        }
        let _ = postcard::from_bytes::<Vec<Item>>(bytes).map(|items| state.merge(now, items));
    });
}

/// Returns an item of a small domain, so that numbers and contents collide.
fn item(number: u8, name: u8, kind: u8, variant: u8) -> Item {
    let number = Number::from(number % 10) + 1;
    let name = ["a", "b", "c"][usize::from(name) % 3];
    let text = match kind % 3 {
        0 => {
            json!({ "zone": { "name": name, "state": (["in", "out"][usize::from(variant) % 2]) } })
        }
        1 => json!({ "policy": { "name": name, "bound": 1.0 + f64::from(variant % 3) } }),
        _ => {
            json!({ "service": { "name": name, "state": (["active", "removed"][usize::from(variant) % 2]),
            "addresses": [{ "protocol": "udp", "address": format!("10.9.0.{}:53", variant % 3) }] } })
        }
    };
    let content: Content = serde_json::from_value(text).expect("the content is well-formed");
    Item { number, content: Arc::new(content) }
}

/// Guards against a state that depends on the order, grouping or repetition of merges, and against
/// a lower number that replaces a higher one.
#[test]
fn merging_is_independent_of_order_and_repetition() {
    let now = Instant::now();
    bolero::check!().with_type::<(Vec<(u8, u8, u8, u8)>, Vec<u16>, u8)>().for_each(
        |(seeds, order, cut)| {
            let items: Vec<Item> = seeds.iter().map(|s| item(s.0, s.1, s.2, s.3)).collect();
            let mut forward = State::default();
            forward.merge(now, items.clone());
            // The same items in another order, in two states that are then merged with repetition.
            let mut other = items.clone();
            for (index, swap) in order.iter().enumerate().take(other.len()) {
                let swap = usize::from(*swap) % other.len();
                other.swap(index, swap);
            }
            let cut = usize::from(*cut).min(other.len());
            let (mut left, mut right) = (State::default(), State::default());
            for item in &other[..cut] {
                left.merge(now, vec![item.clone()]);
            }
            right.merge(now, other[cut..].to_vec());
            left.merge_snapshot(now, right.snapshot());
            right.merge_snapshot(now, left.snapshot());
            assert!(!right.merge(now, items.clone()).state_changed);
            for state in [&left, &right] {
                assert_eq!(state.snapshot().items, forward.snapshot().items);
                assert_eq!(state.summary(), forward.summary());
            }
            let mut oracle: BTreeMap<_, BTreeSet<Number>> = BTreeMap::new();
            for item in &items {
                oracle.entry(item.object()).or_default().insert(item.number);
            }
            for (object, numbers) in oracle {
                let found: Vec<Number> = forward.versions(object.id()).map(|i| i.number).collect();
                let kept = if matches!(object, ticket::ObjectKey::Service(_)) {
                    MAX_GENERATIONS
                } else {
                    1
                };
                let expected: Vec<Number> = numbers.into_iter().rev().take(kept).collect();
                assert_eq!(found, expected, "{object}");
            }
        },
    );
}

fn service(number: Number, name: &str, address: u8, target: u8) -> Ticket {
    parse(&json!({ "number": number, "services": [{
        "name": name,
        "addresses": [{ "protocol": "tcp", "address": format!("198.51.100.{address}:80") }],
        "targets": [{ "name": "t", "zone": "z", "address": format!("10.0.0.{target}:6080") }],
    }] }))
    .expect("the ticket is valid")
}

/// Guards against an address conflict between services in force, a number that is used twice, and a
/// refused ticket that takes effect when it is read again.
#[test]
fn conflicting_and_reused_tickets_are_refused() {
    let now = Instant::now();
    let mut state = State::default();
    let new = |result| matches!(result, Ok(ApplyOutcome::New { .. }));
    assert!(new(state.apply(now, service(1, "a", 1, 1))));
    assert!(new(state.apply(now, service(5, "b", 2, 2))));
    let before = state.snapshot().items;
    let address = state.apply(now, service(6, "c", 1, 3));
    assert!(
        matches!(address, Err(Refusal::AddressInUse { number: 6, since: 1, .. })),
        "{address:?}"
    );
    let target = state.apply(now, service(7, "c", 3, 2));
    assert!(
        matches!(target, Err(Refusal::TargetAddressInUse { number: 7, since: 5, .. })),
        "{target:?}"
    );
    let repeated = state.apply(now, service(5, "b", 4, 2));
    assert!(matches!(repeated, Err(Refusal::NumberReused { number: 5, .. })));
    let repeated = state.apply(now, service(5, "d", 9, 9));
    assert!(matches!(repeated, Err(Refusal::NumberReused { number: 5, .. })));
    assert_eq!(state.snapshot().items, before);
    assert_eq!(state.apply(now, service(5, "b", 2, 2)), Ok(ApplyOutcome::AlreadyInForce));

    // The address becomes free, but ticket 6 stays refused; a new number is accepted.
    assert!(new(state.apply(now, service(8, "a", 5, 5))));
    assert_eq!(state.apply(now, service(6, "c", 1, 3)), Err(Refusal::AlreadyRefused { number: 6 }));
    assert!(new(state.apply(now, service(9, "c", 1, 3))));
    // An older ticket that arrives late is accepted but superseded; it does not revert ticket 9.
    assert!(new(state.apply(now, service(3, "c", 7, 7))));
    assert!(state.history().is_applied(3) && !state.history().is_applied(6));
    let newest = state.get(ticket::ObjectKey::Service("c".into()).id()).map(|item| item.number);
    assert_eq!(newest, Some(9));
    // A reader that restarts accepts old tickets whose addresses now belong to newer services.
    let mut replay = State::default();
    replay.merge(now, state.items().filter(|item| item.number == 9).cloned().collect());
    assert!(new(replay.apply(now, service(1, "a", 1, 1))));
    // A reader that got ticket 8 from its peers decides on ticket 6 as the first reader did.
    let mut replay = State::default();
    let old = state.items().filter(|item| item.number == 1 || item.number == 8);
    replay.merge(now, old.cloned().collect());
    let refused = replay.apply(now, service(6, "c", 1, 3));
    assert!(matches!(refused, Err(Refusal::AddressInUse { number: 6, since: 1, .. })));
    // Two services may exchange addresses within one ticket.
    let (mut swap, other) = (service(20, "a", 1, 3), service(20, "c", 5, 5));
    swap.services.extend(other.services);
    assert!(new(state.apply(now, swap)));
}

/// Guards against a set of ranges that loses or adds numbers.
#[test]
fn ranges_match_a_set() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|ranges| {
        let mut set = RangeSet::new();
        let mut oracle = BTreeSet::new();
        for (start, length) in ranges {
            let range = (u64::from(*start), u64::from(*start) + u64::from(length % 5));
            set.insert_range(range);
            oracle.extend(range.0..=range.1);
        }
        assert!((0..300).all(|n| set.contains(n) == oracle.contains(&n)));
        assert!(set.iter().zip(set.iter().skip(1)).all(|(a, b)| a.1 + 1 < b.0));
        let encoded = postcard::to_stdvec(&set).expect("the set is encoded");
        assert_eq!(postcard::from_bytes(&encoded), Ok(set));
    });
}
