//! Builders that several test targets share.

#![allow(dead_code)]

use std::{sync::Arc, time::Duration};

use banyanwharf::{
    flow::{Hasher, Key, Protocol},
    route::{Generation, Service, Table, Target},
    ticket::{Policy, Priority, TargetId, TargetState},
};

/// Returns a target with the slots and connections of the sample deployments.
pub(crate) fn target(id: TargetId, zone: &str) -> Target {
    Target {
        id,
        name: Arc::from(format!("target-{id}")),
        service: 0,
        address: format!("127.0.0.1:{}", 20_000 + id).parse().expect("the address is valid"),
        zone: Arc::from(zone),
        zone_out: false,
        state: TargetState::Active,
        weight: 100,
        slots: 4,
        connections: 2000,
        cold_slots: 1,
        ramp: Duration::from_secs(30),
        drain: None,
        health: None,
        load: None,
        quarantined: false,
    }
}

/// Returns a table with one service at 198.51.100.1:80.
pub(crate) fn table(targets: Vec<Target>, priority: Priority) -> Table {
    let placeable = targets.iter().filter(|t| t.is_placeable()).map(|t| (t.id, t.weight)).collect();
    let service = Service {
        name: Arc::from("turnos"),
        policy: Policy { name: Arc::from("default"), priority, bound: None },
        targets: targets.iter().map(|target| target.id).collect(),
        generations: vec![Generation { number: 1, targets: placeable }],
    };
    let address = "198.51.100.1:80".parse().expect("the address is valid");
    let mut table = Table::new();
    table.insert(service, &[(Protocol::Tcp, address)], targets);
    table
}

/// Returns the key of flow `number`; each flow has its own caller address.
pub(crate) fn key(number: u32) -> Key {
    let [a, b, c, d] = number.to_be_bytes();
    Key {
        protocol: Protocol::Tcp,
        caller: ([10 ^ a, b, c, d], 40_000).into(),
        service: "198.51.100.1:80".parse().expect("the address is valid"),
    }
}

/// Returns the hasher that all tests use.
pub(crate) fn hasher() -> Hasher {
    Hasher::new(&[7; 16])
}
