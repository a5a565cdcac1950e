//! A run that changes daemons, targets and zones while flows exchange data.
//!
//! [`Testbed`] holds the test doubles around a cluster of daemons and has a method for each
//! change. [`run`] makes all changes one after another and returns a [`Report`], whose figures come
//! from the records of the test doubles.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    error::Error,
    future::Future,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::Protocol,
    ticket::{Address, Service, ServiceState, TargetState, Ticket, Zone, ZoneState},
};
use serde::Serialize;

use crate::{
    BreakCause, Caller, CallerConfig, CallerRecord, Daemons, Fabric, Platform, Target,
    TargetConfig, Vm, free_address,
};

/// The availability zones of deployment A.
pub const ZONES: [&str; 4] = ["mvd-cerro", "mvd-prado", "mvd-ciudadela", "mvd-buceo"];

/// The services of deployment A and their numbers of targets.
pub const SERVICES: [(&str, usize); 2] = [("turnos", 14), ("fichas", 4)];

/// The region of all daemons.
const REGION: &str = "uy";

/// The number of callers. Each is one task.
const CALLERS: u8 = 3;

/// The result of the functions of this module.
pub type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// The settings of a daemon that depend on the scenario.
#[derive(Debug, Clone)]
pub struct DaemonConfig {
    /// The name, which is different for each start.
    pub name: String,
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// The address that receives encapsulated packets.
    pub data: SocketAddr,
    /// The address for frames of other daemons.
    pub peer: SocketAddr,
    /// The address of the admin API.
    pub admin: SocketAddr,
    /// The address to which the daemon sends packets for callers.
    pub fabric: SocketAddr,
    /// The base URL of the platform.
    pub platform: String,
}

/// The daemons under test.
pub trait Cluster {
    /// A running daemon.
    type Daemon: Send + 'static;

    /// Starts a daemon and returns when the daemon receives packets.
    fn start(&self, config: DaemonConfig) -> impl Future<Output = Result<Self::Daemon>>;

    /// Stops a daemon gracefully and returns when the daemon has ended.
    fn stop(&self, daemon: Self::Daemon) -> impl Future<Output = ()>;

    /// Kills a daemon, which sends no further message.
    fn kill(&self, daemon: Self::Daemon) -> impl Future<Output = ()>;

    /// Returns the bytes of control messages that the daemon has sent since its start.
    fn control_bytes(&self, daemon: &Self::Daemon) -> u64;
}

/// The numbers of flows and the times of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed of all random choices.
    pub seed: u64,
    /// The number of flows that stay open until the end.
    pub flows: usize,
    /// The number of short flows that are opened each second.
    pub short_flows_per_second: usize,
    /// The lifetime of a short flow.
    pub short_flow_lifetime: Duration,
    /// The delay after each change. The whole run takes about 12 delays.
    pub step_delay: Duration,
    /// The time within which a ticket must be in force.
    pub grace_period: Duration,
    /// The time after which the fabric detects that a daemon no longer receives packets.
    pub detection_delay: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            flows: 2100,
            short_flows_per_second: 60,
            short_flow_lifetime: Duration::from_secs(2),
            step_delay: Duration::from_millis(3500),
            grace_period: Duration::from_secs(5),
            detection_delay: Duration::from_secs(1),
        }
    }
}

/// The figures of a run, all measured by the test doubles.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Flows that were established.
    pub flows: u64,
    /// Flows that broke, without those whose target was in the zone taken out of service.
    pub broken: usize,
    /// The broken flows by cause, without those that were still open at the end of the run.
    pub broken_by_cause: BTreeMap<BreakCause, usize>,
    /// Flows that were reset while the caller closed them after the last response.
    pub reset_closing: u64,
    /// Packets that arrived at a target of another service.
    pub misdelivered: u64,
    /// Responses to another request, or of another service or target than before.
    pub crossed: u64,
    /// Responses that were cut off or had a wrong body.
    pub truncated: u64,
    /// Requests that were executed more than once.
    pub executed_twice: usize,
    /// Flows that were reset before they were established.
    pub refused: usize,
    /// Flows that a daemon refused although a target had received a packet of the flow.
    pub false_refusals: usize,
    /// Flows that got no answer to their SYN.
    pub unreachable: usize,
    /// Flows that broke because the zone of their target was taken out of service.
    pub given_up_with_zone: u64,
    /// Packets that arrived at targets of the zone between the end of the grace period and the
    /// return of the zone.
    pub zone_packets_after_grace: u64,
    /// Flows that the drained target accepted after the grace period.
    pub drained_target_new_flows_after_grace: usize,
    /// The number of open flows of the busiest target divided by the mean of its service, before
    /// the first change.
    pub imbalance_max_over_mean: f64,
    /// The longest time from a ticket to the last new flow on the drained target or the last packet
    /// to the zone out of service.
    pub ticket_in_force_ms: u64,
    /// Bytes of control messages sent per daemon and second.
    pub control_bytes_per_daemon_per_s: f64,
    /// Requests sent.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were answered with status 503.
    pub shed: u64,
    /// Flows that the cold target accepted.
    pub cold_target_flows: usize,
    /// Requests that arrived at the cold target while all its slots were busy.
    pub cold_target_over_slots: u64,
    /// The highest number of calls to the platform in one second.
    pub platform_calls_per_s: u64,
}

