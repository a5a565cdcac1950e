use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::{IpAddr, SocketAddr},
    ops::Range,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;
use smoltcp::socket::tcp::State;
use tokio::sync::mpsc;

use crate::{
    Fabric, Segment,
    message::{Request, Response, response_body},
    stack::Connection,
    util::{AbortOnDrop, Timers, flow_address, flow_number, lock, sleep_until},
};

/// The maximum number of packets that are processed before timers are checked.
const BATCH_PACKETS: usize = 256;

/// The settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// The seed of all random choices. The request ids depend on the seed, so each caller needs a
    /// different one.
    pub seed: u32,
    /// The caller's addresses. Each can have 60,000 flows.
    pub addresses: Vec<IpAddr>,
    /// The names and addresses of the services. Each flow uses a random one.
    pub services: Vec<(String, SocketAddr)>,
    /// The delay before each request.
    pub request_delay: Range<Duration>,
    /// The share of long flows that send only the first and the last request, from 0 to 1.
    pub silent_share: f64,
    /// The length of the responses' bodies in bytes, at most 7,000.
    pub response_bytes: Range<usize>,
    /// The time without an acknowledgment after which the TCP stack closes the connection.
    pub tcp_timeout: Duration,
    /// The time without a response after which a request counts as unanswered.
    pub response_timeout: Duration,
}

impl CallerConfig {
    /// Returns settings with requests every 0.5 to 4 s.
    pub fn new(seed: u32, address: IpAddr, services: Vec<(String, SocketAddr)>) -> Self {
        Self {
            seed,
            addresses: vec![address],
            services,
            request_delay: Duration::from_millis(500)..Duration::from_secs(4),
            silent_share: 0.1,
            response_bytes: 0..4000,
            tcp_timeout: Duration::from_secs(15),
            response_timeout: Duration::from_secs(20),
        }
    }
}

/// Why a flow broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakCause {
    /// The caller received RST.
    Reset,
    /// The caller received FIN.
    Closed,
    /// The caller's TCP stack got no acknowledgment within its timeout.
    Silence,
    /// A request got no response within the response timeout.
    Unanswered,
}

/// A flow that ended before the caller closed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenFlow {
    /// The flow's caller address.
    pub caller: SocketAddr,
    /// The name of the target, if it has responded at least once.
    pub target: Option<String>,
    /// The cause.
    pub cause: BreakCause,
    /// When the caller detected the end of the flow.
    pub at: Instant,
}

/// What a caller has observed.
#[derive(Debug, Clone, Default)]
pub struct CallerRecord {
    /// Flows for which a SYN was sent.
    pub attempted: u64,
    /// Flows that were established.
    pub opened: u64,
    /// Flows that were reset before they were established.
    pub refused: Vec<(Instant, SocketAddr)>,
    /// Flows that got no answer to their SYN.
    pub unreachable: Vec<(Instant, SocketAddr)>,
    /// Established flows that broke, without those counted in `given_up`.
    pub broken: Vec<BrokenFlow>,
    /// Established flows that broke after their target was taken out of service.
    pub given_up: u64,
    /// Requests sent.
    pub requests: u64,
    /// Complete responses to the flow's own request.
    pub answered: u64,
    /// Responses with status 503.
    pub shed: u64,
    /// Responses to another request, or of another service or target than before.
    pub crossed: u64,
    /// Responses that a FIN cut off, that could not be parsed, or that had a wrong body.
    pub truncated: u64,
    /// Flows that the caller closed.
    pub closed: u64,
    /// Flows that were reset while the caller closed them.
    pub reset_closing: u64,
    /// Flows that are established now.
    pub open: u64,
    /// Flows that are scheduled or being established now.
    pub opening: u64,
}

#[derive(Debug)]
enum Command {
    /// Opens this number of flows within a period, with this lifetime.
    Open(usize, Duration, Option<Duration>),
    /// Sets the names of the targets that are out of service.
    SetOutOfService(HashSet<String>),
    /// Sends the last request of each flow within this period.
    Finish(Duration),
}

/// A test double for many callers, with a full TCP connection for each flow.
#[derive(Debug)]
pub struct Caller {
    commands: mpsc::UnboundedSender<Command>,
    record: Arc<Mutex<CallerRecord>>,
    _task: AbortOnDrop,
}

