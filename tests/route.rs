//! The route table must follow the ticket state, and as few base targets as possible may change.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::{Fingerprint, Protocol},
    route::{Compiler, Generation, Issue, QUARANTINE_PERIOD, Table},
    ticket::{self, State, TargetId, Ticket},
};
use serde_json::{Value, json};

fn target(name: &str, zone: &str, host: u8) -> Value {
    json!({ "name": name, "zone": zone, "address": format!("10.0.0.{host}:6080") })
}

fn service(number: u64, name: &str, address: u8, targets: Vec<Value>) -> Ticket {
    let text = json!({ "number": number, "services": [{
        "name": name,
        "addresses": [{ "protocol": "tcp", "address": format!("198.51.100.{address}:80") }],
        "targets": targets,
        "policy": "quick",
    }] });
    ticket::parse("t", &text.to_string()).expect("the ticket is valid")
}

fn parse_ticket(text: Value) -> Ticket {
    ticket::parse("t", &text.to_string()).expect("the ticket is valid")
}

fn target_named<'a>(table: &'a Table, name: &str) -> &'a banyanwharf::route::Target {
    let target = table.targets().find(|target| &*target.name == name);
    target.expect("the target is in the table")
}

/// Guards against a table that lacks addresses, policies, generations or the zones out of service.
#[test]
fn tables_follow_the_state() {
    let now = Instant::now();
    let (mut state, mut compiler) = (State::default(), Compiler::new());
    let mut apply = |ticket| state.apply(now, ticket).map(|_| state.clone()).expect("accepted");
    let targets = vec![target("t1", "x", 1), target("t2", "y", 2)];
    apply(service(1, "a", 1, targets.clone()));
    let unset = compiler.compile(now, &apply(service(2, "b", 2, vec![target("t9", "x", 9)])));
    assert!(unset.issues.iter().all(|issue| matches!(issue, Issue::UnknownPolicy { .. })));
    assert_eq!(unset.issues.len(), 2);
    apply(parse_ticket(
        json!({ "number": 3, "policies": [{ "name": "quick", "priority": "balance" }],
        "zones": [{ "name": "y", "state": "out" }] }),
    ));
    let mut draining = targets[0].clone();
    draining["state"] = "draining".into();
    let state = apply(service(4, "a", 1, vec![draining, targets[1].clone(), target("t3", "x", 3)]));
    let compiled = compiler.compile(now, &state);
    let table = &compiled.table;
    assert!(compiled.issues.is_empty() && compiled.recompile_at.is_none());
    let address = "198.51.100.1:80".parse().expect("the address is valid");
    let index = table.service_at(Protocol::Tcp, address).expect("the address is known");
    assert_eq!(table.service_at(Protocol::Udp, address), None);
    let a = table.service(index).expect("the service is there");
    assert_eq!((&*a.name, a.policy.bound(), a.targets.len()), ("a", 1.05, 3));
    let (t1, t2, t3) =
        (target_named(table, "t1"), target_named(table, "t2"), target_named(table, "t3"));
    assert!(t1.is_reachable() && !t1.is_placeable() && t3.is_placeable() && !t2.is_reachable());
    assert_eq!(table.target_at(index, t3.address), Some(t3.id));
    assert_eq!(table.target(t3.id), Some(t3));
    let numbers: Vec<u64> = a.generations.iter().map(|generation| generation.number).collect();
    assert_eq!(numbers, [4, 1]);
    assert_eq!(a.generations[0].targets, [(t3.id, 100)]);
    assert_eq!(a.generations[1].targets, [(t1.id, 100)]);
}

