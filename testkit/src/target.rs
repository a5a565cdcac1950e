use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use banyanwharf::ticket;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use smoltcp::socket::tcp::State;
use tokio::net::UdpSocket;

use crate::{
    Daemons, Segment,
    http::{Reply, Server},
    message::{Request, Response, response_body},
    stack::Connection,
    util::{AbortOnDrop, MAX_DATAGRAM_BYTES, Timers, bind, lock, send, sleep_until},
};

/// The time without an acknowledgment after which a target resets a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval of the samples that the endpoints report.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The packets that are processed before timers are looked at.
const BATCH_PACKETS: usize = 256;

/// The resolution of the record of received packets.
const BUCKET_INTERVAL: Duration = Duration::from_millis(10);

/// The settings of a target.
#[derive(Debug, Clone)]
pub struct TargetConfig {
    /// The target's name.
    pub name: String,
    /// The service's name.
    pub service: String,
    /// The service addresses; packets to others count as misdelivered.
    pub addresses: Vec<SocketAddr>,
    /// The availability zone.
    pub zone: String,
    /// The daemons that receive return packets.
    pub daemons: Daemons,
    /// The seed of all random choices.
    pub seed: u64,
    /// Requests that run at the same time.
    pub slots: u16,
    /// Connections held at the same time; a further SYN is answered with RST.
    pub connections: u32,
    /// The time that a request takes.
    pub service_time: Duration,
    /// Requests that wait for a slot; further ones are answered with status 503.
    pub max_queued_requests: usize,
    /// Whether the target start_count with all slots.
    pub starts_warm: bool,
    /// The slots right after a cold start.
    pub cold_slots: u16,
    /// Requests that wait while cold; a further one resets its connection.
    pub max_cold_queued_requests: usize,
    /// The time from a cold start to all slots.
    pub ramp: Duration,
}

impl TargetConfig {
    /// Returns settings with 4 slots and 2,000 connections, as of today's deployments.
    pub fn new(service: &str, name: &str, zone: &str, daemons: &Daemons) -> Self {
        Self {
            name: name.into(),
            service: service.into(),
            addresses: Vec::new(),
            zone: zone.into(),
            daemons: daemons.clone(),
            seed: 1,
            slots: 4,
            connections: 2000,
            service_time: Duration::from_millis(2),
            max_queued_requests: 1000,
            starts_warm: true,
            cold_slots: 1,
            max_cold_queued_requests: 8,
            ramp: Duration::from_secs(10),
        }
    }
}

/// What a target saw.
#[derive(Debug, Clone, Default)]
pub struct TargetRecord {
    start: Option<Instant>,
    /// Accepted connections: time and caller.
    pub flows: Vec<(Instant, SocketAddr)>,
    /// The callers of all packets.
    pub seen_callers: HashSet<SocketAddr>,
    /// The callers to which the target sent RST.
    pub reset_callers: HashSet<SocketAddr>,
    /// The number of times that each request ran.
    pub executed: HashMap<u64, u32>,
    /// Packets received.
    pub packets: u64,
    /// Packets that could not be read.
    pub malformed: u64,
    /// Packets to an address of another service.
    pub misdelivered: u64,
    /// RST segments sent.
    pub resets: u64,
    /// The most requests that ran at the same time.
    pub peak_busy: usize,
    /// The most connections open at the same time.
    pub peak_connections: usize,
    /// Requests that found all slots of a cold target taken.
    pub over_cold_slots: u64,
    /// Connections reset because a cold target was overloaded.
    pub overload_resets: u64,
    /// Requests answered with status 503.
    pub shed: u64,
    /// Connections open now.
    pub open: usize,
    packets_by_bucket: BTreeMap<(u64, SocketAddr), u32>,
}

impl TargetRecord {
    /// Returns the number of packets received in a period, by destination address.
    pub fn packets_between(&self, from: Instant, to: Instant) -> BTreeMap<SocketAddr, u64> {
        let mut counts = BTreeMap::new();
        for ((bucket, address), count) in &self.packets_by_bucket {
            if (self.bucket(from)..self.bucket(to)).contains(bucket) {
                *counts.entry(*address).or_default() += u64::from(*count);
            }
        }
        counts
    }

    /// Returns when the last packet before `to` was received, to 10 ms.
    pub fn last_packet(&self, to: Instant) -> Option<Instant> {
        let to = self.bucket(to);
        let before = self.packets_by_bucket.keys().map(|(bucket, _)| *bucket);
        before
            .filter(|bucket| *bucket < to)
            .max()
            .and_then(|bucket| Some(self.start? + BUCKET_INTERVAL * bucket as u32))
    }

