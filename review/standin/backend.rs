use std::{
    collections::{HashMap, HashSet},
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    packet::{ACK, FIN, OWN_SUM, Packet, RST, SYN},
    record::{Random, Record},
    store::Store,
};

/// The time between two reports of a backend to the store.
const HEARTBEAT: Duration = Duration::from_millis(770);

/// The time between two looks for new connections.
const LISTEN_PERIOD: Duration = Duration::from_millis(15);

/// An opening packet that a backend took.
#[derive(Debug, Clone)]
pub struct Opening {
    pub at: Instant,
    pub client: (Ipv4Addr, u16),
}

struct Flow {
    seq: u32,
    next: u32,
    response: Vec<u8>,
    is_closing: bool,
    /// Whether a packet after the opening packet was received.
    is_open: bool,
}

struct State {
    is_running: bool,
    born: u64,
    /// When the present incarnation started.
    started_at: Instant,
    is_draining: bool,
    warmup: Duration,
    flows: HashMap<(Ipv4Addr, u16), Flow>,
    openings: Vec<Opening>,
    /// The entry that the store has acknowledged.
    written: String,
    is_registered: bool,
    random: Random,
    /// When the store acknowledged that the backend is draining.
    draining_since: Option<Instant>,
    /// When the backend left, and the flows that it held then.
    left: Option<(Instant, HashSet<(Ipv4Addr, u16)>)>,
}

