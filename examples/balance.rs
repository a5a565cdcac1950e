//! Compares rules for the placement of flows, in virtual time and without sockets.
//!
//! `cargo run --release --example balance -- --seed 1 --priority balance`
//!
//! Five daemons place the flows of one service on targets. A target queues requests, refuses new
//! flows while its queue is full, and restarts without its connections if it is overloaded while it
//! is cold.
#![allow(clippy::print_stdout)]

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fs,
    path::PathBuf,
    str::FromStr,
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::{Fingerprint, Hasher, Key, Protocol},
    load::{Monitor, Observation, Reading, Report},
    member::{self, Info, Member, Status, View},
    place::{Config, Placer, Preference},
    route::{self, Generation, Service, Table},
    ticket::{Policy, Priority, TargetId, TargetState},
};
use bpaf::Bpaf;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const REGION: &str = "region-1";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The number of daemons that place flows.
const PLACERS: usize = 5;
const MAX_CONNECTIONS: u32 = 2000;
const RAMP: Duration = Duration::from_secs(30);
/// The maximum number of unfinished requests per slot on a cold target. With more, the target
/// restarts.
const MAX_COLD_REQUESTS_PER_SLOT: usize = 8;
/// The length of a target's queue at which the target replies to a SYN with RST.
const MAX_QUEUED_REQUESTS: usize = 64;
/// The time until a report about a reading of a target reaches the other daemons.
const REPORT_DELAY: Duration = Duration::from_secs(1);
const MEAN_SERVICE_SECONDS: f64 = 0.02;
/// The mean number of requests a second on an open flow.
const REQUESTS_PER_SECOND: f64 = 0.1;
const MEAN_FLOW_SECONDS: f64 = 10.0;
const MAX_RETRIES: usize = 2;
/// The time at which the case starts, after the long flows were opened.
const CASE_START_SECONDS: f64 = 60.0;
const END_SECONDS: f64 = 180.0;

/// The arguments.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of all random choices
    #[bpaf(fallback(1), display_fallback)]
    seed: u64,
    /// What matters more: stability or balance
    #[bpaf(fallback(PriorityArgument::Balance), display_fallback)]
    priority: PriorityArgument,
    /// File for the rows as CSV
    csv: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy)]
enum PriorityArgument {
    Stability,
    Balance,
}

impl FromStr for PriorityArgument {
    type Err = String;

    fn from_str(text: &str) -> Result<PriorityArgument, String> {
        match text {
            "stability" => Ok(PriorityArgument::Stability),
            "balance" => Ok(PriorityArgument::Balance),
            _ => Err(format!("priority {text:?} is neither stability nor balance")),
        }
    }
}

impl std::fmt::Display for PriorityArgument {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            PriorityArgument::Stability => "stability",
            PriorityArgument::Balance => "balance",
        })
    }
}

/// The rule by which a target is chosen for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// The placement rule of this crate, [`Placer`].
    Design,
    /// The target that rendezvous hashing ranks first.
    Hash,
    /// A random target.
    Random,
    /// The target with the fewest unfinished requests in its last reading.
    LeastReported,
}

/// What happens to the targets during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    /// Nothing changes.
    Steady,
    /// A cold target is added.
    Joined,
    /// A target restarts cold.
    Restarted,
    /// A target reports no busy slots and an empty queue.
    Liar,
    /// A third of the targets drain.
    ThirdGone,
    /// The rate of new flows is five times as high for 60 s.
    Burst,
    /// A zone is out of service for 60 s.
    ZoneBack,
}

