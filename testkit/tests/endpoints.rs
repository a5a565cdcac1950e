//! Tests of the endpoints' test doubles with a stateless forwarder in place of the daemons.

#![allow(clippy::unwrap_used)]

use std::{
    collections::HashSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use banyanwharf_testkit::{
    BreakCause, BrokenFlow, Caller, CallerConfig, Daemons, Fabric, Impairment, Initiator,
    InitiatorConfig, LoadSharing, Responder, Target, TargetConfig, free_address, get,
};
use serde_json::json;
use tokio::net::UdpSocket;

const SERVICE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1)), 80);

fn caller_address() -> IpAddr {
    Ipv4Addr::new(10, 1, 0, 1).into()
}

/// Forwards packets of the fabric to the targets in turn, and all other packets to the fabric.
async fn forward(socket: UdpSocket, fabric: SocketAddr, targets: Vec<SocketAddr>) {
    let mut buffer = [0; 2048];
    for turn in 0.. {
        let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
        let to = if from == fabric { targets[turn % targets.len()] } else { fabric };
        socket.send_to(&buffer[..length], to).await.unwrap();
    }
}

async fn forwarder(fabric: &Fabric, targets: Vec<SocketAddr>) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(forward(socket, fabric.address().unwrap(), targets));
    address
}

fn target_config(name: &str, daemons: &Daemons) -> TargetConfig {
    let mut config = TargetConfig::new("turnos", name, "mvd-cerro", daemons);
    config.addresses = vec![SERVICE];
    config
}

fn default_caller_config(seed: u32) -> CallerConfig {
    caller_config(seed, caller_address())
}

fn caller_config(seed: u32, address: IpAddr) -> CallerConfig {
    let mut config = CallerConfig::new(seed, address, vec![("turnos".into(), SERVICE)]);
    config.request_delay = Duration::from_millis(20)..Duration::from_millis(200);
    config
}

