//! Measures the decision for one packet, compared with one lookup in a plain hash map.
//!
//! A forwarder with `n` flows owns `n` flows as primary and caches `n` others. The SYNs are
//! retransmissions of open flows. The cost of new flows is measured by the example `slopes_flow`
//! instead, since each new flow makes the table larger.
#![allow(missing_docs)]

#[path = "../examples/support/flows.rs"]
mod flows;

#[path = "../tests/cookies/mod.rs"]
mod cookies;

use std::{
    collections::HashMap,
    hint::black_box,
    time::{Duration, Instant},
};

use banyanwharf::{
    cookie::{
        ApplyOutcome, Delta, Kind, Packet, Placement, Position, Tuning,
        work::{Publisher, Report, ReportTable},
    },
    flow::Key,
};
use criterion::{Criterion, criterion_group, criterion_main};
use flows::{Fixture, Role};

const FLOW_COUNTS: [usize; 4] = [1_000, 30_000, 300_000, 1_000_000];
const MAP_ENTRIES: usize = 300_000;

/// The number of targets of one zone at the maximum that the design supports.
const ZONE_TARGETS: u32 = 723;

/// The numbers of targets in the current deployments, after their expected growth, and at the
/// maximum that the design supports.
const TARGET_COUNTS: [u64; 3] = [18, 150, 9_400];

/// The number of open flows in the measurements of gateway mode.
const OPEN_FLOWS: u32 = 10_000;

fn lookup(criterion: &mut Criterion) {
    let mut fixture = Fixture::new(1);
    let keys: Vec<Key> =
        (0..MAP_ENTRIES).map(|_| fixture.random_key_with_role(Role::Other)).collect();
    let map: HashMap<Key, u64> = keys.iter().zip(0..).map(|(key, value)| (*key, value)).collect();
    // As many distinct keys as the decisions have packets, for the same use of the CPU caches.
    let mut keys = keys[..flows::MAX_PACKETS_PER_KIND].iter().cycle();
    criterion.bench_function("lookup in std HashMap/300000", |bencher| {
        bencher.iter(|| keys.next().and_then(|key| map.get(black_box(key))).copied());
    });
}

fn decision(criterion: &mut Criterion) {
    for count in FLOW_COUNTS {
        let mut fixture = Fixture::new(1);
        fixture.fill(count);
        let from = ([192, 0, 2, 1], 6080).into();
        let with_sender = |packets: &[Vec<u8>]| {
            packets.iter().map(|packet| (from, packet.clone())).collect::<Vec<_>>()
        };
        let kinds = [
            ("cached", with_sender(&fixture.cached_packets)),
            ("owned", with_sender(&fixture.owned_packets)),
            ("return", fixture.return_packets.clone()),
            ("SYN", with_sender(&fixture.syns)),
        ];
        for (kind, packets) in kinds {
            let mut packets = packets.iter().cycle();
            criterion.bench_function(&format!("decision/{kind}/{count}"), |bencher| {
                bencher.iter(|| {
                    let (from, packet) = packets.next().expect("the packets repeat");
                    fixture.on_datagram(*from, black_box(packet));
                    assert_eq!(fixture.actions.len(), 1);
                });
            });
        }
    }
}

/// Measures gateway mode with `count` targets: delivery by cookie, placement of a new flow, the
/// view after each read of the targets, and a delta without changes from the zone reader to a
/// follower.
fn cookie(criterion: &mut Criterion) {
    for count in TARGET_COUNTS {
        let all = cookies::targets("web", count / 4, count - count / 4);
        let mut fixture = cookies::DaemonFixture::new(all.clone());
        let opened: Vec<_> = (0..OPEN_FLOWS).map(|number| fixture.establish(number)).collect();
        let packets: Vec<Packet> = opened
            .iter()
            .zip(0..)
            .map(|(opened, number)| {
                cookies::packet(cookies::flow(number, 1), Kind::Data, opened.cookie)
            })
            .collect();
        let mut packets = packets.iter().cycle();
        criterion.bench_function(&format!("cookie/deliver/{count} targets"), |bencher| {
            bencher.iter(|| {
                fixture.decide(black_box(packets.next().expect("the cycle does not end")))
            });
        });
        let opening: Vec<Packet> = (0..OPEN_FLOWS).map(cookies::opening_packet).collect();
        let mut opening = opening.iter().cycle();
        let tuning = Tuning { placement: Placement::ExpectedWork, ..Tuning::default() };
        let mut by_work = cookies::DaemonFixture::with_tuning(all.clone(), 0.0, tuning);
        for number in 0..OPEN_FLOWS {
            by_work.establish(number);
        }
        let mut opening_by_work = opening.clone();
        criterion.bench_function(&format!("cookie/place by work/{count} targets"), |bencher| {
            bencher.iter(|| {
                let packet = opening_by_work.next().expect("the cycle does not end");
                let verdict = by_work.decide(black_box(packet));
                by_work.forwarder.take_events();
                verdict
            });
        });
        criterion.bench_function(&format!("cookie/place/{count} targets"), |bencher| {
            bencher.iter(|| {
                let verdict =
                    fixture.decide(black_box(opening.next().expect("the cycle does not end")));
                fixture.forwarder.take_events();
                verdict
            });
        });
        criterion.bench_function(&format!("cookie/read/{count} targets"), |bencher| {
            bencher.iter(|| fixture.read_targets(black_box(all.clone())));
        });
        let mut follower = fixture.directory.clone();
        criterion.bench_function(&format!("cookie/follow/{count} targets"), |bencher| {
            bencher.iter(|| {
                let delta =
                    fixture.directory.delta(fixture.now, Position::Read(fixture.revision.into()));
                let delta = Delta { inventory: None, ..delta };
                assert_ne!(
                    follower.apply_delta(fixture.now, black_box(delta)),
                    ApplyOutcome::Ignored
                );
                follower.view(fixture.now)
            });
        });
    }
}

/// Measures the reports about targets with the targets of one zone: recording a frame of 24 reports
/// in a full table, the factor of a target, and the decision on 100 own reports.
fn reports(criterion: &mut Criterion) {
    let start = Instant::now();
    let report = |cookie| Report {
        cookie,
        delay_factor: 3.0,
        is_rejecting: cookie % 2 == 0,
        age: Duration::from_millis(100),
    };
    let mut table = ReportTable::new();
    table.set_targets(start, 0..ZONE_TARGETS);
    for from in 0..8 {
        for first in (0..ZONE_TARGETS).step_by(24) {
            let frame: Vec<Report> = (first..first + 24).map(report).collect();
            table.record(start, from, &frame);
        }
    }
    let frame: Vec<Report> = (0..24).map(report).collect();
    criterion.bench_function("reports/record", |bencher| {
        bencher.iter(|| table.record(start, 1, black_box(&frame)));
    });
    criterion.bench_function("reports/factor", |bencher| {
        bencher.iter(|| table.factor(start, black_box(7), 1.0));
    });
    let own: Vec<Report> = (0..100).map(report).collect();
    let mut publisher = Publisher::new(start);
    let mut now = start;
    criterion.bench_function("reports/publish", |bencher| {
        bencher.iter(|| {
            now += Duration::from_millis(100);
            publisher.publish(now, black_box(&own), 84)
        });
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_secs(1));
    targets = lookup, decision, cookie, reports
}
criterion_main!(benches);