impl Report {
    /// Returns descriptions of the violated invariants.
    pub fn violations(&self) -> Vec<&'static str> {
        let checks = [
            ("flows broke", self.broken > 0),
            ("packets were misdelivered", self.misdelivered > 0),
            ("responses crossed", self.crossed > 0),
            ("responses were truncated", self.truncated > 0),
            ("requests ran twice", self.executed_twice > 0),
            ("refusals were false", self.false_refusals > 0),
            ("a zone out of service received packets", self.zone_packets_after_grace > 0),
            ("a draining target received new flows", self.drained_target_new_flows_after_grace > 0),
        ];
        checks.into_iter().filter_map(|(text, violated)| violated.then_some(text)).collect()
    }
}

struct RunningDaemon<D> {
    config: DaemonConfig,
    daemon: D,
    started: Instant,
}

/// The test doubles around a cluster of daemons.
pub struct Testbed<C: Cluster> {
    /// The daemons under test.
    pub cluster: C,
    /// The platform.
    pub platform: Platform,
    /// The fabric.
    pub fabric: Fabric,
    /// The targets.
    pub targets: Vec<Target>,
    /// The callers.
    pub callers: Vec<Caller>,
    plan: Plan,
    daemons: Daemons,
    running: Vec<RunningDaemon<C::Daemon>>,
    vms: Vec<Vm>,
    draining: HashSet<String>,
    zone_out: Option<String>,
    last_ticket: u64,
    daemon_count: usize,
}

impl<C: Cluster> Testbed<C> {
    /// Starts the platform, the fabric, warm targets and the callers, and publishes the services.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a socket.
    pub fn start(cluster: C, plan: Plan) -> Result<Self> {
        let daemons = Daemons::default();
        let fabric = Fabric::start(plan.seed, daemons.clone())?;
        let mut testbed = Self {
            cluster,
            platform: Platform::start()?,
            targets: Vec::new(),
            callers: Vec::new(),
            daemons,
            running: Vec::new(),
            vms: Vec::new(),
            draining: HashSet::new(),
            zone_out: None,
            last_ticket: 0,
            daemon_count: 0,
            fabric,
            plan,
        };
        for (service, count) in SERVICES {
            for index in 0..count {
                testbed.add_target(service, ZONES[index % ZONES.len()], true)?;
            }
            testbed.publish_service(service);
        }
        for index in 0..CALLERS {
            let address = IpAddr::from(Ipv4Addr::new(10, 1, index, 1));
            let services = SERVICES.map(|(name, _)| (name.into(), service_address(name)));
            let seed = testbed.plan.seed as u32 * 100 + u32::from(index);
            let config = CallerConfig::new(seed, address, services.into());
            testbed.callers.push(Caller::start(config, &testbed.fabric));
        }
        Ok(testbed)
    }

    /// Starts a target without publishing it, and returns the target's index.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a socket.
    pub fn add_target(&mut self, service: &str, zone: &str, warm: bool) -> Result<usize> {
        let index = self.targets.len();
        let name = format!("{service}-{index:02}");
        let mut config = TargetConfig::new(service, &name, zone, &self.daemons);
        config.addresses = vec![service_address(service)];
        config.seed = self.plan.seed ^ index as u64;
        config.starts_warm = warm;
        self.targets.push(Target::start(config)?);
        Ok(index)
    }

    /// Publishes a ticket with a service and all its targets.
    pub fn publish_service(&mut self, service: &str) {
        let targets = self.targets.iter().filter(|target| target.config().service == service);
        let targets = targets.map(|target| {
            let mut target = target.describe();
            if self.draining.contains(&*target.name) {
                target.state = TargetState::Draining;
            }
            target
        });
        let service = Service {
            name: service.into(),
            state: ServiceState::Active,
            addresses: vec![Address { protocol: Protocol::Tcp, address: service_address(service) }],
            targets: targets.collect(),
            policy: None,
        };
        self.publish(vec![service], Vec::new());
    }