/// A backend of one service.
#[derive(Clone)]
pub struct Backend {
    pub number: u64,
    pub service: String,
    pub zone: String,
    address: SocketAddrV4,
    client_port: u16,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Backend {
    /// Starts a backend that reports itself to the store from now on.
    pub fn start(
        number: u64,
        address: SocketAddrV4,
        (service, zone): (&str, &str),
        client_port: u16,
        warmup: Duration,
        store: &Store,
        record: &Record,
    ) -> Result<Backend, String> {
        let state = State {
            is_running: true,
            born: unix_millis(),
            started_at: Instant::now(),
            is_draining: false,
            warmup,
            flows: HashMap::new(),
            openings: Vec::new(),
            written: String::new(),
            is_registered: true,
            random: Random::new(number ^ unix_millis() << 20),
            draining_since: None,
            left: None,
        };
        let backend = Backend {
            number,
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            client_port,
            store: store.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        let socket = UdpSocket::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let (packets, listener) = (backend.clone(), backend.clone());
        thread::spawn(move || packets.run_packets(&socket));
        thread::spawn(move || listener.run_listener());
        Ok(backend)
    }

    pub fn id(&self) -> String {
        format!("i-{:08x}", self.number)
    }

    /// Ends the process of the backend, which loses its flows.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_running = false;
        state.flows.clear();
        self.record.line(&format!("backend {} crashes", self.id()));
    }

    /// Starts the backend again under its id, as a new incarnation.
    pub fn restart(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_running = true;
        state.born = unix_millis();
        state.started_at = Instant::now();
        self.record.line(&format!("backend {} has started again", self.id()));
    }

    /// Reports that the backend is draining. Returns when the store has acknowledged it.
    pub fn drain(&self) -> Option<Instant> {
        self.state.lock().unwrap().is_draining = true;
        self.beat();
        self.state.lock().unwrap().draining_since
    }

    /// Removes the entry and ends the process.
    pub fn leave(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_registered = false;
        state.is_running = false;
        let open = state.flows.iter().filter(|(_, flow)| flow.is_open);
        let open = open.map(|(client, _)| *client).collect();
        state.left = Some((Instant::now(), open));
        state.flows.clear();
        drop(state);
        self.store.remove(&format!("servers/{}", self.id()));
        self.record.line(&format!("backend {} has left", self.id()));
    }

    pub fn started_at(&self) -> Instant {
        self.state.lock().unwrap().started_at
    }

    pub fn draining_since(&self) -> Option<Instant> {
        self.state.lock().unwrap().draining_since
    }

    /// Returns whether the flow is open at this backend, which runs.
    pub fn holds(&self, client: (Ipv4Addr, u16)) -> bool {
        let state = self.state.lock().unwrap();
        state.is_running && state.flows.get(&client).is_some_and(|flow| flow.is_open)
    }

    /// Returns whether the flow was open at this backend at `at`, and the backend had not left.
    pub fn held(&self, client: (Ipv4Addr, u16), at: Instant) -> bool {
        let state = self.state.lock().unwrap();
        match &state.left {
            Some((left_at, flows)) => at < *left_at && flows.contains(&client),
            None => state.flows.get(&client).is_some_and(|flow| flow.is_open),
        }
    }

    pub fn openings(&self) -> Vec<Opening> {
        self.state.lock().unwrap().openings.clone()
    }

    /// Writes the entry if more than its heartbeat count has changed.
    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_running || !state.is_registered {
            return;
        }
        let left = state.warmup.saturating_sub(state.started_at.elapsed());
        let is_cold = !left.is_zero();
        let key = format!("{} {} {is_cold}", state.born, state.is_draining);
        if state.written == key {
            return;
        }
        let status = if state.is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":4,\"state\":\"{status}\",\"warmupLeftMs\":{},\"seqNo\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            left.as_millis(),
            state.born
        );
        if let Some(at) = self.store.put(&format!("servers/{}", self.id()), &entry) {
            state.written = key;
            if state.is_draining {
                state.draining_since.get_or_insert(at);
            }
            self.record.line(&format!("store acknowledges {}: {entry}", self.id()));
        }
    }

    /// Sends heartbeats, and accepts connections of health checks while the backend runs.
    fn run_listener(&self) {
        let mut listener: Option<TcpListener> = None;
        let mut next_beat = Instant::now();
        loop {
            let is_running = self.state.lock().unwrap().is_running;
            listener = match listener {
                _ if !is_running => None,
                Some(listener) => Some(listener),
                None => TcpListener::bind(self.address).ok(),
            };
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while listener.accept().is_ok() {}
            }
            if Instant::now() >= next_beat {
                next_beat += HEARTBEAT;
                self.beat();
            }
            thread::sleep(LISTEN_PERIOD);
        }
    }

    fn run_packets(&self, socket: &UdpSocket) {
        let mut buffer = [0; 2048];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => continue,
                Err(_) => return,
            };
            let Some((prefix, packet)) = buffer[..length].split_at_checked(8) else {
                continue;
            };
            let intended = u64::from_be_bytes(prefix.try_into().expect("8 bytes"));
            if intended != 0 && intended != self.number {
                continue;
            }
            if let Some(packet) = Packet::decode(packet)
                && let Some(reply) = self.handle(&packet, from)
            {
                let to = SocketAddr::from((packet.src.0, self.client_port));
                let _ = socket.send_to(&reply.encode(), to);
            }
        }
    }

    fn handle(&self, packet: &Packet, from: SocketAddr) -> Option<Packet> {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        if !state.is_running {
            return None;
        }
        let (client, port) = packet.src;
        let mut reply = Packet {
            seq: 0,
            ack: packet.seq.wrapping_add(packet.data.len() as u32),
            sum: OWN_SUM,
            echo: packet.echo,
            flags: ACK,
            dst: packet.src,
            src: packet.dst,
            data: Vec::new(),
        };
        if packet.flags & SYN != 0 {
            let seq = state.random.next() as u32;
            let flow = state.flows.entry(packet.src).or_insert_with(|| {
                state.openings.push(Opening {
                    at: Instant::now(),
                    client: packet.src,
                });
                self.record.line(&format!(
                    "backend {} takes the opening packet of {client}:{port} from {from}, echo {:08x}",
                    self.id(), packet.echo
                ));
                Flow {
                    seq,
                    next: packet.seq,
                    response: Vec::new(),
                    is_closing: false,
                    is_open: false,
                }
            });
            reply.seq = flow.seq;
            reply.flags = SYN | ACK;
            return Some(reply);
        }
        if packet.flags & RST != 0 {
            state.flows.remove(&packet.src);
            return None;
        }
        let Some(flow) = state.flows.get_mut(&packet.src) else {
            if packet.flags & FIN != 0 {
                return Some(reply);
            }
            self.record.line(&format!(
                "backend {} resets {client}:{port}, which it does not hold",
                self.id()
            ));
            reply.seq = packet.ack;
            reply.flags = RST;
            return Some(reply);
        };
        flow.is_open = true;
        if packet.flags & FIN != 0 {
            reply.seq = flow.seq;
            reply.flags = FIN | ACK;
            state.flows.remove(&packet.src);
            return Some(reply);
        }
        if packet.data.is_empty() {
            return None;
        }
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.seq == flow.next {
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            self.record.line(&format!("backend {} runs {request}", self.id()));
            flow.seq = flow.seq.wrapping_add(flow.response.len() as u32);
            flow.response = format!("{} {request}", self.id()).into_bytes();
            flow.next = end;
            flow.is_closing = state.is_draining;
        } else if end != flow.next {
            return None;
        }
        reply.seq = flow.seq;
        reply.data = flow.response.clone();
        if flow.is_closing {
            reply.flags |= FIN;
        }
        Some(reply)
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