impl Caller {
    /// Starts a caller without flows.
    pub fn start(config: CallerConfig, fabric: &Fabric) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let packets = fabric.register(&config.addresses);
        let record = Arc::default();
        let engine = Engine {
            random: Pcg64::seed_from_u64(config.seed.into()),
            config,
            fabric: fabric.clone(),
            record: Arc::clone(&record),
            flows: HashMap::new(),
            timers: Timers::new(),
            scheduled_opens: BTreeMap::new(),
            out_of_service: HashSet::new(),
            next_number: 0,
            requests: 0,
            finishing: false,
        };
        let task = tokio::spawn(engine.run(packets, receiver));
        Self { commands, record, _task: AbortOnDrop(task.abort_handle()) }
    }

    /// Opens `count` flows evenly over `period`. A flow is closed at the end of its lifetime, or
    /// after [`begin_finish`](Self::begin_finish) if it has none.
    pub fn open(&self, count: usize, period: Duration, lifetime: Option<Duration>) {
        // An error is not possible: the task lives as long as `self`.
        let _ = self.commands.send(Command::Open(count, period, lifetime));
    }

    /// Sets which targets are out of service from now on. If a flow of such a target breaks now or
    /// later, the flow counts as given up. This also applies to flows that the target accepts
    /// before the next call.
    pub fn set_out_of_service(&self, targets: impl IntoIterator<Item = String>) {
        let _ = self.commands.send(Command::SetOutOfService(targets.into_iter().collect()));
    }

    /// Sends a last request on each flow within `period`, and closes the flow after the response.
    pub fn begin_finish(&self, period: Duration) {
        let _ = self.commands.send(Command::Finish(period));
    }

    /// Waits until no flow is established or being established.
    pub async fn wait_until_closed(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let record = lock(&self.record);
            if record.open + record.opening == 0 {
                return;
            }
        }
    }

    /// Returns a copy of what the caller has observed so far.
    pub fn record(&self) -> CallerRecord {
        lock(&self.record).clone()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Idle,
    Waiting(Request),
    Closing,
    Closed,
}

struct Flow {
    address: SocketAddr,
    service: usize,
    connection: Connection,
    phase: Phase,
    target: Option<String>,
    /// Whether the target was taken out of service while the flow was open.
    out_of_service: bool,
    /// Whether an RST was received.
    is_reset: bool,
    /// Whether the flow sends only the first and the last request.
    is_silent: bool,
    /// Whether the last request was sent.
    is_last_request_sent: bool,
    /// When the next request is sent in phase `Idle`, or when the response times out in phase
    /// `Waiting`.
    next_action: Option<Instant>,
    /// The time after which the next request is the last one.
    close_after: Option<Instant>,
    inbox: Vec<u8>,
    outbox: VecDeque<u8>,
}

struct Engine {
    config: CallerConfig,
    fabric: Fabric,
    random: Pcg64,
    record: Arc<Mutex<CallerRecord>>,
    flows: HashMap<usize, Flow>,
    timers: Timers<usize>,
    /// The lifetimes of the flows to open, by time and flow number.
    scheduled_opens: BTreeMap<(Instant, usize), Option<Duration>>,
    /// The names of the targets that are out of service.
    out_of_service: HashSet<String>,
    /// The number of the next flow.
    next_number: usize,
    /// The number of requests sent, which is part of the request id.
    requests: u32,
    finishing: bool,
}