    /// Publishes a ticket that drains a target.
    pub fn drain(&mut self, target: usize) {
        let config = self.targets[target].config().clone();
        self.draining.insert(config.name);
        self.publish_service(&config.service);
    }

    /// Publishes a ticket that takes an availability zone out of service or back into service. The
    /// fabric changes its daemons after the detection delay.
    pub async fn set_zone(&mut self, zone: &str, state: ZoneState) {
        let out = state == ZoneState::Out;
        for caller in &self.callers {
            let targets = self.targets.iter().map(Target::config);
            let targets = targets.filter(|target| out && target.zone == zone);
            caller.set_out_of_service(targets.map(|target| target.name.clone()));
        }
        let name = zone.into();
        self.publish(Vec::new(), vec![Zone { name, state }]);
        tokio::time::sleep(self.plan.detection_delay).await;
        self.zone_out = out.then(|| zone.into());
        self.update_fabric();
    }

    /// Starts a daemon in each zone, all at the same time.
    ///
    /// # Errors
    ///
    /// Returns the error of the first daemon that did not start.
    pub async fn add_daemons(&mut self) -> Result<()> {
        let mut configs = Vec::new();
        for zone in ZONES {
            configs.push(self.register_vm(zone)?);
        }
        let start = |index: usize| self.cluster.start(configs[index].clone());
        let (a, b, c, d) = tokio::join!(start(0), start(1), start(2), start(3));
        for (config, daemon) in configs.into_iter().zip([a, b, c, d]) {
            self.add_running(config, daemon?);
        }
        Ok(())
    }

    /// Starts a daemon in a zone.
    ///
    /// # Errors
    ///
    /// Returns the error of the daemon's start.
    pub async fn add_daemon(&mut self, zone: &str) -> Result<()> {
        let config = self.register_vm(zone)?;
        let daemon = self.cluster.start(config.clone()).await?;
        self.add_running(config, daemon);
        Ok(())
    }

    /// Stops the oldest daemon gracefully and returns its zone. The fabric stops sending to the
    /// daemon after the detection delay, while the daemon drains.
    pub async fn stop_daemon(&mut self) -> String {
        let stopping = self.running.remove(0);
        let name = stopping.config.name;
        for vm in self.vms.iter_mut().filter(|vm| vm.name == name) {
            vm.state = "leaving".into();
        }
        self.platform.set_vms(self.vms.clone());
        tokio::join!(self.cluster.stop(stopping.daemon), async {
            tokio::time::sleep(self.plan.detection_delay).await;
            self.update_fabric();
        });
        self.unregister_vm(&name);
        stopping.config.zone
    }

    /// Kills the oldest daemon and returns its zone. The fabric sends to the daemon until the end
    /// of the detection delay.
    pub async fn kill_daemon(&mut self) -> String {
        let killed = self.running.remove(0);
        self.cluster.kill(killed.daemon).await;
        tokio::time::sleep(self.plan.detection_delay).await;
        self.update_fabric();
        self.unregister_vm(&killed.config.name);
        killed.config.zone
    }

    /// Opens `count` flows, spread over all callers and evenly over `period`.
    pub fn open_flows(&self, count: usize, period: Duration, lifetime: Option<Duration>) {
        let callers = self.callers.len();
        for (index, caller) in self.callers.iter().enumerate() {
            caller.open(count / callers + usize::from(index < count % callers), period, lifetime);
        }
    }

    /// Sends a last request on each flow within `period` and closes the flows. Stops waiting 12 s
    /// after `period`.
    pub async fn finish(&self, period: Duration) {
        let deadline = tokio::time::Instant::now() + period + Duration::from_secs(12);
        for caller in &self.callers {
            caller.begin_finish(period);
        }
        for caller in &self.callers {
            // Flows that are still open at the deadline count as broken in the report.
            let _ = tokio::time::timeout_at(deadline, caller.wait_until_closed()).await;
        }
    }

    /// Returns the number of open flows of the busiest target divided by the mean of its service.
    pub fn imbalance(&self) -> f64 {
        let of = |service: &str| {
            let targets = self.targets.iter().filter(|t| t.config().service == service);
            let open: Vec<usize> = targets.map(|t| t.read(|record| record.open)).collect();
            let mean = open.iter().sum::<usize>() as f64 / open.len() as f64;
            open.into_iter().max().unwrap_or(0) as f64 / mean.max(1.0)
        };
        SERVICES.iter().map(|(service, _)| of(service)).fold(0.0, f64::max)
    }

