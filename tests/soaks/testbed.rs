//! One run: daemon processes, test doubles and the actions on them.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use banyanwharf_testkit::{Gate, Proxy, ProxyMode, Replica, StoreMode};
use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, sleep},
};

use crate::gateways::{
    daemon::{address, admin, run_tool, settings},
    target::Target,
};

use super::{
    caller::Callers,
    delays,
    fleet::Setup,
    plan::{Action, PathFault, Refusal},
    process::Process,
    recorder::{Component, Rule},
    shared::{COLD_FACTOR, COLD_SLACK, Shared},
};

/// The time from the last action to the final checks. All promises hold again before its end, so
/// that callers and targets check them for a while.
const SETTLE_TIME: Duration = Duration::from_secs(9);

/// The time limit for all daemons to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

/// The minimum drain time of a target, after which it deregisters. The promise is that it gets no
/// new flow after 3 s.
const DRAIN_TIME: Duration = Duration::from_millis(4500);

/// How long the entry of a target that ended without deregistration stays in the store: three
/// heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3600);

/// The time after which the address of an ended target may be used again.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_millis(2000);

/// The time after an outage of the store until entries that lapsed during the outage are written
/// again.
const ENTRY_RETURN_DELAY: Duration = Duration::from_millis(1500);

/// The time between two heartbeats of a target, each of which writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How long the answers of a slow store take.
const SLOW_ANSWER: Duration = Duration::from_millis(400);

/// How long watches get nothing after a compaction before they are cut.
const CUT_WATCH_SILENCE: Duration = Duration::from_millis(1000);

/// The time between the ends and starts of daemons that are stopped one after the other.
const RESTART_GAP: Duration = Duration::from_millis(2000);

/// A longer gap between two ticks counts as a disturbance of the host.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
const TICK: Duration = Duration::from_millis(50);

/// A partition between daemons and targets.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Partition {
    Daemon(u8),
    Zone(&'static str),
}

/// The processes and test doubles of a run.
pub(crate) struct Testbed {
    shared: Arc<Shared>,
    processes: Vec<Arc<Process>>,
    /// The gate of each daemon to the store, and the path to the gate.
    gates: Vec<Gate>,
    store_paths: Vec<Proxy>,
    /// The path of each daemon to its contact.
    contact_paths: Vec<Proxy>,
    partitions: Mutex<Vec<Partition>>,
    next_target: AtomicU64,
    random: Mutex<Pcg64Mcg>,
}

/// The result of a run.
pub(crate) struct Report {
    pub(crate) violations: Vec<(Rule, String)>,
    /// The publications that daemons followed too late, by their logs.
    pub(crate) delays: Vec<String>,
    pub(crate) history: String,
    pub(crate) summary: String,
}

/// Executes a plan with logs in `folder` and ports from `port` on, five of them. `seed` determines
/// the random choices that the plan leaves open.
pub(crate) async fn run(
    seed: u64,
    setup: Setup,
    plan: Vec<(Duration, Action)>,
    folder: &Path,
    port: u16,
) -> Report {
    let testbed = Arc::new(Testbed::new(seed, setup, folder, port).await);
    let shared = testbed.shared.clone();
    let mut tasks = JoinSet::new();
    for process in &testbed.processes {
        tasks.spawn(process.clone().supervise());
    }
    tasks.spawn(shared.fabric.clone().run());
    tasks.spawn(check_periodically(shared.clone()));
    testbed.wait_until_ready().await;
    let fleet = shared.setup.fleet;
    for (index, zone) in fleet.zones.iter().enumerate() {
        let callers = Callers::start(zone, index as u8 + 1, shared.clone()).await;
        tasks.spawn(callers.clone().dispatch_received());
        for number in 0..fleet.callers {
            let seed = seed ^ (index as u64 * fleet.callers + number + 1) << 32;
            tasks.spawn(callers.clone().run_caller(seed));
        }
        if fleet.follows_operators {
            tasks.spawn(callers.run_direct(seed ^ index as u64));
        }
    }
    let mut actions = JoinSet::new();
    for (at, action) in plan {
        let testbed = testbed.clone();
        actions.spawn(async move {
            sleep(at).await;
            testbed.shared.recorder.record_event(format!("{action:?}"));
            testbed.perform(action).await;
        });
    }
    while let Some(result) = actions.join_next().await {
        result.expect("no action panics");
    }
    shared.recorder.record_event("all actions have ended".to_owned());
    sleep(SETTLE_TIME).await;
    testbed.check_final_state().await;
    tasks.shutdown().await;
    shared.check_targets();
    let recorder = &shared.recorder;
    let (mut delays, mut largest_ms) = (Vec::new(), 0);
    let publications = shared.publications.lock().expect("the lock is not poisoned").clone();
    for (number, _) in fleet.daemons {
        let log = folder.join(format!("entry-{number}")).join("log");
        let (late, largest) = delays::check_log(recorder, &publications, *number, &log);
        delays.extend(late);
        largest_ms = largest.max(largest_ms);
    }
    let violations = recorder.violations();
    let mut rules: BTreeMap<Rule, u64> = BTreeMap::new();
    violations.iter().for_each(|(rule, _)| *rules.entry(*rule).or_default() += 1);
    let summary =
        format!("{rules:?}, largest delay {largest_ms} ms in touch, {:?}", recorder.counts());
    Report { violations, delays, history: recorder.history(), summary }
}

