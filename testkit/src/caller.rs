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
    message::{Request, Response, body},
    stack::Connection,
    util::{Guard, Timers, flow_address, flow_number, lock, sleep_until},
};

/// The packets that are processed before timers are looked at.
const BATCH: usize = 256;

/// The settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerConfig {
    /// The seed of all random choices. The request ids depend on it, so each caller needs its own.
    pub seed: u32,
    /// The caller's addresses. Each serves 60,000 flows.
    pub addresses: Vec<IpAddr>,
    /// The names and addresses of the services. Each flow uses a random one.
    pub services: Vec<(String, SocketAddr)>,
    /// The pause before each request.
    pub pause: Range<Duration>,
    /// The share of long flows that stay silent after the first response until the end.
    pub silent: f64,
    /// The size of the responses' bodies, at most 7,000.
    pub body: Range<usize>,
    /// The time without an acknowledgment after which the stack gives up.
    pub timeout: Duration,
    /// The time after which a request counts as unanswered.
    pub patience: Duration,
}

impl CallerConfig {
    /// Returns settings with requests every 0.5 to 4 s.
    pub fn new(seed: u32, address: IpAddr, services: Vec<(String, SocketAddr)>) -> Self {
        Self {
            seed,
            addresses: vec![address],
            services,
            pause: Duration::from_millis(500)..Duration::from_secs(4),
            silent: 0.1,
            body: 0..4000,
            timeout: Duration::from_secs(15),
            patience: Duration::from_secs(20),
        }
    }
}

/// Why a flow broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The caller received RST.
    Reset,
    /// The caller received FIN.
    Closed,
    /// The caller's stack got no acknowledgment.
    Silence,
    /// A request was acknowledged but not answered.
    Unanswered,
}

/// A flow that ended against the caller's will.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// The flow's caller address.
    pub caller: SocketAddr,
    /// The target, if it ever responded.
    pub target: Option<String>,
    /// The cause.
    pub cause: Cause,
    /// When the caller noticed it.
    pub at: Instant,
}

/// What a caller saw.
#[derive(Debug, Clone, Default)]
pub struct CallerRecord {
    /// SYNs of distinct flows.
    pub attempted: u64,
    /// Flows established.
    pub opened: u64,
    /// Flows reset before they were established.
    pub refused: Vec<(Instant, SocketAddr)>,
    /// Flows that got no answer to their SYN.
    pub unreachable: Vec<(Instant, SocketAddr)>,
    /// Flows broken, but for those given up.
    pub broken: Vec<Broken>,
    /// Flows broken after their target was taken out of service.
    pub given_up: u64,
    /// Requests sent.
    pub requests: u64,
    /// Whole responses to the own request.
    pub answered: u64,
    /// Responses with status 503.
    pub shed: u64,
    /// Responses to another request, or of another service or target than before.
    pub crossed: u64,
    /// Responses cut off by FIN or with a wrong body.
    pub truncated: u64,
    /// Flows closed by the caller.
    pub closed: u64,
    /// Flows reset while the caller closed them.
    pub reset_closing: u64,
    /// Flows established and not closed now.
    pub open: u64,
    /// Flows not yet established now.
    pub opening: u64,
}

#[derive(Debug)]
enum Command {
    Open(usize, Duration, Option<Duration>),
    Out(HashSet<String>),
    Finish(Duration),
}

/// A stand-in for many callers, each flow with a whole TCP connection.
#[derive(Debug)]
pub struct Caller {
    commands: mpsc::UnboundedSender<Command>,
    record: Arc<Mutex<CallerRecord>>,
    _task: Guard,
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
            planned: BTreeMap::new(),
            out: HashSet::new(),
            numbers: 0,
            requests: 0,
            finishing: false,
        };
        let task = tokio::spawn(engine.run(packets, receiver));
        Self { commands, record, _task: Guard(task.abort_handle()) }
    }

    /// Opens flows evenly over a period. They are closed at the end of their life, or by
    /// [`begin_finish`](Self::begin_finish) if they have none.
    pub fn open(&self, count: usize, period: Duration, life: Option<Duration>) {
        // The task lives as long as `self`.
        let _ = self.commands.send(Command::Open(count, period, life));
    }

    /// Announces which targets are out of service from now on. Flows that they have or accept until
    /// the next announcement count as given up when they break, then or later.
    pub fn take_out(&self, targets: impl IntoIterator<Item = String>) {
        let _ = self.commands.send(Command::Out(targets.into_iter().collect()));
    }

    /// Sends a last request on each flow within `period` and closes the flow after the response.
    pub fn begin_finish(&self, period: Duration) {
        let _ = self.commands.send(Command::Finish(period));
    }

    /// Waits until no flow is left.
    pub async fn closed(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let record = lock(&self.record);
            if record.open + record.opening == 0 {
                return;
            }
        }
    }

    /// Returns what the caller saw so far.
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
    out: bool,
    reset: bool,
    silent: bool,
    /// Whether the last request was sent.
    last: bool,
    /// When the flow acts next: a request in phase `Idle`, the end of patience in `Waiting`.
    next: Option<Instant>,
    end: Option<Instant>,
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
    /// The flows to open, with their life.
    planned: BTreeMap<(Instant, usize), Option<Duration>>,
    /// The targets that are out of service.
    out: HashSet<String>,
    numbers: usize,
    requests: u32,
    finishing: bool,
}

