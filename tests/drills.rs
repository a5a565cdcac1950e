//! Daemon processes through returns of the store from a copy. The store and the targets are test
//! doubles.

#![allow(dead_code)]

mod gateways;

use std::{
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use banyanwharf_testkit::{Replica, Store, get_bytes};
use gateways::{
    config::config,
    daemon::{Daemon, address, wait_until},
    target::Target,
};
use serde_json::Value;
use tokio::time::sleep;

/// The time within which every daemon has what was written after a return of the store.
const BOUND: Duration = Duration::from_secs(5);

const OUTAGE: Duration = Duration::from_millis(300);

/// The offset of the next test's ports. The tests of one process run at the same time.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

fn allocate_ports() -> u16 {
    let first = 12_000 + (std::process::id() % 90) as u16 * 20;
    loop {
        let port = first + NEXT_PORT_OFFSET.fetch_add(10, Ordering::Relaxed);
        let is_free = |number| std::net::UdpSocket::bind(address(number, port)).is_ok();
        if (1..=3).all(is_free) {
            return port;
        }
    }
}

fn publish(store: &Store, version: u64) {
    let document = config(version, &[(80, "web"), (8080, "files")], 0.0);
    store.put("op/config", document.to_string().as_bytes());
}

async fn listed_targets(daemon: &Daemon) -> Vec<Value> {
    daemon.run_tool("targets").await.as_array().cloned().unwrap_or_default()
}

/// Returns whether the daemon has this version of the configuration and exactly these targets.
async fn has(daemon: &Daemon, version: u64, ids: &[&str]) -> bool {
    let status = daemon.run_tool("status").await;
    let targets = listed_targets(daemon).await;
    let mut listed: Vec<&str> =
        targets.iter().filter_map(|target| target["name"].as_str()).collect();
    let mut ids = ids.to_vec();
    listed.sort_unstable();
    ids.sort_unstable();
    status[0]["highest_ticket"] == version && listed == ids
}

/// Lets three daemons of a zone go through two returns of the store in a row. After the second one,
/// a target leaves that was draining before, two are new, and there is a newer configuration.
/// `other_writes` is the number of writes before these.
async fn check_two_returns(other_writes: u64) {
    let port = allocate_ports();
    let store = Store::start().expect("the store starts");
    publish(&store, 3);
    let mut targets = Vec::new();
    for number in 1..=4 {
        let target = Target::start(number, "web", "zone-a", port).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    let daemons = [1, 2, 3].map(|number| {
        Daemon::start(number, "zone-a", port, &store, if number == 1 { 2 } else { 1 })
    });
    for daemon in &daemons {
        daemon.wait_until_ready().await;
    }
    let follows = |daemon: &&Daemon| daemon.log().contains("store is read by another daemon");
    wait_until("two daemons follow", async || daemons.iter().filter(follows).count() == 2).await;
    sleep(Duration::from_millis(100)).await;
    let copied_at = Instant::now();
    // These writes are lost.
    publish(&store, 4);
    targets[0].register(&store, "draining");
    for daemon in &daemons {
        daemon.wait_until_logged("Draining").await;
        daemon.wait_until_logged("\"version\":\"4\"").await;
    }
    let lost = store.revision();
    store.return_from_copy(copied_at.elapsed(), OUTAGE).await;
    sleep(Duration::from_millis(700)).await;
    store.return_from_copy(copied_at.elapsed(), OUTAGE).await;
    assert_eq!(store.era(), 2);
    for number in 0..other_writes {
        store.put("op/other", number.to_string().as_bytes());
    }
    assert_eq!(store.revision() > lost, other_writes > 0);
    targets[0].deregister(&store);
    for number in [5, 6] {
        let target = Target::start(number, "web", "zone-a", port).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    publish(&store, 5);
    let written_at = Instant::now();
    let ids: Vec<&str> = targets[1..].iter().map(|target| &*target.id).collect();
    for daemon in &daemons {
        wait_until("the writes are known", async || has(daemon, 5, &ids).await).await;
        let delay = written_at.elapsed();
        assert!(delay < BOUND, "{delay:?} after the writes, with {other_writes} other writes");
        let log = daemon.log();
        assert!(log.contains("store has returned from a copy"), "{log}");
        let went_back = log.lines().find(|line| {
            line.contains("configuration is in force")
                && line.contains("\"former\":\"4\"")
                && line.contains("\"version\":\"3\"")
        });
        assert_eq!(went_back, None);
        let (_, metrics) = get_bytes(&daemon.metrics()).await.expect("metrics");
        let metrics = String::from_utf8_lossy(&metrics);
        let era = |line: &&str| line.contains("gateway_store_era") && !line.starts_with('#');
        let era: Vec<&str> = metrics.lines().filter(era).collect();
        assert!(era.iter().any(|line| line.ends_with(" 2")), "{era:?}");
    }
}

/// Guards against daemons that keep the state from before a return of the store, since its revisions
/// are lower than the known ones.
#[tokio::test(flavor = "multi_thread")]
async fn writes_after_two_returns_are_known_in_time() {
    check_two_returns(0).await;
}

/// Guards against daemons that take the changes since a return of the store for a continuation of
/// what they know, since its revisions have passed the known ones before the daemons call it.
#[tokio::test(flavor = "multi_thread")]
async fn revisions_that_pass_the_known_ones_are_not_a_continuation() {
    check_two_returns(40).await;
}

/// Guards against new flows to a target that was draining and whose entry in the copy is ready.
#[tokio::test(flavor = "multi_thread")]
async fn target_stays_draining_through_a_return() {
    let port = allocate_ports();
    let store = Store::start().expect("the store starts");
    publish(&store, 3);
    let target = Target::start(1, "web", "zone-a", port).await;
    target.register(&store, "ready");
    let daemon = Daemon::start(1, "zone-a", port, &store, 2);
    daemon.wait_until_ready().await;
    sleep(Duration::from_millis(100)).await;
    let copied_at = Instant::now();
    target.register(&store, "draining");
    daemon.wait_until_logged("Draining").await;
    store.return_from_copy(copied_at.elapsed(), OUTAGE).await;
    daemon.wait_until_logged("store has returned from a copy").await;
    let listed = listed_targets(&daemon).await;
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0]["is_placeable"], false, "{listed:?}");
}

/// Guards against a daemon that starts with the state from before a return of the store, since stale
/// reads still show it.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_does_not_start_with_a_stale_read_of_the_former_era() {
    let port = allocate_ports();
    let store = Store::start().expect("the store starts");
    publish(&store, 3);
    let mut targets = Vec::new();
    for number in 1..=3 {
        let target = Target::start(number, "web", "zone-a", port).await;
        targets.push(target);
    }
    targets[..2].iter().for_each(|target| target.register(&store, "ready"));
    sleep(Duration::from_millis(50)).await;
    let copied_at = Instant::now();
    targets[2].register(&store, "ready");
    store.return_from_copy(copied_at.elapsed(), Duration::ZERO).await;
    targets[0].deregister(&store);
    // The revisions pass those of the former era, so that a watch from it would get a response.
    for number in 0..10 {
        store.put("op/other", number.to_string().as_bytes());
    }
    store.set_replicas(&[Replica::Former]);
    let daemon = Daemon::start(1, "zone-a", port, &store, 2);
    daemon.wait_until_ready().await;
    assert!(has(&daemon, 3, &[&targets[1].id]).await, "{:?}", listed_targets(&daemon).await);
}