/// Waits until `done` returns `true`, so that a test on a loaded machine takes longer but passes.
/// `what` names the condition for the message of the panic after 30 s.
async fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(30), "{what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against faults of the test doubles themselves: broken flows and lost responses under
/// packet loss and reordering, although the forwarder is correct.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flows_survive_losses_and_reordering_of_a_correct_forwarder() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let target = Target::start(target_config("turnos-1", &daemons)).unwrap();
    daemons.set([forwarder(&fabric, vec![target.address()]).await]);
    let caller = Caller::start(default_caller_config(2), &fabric);
    caller.open(150, Duration::from_millis(500), None);
    caller.open(100, Duration::from_secs(1), Some(Duration::from_millis(300)));
    // A flow may be silent for longer than the TCP timeout.
    let mut silent = caller_config(3, Ipv4Addr::new(10, 1, 0, 2).into());
    silent.silent_share = 1.0;
    silent.tcp_timeout = Duration::from_millis(1200);
    let silent = Caller::start(silent, &fabric);
    silent.open(10, Duration::ZERO, None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fabric.set_impairment(Impairment {
        loss: 0.02,
        delay: Duration::from_millis(1),
        jitter: Duration::from_millis(4),
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    fabric.set_impairment(Impairment::default());
    silent.begin_finish(Duration::ZERO);
    silent.wait_until_closed().await;
    assert_eq!(silent.record().closed, 10, "{:?}", silent.record());
    caller.begin_finish(Duration::from_millis(500));
    caller.wait_until_closed().await;
    let seen = caller.record();
    assert_eq!((seen.opened, seen.closed, seen.open), (250, 250, 0), "{seen:?}");
    assert!(seen.broken.is_empty(), "{seen:?}");
    assert_eq!((seen.crossed, seen.truncated, seen.reset_closing), (0, 0, 0));
    assert_eq!(seen.requests, seen.answered);
    let record = target.record();
    assert_eq!(record.flows.len(), 260);
    assert_eq!(record.executed.len() as u64, seen.requests + silent.record().requests);
    assert_eq!((record.executed_twice(), record.misdelivered), (0, 0));
    assert!(record.peak_busy <= 4);
}

/// Guards against broken flows that the caller does not count, or counts under a wrong cause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_flows_are_counted_by_cause() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let target = Target::start(target_config("turnos-1", &daemons)).unwrap();
    daemons.set([forwarder(&fabric, vec![target.address()]).await]);
    let mut config = default_caller_config(2);
    config.tcp_timeout = Duration::from_secs(3);
    let caller = Caller::start(config, &fabric);
    let broken = |cause| {
        let broken = caller.record().broken;
        broken.iter().filter(|flow| flow.cause == cause).count()
    };
    caller.open(40, Duration::ZERO, None);
    wait_for("open flows", || caller.record().opened == 40).await;
    target.control(|controls| controls.restart = Some(true));
    wait_for("resets", || broken(BreakCause::Reset) > 20).await;
    caller.open(10, Duration::ZERO, Some(Duration::from_secs(9)));
    let answered = caller.record().answered;
    wait_for("responses", || caller.record().answered > answered + 30).await;
    caller.set_out_of_service(["turnos-1".into()]);
    drop(target);
    caller.begin_finish(Duration::from_millis(100));
    caller.wait_until_closed().await;
    let record = caller.record();
    assert_eq!(record.broken.len() + record.given_up as usize, 50, "{record:?}");
    // Without a response, the caller does not know that the flow's target is out of service.
    let unknown = |flow: &BrokenFlow| flow.cause == BreakCause::Reset || flow.target.is_none();
    assert!(record.broken.iter().all(unknown), "{record:?}");
    assert!(record.given_up > 0, "{record:?}");
}

/// Checks that the caller detects broken flows: a stateless forwarder with two targets breaks
/// flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spraying_over_two_targets_without_state_breaks_flows() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let one = Target::start(target_config("turnos-1", &daemons)).unwrap();
    let two = Target::start(target_config("turnos-2", &daemons)).unwrap();
    daemons.set([forwarder(&fabric, vec![one.address(), two.address()]).await]);
    let caller = Caller::start(default_caller_config(2), &fabric);
    caller.open(100, Duration::from_millis(200), None);
    wait_for("broken flows", || {
        let record = caller.record();
        record.broken.len() + record.refused.len() > 50
    })
    .await;
    assert!(one.record().resets + two.record().resets > 0);
}

/// Guards against a cold target that accepts more load than its cold slots and its queue allow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_overloaded_cold_target_resets_connections() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let mut config = target_config("turnos-1", &daemons);
    config.starts_warm = false;
    config.service_time = Duration::from_millis(50);
    let target = Target::start(config).unwrap();
    daemons.set([forwarder(&fabric, vec![target.address()]).await]);
    let caller = Caller::start(default_caller_config(2), &fabric);
    caller.open(100, Duration::ZERO, None);
    wait_for("a reset", || target.read(|record| record.overload_resets) > 0).await;
    let record = target.record();
    assert!(record.over_cold_slots > 0 && record.peak_busy == 1, "{record:?}");
}