/// Checks the events of the targets periodically, and records stalls of the host as disturbances,
/// until the task is aborted.
async fn check_periodically(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        if last.elapsed() > STALL_THRESHOLD {
            shared.recorder.record_event(format!("the host stalled for {:?}", last.elapsed()));
            shared.recorder.record_disturbance(Component::Host, last);
        }
        if shared.is_state_unavailable() {
            // No daemon can serve before the store returns.
            shared.recorder.record_disturbance(Component::Host, last);
        }
        last = Instant::now();
        shared.check_targets();
    }
}

impl Testbed {
    async fn new(seed: u64, setup: Setup, folder: &Path, port: u16) -> Testbed {
        let fleet = setup.fleet;
        let shared = Arc::new(Shared::new(port, setup));
        let ages = shared.setup.habits.stale_reads.iter().copied();
        shared.store.set_replicas(&ages.map(Replica::Behind).collect::<Vec<_>>());
        shared.publish_first_config();
        let (mut processes, mut gates) = (Vec::new(), Vec::new());
        let (mut store_paths, mut contact_paths) = (Vec::new(), Vec::new());
        for (number, zone) in fleet.daemons.iter().copied() {
            let gate = shared.store.open_gate().expect("the gate opens");
            let store = Proxy::start(gate.address()).expect("the proxy starts");
            let contact = admin(address(number % fleet.daemons.len() as u8 + 1, port));
            let contact = Proxy::start(contact).expect("the proxy starts");
            let url = format!("http://{}", store.address());
            let mut settings = settings(number, zone, port, &url, &contact.address().to_string());
            settings["cold_factor"] = Value::from(COLD_FACTOR);
            settings["cold_slack"] = Value::from(COLD_SLACK);
            settings["log"]["level"] = Value::from("info");
            let folder = folder.join(format!("entry-{number}"));
            let process = Process::new(number, folder, settings, shared.recorder.clone());
            processes.push(Arc::new(process));
            gates.push(gate);
            store_paths.push(store);
            contact_paths.push(contact);
        }
        let random = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
        let (partitions, next_target) = (Mutex::default(), AtomicU64::new(1));
        let testbed = Testbed {
            shared,
            processes,
            gates,
            store_paths,
            contact_paths,
            partitions,
            next_target,
            random,
        };
        for (index, zone) in fleet.zones.iter().enumerate() {
            for (service, total) in fleet.targets {
                for _ in 0..fleet.targets_in_zone(total, index) {
                    testbed.start_target(None, service, zone, false).await;
                }
            }
        }
        testbed
    }

    async fn wait_until_ready(&self) {
        let started_at = Instant::now();
        let fabric = &self.shared.fabric;
        while fabric.ready_daemons().len() < self.processes.len() {
            assert!(started_at.elapsed() < STARTUP_TIMEOUT, "daemons are not ready in time");
            sleep(TICK).await;
        }
    }

