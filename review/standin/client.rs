use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    daemon::Router,
    packet::{ACK, FIN, OWN_SUM, Packet, RST, SYN},
    record::{Random, Record},
};

/// When copies of an opening packet are sent, and when the attempt ends.
const OPEN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LONGEST_RETRANSMISSION: Duration = Duration::from_millis(1600);

/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(2500);

/// A reset that a client got.
#[derive(Debug, Clone)]
pub struct Reset {
    pub at: Instant,
    pub client: (Ipv4Addr, u16),
    /// Whether the reset is the system's own.
    pub is_of_system: bool,
    /// Whether the flow was open at the client.
    pub was_open: bool,
    /// Whether the client accepts the reset by its `seq`.
    pub is_in_window: bool,
    /// The daemon that gets the packets of the flow.
    pub daemon: Option<SocketAddrV4>,
}

/// What the clients of a run have seen.
#[derive(Default)]
pub struct Seen {
    pub resets: Vec<Reset>,
    /// When each flow's first opening packet was sent.
    pub opened: HashMap<(Ipv4Addr, u16), Instant>,
}

/// The behaviour of the flows of one client machine.
#[derive(Clone, Copy)]
pub struct Habit {
    /// The number of flows that are kept open.
    pub flows: usize,
    /// The mean pause between the requests of a flow.
    pub pause: Duration,
    /// The mean lifetime of a flow; zero for a flow for each request.
    pub lifetime: Duration,
    /// The shortest time between two new flows.
    pub open_interval: Duration,
}

enum Phase {
    /// The opening packet was sent so many times.
    Opening { copies: usize },
    /// The flow is open; no request waits for its response.
    Idle { until: Instant },
    /// A request waits for its response.
    Waiting { sent_at: Instant, retransmit_at: Instant, interval: Duration },
}

struct Flow {
    client: (Ipv4Addr, u16),
    service: (Ipv4Addr, u16),
    seq: u32,
    ack: u32,
    echo: u32,
    request: Vec<u8>,
    opened_at: Instant,
    ends_at: Instant,
    phase: Phase,
}

impl Flow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            seq: self.seq,
            ack: self.ack,
            sum: OWN_SUM,
            echo: self.echo,
            flags,
            dst: self.service,
            src: self.client,
            data,
        }
    }
}

/// The clients at one address.
pub struct Clients {
    pub seen: Arc<Mutex<Seen>>,
    pub answered: Arc<AtomicU64>,
    pub failed: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        address: SocketAddrV4,
        service: (Ipv4Addr, u16),
        habit: Habit,
        router: &Router,
        record: &Record,
        seed: u64,
    ) -> Result<Clients, String> {
        let socket = UdpSocket::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let timeout = Some(Duration::from_millis(2));
        socket.set_read_timeout(timeout).map_err(|error| error.to_string())?;
        let clients = Clients {
            seen: Arc::default(),
            answered: Arc::default(),
            failed: Arc::default(),
            stop: Arc::default(),
            thread: None,
        };
        let mut worker = Worker {
            socket,
            address: *address.ip(),
            service,
            habit,
            router: router.clone(),
            record: record.clone(),
            random: Random::new(seed),
            flows: HashMap::new(),
            next_port: 30_000,
            requests: 0,
            seen: clients.seen.clone(),
            answered: clients.answered.clone(),
            failed: clients.failed.clone(),
        };
        let stop = clients.stop.clone();
        let thread = thread::spawn(move || worker.run(&stop));
        Ok(Clients { thread: Some(thread), ..clients })
    }

    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Worker {
    socket: UdpSocket,
    address: Ipv4Addr,
    service: (Ipv4Addr, u16),
    habit: Habit,
    router: Router,
    record: Record,
    random: Random,
    flows: HashMap<u16, Flow>,
    next_port: u16,
    requests: u64,
    seen: Arc<Mutex<Seen>>,
    answered: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
}