/// Guards against health and load endpoints that report another state than the target has, except
/// with an override, and against a report that hides a restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoints_report_limits_and_overrides() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let mut config = target_config("turnos-1", &daemons);
    config.connections = 10;
    let target = Target::start(config).unwrap();
    daemons.set([forwarder(&fabric, vec![target.address()]).await]);
    let url = target.describe();
    let (health, load) = (url.health.unwrap(), url.load.unwrap());
    let caller = Caller::start(default_caller_config(2), &fabric);
    caller.open(30, Duration::ZERO, None);
    target.control(|controls| controls.shed_share = 1.0);
    wait_for("shed requests", || caller.record().shed > 20).await;
    wait_for("refusals", || caller.record().refused.len() == 20).await;
    wait_for("10 open flows", || target.read(|record| record.open) == 10).await;
    let before = get(&load).await.unwrap();
    assert_eq!((before.0, &before.1["connections"]), (200, &json!(10)));
    target.control(|controls| {
        controls.restart = Some(true);
        controls.load_report_age = Duration::from_secs(1000);
        controls.draining = true;
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(get(&health).await.unwrap().0, 503);
    assert_eq!(get(&load).await.unwrap(), before, "the load report is newer than the set age");
    target.control(|controls| {
        controls.load_report_age = Duration::ZERO;
        controls.health_override = Some(200);
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(get(&health).await.unwrap().0, 200);
    let after = get(&load).await.unwrap().1;
    assert_ne!(after["start"], before.1["start"]);
    assert_eq!(after["connections"], 0);
    target.control(|controls| controls.load_override = Some(json!({"busy": 9})));
    assert_eq!(get(&load).await.unwrap().1, json!({"busy": 9}));
}

/// Guards against flows that change the daemon although the fabric shares load per flow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ipv6_flows_stay_on_their_daemon() {
    let service: SocketAddr = "[fd00::9]:80".parse().unwrap();
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    fabric.set_load_sharing(LoadSharing::PerFlow);
    let targets = ["turnos-1", "turnos-2"].map(|name| {
        let mut config = target_config(name, &daemons);
        config.addresses = vec![service];
        Target::start(config).unwrap()
    });
    let mut forwarders = Vec::new();
    for target in &targets {
        forwarders.push(forwarder(&fabric, vec![target.address()]).await);
    }
    daemons.set(forwarders);
    let mut config = caller_config(2, "fd00::1".parse().unwrap());
    config.services = vec![("turnos".into(), service)];
    let caller = Caller::start(config, &fabric);
    caller.open(100, Duration::from_millis(200), None);
    wait_for("open flows", || caller.record().opened == 100).await;
    caller.begin_finish(Duration::from_millis(200));
    caller.wait_until_closed().await;
    let record = caller.record();
    assert_eq!((record.closed, record.broken.len()), (100, 0), "{record:?}");
    for target in &targets {
        assert!(target.read(|record| record.flows.len()) > 20);
    }
}

/// Guards against an initiator or responder that loses flows itself, and against an initiator that
/// does not count flows that were moved to another responder.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn initiator_flows_survive_and_moved_flows_are_counted() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let one = Responder::start(1, vec![SERVICE], daemons.clone()).unwrap();
    daemons.set([forwarder(&fabric, vec![one.address()]).await]);
    let config = InitiatorConfig {
        service: SERVICE,
        addresses: vec![caller_address()],
        retransmission_interval: Duration::from_millis(300),
        max_attempts: 10,
    };
    let initiator = Initiator::start(config, &fabric);
    for number in 0..2000 {
        initiator.open(number);
    }
    wait_for("opened", || initiator.record().opened == 2000).await;
    for number in 0..2000 {
        assert!(initiator.send_data(number));
    }
    wait_for("answered", || initiator.record().answered == 4000).await;
    let record = initiator.record();
    assert_eq!((record.moved, record.crossed, record.broken, record.unanswered), (0, 0, 0, 0));
    for number in 0..1000 {
        assert!(initiator.close(number));
    }
    wait_for("closed", || initiator.record().closed == 1000).await;
    let two = Responder::start(2, vec![SERVICE], daemons.clone()).unwrap();
    daemons.set([forwarder(&fabric, vec![two.address()]).await]);
    for number in 1000..2000 {
        assert!(initiator.send_data(number));
    }
    wait_for("broken", || initiator.record().broken == 1000).await;
    assert!(two.record().unknown >= 1000);
    assert_eq!(one.record().accepted, 2000);
}

/// Guards against two tests of one process that get the same address because neither has bound it
/// yet.
#[test]
fn free_addresses_are_given_out_once() {
    let given: HashSet<_> = (0..2000).map(|_| free_address().expect("a free port")).collect();
    assert_eq!(given.len(), 2000);
}