impl Engine {
    async fn run(
        mut self,
        mut packets: mpsc::Receiver<Vec<u8>>,
        mut commands: mpsc::UnboundedReceiver<Command>,
    ) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let planned = self.planned.keys().next().map(|(at, _)| *at);
            let next = [self.timers.next(), planned].into_iter().flatten().min();
            tokio::select! {
                _ = packets.recv_many(&mut batch, BATCH) => {}
                command = commands.recv() => match command {
                    Some(command) => self.command(command, Instant::now()),
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

    fn command(&mut self, command: Command, now: Instant) {
        match command {
            Command::Open(count, period, life) => {
                for index in 0..count {
                    let at = now + period.mul_f64(index as f64 / count as f64);
                    self.planned.insert((at, self.numbers), life);
                    self.numbers += 1;
                }
                lock(&self.record).opening += count as u64;
            }
            Command::Out(targets) => {
                self.out = targets;
                for flow in self.flows.values_mut() {
                    flow.mark(&self.out);
                }
            }
            Command::Finish(period) => {
                self.finishing = true;
                let unopened = std::mem::take(&mut self.planned).len();
                lock(&self.record).opening -= unopened as u64;
                for (number, flow) in &mut self.flows {
                    if flow.phase == Phase::Idle {
                        flow.next = Some(now + period.mul_f64(self.random.random()));
                        self.timers.set(*number, flow.next);
                    }
                }
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        while let Some(entry) = self.planned.first_entry() {
            let (at, number) = *entry.key();
            if at > now {
                break;
            }
            let life = entry.remove();
            self.open(number, life, now);
        }
        while let Some(number) = self.timers.due(now) {
            self.pump(number, now);
        }
    }

    fn open(&mut self, number: usize, life: Option<Duration>, now: Instant) {
        let address = flow_address(&self.config.addresses, number);
        let service = self.random.random_range(0..self.config.services.len());
        let remote = self.config.services[service].1;
        let seed = self.random.random();
        let flow = Flow {
            address,
            service,
            connection: Connection::connect(address, remote, self.config.timeout, seed, now),
            phase: Phase::Opening,
            target: None,
            out: false,
            reset: false,
            silent: life.is_none() && self.random.random_bool(self.config.silent),
            last: false,
            next: None,
            end: life.map(|life| now + life),
            inbox: Vec::new(),
            outbox: VecDeque::new(),
        };
        self.flows.insert(number, flow);
        lock(&self.record).attempted += 1;
        self.pump(number, now);
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
                flow.reset |= segment.rst;
                flow.connection.push(packet);
                self.pump(number, now);
            }
            None if segment.rst => {}
            None => self.fabric.send(segment.reset().build()),
        }
    }

    /// Runs the stack of a flow, reads responses and sends the next request.
    fn pump(&mut self, number: usize, now: Instant) {
        let Some(mut flow) = self.flows.remove(&number) else {
            return;
        };
        let mut packets = flow.connection.poll(now);
        flow.connection.read(&mut flow.inbox);
        self.read(&mut flow, now);
        self.advance(&mut flow, now);
        flow.connection.write(&mut flow.outbox);
        packets.append(&mut flow.connection.poll(now));
        for packet in packets {
            self.fabric.send(packet);
        }
        if flow.phase == Phase::Closed && flow.connection.state() == State::Closed {
            return self.timers.set(number, None);
        }
        let next = [flow.connection.next(now), flow.next].into_iter().flatten().min();
        self.timers.set(number, next);
        self.flows.insert(number, flow);
    }

    fn read(&mut self, flow: &mut Flow, now: Instant) {
        loop {
            match Response::parse(&flow.inbox) {
                Ok(None) => return,
                Ok(Some((response, length))) => {
                    flow.inbox.drain(..length);
                    self.check(flow, response, now);
                }
                Err(_) => {
                    lock(&self.record).truncated += 1;
                    flow.inbox.clear();
                }
            }
        }
    }

    fn check(&mut self, flow: &mut Flow, response: Response, now: Instant) {
        let record = &mut lock(&self.record);
        let Phase::Waiting(request) = flow.phase else {
            record.crossed += 1;
            return;
        };
        let service = &self.config.services[flow.service].0;
        let target = flow.target.get_or_insert_with(|| response.target.clone());
        if response.id != request.id || response.service != *service || response.target != *target {
            record.crossed += 1;
        } else if response.body != body(request.id, request.size) {
            record.truncated += 1;
        } else {
            record.answered += 1;
            record.shed += u64::from(response.status == 503);
        }
        flow.mark(&self.out);
        flow.phase = Phase::Idle;
        flow.next = match (self.finishing || flow.last, flow.silent) {
            (true, _) => Some(now),
            (false, true) => None,
            (false, false) => Some(now + self.random.random_range(self.config.pause.clone())),
        };
    }

    /// Changes the phase after the state of the connection or the time changed.
    fn advance(&mut self, flow: &mut Flow, now: Instant) {
        let state = flow.connection.state();
        let due = flow.next.is_some_and(|next| next <= now);
        match flow.phase {
            Phase::Opening if state == State::Established => {
                let record = &mut lock(&self.record);
                record.opened += 1;
                record.open += 1;
                record.opening -= 1;
                flow.phase = Phase::Idle;
                flow.next = Some(now + self.config.pause.start.mul_f64(self.random.random()));
            }
            Phase::Opening if state == State::Closed => {
                let record = &mut lock(&self.record);
                record.opening -= 1;
                let list = match flow.reset {
                    true => &mut record.refused,
                    false => &mut record.unreachable,
                };
                list.push((now, flow.address));
                flow.phase = Phase::Closed;
                flow.next = None;
            }
            Phase::Idle | Phase::Waiting(_) if state != State::Established => {
                let cause = match (flow.reset, state) {
                    (true, _) => Cause::Reset,
                    (false, State::Closed) => Cause::Silence,
                    (false, _) => Cause::Closed,
                };
                self.fail(flow, cause, now);
            }
            Phase::Waiting(_) if due => self.fail(flow, Cause::Unanswered, now),
            Phase::Idle if due => self.act(flow, now),
            Phase::Closing if matches!(state, State::Closed | State::TimeWait) => {
                let record = &mut lock(&self.record);
                record.open -= 1;
                record.closed += 1;
                record.reset_closing += u64::from(flow.reset);
                flow.phase = Phase::Closed;
                flow.next = None;
            }
            _ => {}
        }
    }

    /// Sends the next request, or closes the flow after the last one.
    fn act(&mut self, flow: &mut Flow, now: Instant) {
        if flow.last {
            flow.connection.close();
            flow.phase = Phase::Closing;
            flow.next = None;
            return;
        }
        flow.last = self.finishing || flow.end.is_some_and(|end| end <= now);
        self.requests += 1;
        let request = Request {
            id: (u64::from(self.config.seed) << 32) | u64::from(self.requests),
            size: self.random.random_range(self.config.body.clone()),
        };
        let service = &self.config.services[flow.service].0;
        flow.outbox.extend(request.encode(service));
        flow.phase = Phase::Waiting(request);
        flow.next = Some(now + self.config.patience);
        lock(&self.record).requests += 1;
    }

    fn fail(&mut self, flow: &mut Flow, cause: Cause, now: Instant) {
        let record = &mut lock(&self.record);
        record.open -= 1;
        record.truncated += u64::from(cause == Cause::Closed && !flow.inbox.is_empty());
        if flow.out {
            record.given_up += 1;
        } else {
            record.broken.push(Broken {
                caller: flow.address,
                target: flow.target.clone(),
                cause,
                at: now,
            });
        }
        flow.connection.abort();
        flow.phase = Phase::Closed;
        flow.next = None;
    }
}

impl Flow {
    /// Notes whether the target was taken out of service while the flow is open.
    fn mark(&mut self, out: &HashSet<String>) {
        self.out |= self.target.as_ref().is_some_and(|target| out.contains(target));
    }
}