/// Guards against using the former address of a target for another service before the quarantine
/// ends, or never, and against two services with one address.
#[test]
fn reused_addresses_are_quarantined() {
    let now = Instant::now();
    let (mut state, mut compiler) = (State::default(), Compiler::new());
    state.apply(now, service(1, "a", 1, vec![target("t1", "x", 1)])).expect("accepted");
    compiler.compile(now, &state);
    state.apply(now, service(2, "a", 1, vec![target("t2", "x", 2)])).expect("accepted");
    let learned = now + Duration::from_secs(5);
    assert_eq!(compiler.compile(learned, &state).recompile_at, None);
    state.apply(now, service(3, "b", 2, vec![target("u1", "x", 1)])).expect("accepted");
    let later = learned + Duration::from_secs(20);
    let compiled = compiler.compile(later, &state);
    let end = learned + QUARANTINE_PERIOD;
    assert_eq!(compiled.recompile_at, Some(end));
    let u1 = target_named(&compiled.table, "u1");
    assert!(!u1.is_reachable() && !u1.is_placeable());
    // A joining member adopts the quarantines of its peer.
    let mut joining = Compiler::new();
    joining.merge_quarantines(compiler.quarantines(later));
    assert_eq!(joining.compile(later, &state).recompile_at, Some(end));
    let compiled = compiler.compile(end, &state);
    assert!(target_named(&compiled.table, "u1").is_placeable() && compiled.recompile_at.is_none());
    // Two readers accepted conflicting tickets independently: the lower number keeps the address.
    let mut reader = State::default();
    reader.apply(now, service(9, "c", 2, vec![target("v1", "x", 1)])).expect("accepted");
    state.merge(now, reader.snapshot().items);
    let compiled = compiler.compile(end, &state);
    let conflicts: Vec<String> = compiled.issues.iter().map(Issue::to_string).collect();
    assert!(conflicts.iter().any(|c| c.starts_with("service/c: address")), "{conflicts:?}");
    assert!(conflicts.iter().any(|c| c.starts_with("service/c, target v1")), "{conflicts:?}");
    assert!(target_named(&compiled.table, "u1").is_placeable());
    assert!(!target_named(&compiled.table, "v1").is_reachable());
    let index = compiled
        .table
        .service_at(Protocol::Tcp, "198.51.100.2:80".parse().expect("the address is valid"));
    let owner = index.and_then(|index| compiled.table.service(index));
    assert_eq!(owner.map(|service| &*service.name), Some("b"));
    // A service that gets its own former address back uses it at once.
    let mut own = Compiler::new();
    let mut single = State::default();
    for (number, host) in [(1, 1), (2, 2), (3, 1)] {
        let ticket = service(number, "a", 1, vec![target("t1", "x", host)]);
        single.apply(now, ticket).expect("accepted");
        let compiled = own.compile(now, &single);
        assert!(target_named(&compiled.table, "t1").is_placeable());
    }
    // A removed service releases its addresses.
    state
        .apply(
            now,
            parse_ticket(
                json!({ "number": 10, "services": [{ "name": "b", "state": "removed" }] }),
            ),
        )
        .expect("accepted");
    let compiled = compiler.compile(end, &state);
    assert!(!target_named(&compiled.table, "v1").is_reachable());
    let compiled = compiler.compile(end + QUARANTINE_PERIOD, &state);
    assert!(target_named(&compiled.table, "v1").is_placeable());
}

fn generation(weights: &[u16]) -> Generation {
    let ids = (0..).map(|index: u64| index * 0x9e37_79b9 + 1);
    Generation { number: 1, targets: ids.zip(weights.iter().copied()).collect() }
}

/// Guards against flows whose base target changes although the target remains, and against shares
/// of targets that do not follow their weights.
#[test]
fn base_targets_follow_weights_with_minimal_disruption() {
    let fingerprints: Vec<Fingerprint> = (0..40_000_u128)
        .map(|index| Fingerprint(index.wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)))
        .collect();
    let before = generation(&[100, 100, 50, 300, 1, 1000]);
    let mut after = before.clone();
    after.targets.remove(3);
    let mut shares: HashMap<TargetId, usize> = HashMap::new();
    for fingerprint in &fingerprints {
        let base = before.base_target(*fingerprint).expect("there are targets");
        *shares.entry(base).or_default() += 1;
        let ranked = before.ranked_targets(*fingerprint);
        assert_eq!(ranked[0], base);
        let expected = if base == before.targets[3].0 { ranked[1] } else { base };
        assert_eq!(after.base_target(*fingerprint), Some(expected));
    }
    let total: f64 = before.targets.iter().map(|(_, weight)| f64::from(*weight)).sum();
    for (id, weight) in &before.targets {
        let expected = f64::from(*weight) / total * fingerprints.len() as f64;
        let found = shares.get(id).copied().unwrap_or(0) as f64;
        // Five standard deviations of a binomial distribution.
        assert!(
            (found - expected).abs() < 5.0 * expected.sqrt(),
            "weight {weight}: {found}, {expected}"
        );
    }
    assert_eq!(generation(&[]).base_target(Fingerprint(1)), None);
}

/// Guards against base targets that differ between versions or processors: daemons of both versions
/// run side by side during an upgrade.
#[test]
fn base_targets_are_fixed() {
    let targets = generation(&[100, 90, 110, 200, 3]);
    let mut checksum = 0_u64;
    for index in 0..20_000_u128 {
        let fingerprint = Fingerprint(index * 0x1234_5678_9abc_def1);
        let base = targets.base_target(fingerprint).expect("there are targets");
        checksum = checksum.rotate_left(5) ^ base;
    }
    assert_eq!(checksum, 4_478_963_769_134_803_660);
}