const RULES: [Rule; 4] = [Rule::Design, Rule::Hash, Rule::Random, Rule::LeastReported];
const CASES: [Case; 7] = [
    Case::Steady,
    Case::Joined,
    Case::Restarted,
    Case::Liar,
    Case::ThirdGone,
    Case::Burst,
    Case::ZoneBack,
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next short flow arrives.
    Arrive,
    /// The caller opens a flow, or opens it again after a target has lost or refused it.
    Retry(usize),
    Request(usize),
    /// A target that had this start count completes a request.
    RequestDone(TargetId, u32),
    End(usize),
    /// The daemons read the load reports of all targets.
    ReadTargets,
    /// The lengths of the targets' queues are recorded.
    SampleQueues,
    /// Step 0 starts the case, step 1 follows 60 s later.
    Case(u8),
    /// A daemon receives the report with this index.
    Report(usize, usize),
}

#[derive(Debug)]
struct Flow {
    fingerprint: Fingerprint,
    /// The index of the daemon that places the flow.
    placer_index: usize,
    target: Option<TargetId>,
    /// Whether the flow stays open until the end of the run.
    long: bool,
    /// The target's start count when the target accepted the flow.
    start_count: u32,
}

/// The actual state of a target, of which the daemons only know readings and observations.
#[derive(Debug, Default)]
struct SimulatedTarget {
    open: u32,
    busy: usize,
    queue: VecDeque<usize>,
    start_count: u32,
    cold_since: Option<f64>,
    /// The times of the flows accepted in the last second.
    recent_opens: VecDeque<f64>,
    /// Whether the target reports no busy slots and an empty queue in any state.
    reports_idle: bool,
}

#[derive(Debug, Default)]
struct Findings {
    arrived: u64,
    refused: u64,
    /// Flows that ended because an overloaded target restarted.
    lost: u64,
    /// Restarts of targets that were overloaded while cold.
    overloads: u64,
    /// The open flows of the busiest target divided by the mean, once per second.
    ratios: Vec<f64>,
    /// The second in which a cold target got the most new flows in excess of its allowance: the
    /// excess, the new flows and the allowance.
    worst_cold_second: Option<(i64, usize, usize)>,
}

struct Simulation {
    rng: Pcg64,
    origin: Instant,
    now: f64,
    scheduled: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    rule: Rule,
    case: Case,
    priority: Priority,
    slots: u16,
    flows_per_second: f64,
    targets: Vec<route::Target>,
    simulated_targets: BTreeMap<TargetId, SimulatedTarget>,
    table: Table,
    placers: Vec<Placer>,
    monitors: Vec<Monitor>,
    /// The unfinished requests of each target in the last complete round of readings, and in the
    /// current round.
    last_readings: HashMap<TargetId, usize>,
    readings: HashMap<TargetId, usize>,
    reports: Vec<Report>,
    flows: Vec<Flow>,
    queue_lengths: Histogram<u64>,
    findings: Findings,
}

impl Simulation {
    fn new(
        seed: u64,
        priority: Priority,
        rule: Rule,
        case: Case,
        size: (usize, u16),
    ) -> Simulation {
        let origin = Instant::now();
        let (count, slots) = size;
        let mut view = View::new();
        let mut ids = Vec::new();
        for number in 0..PLACERS {
            let member = member(number, PLACERS, origin);
            ids.push(member::id(&member.info.name));
            view.insert(member);
        }
        let started = if case == Case::Joined { count - 1 } else { count };
        let mut simulation = Simulation {
            rng: Pcg64::seed_from_u64(seed),
            origin: origin + Duration::from_secs(100),
            now: 0.0,
            scheduled: BTreeMap::new(),
            next_event: 0,
            rule,
            case,
            priority,
            slots,
            // With this rate and the long flows, about half of the slots are busy.
            flows_per_second: 5.4 * count as f64 * f64::from(slots),
            targets: (0..started).map(|number| target(number, slots)).collect(),
            simulated_targets: (0..count)
                .map(|number| (number as u64 + 1, SimulatedTarget::default()))
                .collect(),
            table: Table::new(),
            placers: ids
                .iter()
                .map(|id| Placer::new(Config::default(), *id, seed, origin))
                .collect(),
            monitors: ids.iter().map(|id| Monitor::new(Default::default(), *id)).collect(),
            last_readings: HashMap::new(),
            readings: HashMap::new(),
            reports: Vec::new(),
            flows: Vec::new(),
            queue_lengths: Histogram::new(2).expect("the precision is valid"),
            findings: Findings::default(),
        };
        for placer in &mut simulation.placers {
            placer.set_members(&view, REGION);
        }
        simulation.publish();
        for _ in 0..145 * count * usize::from(slots) {
            let at = simulation.rng.random_range(0.0..CASE_START_SECONDS / 2.0);
            let flow = simulation.add_flow(true);
            simulation.schedule(at, Event::Retry(flow));
        }
        simulation.schedule(0.0, Event::Arrive);
        simulation.schedule(0.0, Event::ReadTargets);
        simulation.schedule(0.0, Event::SampleQueues);
        simulation.schedule(CASE_START_SECONDS, Event::Case(0));
        simulation.schedule(CASE_START_SECONDS + 60.0, Event::Case(1));
        simulation
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_secs_f64(self.now)
    }

