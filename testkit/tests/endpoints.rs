//! The test doubles against a forwarder without state.

#![allow(clippy::unwrap_used)]

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use banyanwharf_testkit::{
    Caller, CallerConfig, Cause, Daemons, Fabric, Impairment, Probe, ProbeConfig, Responder,
    Target, TargetConfig,
};
use tokio::net::UdpSocket;

const SERVICE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1)), 80);

fn caller_address() -> IpAddr {
    Ipv4Addr::new(10, 1, 0, 1).into()
}

/// Sends packets of the fabric to the targets in turn, and all others to the fabric.
async fn forward(socket: UdpSocket, fabric: SocketAddr, targets: Vec<SocketAddr>) {
    let mut buffer = [0; 2048];
    for turn in 0.. {
        let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
        let to = if from == fabric {
            targets[turn % targets.len()]
        } else {
            fabric
        };
        socket.send_to(&buffer[..length], to).await.unwrap();
    }
}

async fn forwarder(fabric: &Fabric, daemons: &Daemons, targets: Vec<SocketAddr>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    daemons.set([socket.local_addr().unwrap()]);
    tokio::spawn(forward(socket, fabric.address().unwrap(), targets));
}

fn target(name: &str, daemons: &Daemons) -> TargetConfig {
    let mut config = TargetConfig::new("turnos", name, "mvd-cerro", daemons);
    config.addresses = vec![SERVICE];
    config
}

fn caller(seed: u32) -> CallerConfig {
    caller_config(seed, caller_address())
}

fn caller_config(seed: u32, address: IpAddr) -> CallerConfig {
    let mut config = CallerConfig::new(seed, address, vec![("turnos".into(), SERVICE)]);
    config.pause = Duration::from_millis(20)..Duration::from_millis(200);
    config
}

/// Guards against test doubles that break flows or lose responses by themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flows_survive_losses_and_reordering_of_a_correct_forwarder() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let target = Target::start(target("turnos-1", &daemons)).unwrap();
    forwarder(&fabric, &daemons, vec![target.address()]).await;
    let caller = Caller::start(caller(2), &fabric);
    caller.open(150, Duration::from_millis(500), None);
    caller.open(
        100,
        Duration::from_secs(1),
        Some(Duration::from_millis(300)),
    );
    // Silence longer than the stack's timeout breaks no flow.
    let mut silent = caller_config(3, Ipv4Addr::new(10, 1, 0, 2).into());
    silent.silent = 1.0;
    silent.timeout = Duration::from_millis(1200);
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
    silent.closed().await;
    assert_eq!(silent.record().closed, 10, "{:?}", silent.record());
    caller.begin_finish(Duration::from_millis(500));
    caller.closed().await;
    let seen = caller.record();
    assert_eq!(
        (seen.opened, seen.closed, seen.open),
        (250, 250, 0),
        "{seen:?}"
    );
    assert!(seen.broken.is_empty(), "{seen:?}");
    assert_eq!(
        (seen.crossed, seen.truncated, seen.reset_closing),
        (0, 0, 0)
    );
    assert_eq!(seen.requests, seen.answered);
    let record = target.record();
    assert_eq!(record.flows.len(), 260);
    assert_eq!(
        record.executed.len() as u64,
        seen.requests + silent.record().requests
    );
    assert_eq!((record.executed_twice(), record.misdelivered), (0, 0));
    assert!(record.peak_busy <= 4);
}