impl Engine {
    async fn run(
        mut self,
        mut packets: mpsc::Receiver<Vec<u8>>,
        mut commands: mpsc::UnboundedReceiver<Command>,
    ) {
        let mut batch = Vec::with_capacity(BATCH_PACKETS);
        loop {
            let next_open = self.scheduled_opens.keys().next().map(|(at, _)| *at);
            let next = [self.timers.next_due(), next_open].into_iter().flatten().min();
            tokio::select! {
                _ = packets.recv_many(&mut batch, BATCH_PACKETS) => {}
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command, Instant::now()),
                    None => return,
                },
                () = sleep_until(next) => {}
            }
            for packet in batch.drain(..) {
                self.receive(packet, Instant::now());
            }
            self.tick(Instant::now());
        }
    }

    fn handle_command(&mut self, command: Command, now: Instant) {
        match command {
            Command::Open(count, period, lifetime) => {
                for index in 0..count {
                    let at = now + period.mul_f64(index as f64 / count as f64);
                    self.scheduled_opens.insert((at, self.next_number), lifetime);
                    self.next_number += 1;
                }
                lock(&self.record).opening += count as u64;
            }
            Command::SetOutOfService(targets) => {
                self.out_of_service = targets;
                for flow in self.flows.values_mut() {
                    flow.update_out_of_service(&self.out_of_service);
                }
            }
            Command::Finish(period) => {
                self.finishing = true;
                let unopened = std::mem::take(&mut self.scheduled_opens).len();
                lock(&self.record).opening -= unopened as u64;
                for (number, flow) in &mut self.flows {
                    if flow.phase == Phase::Idle {
                        flow.next_action = Some(now + period.mul_f64(self.random.random()));
                        self.timers.set(*number, flow.next_action);
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        while let Some(entry) = self.scheduled_opens.first_entry() {
            let (at, number) = *entry.key();
            if at > now {
                break;
            }
            let lifetime = entry.remove();
            self.open(number, lifetime, now);
        }
        while let Some(number) = self.timers.pop_due(now) {
            self.poll_flow(number, now);
        }
    }

    fn open(&mut self, number: usize, lifetime: Option<Duration>, now: Instant) {
        let address = flow_address(&self.config.addresses, number);
        let service = self.random.random_range(0..self.config.services.len());
        let remote = self.config.services[service].1;
        let seed = self.random.random();
        let flow = Flow {
            address,
            service,
            connection: Connection::connect(address, remote, self.config.tcp_timeout, seed, now),
            phase: Phase::Opening,
            target: None,
            out_of_service: false,
            is_reset: false,
            is_silent: lifetime.is_none() && self.random.random_bool(self.config.silent_share),
            is_last_request_sent: false,
            next_action: None,
            close_after: lifetime.map(|lifetime| now + lifetime),
            inbox: Vec::new(),
            outbox: VecDeque::new(),
        };
        self.flows.insert(number, flow);
        lock(&self.record).attempted += 1;
        self.poll_flow(number, now);
    }

    fn receive(&mut self, packet: Vec<u8>, now: Instant) {
        let Some(segment) = Segment::parse(&packet) else {
            return;
        };
        let to = segment.destination;
        let Some(number) = flow_number(&self.config.addresses, to) else {
            return;
        };
        match self.flows.get_mut(&number) {
            Some(flow) => {
                flow.is_reset |= segment.rst;
                flow.connection.push(packet);
                self.poll_flow(number, now);
            }
            None if segment.rst => {}
            None => self.fabric.send(segment.reset().build()),
        }
    }

    /// Polls the stack of a flow, reads the responses, and sends the next request if it is due.
    fn poll_flow(&mut self, number: usize, now: Instant) {
        let Some(mut flow) = self.flows.remove(&number) else {
            return;
        };
        let mut packets = flow.connection.poll(now);
        flow.connection.read(&mut flow.inbox);
        self.read_responses(&mut flow, now);
        self.update_phase(&mut flow, now);
        flow.connection.write(&mut flow.outbox);
        packets.append(&mut flow.connection.poll(now));
        for packet in packets {
            self.fabric.send(packet);
        }
        if flow.phase == Phase::Closed && flow.connection.state() == State::Closed {
            return self.timers.set(number, None);
        }
        let next = [flow.connection.next_poll(now), flow.next_action].into_iter().flatten().min();
        self.timers.set(number, next);
        self.flows.insert(number, flow);
    }

    fn read_responses(&mut self, flow: &mut Flow, now: Instant) {
        loop {
            match Response::parse(&flow.inbox) {
                Ok(None) => return,
                Ok(Some((response, length))) => {
                    flow.inbox.drain(..length);
                    self.check_response(flow, response, now);
                }
                Err(_) => {
                    lock(&self.record).truncated += 1;
                    flow.inbox.clear();
                }
            }
        }
    }

    fn check_response(&mut self, flow: &mut Flow, response: Response, now: Instant) {
        let record = &mut lock(&self.record);
        let Phase::Waiting(request) = flow.phase else {
            record.crossed += 1;
            return;
        };
        let service = &self.config.services[flow.service].0;
        let target = flow.target.get_or_insert_with(|| response.target.clone());
        if response.id != request.id || response.service != *service || response.target != *target {
            record.crossed += 1;
        } else if response.body != response_body(request.id, request.body_bytes) {
            record.truncated += 1;
        } else {
            record.answered += 1;
            record.shed += u64::from(response.status == 503);
        }
        flow.update_out_of_service(&self.out_of_service);
        flow.phase = Phase::Idle;
        flow.next_action = match (self.finishing || flow.is_last_request_sent, flow.is_silent) {
            (true, _) => Some(now),
            (false, true) => None,
            (false, false) => {
                Some(now + self.random.random_range(self.config.request_delay.clone()))
            }
        };
    }

    /// Updates the phase of a flow according to the state of its connection and the time.
    fn update_phase(&mut self, flow: &mut Flow, now: Instant) {
        let state = flow.connection.state();
        let due = flow.next_action.is_some_and(|next| next <= now);
        match flow.phase {
            Phase::Opening if state == State::Established => {
                let record = &mut lock(&self.record);
                record.opened += 1;
                record.open += 1;
                record.opening -= 1;
                flow.phase = Phase::Idle;
                flow.next_action =
                    Some(now + self.config.request_delay.start.mul_f64(self.random.random()));
            }
            Phase::Opening if state == State::Closed => {
                let record = &mut lock(&self.record);
                record.opening -= 1;
                let list = match flow.is_reset {
                    true => &mut record.refused,
                    false => &mut record.unreachable,
                };
                list.push((now, flow.address));
                flow.phase = Phase::Closed;
                flow.next_action = None;
            }
            Phase::Idle | Phase::Waiting(_) if state != State::Established => {
                let cause = match (flow.is_reset, state) {
                    (true, _) => BreakCause::Reset,
                    (false, State::Closed) => BreakCause::Silence,
                    (false, _) => BreakCause::Closed,
                };
                self.record_broken(flow, cause, now);
            }
            Phase::Waiting(_) if due => self.record_broken(flow, BreakCause::Unanswered, now),
            Phase::Idle if due => self.send_or_close(flow, now),
            Phase::Closing if matches!(state, State::Closed | State::TimeWait) => {
                let record = &mut lock(&self.record);
                record.open -= 1;
                record.closed += 1;
                record.reset_closing += u64::from(flow.is_reset);
                flow.phase = Phase::Closed;
                flow.next_action = None;
            }
            _ => {}
        }
    }

    /// Sends the next request, or closes the flow if the last request was answered.
    fn send_or_close(&mut self, flow: &mut Flow, now: Instant) {
        if flow.is_last_request_sent {
            flow.connection.close();
            flow.phase = Phase::Closing;
            flow.next_action = None;
            return;
        }
        flow.is_last_request_sent =
            self.finishing || flow.close_after.is_some_and(|end| end <= now);
        self.requests += 1;
        let request = Request {
            id: (u64::from(self.config.seed) << 32) | u64::from(self.requests),
            body_bytes: self.random.random_range(self.config.response_bytes.clone()),
        };
        let service = &self.config.services[flow.service].0;
        flow.outbox.extend(request.encode(service));
        flow.phase = Phase::Waiting(request);
        flow.next_action = Some(now + self.config.response_timeout);
        lock(&self.record).requests += 1;
    }

    fn record_broken(&mut self, flow: &mut Flow, cause: BreakCause, now: Instant) {
        let record = &mut lock(&self.record);
        record.open -= 1;
        record.truncated += u64::from(cause == BreakCause::Closed && !flow.inbox.is_empty());
        if flow.out_of_service {
            record.given_up += 1;
        } else {
            record.broken.push(BrokenFlow {
                caller: flow.address,
                target: flow.target.clone(),
                cause,
                at: now,
            });
        }
        flow.connection.abort();
        flow.phase = Phase::Closed;
        flow.next_action = None;
    }
}

impl Flow {
    /// Records whether the flow's target is in the set of targets out of service. A flow stays
    /// marked after the target is back in service.
    fn update_out_of_service(&mut self, out_of_service: &HashSet<String>) {
        self.out_of_service |=
            self.target.as_ref().is_some_and(|target| out_of_service.contains(target));
    }
}
