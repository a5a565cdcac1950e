//! Measures the decision for one packet against one lookup in a plain hash map.
//!
//! A forwarder with `n` held flows owns `n` flows as primary and caches `n` others. A SYN is
//! repeated by the caller of an open flow; the cost of new flows is measured by the example
//! `slopes_flow`, since each of them makes the table larger.
#![allow(missing_docs)]

#[path = "../examples/support/flows.rs"]
mod flows;

use std::{collections::HashMap, hint::black_box, time::Duration};

use banyanwharf::flow::Key;
use criterion::{Criterion, criterion_group, criterion_main};
use flows::{Held, Role};

const HELD: [usize; 4] = [1_000, 30_000, 300_000, 1_000_000];
const MAP_ENTRIES: usize = 300_000;

fn lookup(criterion: &mut Criterion) {
    let mut held = Held::new(1);
    let keys: Vec<Key> = (0..MAP_ENTRIES).map(|_| held.key_of(Role::Other)).collect();
    let map: HashMap<Key, u64> = keys.iter().zip(0..).map(|(key, value)| (*key, value)).collect();
    // As many distinct keys as the decisions get packets, for the same use of the CPU caches.
    let mut keys = keys[..flows::KEPT].iter().cycle();
    criterion.bench_function("lookup in std HashMap/300000", |bencher| {
        bencher.iter(|| keys.next().and_then(|key| map.get(black_box(key))).copied());
    });
}

fn decision(criterion: &mut Criterion) {
    for count in HELD {
        let mut held = Held::new(1);
        held.fill(count);
        let from = ([192, 0, 2, 1], 6080).into();
        let with_sender = |packets: &[Vec<u8>]| {
            packets.iter().map(|packet| (from, packet.clone())).collect::<Vec<_>>()
        };
        let kinds = [
            ("cached", with_sender(&held.cached)),
            ("owned", with_sender(&held.owned)),
            ("return", held.returns.clone()),
            ("SYN", with_sender(&held.syns)),
        ];
        for (kind, packets) in kinds {
            let mut packets = packets.iter().cycle();
            criterion.bench_function(&format!("decision/{kind}/{count}"), |bencher| {
                bencher.iter(|| {
                    let (from, packet) = packets.next().expect("the packets repeat");
                    held.datagram(*from, black_box(packet));
                    assert_eq!(held.out.len(), 1);
                });
            });
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_secs(1));
    targets = lookup, decision
}
criterion_main!(benches);