    fn schedule(&mut self, delay: f64, event: Event) {
        self.next_event += 1;
        self.scheduled.insert((((self.now + delay) * 1e9) as u64, self.next_event), event);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random_range(0.0..1.0_f64)).ln()
    }

    fn publish(&mut self) {
        let placeable = self.targets.iter().filter(|target| target.is_placeable());
        let service = Service {
            name: Arc::from("turnos"),
            policy: Policy { name: Arc::from("default"), priority: self.priority, bound: None },
            targets: self.targets.iter().map(|target| target.id).collect(),
            generations: vec![Generation {
                number: 1,
                targets: placeable.map(|target| (target.id, target.weight)).collect(),
            }],
        };
        self.table = Table::new();
        self.table.insert(service, &[], self.targets.clone());
        let now = self.instant();
        for placer in &mut self.placers {
            placer.set_routes(now, &self.table);
        }
    }

    fn add_flow(&mut self, long: bool) -> usize {
        let number = self.flows.len() as u32;
        let [a, b, c, d] = number.to_be_bytes();
        let key = Key {
            protocol: Protocol::Tcp,
            caller: ([10 ^ a, b, c, d], 40_000).into(),
            service: ([198, 51, 100, 1], 80).into(),
        };
        let fingerprint = Hasher::new(&[7; 16]).fingerprint(&key);
        let placer_index = usize::from(fingerprint.slot()) % PLACERS;
        self.flows.push(Flow { fingerprint, placer_index, target: None, long, start_count: 0 });
        self.flows.len() - 1
    }

    fn run(mut self) -> (Findings, Histogram<u64>) {
        while let Some(((at, _), event)) = self.scheduled.pop_first() {
            self.now = at as f64 / 1e9;
            if self.now > END_SECONDS {
                break;
            }
            self.handle(event);
        }
        (self.findings, self.queue_lengths)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let is_burst = self.case == Case::Burst
                    && (CASE_START_SECONDS..CASE_START_SECONDS + 60.0).contains(&self.now);
                let rate =
                    if is_burst { self.flows_per_second * 5.0 } else { self.flows_per_second };
                let delay = self.exponential(1.0 / rate);
                self.schedule(delay, Event::Arrive);
                let flow = self.add_flow(false);
                self.open(flow);
            }
            Event::Retry(flow) => self.open(flow),
            Event::Request(flow) => self.request(flow),
            Event::RequestDone(target, start_count) => self.complete_request(target, start_count),
            Event::End(flow) => self.end(flow),
            Event::ReadTargets => self.read_targets(),
            Event::SampleQueues => self.sample_queues(),
            Event::Case(step) => self.apply_case(step),
            Event::Report(placer_index, report) => {
                let (now, report) = (self.instant(), self.reports[report]);
                self.monitors[placer_index].on_report(now, &report);
            }
        }
    }

    fn choose(&mut self, flow: usize, excluded: &[TargetId]) -> Option<TargetId> {
        let now = self.instant();
        let Flow { fingerprint, placer_index, .. } = self.flows[flow];
        let service = self.table.service(0)?;
        let free: Vec<TargetId> = service.generations[0]
            .ranked_targets(fingerprint)
            .into_iter()
            .filter(|id| !excluded.contains(id))
            .collect();
        match self.rule {
            Rule::Design => {
                let placer = &mut self.placers[placer_index];
                let preference = Preference::Balance;
                placer.place(now, &self.table, service, fingerprint, preference, excluded).ok()
            }
            Rule::Hash => free.first().copied(),
            Rule::Random if free.is_empty() => None,
            Rule::Random => Some(free[self.rng.random_range(0..free.len())]),
            Rule::LeastReported => free.into_iter().min_by_key(|id| self.last_readings.get(id)),
        }
    }

    fn open(&mut self, flow: usize) {
        if self.now >= CASE_START_SECONDS {
            self.findings.arrived += 1;
        }
        let mut excluded = Vec::new();
        while excluded.len() <= MAX_RETRIES {
            let Some(target) = self.choose(flow, &excluded) else {
                break;
            };
            let accepted = self.accept(target);
            let seen = if accepted { Observation::Accepted } else { Observation::Refused };
            self.observe(flow, target, seen);
            if accepted {
                return self.record_accepted(flow, target);
            }
            excluded.push(target);
        }
        if self.now >= CASE_START_SECONDS {
            self.findings.refused += 1;
        }
        if self.flows[flow].long {
            let delay = self.exponential(1.0);
            self.schedule(delay, Event::Retry(flow));
        }
    }

    fn observe(&mut self, flow: usize, target: TargetId, observation: Observation) {
        let now = self.instant();
        self.monitors[self.flows[flow].placer_index].on_observation(now, target, observation);
        self.apply_classes(self.flows[flow].placer_index);
    }

    fn apply_classes(&mut self, placer_index: usize) {
        let now = self.instant();
        for change in self.monitors[placer_index].take_changes(now, &self.table) {
            self.placers[placer_index].set_class(change.target, change.class, change.since);
        }
    }

    /// Returns the number of slots of a cold target now, or `None` if the target is warm.
    fn allowance(&self, target: TargetId) -> Option<usize> {
        let since = self.simulated_targets[&target].cold_since?;
        let progress = (self.now - since) / RAMP.as_secs_f64();
        (progress < 1.0).then(|| 1 + (f64::from(self.slots - 1) * progress).floor() as usize)
    }

    /// Processes a SYN at a target and returns whether the target accepts the flow.
    fn accept(&mut self, id: TargetId) -> bool {
        let (now, allowance) = (self.now, self.allowance(id));
        let Some(simulated) = self.simulated_targets.get_mut(&id) else {
            return false;
        };
        if simulated.open >= MAX_CONNECTIONS || simulated.queue.len() >= MAX_QUEUED_REQUESTS {
            return false;
        }
        simulated.recent_opens.push_back(now);
        simulated.recent_opens.retain(|at| *at + 1.0 > now);
        if let Some(allowance) = allowance {
            let count = simulated.recent_opens.len();
            let over = count as i64 - allowance as i64;
            if self.findings.worst_cold_second.is_none_or(|(worst, ..)| over > worst) {
                self.findings.worst_cold_second = Some((over, count, allowance));
            }
        }
        true
    }

    fn record_accepted(&mut self, flow: usize, target: TargetId) {
        let simulated = self.simulated_targets.entry(target).or_default();
        simulated.open += 1;
        let flow_state = &mut self.flows[flow];
        (flow_state.target, flow_state.start_count) = (Some(target), simulated.start_count);
        self.placers[flow_state.placer_index].record_open(target);
        let long = flow_state.long;
        self.request(flow);
        if !long {
            let life = self.exponential(MEAN_FLOW_SECONDS);
            self.schedule(life, Event::End(flow));
        }
    }

    /// Processes a request at the flow's target. If the target has restarted since it accepted the
    /// flow, the request resets the flow.
    fn request(&mut self, flow: usize) {
        let Some(id) = self.flows[flow].target else {
            return;
        };
        if self.flows[flow].start_count != self.simulated_targets[&id].start_count {
            self.observe(flow, id, Observation::FlowReset);
            self.end(flow);
            // Flows that the case itself ends by its restart of a target don't count as lost.
            let is_caused_by_case =
                self.case == Case::Restarted && id == 1 && self.flows[flow].start_count == 0;
            self.findings.lost += u64::from(!is_caused_by_case);
            return self.schedule(0.001, Event::Retry(flow));
        }
        let delay = self.exponential(1.0 / REQUESTS_PER_SECOND);
        self.schedule(delay, Event::Request(flow));
        let allowance = self.allowance(id);
        let slots = allowance.unwrap_or(usize::from(self.slots));
        let Some(simulated) = self.simulated_targets.get_mut(&id) else {
            return;
        };
        simulated.queue.push_back(flow);
        if allowance.is_some()
            && simulated.queue.len() + simulated.busy > slots * MAX_COLD_REQUESTS_PER_SLOT
        {
            self.findings.overloads += 1;
            return self.restart(id);
        }
        self.serve(id, slots);
    }

    fn serve(&mut self, id: TargetId, slots: usize) {
        let start_count = self.simulated_targets[&id].start_count;
        while self.simulated_targets[&id].busy < slots
            && !self.simulated_targets[&id].queue.is_empty()
        {
            let time = self.exponential(MEAN_SERVICE_SECONDS);
            self.schedule(time, Event::RequestDone(id, start_count));
            let simulated = self.simulated_targets.entry(id).or_default();
            simulated.queue.pop_front();
            simulated.busy += 1;
        }
    }

    fn complete_request(&mut self, id: TargetId, start_count: u32) {
        let slots = self.allowance(id).unwrap_or(usize::from(self.slots));
        let simulated = self.simulated_targets.entry(id).or_default();
        if simulated.start_count == start_count {
            simulated.busy -= 1;
            self.serve(id, slots);
        }
    }

    fn restart(&mut self, id: TargetId) {
        let now = self.now;
        let simulated = self.simulated_targets.entry(id).or_default();
        simulated.start_count += 1;
        (simulated.open, simulated.busy) = (0, 0);
        simulated.queue.clear();
        simulated.recent_opens.clear();
        simulated.cold_since = Some(now);
    }

    fn end(&mut self, flow: usize) {
        let flow_state = &mut self.flows[flow];
        let Some(id) = flow_state.target.take() else {
            return;
        };
        self.placers[flow_state.placer_index].record_close(id);
        let simulated = self.simulated_targets.entry(id).or_default();
        if simulated.start_count == flow_state.start_count {
            simulated.open -= 1;
        }
    }

    fn read_targets(&mut self) {
        self.schedule(1.0, Event::ReadTargets);
        let now = self.instant();
        if self.now > END_SECONDS - 30.0 {
            let placeable = self.targets.iter().filter(|target| target.is_placeable());
            let open: Vec<u32> =
                placeable.map(|target| self.simulated_targets[&target.id].open).collect();
            let max = open.iter().copied().max().unwrap_or_default();
            let mean = f64::from(open.iter().sum::<u32>()) / open.len() as f64;
            self.findings.ratios.push(f64::from(max) / mean);
        }
        self.last_readings = std::mem::take(&mut self.readings);
        let ids: Vec<TargetId> = self.targets.iter().map(|target| target.id).collect();
        for id in ids {
            let simulated = &self.simulated_targets[&id];
            let queued = if simulated.reports_idle { 0 } else { simulated.queue.len() };
            let busy = if simulated.reports_idle { 0 } else { simulated.busy };
            self.readings.insert(id, queued + busy);
            let reading = Reading {
                healthy: Some(true),
                start: Some(Arc::from(simulated.start_count.to_string())),
                busy: busy as u32,
                queued: queued as u32,
                slots: u32::from(self.slots),
            };
            let reader = id as usize % PLACERS;
            let Some(report) = self.monitors[reader].on_reading(now, id, &reading) else {
                continue;
            };
            self.reports.push(report);
            let number = self.reports.len() - 1;
            for placer_index in (0..PLACERS).filter(|placer_index| *placer_index != reader) {
                self.schedule(REPORT_DELAY.as_secs_f64(), Event::Report(placer_index, number));
            }
        }
    }

    fn sample_queues(&mut self) {
        self.schedule(0.1, Event::SampleQueues);
        for placer_index in 0..PLACERS {
            self.apply_classes(placer_index);
        }
        if self.now >= CASE_START_SECONDS {
            for target in &self.targets {
                let queued = self.simulated_targets[&target.id].queue.len() as u64;
                self.queue_lengths.record(queued).expect("the histogram grows");
            }
        }
    }

    fn apply_case(&mut self, step: u8) {
        match (self.case, step) {
            (Case::Joined, 0) => {
                let number = self.targets.len();
                let now = self.now;
                self.targets.push(target(number, self.slots));
                self.simulated_targets.entry(number as u64 + 1).or_default().cold_since = Some(now);
            }
            (Case::Restarted, 0) => self.restart(1),
            (Case::Liar, 0) => self.simulated_targets.entry(1).or_default().reports_idle = true,
            (Case::ThirdGone, 0) => {
                let gone = self.targets.len() / 3;
                let third = self.targets.iter_mut().take(gone);
                third.for_each(|target| target.state = TargetState::Draining);
            }
            (Case::ZoneBack, _) => {
                let zone = self.targets.iter_mut().filter(|target| &*target.zone == ZONES[0]);
                zone.for_each(|target| target.zone_out = step == 0);
                if step == 0 {
                    self.reset_zone();
                }
            }
            _ => return,
        }
        self.publish();
    }

    fn reset_zone(&mut self) {
        let out: Vec<TargetId> =
            self.targets.iter().filter(|target| target.zone_out).map(|target| target.id).collect();
        for flow in 0..self.flows.len() {
            if self.flows[flow].target.is_some_and(|id| out.contains(&id)) {
                self.end(flow);
                let delay = self.rng.random_range(0.0..5.0);
                self.schedule(delay, Event::Retry(flow));
            }
        }
    }
}