    /// Returns the bytes of control messages per daemon and second, over the running daemons.
    pub fn control_rate(&self) -> f64 {
        let rate = |daemon: &RunningDaemon<C::Daemon>| {
            self.cluster.control_bytes(&daemon.daemon) as f64
                / daemon.started.elapsed().as_secs_f64()
        };
        self.running.iter().map(rate).sum::<f64>() / self.running.len().max(1) as f64
    }

    /// Kills all daemons.
    pub async fn stop(mut self) {
        for daemon in std::mem::take(&mut self.running) {
            self.cluster.kill(daemon.daemon).await;
        }
    }

    /// Returns a report without the figures that depend on the time of a change. `zone` is the zone
    /// that was taken out of service.
    pub fn report(&self, zone: Option<&str>) -> Report {
        let mut report = Report {
            seed: self.plan.seed,
            control_bytes_per_daemon_per_s: self.control_rate(),
            platform_calls_per_s: self.platform.peak_calls_per_second(),
            ..Report::default()
        };
        let mut executed: HashMap<u64, u32> = HashMap::new();
        for target in &self.targets {
            let record = target.record();
            report.misdelivered += record.misdelivered + record.malformed;
            for (id, count) in record.executed {
                *executed.entry(id).or_default() += count;
            }
        }
        report.executed_twice = executed.values().filter(|count| **count > 1).count();
        for caller in &self.callers {
            self.add_caller(&mut report, &caller.record(), zone);
        }
        report
    }

    fn add_caller(&self, report: &mut Report, record: &CallerRecord, zone: Option<&str>) {
        report.flows += record.opened;
        report.crossed += record.crossed;
        report.reset_closing += record.reset_closing;
        report.truncated += record.truncated;
        report.given_up_with_zone += record.given_up;
        report.requests += record.requests;
        report.answered += record.answered;
        report.shed += record.shed;
        report.unreachable += record.unreachable.len();
        report.broken += record.open as usize;
        // The caller does not know the target of a flow without a response, but the target has
        // recorded the flow's packets.
        let in_zone = |caller: &SocketAddr| {
            let targets = self.targets.iter();
            targets
                .filter(|target| Some(&*target.config().zone) == zone)
                .any(|target| target.read(|record| record.seen_callers.contains(caller)))
        };
        for flow in &record.broken {
            match flow.target.is_none() && in_zone(&flow.caller) {
                true => report.given_up_with_zone += 1,
                false => {
                    report.broken += 1;
                    *report.broken_by_cause.entry(flow.cause).or_default() += 1;
                }
            }
        }
        for (_, caller) in &record.refused {
            let read = |read: fn(&crate::TargetRecord) -> &HashSet<SocketAddr>| {
                let mut targets = self.targets.iter();
                targets.any(|target| target.read(|record| read(record).contains(caller)))
            };
            let seen = read(|record| &record.seen_callers);
            if seen && in_zone(caller) {
                report.given_up_with_zone += 1;
                continue;
            }
            report.refused += 1;
            // A target at its connection limit sends the RST itself.
            let by_target = read(|record| &record.reset_callers);
            report.false_refusals += usize::from(seen && !by_target);
        }
    }

    fn publish(&mut self, services: Vec<Service>, zones: Vec<Zone>) {
        self.last_ticket += 1;
        self.platform.publish(&Ticket {
            number: self.last_ticket,
            note: None,
            services,
            zones,
            policies: Vec::new(),
        });
    }

    /// Adds a VM to the platform's list and returns the settings of the VM's daemon.
    fn register_vm(&mut self, zone: &str) -> Result<DaemonConfig> {
        self.daemon_count += 1;
        let config = DaemonConfig {
            name: format!("entry-{}", self.daemon_count),
            region: REGION.into(),
            zone: zone.into(),
            data: free_address()?,
            peer: free_address()?,
            admin: free_address()?,
            fabric: self.fabric.address()?,
            platform: self.platform.url(),
        };
        self.vms.push(Vm {
            name: config.name.clone(),
            region: config.region.clone(),
            zone: config.zone.clone(),
            peer: config.peer,
            admin: config.admin,
            state: "live".into(),
        });
        self.platform.set_vms(self.vms.clone());
        Ok(config)
    }

    fn unregister_vm(&mut self, name: &str) {
        self.vms.retain(|vm| vm.name != name);
        self.platform.set_vms(self.vms.clone());
    }