    async fn perform(&self, action: Action) {
        match action {
            Action::Stop(number) => self.process(number).stop().await,
            Action::Kill(number) => self.process(number).kill(),
            Action::KillAll => {
                let until = Instant::now() + Duration::from_secs(1);
                self.processes.iter().for_each(|process| process.kill_and_restart_after(until));
            }
            Action::Pause(number, duration) => self.process(number).pause(duration).await,
            Action::ReloadSettings(number) => self.process(number).reload_settings(),
            Action::CorruptSettings(number, duration) => {
                self.process(number).corrupt_settings(duration).await
            }
            Action::StorePathFault(number, fault, duration) => {
                let disturbance = self.shared.recorder.begin_disturbance(Component::Daemon(number));
                disturb_paths(&[self.store_path(number)], fault, duration).await;
                self.shared.recorder.end_disturbance(disturbance);
            }
            Action::ContactPathFault(fault, duration) => {
                let paths: Vec<&Proxy> = self.contact_paths.iter().collect();
                disturb_paths(&paths, fault, duration).await;
            }
            Action::StoreDown { duration, is_silent, entries_lapse } => {
                self.store_down(duration, is_silent, entries_lapse).await;
            }
            Action::CompactStore => self.shared.store.compact(),
            Action::PartitionDaemon(number, duration) => {
                self.partition(Partition::Daemon(number), duration).await
            }
            Action::PartitionZone(zone, duration) => {
                self.partition(Partition::Zone(zone), duration).await
            }
            Action::SilenceTarget(duration) => self.silence_target(duration).await,
            Action::OverwriteEntry => self.overwrite_entry().await,
            Action::CrashTarget(duration) => self.crash_target(duration).await,
            Action::ReuseAddress => self.reuse_address().await,
            Action::ReplaceTarget => self.replace_target().await,
            Action::EvacuateZone(zone, duration) => {
                if self.shared.take_zone_out(zone) {
                    sleep(duration).await;
                    self.shared.mark_zone_cold(zone);
                    self.shared.return_zone(zone);
                }
            }
            Action::PublishConfig => self.shared.publish_config(),
            Action::Publish(edit) => self.shared.publish_edit(edit),
            Action::SilenceConnections => {
                let numbers = self.processes.iter().map(|process| process.number);
                let disturbances = self.disturb(numbers.map(Component::Daemon));
                for path in self.store_paths.iter().chain(&self.contact_paths) {
                    path.stall_open_connections();
                }
                self.end_disturbances(disturbances);
            }
            Action::RefuseDaemons(numbers, refusal, duration) => {
                self.refuse_daemons(&numbers, refusal, duration).await;
            }
            Action::SlowStore(duration) => {
                self.disturb_store(StoreMode::Slow(SLOW_ANSWER), duration).await;
            }
            Action::LoseAnswers(duration) => {
                self.disturb_store(StoreMode::LosesResponses, duration).await;
            }
            Action::CompactAndCutWatches => {
                let disturbances = self.disturb([Component::Store]);
                self.shared.store.compact_and_cut_watches(CUT_WATCH_SILENCE);
                sleep(CUT_WATCH_SILENCE).await;
                self.end_disturbances(disturbances);
            }
            Action::ReturnFromCopy { age, outage } => self.return_from_copy(age, outage).await,
            Action::RestartInTurn => {
                for process in &self.processes {
                    process.stop().await;
                    sleep(RESTART_GAP).await;
                }
            }
        }
    }

    fn process(&self, number: u8) -> &Process {
        &self.processes[usize::from(number) - 1]
    }

    fn store_path(&self, number: u8) -> &Proxy {
        &self.store_paths[usize::from(number) - 1]
    }

    fn disturb(&self, components: impl IntoIterator<Item = Component>) -> Vec<usize> {
        let begin = |component| self.shared.recorder.begin_disturbance(component);
        components.into_iter().map(begin).collect()
    }

    fn end_disturbances(&self, numbers: Vec<usize>) {
        numbers.into_iter().for_each(|number| self.shared.recorder.end_disturbance(number));
    }

    async fn disturb_store(&self, mode: StoreMode, duration: Duration) {
        let disturbances = self.disturb([Component::Store]);
        self.shared.store.set_mode(mode);
        sleep(duration).await;
        self.shared.store.set_mode(StoreMode::Normal);
        self.end_disturbances(disturbances);
    }

