//! Tests of the scenario with daemons that share one flow table in memory. Daemons on different VMs
//! can't do that, so these never disagree about a flow.

#![allow(clippy::unwrap_used)]

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use banyanwharf::ticket::{Service, Target, TargetState, Ticket, ZoneState};
use banyanwharf_testkit::{
    Segment, get,
    scenario::{Cluster, DaemonConfig, Plan, Result, run},
};
use tokio::{net::UdpSocket, task::JoinHandle};

/// The routes and flows that all daemons of the cluster share.
#[derive(Default)]
struct SharedTable {
    services: HashMap<SocketAddr, Service>,
    zone_out: Option<Arc<str>>,
    flows: HashMap<(SocketAddr, SocketAddr), Target>,
    /// The number of flows that each service has had.
    placed: HashMap<Arc<str>, usize>,
}

impl SharedTable {
    fn apply_tickets(&mut self, tickets: Vec<Ticket>) {
        for ticket in tickets {
            for service in ticket.services {
                self.services.insert(service.addresses[0].address, service);
            }
            for zone in ticket.zones {
                self.zone_out = (zone.state == ZoneState::Out).then_some(zone.name);
            }
        }
    }

    /// Returns the address of the target for a request packet, or `None` if the packet belongs to
    /// no flow.
    fn target(&mut self, segment: &Segment) -> Option<SocketAddr> {
        let key = (segment.source, segment.destination);
        if segment.syn && !self.flows.contains_key(&key) {
            let service = self.services.get(&segment.destination)?;
            let active = |target: &&Target| {
                target.state == TargetState::Active && Some(&target.zone) != self.zone_out.as_ref()
            };
            let targets: Vec<&Target> = service.targets.iter().filter(active).collect();
            let placed = self.placed.entry(service.name.clone()).or_default();
            *placed += 1;
            self.flows.insert(key, targets[*placed % targets.len()].clone());
        }
        if let Some(out) = &self.zone_out {
            self.flows.retain(|_, target| target.zone != *out);
        }
        self.flows.get(&key).map(|target| target.address)
    }
}

/// A cluster of daemons with one shared flow table, and with optional faults.
#[derive(Default)]
struct SharedTableCluster {
    table: Arc<Mutex<SharedTable>>,
    /// The number of the last ticket that is applied. Later tickets are ignored.
    last_ticket: Option<u64>,
    /// Sends every n-th request packet to a target of another service.
    misdeliver_every: Option<usize>,
}

async fn run_daemon(
    config: DaemonConfig,
    table: Arc<Mutex<SharedTable>>,
    misdeliver_every: Option<usize>,
) {
    let socket = UdpSocket::bind(config.data).await.unwrap();
    let mut buffer = [0; 2048];
    for count in 1.. {
        let (length, from) = socket.recv_from(&mut buffer).await.unwrap();
        let packet = &buffer[..length];
        if from != config.fabric {
            socket.send_to(packet, config.fabric).await.unwrap();
            continue;
        }
        let mut segment = Segment::parse(packet).unwrap();
        if misdeliver_every.is_some_and(|every| count % every == 0) {
            let table = table.lock().unwrap();
            let other = table.services.keys().find(|key| **key != segment.destination);
            segment.syn = true;
            segment.destination = *other.unwrap();
        }
        let to = table.lock().unwrap().target(&segment);
        match to {
            Some(to) => socket.send_to(packet, to).await.unwrap(),
            None if segment.rst => 0,
            None => {
                let reset = segment.reset().build();
                socket.send_to(&reset, config.fabric).await.unwrap()
            }
        };
    }
}

/// Reads and applies all tickets every 50 ms.
async fn poll_tickets(config: DaemonConfig, table: Arc<Mutex<SharedTable>>, last: Option<u64>) {
    loop {
        let page = get(&format!("{}/v1/tickets?index=0", config.platform)).await.unwrap().1;
        let mut tickets: Vec<Ticket> = serde_json::from_value(page["tickets"].clone()).unwrap();
        tickets.retain(|ticket| last.is_none_or(|last| ticket.number <= last));
        table.lock().unwrap().apply_tickets(tickets);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

impl Cluster for SharedTableCluster {
    type Daemon = [JoinHandle<()>; 2];

    async fn start(&self, config: DaemonConfig) -> Result<Self::Daemon> {
        let reader = poll_tickets(config.clone(), self.table.clone(), self.last_ticket);
        let packets = run_daemon(config, self.table.clone(), self.misdeliver_every);
        let tasks = [tokio::spawn(reader), tokio::spawn(packets)];
        tokio::time::sleep(Duration::from_millis(100)).await;
        Ok(tasks)
    }

    async fn stop(&self, daemon: Self::Daemon) {
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.kill(daemon).await;
    }

    async fn kill(&self, daemon: Self::Daemon) {
        daemon.iter().for_each(JoinHandle::abort);
    }

    fn control_bytes(&self, _: &Self::Daemon) -> u64 {
        1000
    }
}

fn plan() -> Plan {
    Plan {
        flows: 300,
        short_flows_per_second: 50,
        short_flow_lifetime: Duration::from_millis(300),
        step_delay: Duration::from_millis(400),
        grace_period: Duration::from_millis(500),
        detection_delay: Duration::from_millis(300),
        ..Plan::default()
    }
}

/// Guards against a scenario that reports violations although the daemons are correct.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ideal_cluster_violates_nothing() {
    let start = Instant::now();
    let progress = |text: &str| println!("{:>6.1} s: {text}", start.elapsed().as_secs_f64());
    let report = run(SharedTableCluster::default(), plan(), progress).await.unwrap();
    println!("{}", serde_json::to_string(&report).unwrap());
    assert!(report.violations().is_empty(), "{:?}: {report:?}", report.violations());
    assert!(report.requests <= report.answered + report.given_up_with_zone, "{report:?}");
    assert!(report.flows > 500 && report.given_up_with_zone > 0, "{report:?}");
    assert!(report.cold_target_flows > 0 && report.refused == 0, "{report:?}");
    assert!(report.imbalance_max_over_mean < 1.5, "{report:?}");
}

/// Guards against violations that the scenario does not report: a cluster that ignores tickets and
/// misdelivers packets violates three invariants.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_faulty_cluster_is_reported() {
    let cluster = SharedTableCluster {
        last_ticket: Some(2),
        misdeliver_every: Some(500),
        ..SharedTableCluster::default()
    };
    let report = run(cluster, plan(), |_| {}).await.unwrap();
    let violations = report.violations();
    println!("{violations:?} {report:?}");
    for expected in [
        "packets were misdelivered",
        "a zone out of service received packets",
        "a draining target received new flows",
    ] {
        assert!(violations.contains(&expected), "{expected}: {violations:?}");
    }
}