    fn add_running(&mut self, config: DaemonConfig, daemon: C::Daemon) {
        let started = Instant::now();
        self.running.push(RunningDaemon { config, daemon, started });
        self.update_fabric();
    }

    fn update_fabric(&self) {
        let running = self.running.iter().map(|daemon| &daemon.config);
        let running = running.filter(|config| Some(&config.zone) != self.zone_out.as_ref());
        self.fabric.set_daemons(running.map(|config| config.data));
    }
}

/// Returns the address of a service of [`SERVICES`].
pub fn service_address(service: &str) -> SocketAddr {
    let index = SERVICES.iter().position(|(name, _)| *name == service);
    let index = index.map_or(0, |index| index as u8 + 1);
    SocketAddr::new(Ipv4Addr::new(10, 77, 0, index).into(), 80)
}

/// Starts, stops and kills daemons, drains and adds a target, and takes a zone out of service and
/// back, all while flows exchange data.
///
/// # Errors
///
/// Returns the first error of a daemon's start or of a socket. A violated invariant is not an
/// error; see [`Report::violations`].
pub async fn run<C: Cluster>(
    cluster: C,
    plan: Plan,
    mut progress: impl FnMut(&str),
) -> Result<Report> {
    let step_delay = plan.step_delay;
    let grace_period = plan.grace_period;
    let mut testbed = Testbed::start(cluster, plan.clone())?;
    testbed.add_daemons().await?;
    progress("platform, 18 targets in 4 zones and 4 daemons are running");
    tokio::time::sleep(step_delay / 2).await;

    testbed.open_flows(plan.flows, step_delay, None);
    // Short flows are opened until the callers finish.
    let churn_period = step_delay * 14;
    let count = plan.short_flows_per_second as f64 * churn_period.as_secs_f64();
    testbed.open_flows(count as usize, churn_period, Some(plan.short_flow_lifetime));
    tokio::time::sleep(step_delay * 3 / 2).await;
    let imbalance = testbed.imbalance();
    progress("long flows are open, short flows open and close");

    let drained = 0;
    testbed.drain(drained);
    let drained_at = Instant::now();
    progress("ticket published: a target drains");
    tokio::time::sleep(step_delay / 2).await;

    let zone = testbed.stop_daemon().await;
    testbed.add_daemon(&zone).await?;
    progress("a daemon has stopped gracefully, a new daemon has started");
    tokio::time::sleep(step_delay).await;

    let zone = testbed.kill_daemon().await;
    progress("a daemon was killed");
    tokio::time::sleep(step_delay).await;
    testbed.add_daemon(&zone).await?;
    progress("a new daemon has started");
    tokio::time::sleep(step_delay / 2).await;

    let cold = testbed.add_target(SERVICES[0].0, ZONES[3], false)?;
    testbed.publish_service(SERVICES[0].0);
    progress("ticket published: a cold target is added");
    tokio::time::sleep(step_delay).await;

    let zone = ZONES[2];
    let out_at = Instant::now();
    testbed.set_zone(zone, ZoneState::Out).await;
    progress("ticket published: a zone is out of service");
    tokio::time::sleep(grace_period + step_delay / 2).await;
    let back_at = Instant::now();
    testbed.set_zone(zone, ZoneState::In).await;
    progress("ticket published: the zone is back in service");
    tokio::time::sleep(step_delay).await;

    testbed.finish(step_delay / 2).await;
    progress("the last requests were sent and the flows were closed");
    let mut report = testbed.report(Some(zone));
    report.imbalance_max_over_mean = imbalance;
    let end = Instant::now();
    let mut in_force = Duration::ZERO;
    testbed.targets[drained].read(|record| {
        report.drained_target_new_flows_after_grace =
            record.flows_between(drained_at + grace_period, end);
        let last = record.flows.last().map(|(at, _)| *at);
        in_force = in_force.max(last.map_or(Duration::ZERO, |at| at - drained_at));
    });
    for target in testbed.targets.iter().filter(|target| target.config().zone == zone) {
        target.read(|record| {
            let late = record.packets_between(out_at + grace_period, back_at);
            report.zone_packets_after_grace += late.values().sum::<u64>();
            let last = record.last_packet(back_at);
            in_force = in_force.max(last.map_or(Duration::ZERO, |at| at - out_at));
        });
    }
    report.ticket_in_force_ms = in_force.as_millis() as u64;
    let record = testbed.targets[cold].record();
    report.cold_target_flows = record.flows.len();
    report.cold_target_over_slots = record.over_cold_slots;
    testbed.stop().await;
    Ok(report)
}