fn member(number: usize, placer_count: usize, since: Instant) -> Member {
    let address = ([127, 0, 0, 1], 1).into();
    let info = Info {
        name: Arc::from(format!("entry-{number}")),
        region: Arc::from(REGION),
        zone: Arc::from(ZONES[number * ZONES.len() / placer_count]),
        peer: address,
        admin: address,
    };
    Member { info, incarnation: 1, status: Status::Alive, since }
}

fn target(number: usize, slots: u16) -> route::Target {
    route::Target {
        id: number as u64 + 1,
        name: Arc::from(format!("target-{number}")),
        service: 0,
        address: ([127, 0, 0, 1], 20_000 + number as u16).into(),
        zone: Arc::from(ZONES[number % ZONES.len()]),
        zone_out: false,
        state: TargetState::Active,
        weight: 100,
        slots,
        connections: MAX_CONNECTIONS,
        cold_slots: 1,
        ramp: RAMP,
        drain: None,
        health: None,
        load: None,
        quarantined: false,
    }
}

/// Places flows on 3 targets by 275 daemons up to and beyond the targets' connection limits, and
/// prints how many flows are refused.
fn many_placers(priority: Priority) {
    const MANY_PLACERS: usize = 275;
    let origin = Instant::now();
    let mut view = View::new();
    (0..MANY_PLACERS).for_each(|number| view.insert(member(number, MANY_PLACERS, origin)));
    let targets: Vec<_> = (0..3).map(|number| target(number, 4)).collect();
    let service = Service {
        name: Arc::from("turnos"),
        policy: Policy { name: Arc::from("default"), priority, bound: None },
        targets: targets.iter().map(|target| target.id).collect(),
        generations: vec![Generation {
            number: 1,
            targets: targets.iter().map(|target| (target.id, target.weight)).collect(),
        }],
    };
    let mut table = Table::new();
    table.insert(service.clone(), &[], targets);
    let placers: Vec<Placer> = (0..MANY_PLACERS)
        .map(|number| {
            let id = member::id(&format!("entry-{number}"));
            let mut placer = Placer::new(Config::default(), id, 7, origin);
            placer.set_members(&view, REGION);
            placer.set_routes(origin, &table);
            placer
        })
        .collect();
    for flows in [5_200_u32, 6_000, 7_000] {
        let mut placers = placers.clone();
        let mut counts: BTreeMap<TargetId, u32> = BTreeMap::new();
        let mut refused = 0;
        for number in 0..flows {
            let key = Key {
                protocol: Protocol::Tcp,
                caller: (std::net::Ipv4Addr::from(number), 40_000).into(),
                service: ([198, 51, 100, 1], 80).into(),
            };
            let fingerprint = Hasher::new(&[7; 16]).fingerprint(&key);
            let placer = &mut placers[usize::from(fingerprint.slot()) % MANY_PLACERS];
            match placer.place(origin, &table, &service, fingerprint, Preference::Balance, &[]) {
                Ok(target) => {
                    placer.record_open(target);
                    *counts.entry(target).or_default() += 1;
                }
                Err(_) => refused += 1,
            }
        }
        let over: u32 = counts.values().map(|open| open.saturating_sub(MAX_CONNECTIONS)).sum();
        let open: Vec<u32> = counts.into_values().collect();
        println!(
            "{MANY_PLACERS} placers, 3 targets, {flows} flows: {refused} refused by placers, \
             open {open:?}, {over} over the targets' limits"
        );
    }
}

