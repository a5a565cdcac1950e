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

/// The time without an acknowledgment after which a target aborts a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which the report of the load endpoint is updated.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of packets that are processed before timers are checked.
const BATCH_PACKETS: usize = 256;

/// The time that one bucket of the counts of received packets covers.
const BUCKET_INTERVAL: Duration = Duration::from_millis(10);

/// The settings of a target.
#[derive(Debug, Clone)]
pub struct TargetConfig {
    /// The target's name.
    pub name: String,
    /// The service's name.
    pub service: String,
    /// The addresses of the service. Packets to other addresses count as misdelivered.
    pub addresses: Vec<SocketAddr>,
    /// The availability zone.
    pub zone: String,
    /// The daemons to which the target sends return packets.
    pub daemons: Daemons,
    /// The seed of all random choices.
    pub seed: u64,
    /// The maximum number of requests that run at the same time.
    pub slots: u16,
    /// The maximum number of open connections. The target replies to a further SYN with RST.
    pub connections: u32,
    /// The time that a request takes.
    pub service_time: Duration,
    /// The maximum number of requests that wait for a slot. The target responds to further requests
    /// with status 503.
    pub max_queued_requests: usize,
    /// Whether the target has all slots right after its start.
    pub starts_warm: bool,
    /// The number of slots right after a cold start.
    pub cold_slots: u16,
    /// The maximum number of requests that wait for a slot while the target is cold. The target
    /// resets the connection of a further request.
    pub max_cold_queued_requests: usize,
    /// The time from a cold start until the target has all slots.
    pub ramp: Duration,
}

impl TargetConfig {
    /// Returns settings with 4 slots and 2,000 connections, which are the values of the current
    /// deployments.
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

/// What a target has observed.
#[derive(Debug, Clone, Default)]
pub struct TargetRecord {
    start: Option<Instant>,
    /// The accepted connections with their time and caller.
    pub flows: Vec<(Instant, SocketAddr)>,
    /// The callers from which the target received a packet.
    pub seen_callers: HashSet<SocketAddr>,
    /// The callers to which the target sent RST.
    pub reset_callers: HashSet<SocketAddr>,
    /// How often each request was executed, by request id.
    pub executed: HashMap<u64, u32>,
    /// Packets received.
    pub packets: u64,
    /// Packets that could not be parsed.
    pub malformed: u64,
    /// Packets to an address of another service.
    pub misdelivered: u64,
    /// RST segments sent.
    pub resets: u64,
    /// The highest number of requests that ran at the same time.
    pub peak_busy: usize,
    /// The highest number of connections open at the same time.
    pub peak_connections: usize,
    /// Requests that arrived at a cold target while all slots were busy.
    pub over_cold_slots: u64,
    /// Connections that the target reset because it was cold and its queue was full.
    pub overload_resets: u64,
    /// Requests to which the target responded with status 503.
    pub shed: u64,
    /// Connections open now.
    pub open: usize,
    /// The number of packets by time bucket and destination address.
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

    /// Returns when the last packet before `to` was received, with a resolution of 10 ms.
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

    /// Returns the number of requests that this target executed more than once.
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

/// The behavior that can be changed while a target runs.
#[derive(Debug, Clone, Default)]
pub struct Controls {
    /// The time that a request takes.
    pub service_time: Duration,
    /// The share of requests to which the target responds with status 503, from 0 to 1.
    pub shed_share: f64,
    /// Whether the health endpoint responds with status 503.
    pub draining: bool,
    /// Whether the target ignores all packets.
    pub ignores_packets: bool,
    /// Makes the target restart within 50 ms, warm if `true` and cold if `false`. It loses its
    /// connections without sending RST and reports another start identity.
    pub restart: Option<bool>,
    /// The age of the report that the load endpoint responds with.
    pub load_report_age: Duration,
    /// The status that the health endpoint responds with instead of the actual status.
    pub health_override: Option<u16>,
    /// The report that the load endpoint responds with instead of the actual report.
    pub load_override: Option<Value>,
}

#[derive(Debug, Default)]
struct Shared {
    controls: Controls,
    /// The latest reports of the load endpoint with their times, oldest first.
    samples: VecDeque<(Instant, Value)>,
    record: TargetRecord,
}

/// A test double for a target VM. Dropping it kills the target.
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

    /// Returns the address that receives encapsulated packets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the description of the target for a ticket, with the URLs of both endpoints.
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

    /// Returns a copy of what the target has observed so far.
    pub fn record(&self) -> TargetRecord {
        lock(&self.shared).record.clone()
    }

    /// Calls `read` with what the target has observed so far, without copying it.
    pub fn read<T>(&self, read: impl FnOnce(&TargetRecord) -> T) -> T {
        read(&lock(&self.shared).record)
    }

    /// Changes the target's behavior from now on.
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

/// The caller's address and the service address of a flow.
type Key = (SocketAddr, SocketAddr);

struct Flow {
    connection: Connection,
    inbox: Vec<u8>,
    outbox: VecDeque<u8>,
    /// The number of requests that were received and not answered yet.
    pending: usize,
}

struct Engine {
    config: TargetConfig,
    socket: UdpSocket,
    shared: Arc<Mutex<Shared>>,
    random: Pcg64,
    flows: HashMap<Key, Flow>,
    timers: Timers<Key>,
    /// The flows of the running requests, by the time of completion and request id.
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

    /// Records a received packet. Returns whether the packet is to be processed.
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

    /// Polls the stack of a flow, accepts the received requests, and sends the pending responses.
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
        // The state is `Listen` again after a reset of a connection that was not established.
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

    /// Executes, queues or sheds a request.
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

    /// Returns the number of requests that may run at the same time now.
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