    /// Lets the store return from a copy. Targets and operators then write again what was lost, and
    /// the entries of ended targets expire.
    async fn return_from_copy(&self, age: Duration, outage: Duration) {
        let disturbances = self.disturb([Component::Store]);
        self.shared.active_outages.fetch_add(1, Ordering::SeqCst);
        self.shared.store.return_from_copy(age, outage).await;
        self.shared.active_outages.fetch_sub(1, Ordering::SeqCst);
        self.shared.recorder.increment("returns of the store");
        sleep(ENTRY_RETURN_DELAY).await;
        self.shared.write_lost_again();
        sleep(ENTRY_LIFETIME - ENTRY_RETURN_DELAY).await;
        self.shared.remove_expired_entries(self.next_target.load(Ordering::Relaxed));
        self.end_disturbances(disturbances);
    }

    async fn refuse_daemons(&self, numbers: &[u8], refusal: Refusal, duration: Duration) {
        let daemons = numbers.iter().copied().map(Component::Daemon);
        let disturbances = self.disturb(daemons.chain([Component::Store]));
        let set = |status: Option<u16>, mode| {
            for number in numbers {
                self.gates[usize::from(*number) - 1].refuse(status);
                self.store_path(*number).set_mode(mode);
            }
        };
        match refusal {
            Refusal::Status(status) => set(Some(status), ProxyMode::Forward),
            Refusal::Reset => set(None, ProxyMode::Reset),
            Refusal::Silence => set(None, ProxyMode::DropAll),
        }
        sleep(duration).await;
        set(None, ProxyMode::Forward);
        self.end_disturbances(disturbances);
    }

    async fn store_down(&self, duration: Duration, is_silent: bool, entries_lapse: bool) {
        let Shared { store, recorder, running_targets, .. } = &*self.shared;
        let disturbance = recorder.begin_disturbance(Component::Store);
        store.set_mode(if is_silent { StoreMode::Silent } else { StoreMode::Unavailable });
        self.shared.active_outages.fetch_add(1, Ordering::SeqCst);
        sleep(duration).await;
        if self.shared.active_outages.fetch_sub(1, Ordering::SeqCst) > 1 {
            // Only the end of the last overlapping outage brings the store back.
            recorder.end_disturbance(disturbance);
            return;
        }
        let lapsed: Vec<u64> = if entries_lapse {
            let ready = self.shared.ready_targets();
            let running_targets = running_targets.lock().expect("the lock is not poisoned");
            let lapsed = running_targets
                .iter()
                .filter(|target| target.number % 2 == 0 && ready.contains(&target.number));
            lapsed.map(|target| (target.deregister(store), target.number).1).collect()
        } else {
            Vec::new()
        };
        store.set_mode(StoreMode::Normal);
        recorder.end_disturbance(disturbance);
        sleep(ENTRY_RETURN_DELAY).await;
        let ready = self.shared.ready_targets();
        for target in running_targets.lock().expect("the lock is not poisoned").iter() {
            if lapsed.contains(&target.number) && ready.contains(&target.number) {
                self.shared.renew_entry(target);
            }
        }
    }

    async fn partition(&self, partition: Partition, duration: Duration) {
        let recorder = &self.shared.recorder;
        let mut disturbances = Vec::new();
        let mut paths = Vec::new();
        for (number, zone) in self.shared.setup.fleet.daemons.iter().copied() {
            let is_inside = match partition {
                Partition::Daemon(isolated) => number == isolated,
                Partition::Zone(isolated) => zone == isolated,
            };
            if is_inside {
                paths.push(self.store_path(number));
            }
            // A partition between zones disturbs the links of both sides.
            if is_inside || matches!(partition, Partition::Zone(_)) {
                disturbances.push(recorder.begin_disturbance(Component::Daemon(number)));
            }
        }
        if matches!(partition, Partition::Zone(_)) {
            disturbances.push(recorder.begin_disturbance(Component::ZoneLinks));
        }
        self.partitions.lock().expect("the lock is not poisoned").push(partition.clone());
        self.apply_partitions();
        paths.iter().for_each(|path| path.set_mode(ProxyMode::DropAll));
        sleep(duration).await;
        let mut partitions = self.partitions.lock().expect("the lock is not poisoned");
        if let Some(index) = partitions.iter().position(|known| *known == partition) {
            partitions.remove(index);
        }
        drop(partitions);
        self.apply_partitions();
        paths.iter().for_each(|path| path.set_mode(ProxyMode::Forward));
        disturbances.into_iter().for_each(|number| recorder.end_disturbance(number));
    }