    /// Returns the number of connections accepted in a period.
    pub fn flows_between(&self, from: Instant, to: Instant) -> usize {
        let period = from..to;
        self.flows.iter().filter(|(at, _)| period.contains(at)).count()
    }

    /// Returns the number of requests that ran more than once on this target.
    pub fn executed_twice(&self) -> usize {
        self.executed.values().filter(|count| **count > 1).count()
    }

    fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start.unwrap_or(at))
    }

    fn bucket(&self, at: Instant) -> u64 {
        (self.since_start(at).as_millis() / BUCKET_INTERVAL.as_millis()) as u64
    }
}

/// What can be changed while a target runs.
#[derive(Debug, Clone, Default)]
pub struct Controls {
    /// The time that a request takes.
    pub service_time: Duration,
    /// The share of requests answered with status 503.
    pub shed_share: f64,
    /// Whether the health endpoint reports status 503.
    pub draining: bool,
    /// Whether the target ignores all packets.
    pub ignores_packets: bool,
    /// Restarts without notice within 50 ms, warm if true: the target loses its connections and
    /// changes its start identity.
    pub restart: Option<bool>,
    /// The age of the report of the load endpoint.
    pub load_report_age: Duration,
    /// The status that the health endpoint reports against the actual.
    pub health_override: Option<u16>,
    /// What the load endpoint reports against the actual.
    pub load_override: Option<Value>,
}

#[derive(Debug, Default)]
struct Shared {
    controls: Controls,
    /// The samples that the load endpoint reports, oldest first.
    samples: VecDeque<(Instant, Value)>,
    record: TargetRecord,
}

/// A stand-in for a target VM. Dropping it kills the target.
#[derive(Debug)]
pub struct Target {
    config: TargetConfig,
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    http: Server,
    _task: AbortOnDrop,
}

impl Target {
    /// Starts a target on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a socket.
    pub fn start(config: TargetConfig) -> io::Result<Self> {
        let now = Instant::now();
        let socket = bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = socket.local_addr()?;
        let mut shared = Shared::default();
        shared.controls.service_time = config.service_time;
        shared.record.start = Some(now);
        let shared = Arc::new(Mutex::new(shared));
        let endpoint = shared.clone();
        let http = Server::start((Ipv4Addr::LOCALHOST, 0).into(), move |uri| {
            std::future::ready(respond(&lock(&endpoint), &uri))
        })?;
        let engine = Engine::new(config.clone(), socket, shared.clone(), now);
        let task = tokio::spawn(engine.run());
        Ok(Self { config, address, shared, http, _task: AbortOnDrop(task.abort_handle()) })
    }

    /// Returns the target's settings.
    pub fn config(&self) -> &TargetConfig {
        &self.config
    }

    /// Returns the address for encapsulated packets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target as a ticket describes it, with both endpoints.
    pub fn describe(&self) -> ticket::Target {
        ticket::Target {
            name: self.config.name.as_str().into(),
            zone: self.config.zone.as_str().into(),
            address: self.address,
            weight: 100,
            slots: self.config.slots,
            connections: self.config.connections,
            cold_slots: self.config.cold_slots,
            ramp_seconds: self.config.ramp.as_secs() as u32,
            state: ticket::TargetState::Active,
            drain_seconds: None,
            health: Some(format!("http://{}/health", self.http.address).into()),
            load: Some(format!("http://{}/load", self.http.address).into()),
        }
    }

    /// Returns what the target saw so far.
    pub fn record(&self) -> TargetRecord {
        lock(&self.shared).record.clone()
    }

    /// Reads what the target saw so far, without a copy.
    pub fn read<T>(&self, read: impl FnOnce(&TargetRecord) -> T) -> T {
        read(&lock(&self.shared).record)
    }

    /// Changes how the target behaves from now on.
    pub fn control(&self, change: impl FnOnce(&mut Controls)) {
        change(&mut lock(&self.shared).controls);
    }
}

fn respond(shared: &Shared, uri: &str) -> Reply {
    let controls = &shared.controls;
    match uri {
        "/health" => {
            let actual = if controls.draining { 503 } else { 200 };
            Reply::Json(controls.health_override.unwrap_or(actual), Value::Null)
        }
        "/load" => {
            let visible = Instant::now().checked_sub(controls.load_report_age);
            let samples = &shared.samples;
            let sample = samples.iter().rfind(|(at, _)| Some(*at) <= visible);
            let actual = sample.or(samples.front()).map(|(_, load)| load);
            match controls.load_override.as_ref().or(actual) {
                Some(load) => Reply::Json(200, load.clone()),
                None => Reply::Json(503, Value::Null),
            }
        }
        _ => Reply::Json(404, Value::Null),
    }
}