impl Worker {
    fn run(&mut self, stop: &AtomicBool) {
        let mut buffer = [0; 2048];
        let mut next_open = Instant::now();
        let mut next_timers = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer)
                && let Some(packet) = Packet::decode(&buffer[..length])
            {
                self.handle(Instant::now(), &packet);
            }
            let now = Instant::now();
            if now < next_timers {
                continue;
            }
            next_timers = now + Duration::from_millis(2);
            if self.flows.len() < self.habit.flows && now >= next_open {
                next_open = (next_open + self.habit.open_interval).max(now);
                self.open(now);
            }
            self.run_timers(now);
        }
    }

    /// Returns a time around the mean `mean`.
    fn around(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(0.5 + self.random.below(1000) as f64 / 1000.0)
    }

    fn send(&self, packet: &Packet) -> Option<SocketAddrV4> {
        let daemon = self.router.daemon(packet.src, packet.dst)?;
        let _ = self.socket.send_to(&packet.encode(), daemon);
        Some(daemon)
    }

    fn open(&mut self, now: Instant) {
        self.next_port = if self.next_port >= 60_000 { 30_000 } else { self.next_port + 1 };
        let client = (self.address, self.next_port);
        let lifetime = self.around(self.habit.lifetime);
        let flow = Flow {
            client,
            service: self.service,
            seq: self.random.next() as u32,
            ack: 0,
            echo: 0,
            request: Vec::new(),
            opened_at: now,
            ends_at: now + lifetime,
            phase: Phase::Opening { copies: 1 },
        };
        let daemon = self.send(&flow.packet(SYN, Vec::new()));
        self.record
            .line(&format!("client {}:{} opens a flow through {daemon:?}", client.0, client.1));
        self.seen.lock().unwrap().opened.insert(client, now);
        self.flows.insert(client.1, flow);
    }

    fn run_timers(&mut self, now: Instant) {
        let ports: Vec<u16> = self.flows.keys().copied().collect();
        for port in ports {
            let Some(mut flow) = self.flows.remove(&port) else {
                continue;
            };
            if self.run_timer(now, &mut flow) {
                self.flows.insert(port, flow);
            }
        }
    }

    /// Runs the timers of a flow. Returns whether the client keeps the flow.
    fn run_timer(&mut self, now: Instant, flow: &mut Flow) -> bool {
        let (ip, port) = flow.client;
        match &mut flow.phase {
            Phase::Opening { copies } => {
                let age = now - flow.opened_at;
                if age >= OPEN_TIMEOUT {
                    self.failed.fetch_add(1, Ordering::Relaxed);
                    self.record.line(&format!("client {ip}:{port} gives up opening"));
                    return false;
                }
                if OPEN_COPIES.get(*copies - 1).is_some_and(|at| age >= *at) {
                    let copy = *copies as u32;
                    *copies += 1;
                    self.send(&Packet { ack: copy, ..flow.packet(SYN, Vec::new()) });
                }
            }
            Phase::Idle { until } if now >= *until => self.request(now, flow),
            Phase::Idle { .. } => {}
            Phase::Waiting { sent_at, retransmit_at, interval } => {
                if now - *sent_at >= DEADLINE {
                    self.failed.fetch_add(1, Ordering::Relaxed);
                    self.record.line(&format!("client {ip}:{port} gets no answer by its deadline"));
                    self.send(&flow.packet(RST, Vec::new()));
                    return false;
                }
                if now >= *retransmit_at {
                    *interval = (*interval * 2).min(LONGEST_RETRANSMISSION);
                    *retransmit_at = now + *interval;
                    let data = flow.request.clone();
                    self.send(&flow.packet(ACK, data));
                }
            }
        }
        true
    }

    fn request(&mut self, now: Instant, flow: &mut Flow) {
        self.requests += 1;
        let (ip, port) = flow.client;
        flow.request = format!("request {ip}:{port} {}", self.requests).into_bytes();
        let daemon = self.send(&flow.packet(ACK, flow.request.clone()));
        self.record.line(&format!("client {ip}:{port} sends {} through {daemon:?}", self.requests));
        flow.phase = Phase::Waiting {
            sent_at: now,
            retransmit_at: now + FIRST_RETRANSMISSION,
            interval: FIRST_RETRANSMISSION,
        };
    }

    fn handle(&mut self, now: Instant, packet: &Packet) {
        let Some(mut flow) = self.flows.remove(&packet.dst.1) else {
            return;
        };
        if self.handle_packet(now, &mut flow, packet) {
            self.flows.insert(flow.client.1, flow);
        }
    }

    /// Handles a packet of a flow. Returns whether the client keeps the flow.
    fn handle_packet(&mut self, now: Instant, flow: &mut Flow, packet: &Packet) -> bool {
        let (ip, port) = flow.client;
        if packet.flags & RST != 0 {
            let was_open = !matches!(flow.phase, Phase::Opening { .. });
            let distance = packet.seq.wrapping_sub(flow.ack) as i32;
            let is_in_window = !was_open || distance.unsigned_abs() <= 76_800;
            let is_of_system = packet.sum == 0;
            let daemon = self.router.daemon(flow.client, flow.service);
            self.record.line(&format!(
                "client {ip}:{port} gets a reset of {}, open {was_open}, in window {is_in_window}",
                if is_of_system { "the system" } else { "a backend" }
            ));
            let client = flow.client;
            let reset = Reset { at: now, client, is_of_system, was_open, is_in_window, daemon };
            self.seen.lock().unwrap().resets.push(reset);
            if is_in_window {
                self.failed.fetch_add(1, Ordering::Relaxed);
            }
            return !is_in_window;
        }
        flow.echo = packet.echo;
        if packet.flags & SYN != 0 {
            if matches!(flow.phase, Phase::Opening { .. }) {
                flow.ack = packet.seq;
                self.request(now, flow);
            }
            return true;
        }
        if !packet.data.is_empty() {
            let end = packet.seq.wrapping_add(packet.data.len() as u32);
            let is_new = packet.seq == flow.ack && matches!(flow.phase, Phase::Waiting { .. });
            if !is_new {
                return true;
            }
            flow.ack = end;
            flow.seq = flow.seq.wrapping_add(flow.request.len() as u32);
            self.answered.fetch_add(1, Ordering::Relaxed);
            let text = String::from_utf8_lossy(&packet.data);
            self.record.line(&format!("client {ip}:{port} gets the answer {text}"));
            if !text.ends_with(&*String::from_utf8_lossy(&flow.request)) {
                self.record.line(&format!("client {ip}:{port} got a foreign answer"));
            }
            let is_over =
                packet.flags & FIN != 0 || self.habit.lifetime.is_zero() || now >= flow.ends_at;
            if is_over {
                self.send(&flow.packet(FIN | ACK, Vec::new()));
                return false;
            }
            self.send(&flow.packet(ACK, Vec::new()));
            let pause = self.around(self.habit.pause);
            flow.phase = Phase::Idle { until: now + pause };
        } else if packet.flags & FIN != 0 {
            self.send(&flow.packet(FIN | ACK, Vec::new()));
            return false;
        }
        true
    }
}