    /// Tells each target the daemons whose packets the partitions block.
    fn apply_partitions(&self) {
        let partitions = self.partitions.lock().expect("the lock is not poisoned");
        for target in self.shared.running_targets.lock().expect("the lock is not poisoned").iter() {
            let is_blocked = |number: u8, zone: &str| {
                partitions.iter().any(|partition| match partition {
                    Partition::Daemon(isolated) => number == *isolated,
                    Partition::Zone(isolated) => (zone == *isolated) != (target.zone == *isolated),
                })
            };
            let daemons = self.shared.setup.fleet.daemons;
            let blocked = daemons.iter().filter(|(number, zone)| is_blocked(*number, zone));
            let blocked = blocked.map(|(number, _)| address(*number, 0).ip()).collect();
            *target.record.blocked_daemons.lock().expect("the lock is not poisoned") = blocked;
        }
    }

    async fn start_target(
        &self,
        address: Option<SocketAddrV4>,
        service: &str,
        zone: &str,
        is_cold: bool,
    ) {
        let number = self.next_target.fetch_add(1, Ordering::Relaxed);
        self.start_target_as(number, address, service, zone, is_cold).await;
    }

    async fn start_target_as(
        &self,
        number: u64,
        address: Option<SocketAddrV4>,
        service: &str,
        zone: &str,
        is_cold: bool,
    ) {
        let address = address.unwrap_or(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
        let born = 1_700_000_000_000 + self.shared.recorder.millis_since_start(Instant::now());
        let port = self.shared.port;
        let target = Target::start_at(address, born, number, service, zone, port).await;
        self.shared.register_started(&target, is_cold);
        self.shared.running_targets.lock().expect("the lock is not poisoned").push(target);
        self.apply_partitions();
    }

    /// Returns the number of a random ready target that is not the only one of its service in its
    /// zone.
    fn choose(&self) -> Option<u64> {
        let ready = self.shared.ready_targets();
        let running_targets = self.shared.running_targets.lock().expect("the lock is not poisoned");
        let is_ready = |target: &&Target| ready.contains(&target.number);
        let has_others = |target: &&Target| {
            let same = running_targets
                .iter()
                .filter(is_ready)
                .filter(|other| (&other.service, &other.zone) == (&target.service, &target.zone));
            same.count() > 1
        };
        let mut random = self.random.lock().expect("the lock is not poisoned");
        let choices = running_targets.iter().filter(is_ready).filter(has_others);
        choices.map(|target| target.number).choose(&mut *random)
    }

    /// Checks the events of a running target and removes it from the running targets.
    fn remove(&self, number: u64) -> Option<Target> {
        let mut running_targets =
            self.shared.running_targets.lock().expect("the lock is not poisoned");
        let index = running_targets.iter().position(|target| target.number == number)?;
        let target = running_targets.swap_remove(index);
        drop(running_targets);
        self.shared.check_target(&target);
        Some(target)
    }

    fn with_target<T>(&self, number: u64, action: impl FnOnce(&Target) -> T) -> Option<T> {
        let running_targets = self.shared.running_targets.lock().expect("the lock is not poisoned");
        running_targets.iter().find(|target| target.number == number).map(action)
    }

    async fn silence_target(&self, duration: Duration) {
        let Some(number) = self.choose() else { return };
        let disturbance = self.shared.recorder.begin_disturbance(Component::Target(number));
        self.with_target(number, |target| target.record.is_silent.store(true, Ordering::Relaxed));
        sleep(duration).await;
        self.with_target(number, |target| target.record.is_silent.store(false, Ordering::Relaxed));
        self.shared.recorder.end_disturbance(disturbance);
    }

    async fn overwrite_entry(&self) {
        let Some(number) = self.choose() else { return };
        let Some(key) = self.with_target(number, Target::store_key) else { return };
        self.shared.store.put(&key, br#"{"state": "resting"}"#);
        sleep(HEARTBEAT).await;
        if self.shared.ready_targets().contains(&number) {
            self.with_target(number, |target| self.shared.renew_entry(target));
        }
    }

    async fn crash_target(&self, duration: Duration) {
        let Some(target) = self.choose().and_then(|number| self.remove(number)) else { return };
        let number = target.number;
        let disturbance = self.shared.recorder.begin_disturbance(Component::Target(number));
        let (service, zone) = (target.service.clone(), target.zone.clone());
        target.stop().await;
        sleep(duration).await;
        self.start_target_as(number, None, &service, &zone, true).await;
        self.shared.recorder.end_disturbance(disturbance);
    }

    async fn reuse_address(&self) {
        let Some(target) = self.choose().and_then(|number| self.remove(number)) else { return };
        let recorder = &self.shared.recorder;
        let number = target.number;
        let disturbance = recorder.begin_disturbance(Component::Target(number));
        recorder.begin_disturbance(Component::RemovedTarget(number));
        let (service, zone) = (target.service.clone(), target.zone.clone());
        let (address, key) = (target.address, target.store_key());
        target.stop().await;
        sleep(ADDRESS_REUSE_DELAY).await;
        let other = if service == "web" { "files" } else { "web" };
        self.start_target(Some(address), other, &zone, true).await;
        sleep(ENTRY_LIFETIME - ADDRESS_REUSE_DELAY).await;
        self.shared.store.remove(&key);
        recorder.end_disturbance(disturbance);
        self.start_target(None, &service, &zone, true).await;
    }

    async fn replace_target(&self) {
        let Some(number) = self.choose() else { return };
        let Some((service, zone)) =
            self.with_target(number, |target| (target.service.clone(), target.zone.clone()))
        else {
            return;
        };
        self.start_target(None, &service, &zone, true).await;
        sleep(Duration::from_millis(500)).await;
        if self.with_target(number, |target| self.shared.start_draining(target)).is_none() {
            return;
        }
        let max_ms = self.shared.setup.fleet.max_more_drain.as_millis() as u64;
        let more = self.random.lock().expect("the lock is not poisoned").random_range(0..max_ms);
        sleep(DRAIN_TIME + Duration::from_millis(more)).await;
        let Some(target) = self.remove(number) else { return };
        self.shared.recorder.begin_disturbance(Component::RemovedTarget(number));
        self.shared.deregister(&target);
        target.stop().await;
    }

    /// Checks, unless the host was disturbed, that all daemons are ready and have the latest
    /// configuration, and that requests were served.
    async fn check_final_state(&self) {
        let recorder = &self.shared.recorder;
        if !recorder.is_undisturbed(Instant::now(), Instant::now(), |component| {
            *component == Component::Host
        }) {
            return;
        }
        for (number, _) in self.shared.setup.fleet.daemons.iter().copied() {
            if !self.shared.fabric.is_in_rotation(number) {
                recorder.record_violation(
                    Rule::Soak,
                    format!("daemon {number} is not ready at the end"),
                );
            }
            let status = run_tool(admin(address(number, self.shared.port)), "status").await;
            let version = &status[0]["highest_ticket"];
            if version.as_u64() != Some(self.shared.config_version()) {
                recorder.record_violation(
                    Rule::Soak,
                    format!("daemon {number} has configuration version {version} at the end"),
                );
            }
        }
        if recorder.count_of("served") == 0 {
            recorder.record_violation(Rule::Soak, "no request was served".to_owned());
        }
    }
}

/// Injects a fault into paths for a while.
async fn disturb_paths(paths: &[&Proxy], fault: PathFault, duration: Duration) {
    for path in paths {
        path.set_mode(match fault {
            PathFault::DropAll => ProxyMode::DropAll,
            PathFault::DropRequests => ProxyMode::DropRequests,
            PathFault::DropResponses => ProxyMode::DropResponses,
            PathFault::Delay(millis) => ProxyMode::Delay(Duration::from_millis(millis)),
            PathFault::Reset => ProxyMode::Reset,
            PathFault::StallOpenConnections => {
                path.stall_open_connections();
                ProxyMode::Forward
            }
        });
    }
    sleep(duration).await;
    paths.iter().for_each(|path| path.set_mode(ProxyMode::Forward));
}