/// A caller's address and the service address that it uses.
type Key = (SocketAddr, SocketAddr);

struct Flow {
    connection: Connection,
    inbox: Vec<u8>,
    outbox: VecDeque<u8>,
    /// Requests received and not answered.
    pending: usize,
}

struct Engine {
    config: TargetConfig,
    socket: UdpSocket,
    shared: Arc<Mutex<Shared>>,
    random: Pcg64,
    flows: HashMap<Key, Flow>,
    timers: Timers<Key>,
    /// Requests that run, by the time they are done.
    running: BTreeMap<(Instant, u64), Key>,
    requests: HashMap<u64, Request>,
    queue: VecDeque<(Key, Request)>,
    started: Instant,
    warm: bool,
    start_count: u64,
}

impl Engine {
    fn new(
        config: TargetConfig,
        socket: UdpSocket,
        shared: Arc<Mutex<Shared>>,
        now: Instant,
    ) -> Self {
        Self {
            random: Pcg64::seed_from_u64(config.seed),
            warm: config.starts_warm,
            config,
            socket,
            shared,
            flows: HashMap::new(),
            timers: Timers::new(),
            running: BTreeMap::new(),
            requests: HashMap::new(),
            queue: VecDeque::new(),
            started: now,
            start_count: 1,
        }
    }