fn main() -> std::io::Result<()> {
    let options = options().run();
    let priority = match options.priority {
        PriorityArgument::Stability => Priority::Stability,
        PriorityArgument::Balance => Priority::Balance,
    };
    println!("seed {}, priority {}", options.seed, options.priority);
    println!(
        "{:>7} {:>5} {:10} {:14} {:>8} {:>9} {:>9} {:>6} {:>6} {:>9}",
        "targets",
        "slots",
        "case",
        "policy",
        "max/mean",
        "queue p99",
        "refused",
        "lost",
        "falls",
        "cold"
    );
    let mut csv =
        String::from("targets,slots,case,policy,max_over_mean,queue_p99,refused,lost,falls,cold\n");
    for size in [(14, 4), (4, 4), (14, 2), (4, 2)] {
        for case in CASES {
            for rule in RULES {
                let simulation = Simulation::new(options.seed, priority, rule, case, size);
                let (found, queue_lengths) = simulation.run();
                let ratio = found.ratios.iter().sum::<f64>() / found.ratios.len().max(1) as f64;
                let refused = found.refused as f64 / found.arrived.max(1) as f64;
                let cold = found
                    .worst_cold_second
                    .map_or("-".into(), |(_, most, allowed)| format!("{most}/{allowed}"));
                let queue = queue_lengths.value_at_quantile(0.99);
                let (case, rule) = (format!("{case:?}"), format!("{rule:?}"));
                println!(
                    "{:>7} {:>5} {case:10} {rule:14} {ratio:8.3} {queue:9} {refused:9.5} {:6} \
                     {:6} {cold:>9}",
                    size.0, size.1, found.lost, found.overloads
                );
                csv += &format!(
                    "{},{},{case},{rule},{ratio:.4},{queue},{refused:.6},{},{},{cold}\n",
                    size.0, size.1, found.lost, found.overloads
                );
            }
        }
    }
    many_placers(priority);
    match options.csv {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}