/// Guards against broken flows that are not counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_flows_are_counted_by_cause() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let target = Target::start(target("turnos-1", &daemons)).unwrap();
    forwarder(&fabric, &daemons, vec![target.address()]).await;
    let mut config = caller(2);
    config.timeout = Duration::from_secs(3);
    let caller = Caller::start(config, &fabric);
    let broken = |cause| {
        let broken = caller.record().broken;
        broken.iter().filter(|flow| flow.cause == cause).count()
    };
    caller.open(40, Duration::ZERO, None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    target.restart(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let resets = broken(Cause::Reset);
    assert!(
        resets > 20,
        "{resets} flows were reset by the restarted target"
    );
    caller.open(10, Duration::ZERO, Some(Duration::from_secs(9)));
    tokio::time::sleep(Duration::from_millis(300)).await;
    caller.take_out(["turnos-1".into()]);
    drop(target);
    caller.begin_finish(Duration::from_millis(100));
    caller.closed().await;
    let record = caller.record();
    assert_eq!(
        record.broken.len() + record.given_up as usize,
        50,
        "{record:?}"
    );
    assert!(
        record.given_up >= 10,
        "flows of a target taken out are given up: {record:?}"
    );
}

/// Proves that the counts can fail: spraying without state breaks flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spraying_over_two_targets_without_state_breaks_flows() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let one = Target::start(target("turnos-1", &daemons)).unwrap();
    let two = Target::start(target("turnos-2", &daemons)).unwrap();
    forwarder(&fabric, &daemons, vec![one.address(), two.address()]).await;
    let caller = Caller::start(caller(2), &fabric);
    caller.open(100, Duration::from_millis(200), None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let record = caller.record();
    let lost = record.broken.len() + record.refused.len();
    assert!(lost > 50, "{record:?}");
    assert!(one.record().resets + two.record().resets > 0);
}

/// Guards against a cold target that takes any load, and a report that hides a restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cold_target_falls_over() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let mut config = target("turnos-1", &daemons);
    config.warm = false;
    config.service_time = Duration::from_millis(50);
    let target = Target::start(config).unwrap();
    forwarder(&fabric, &daemons, vec![target.address()]).await;
    let caller = Caller::start(caller(2), &fabric);
    caller.open(100, Duration::ZERO, None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let record = target.record();
    assert!(record.over_cold > 0 && record.fallen > 0, "{record:?}");
    assert_eq!(record.peak_busy, 1);
}

/// Guards against a probe or responder that loses flows by itself or misses moved flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn probe_flows_survive_and_moved_flows_are_counted() {
    let daemons = Daemons::default();
    let fabric = Fabric::start(1, daemons.clone()).unwrap();
    let one = Responder::start(1, vec![SERVICE], daemons.clone()).unwrap();
    forwarder(&fabric, &daemons, vec![one.address()]).await;
    let config = ProbeConfig {
        service: SERVICE,
        addresses: vec![caller_address()],
        resend: Duration::from_millis(300),
        attempts: 10,
    };
    let probe = Probe::start(config, &fabric);
    let settled = |done: fn(&banyanwharf_testkit::ProbeRecord) -> u64, count: u64| {
        let probe = &probe;
        async move {
            let start = Instant::now();
            while done(&probe.record()) < count && start.elapsed() < Duration::from_secs(20) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            assert_eq!(done(&probe.record()), count, "{:?}", probe.record());
        }
    };
    for number in 0..2000 {
        probe.open(number);
    }
    settled(|record| record.opened, 2000).await;
    for number in 0..2000 {
        assert!(probe.exchange(number));
    }
    settled(|record| record.answered, 4000).await;
    let record = probe.record();
    assert_eq!(
        (
            record.moved,
            record.crossed,
            record.broken,
            record.unanswered
        ),
        (0, 0, 0, 0)
    );
    for number in 0..1000 {
        assert!(probe.close(number));
    }
    settled(|record| record.closed, 1000).await;
    let two = Responder::start(2, vec![SERVICE], daemons.clone()).unwrap();
    forwarder(&fabric, &daemons, vec![two.address()]).await;
    for number in 1000..2000 {
        assert!(probe.exchange(number));
    }
    settled(|record| record.broken, 1000).await;
    assert!(two.record().unknown >= 1000);
    assert_eq!(one.record().accepted, 2000);
}