    async fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let mut sample = tokio::time::interval(SAMPLE_INTERVAL);
        loop {
            let done = self.running.keys().next().map(|(at, _)| *at);
            let next = [self.timers.next_due(), done].into_iter().flatten().min();
            tokio::select! {
                _ = self.socket.readable() => {}
                () = sleep_until(next) => {}
                _ = sample.tick() => self.sample(Instant::now()),
            }
            for _ in 0..BATCH_PACKETS {
                let Ok((length, _)) = self.socket.try_recv_from(&mut buffer) else {
                    break;
                };
                self.receive(&buffer[..length], Instant::now());
            }
            self.tick(Instant::now());
        }
    }

    fn receive(&mut self, packet: &[u8], now: Instant) {
        let segment = Segment::parse(packet);
        if !self.record_packet(segment.as_ref(), now) {
            return;
        }
        let Some(segment) = segment else {
            return;
        };
        let key = (segment.source, segment.destination);
        if !self.flows.contains_key(&key) {
            let full = self.flows.len() >= self.config.connections as usize;
            if full || !segment.syn || segment.acknowledgment.is_some() {
                return self.reject(&segment);
            }
            self.open(key, now);
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.connection.push(packet.to_vec());
            self.poll_flow(key, now);
        }
    }

    /// Records a packet. Returns whether to process it.
    fn record_packet(&mut self, segment: Option<&Segment>, now: Instant) -> bool {
        let shared = &mut *lock(&self.shared);
        let silent = shared.controls.ignores_packets;
        let record = &mut shared.record;
        record.packets += 1;
        let Some(segment) = segment else {
            record.malformed += 1;
            return false;
        };
        let bucket = record.bucket(now);
        *record.packets_by_bucket.entry((bucket, segment.destination)).or_default() += 1;
        record.seen_callers.insert(segment.source);
        if !self.config.addresses.contains(&segment.destination) {
            record.misdelivered += 1;
            return false;
        }
        !silent
    }

    fn open(&mut self, key: Key, now: Instant) {
        let flow = Flow {
            connection: Connection::listen(key.1, CONNECTION_TIMEOUT, self.random.random(), now),
            inbox: Vec::new(),
            outbox: VecDeque::new(),
            pending: 0,
        };
        self.flows.insert(key, flow);
        let record = &mut lock(&self.shared).record;
        record.flows.push((now, key.0));
        record.peak_connections = record.peak_connections.max(self.flows.len());
    }

    fn reject(&mut self, segment: &Segment) {
        if !segment.rst {
            self.send(&segment.reset().build());
        }
    }

    /// Runs the stack of a flow and exchanges bytes with it.
    fn poll_flow(&mut self, key: Key, now: Instant) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let mut packets = flow.connection.poll(now);
        flow.connection.read(&mut flow.inbox);
        let mut requests = Vec::new();
        loop {
            match Request::parse(&flow.inbox) {
                Ok(Some((request, length))) => {
                    flow.inbox.drain(..length);
                    flow.pending += 1;
                    requests.push(request);
                }
                Ok(None) => break,
                Err(_) => {
                    flow.connection.abort();
                    break;
                }
            }
        }
        for request in requests {
            self.accept(key, request, now);
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.connection.write(&mut flow.outbox);
        let ended = flow.connection.state() == State::CloseWait;
        if ended && flow.pending == 0 && flow.outbox.is_empty() {
            flow.connection.close();
        }
        packets.append(&mut flow.connection.poll(now));
        let next = flow.connection.next_poll(now);
        // A listening connection was reset before it was established.
        if matches!(flow.connection.state(), State::Closed | State::Listen) {
            self.flows.remove(&key);
            self.timers.set(key, None);
        } else {
            self.timers.set(key, next);
        }
        for packet in packets {
            self.send(&packet);
        }
    }

    /// Runs, queues or sheds a request.
    fn accept(&mut self, key: Key, request: Request, now: Instant) {
        let cold = self.is_cold(now);
        let shed = lock(&self.shared).controls.shed_share;
        if shed > 0.0 && self.random.random_bool(shed) {
            return self.answer(key, request, 503);
        }
        if self.running.len() < self.slots(now) {
            return self.execute(key, request, now);
        }
        if cold {
            lock(&self.shared).record.over_cold_slots += 1;
        }
        let limit = if cold {
            self.config.max_cold_queued_requests
        } else {
            self.config.max_queued_requests
        };
        if self.queue.len() < limit {
            return self.queue.push_back((key, request));
        }
        if !cold {
            return self.answer(key, request, 503);
        }
        lock(&self.shared).record.overload_resets += 1;
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.connection.abort();
        }
    }

    fn execute(&mut self, key: Key, request: Request, now: Instant) {
        let time = {
            let shared = &mut *lock(&self.shared);
            let record = &mut shared.record;
            *record.executed.entry(request.id).or_default() += 1;
            record.peak_busy = record.peak_busy.max(self.running.len() + 1);
            shared.controls.service_time
        };
        self.running.insert((now + time, request.id), key);
        self.requests.insert(request.id, request);
    }

    fn answer(&mut self, key: Key, request: Request, status: u16) {
        if status == 503 {
            lock(&self.shared).record.shed += 1;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let response = Response {
            status,
            id: request.id,
            service: self.config.service.clone(),
            target: self.config.name.clone(),
            body: response_body(request.id, request.body_bytes),
        };
        flow.pending -= 1;
        flow.outbox.extend(response.encode());
    }

    fn tick(&mut self, now: Instant) {
        let restart = lock(&self.shared).controls.restart.take();
        if let Some(warm) = restart {
            self.restart(warm, now);
        }
        while let Some(entry) = self.running.first_entry() {
            let (at, id) = *entry.key();
            if at > now {
                break;
            }
            let key = entry.remove();
            if let Some(request) = self.requests.remove(&id) {
                self.answer(key, request, 200);
                self.poll_flow(key, now);
            }
        }
        while self.running.len() < self.slots(now) {
            let Some((key, request)) = self.queue.pop_front() else {
                break;
            };
            self.execute(key, request, now);
        }
        while let Some(key) = self.timers.pop_due(now) {
            self.poll_flow(key, now);
        }
    }

    fn restart(&mut self, warm: bool, now: Instant) {
        self.flows.clear();
        self.timers = Timers::new();
        self.running.clear();
        self.requests.clear();
        self.queue.clear();
        self.started = now;
        self.warm = warm;
        self.start_count += 1;
    }

    fn is_cold(&self, now: Instant) -> bool {
        !self.warm && now < self.started + self.config.ramp
    }

    /// Returns the number of requests that may run now.
    fn slots(&self, now: Instant) -> usize {
        let slots = usize::from(self.config.slots);
        if !self.is_cold(now) {
            return slots;
        }
        let cold = usize::from(self.config.cold_slots).min(slots);
        let share = (now - self.started).as_secs_f64() / self.config.ramp.as_secs_f64();
        cold + ((slots - cold) as f64 * share) as usize
    }

    fn sample(&mut self, now: Instant) {
        let load = json!({
            "start": format!("{}-{}", self.config.name, self.start_count),
            "slots": self.slots(now),
            "busy": self.running.len(),
            "queued": self.queue.len(),
            "connections": self.flows.len(),
        });
        let shared = &mut *lock(&self.shared);
        shared.record.open = self.flows.len();
        shared.samples.push_back((now, load));
        let oldest = now.checked_sub(shared.controls.load_report_age + SAMPLE_INTERVAL);
        while shared.samples.len() > 1 && shared.samples.front().map(|(at, _)| *at) < oldest {
            shared.samples.pop_front();
        }
    }

    fn send(&mut self, packet: &[u8]) {
        if let Some(segment) = Segment::parse(packet).filter(|segment| segment.rst) {
            let record = &mut lock(&self.shared).record;
            record.resets += 1;
            record.reset_callers.insert(segment.destination);
        }
        if let Some(daemon) = self.config.daemons.pick(&mut self.random) {
            send(&self.socket, packet, daemon);
        }
    }
}
