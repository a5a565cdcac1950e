//! A client machine: it opens flows through the daemons that the router selects, and sends requests.

use std::{
    collections::HashMap,
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, AtomicU32, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, Packet, RST, SYN},
    record::Record,
    router::Router,
};

/// When the copies of an opening packet are sent, and when the attempt ends.
const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIME: Duration = Duration::from_millis(1400);
/// The largest distance of a reset's sequence number from the last acknowledgement number.
const RESET_WINDOW: i64 = 76_800;
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LONGEST_RETRANSMISSION: Duration = Duration::from_millis(1600);

pub struct Client {
    socket: UdpSocket,
    address: SocketAddrV4,
    pub zone: &'static str,
    router: Arc<Router>,
    record: Arc<Record>,
    flows: Mutex<HashMap<u16, Sender<Packet>>>,
    next_port: AtomicU16,
    next_sequence: AtomicU32,
}

/// How an attempt to open a flow, or a request, ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered(String),
    ResetBySystem,
    ResetByBackend,
    Deadline,
}

pub struct Flow {
    client: Arc<Client>,
    pub from: SocketAddrV4,
    to: SocketAddrV4,
    packets: Receiver<Packet>,
    sequence: u32,
    acknowledged: u32,
    echo: u32,
    /// The backend that answered the last request.
    pub backend: Option<String>,
}

impl Client {
    /// Starts a client that receives packets at `address`, whose port is that of the daemons' data
    /// address.
    pub fn start(
        address: SocketAddrV4,
        zone: &'static str,
        router: Arc<Router>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Client>> {
        let socket = UdpSocket::bind(address)?;
        let receiver = socket.try_clone()?;
        let client = Arc::new(Client {
            socket,
            address,
            zone,
            router,
            record,
            flows: Mutex::default(),
            next_port: AtomicU16::new(40_000),
            next_sequence: AtomicU32::new(u32::from(*address.ip()).wrapping_mul(2_654_435_761)),
        });
        let dispatcher = client.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((length, _)) = receiver.recv_from(&mut buffer) {
                let Some(packet) = Packet::decode(&buffer[..length]) else { continue };
                if let Some(flow) = dispatcher.flows.lock().unwrap().get(&packet.to.port()) {
                    let _ = flow.send(packet);
                }
            }
        });
        Ok(client)
    }

    /// Opens a flow to the service address `to`.
    pub fn open(self: &Arc<Client>, to: SocketAddrV4) -> Result<Flow, Outcome> {
        let port = self.next_port.fetch_add(1, Ordering::SeqCst);
        let from = SocketAddrV4::new(*self.address.ip(), port);
        let sequence = self.next_sequence.fetch_add(1_000_003, Ordering::SeqCst);
        let (sender, packets) = channel();
        self.flows.lock().unwrap().insert(port, sender);
        let mut flow = Flow {
            client: self.clone(),
            from,
            to,
            packets,
            sequence,
            acknowledged: 0,
            echo: 0,
            backend: None,
        };
        let started_at = Instant::now();
        for (copy, at) in COPIES.iter().enumerate() {
            thread::sleep((started_at + *at).saturating_duration_since(Instant::now()));
            flow.send(Packet::new(from, to, SYN, sequence, copy as u32));
            let until = started_at + COPIES.get(copy + 1).copied().unwrap_or(OPENING_TIME);
            while let Some(packet) = flow.receive(until) {
                if packet.is(RST) {
                    return Err(flow.reset_by(&packet));
                }
                if packet.is(SYN) && packet.is(ACK) && packet.ack == sequence.wrapping_add(1) {
                    flow.sequence = sequence.wrapping_add(1);
                    flow.acknowledged = packet.seq.wrapping_add(1);
                    flow.send(Packet::new(from, to, ACK, flow.sequence, flow.acknowledged));
                    return Ok(flow);
                }
            }
        }
        Err(Outcome::Deadline)
    }
}

impl Flow {
    /// Sends a request and waits for its answer.
    pub fn request(&mut self, id: &str, deadline: Duration) -> Outcome {
        let host = self.to;
        let text = format!("GET /board HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\r\n");
        let mut packet = Packet::new(self.from, self.to, ACK, self.sequence, self.acknowledged);
        packet.data = text.into_bytes();
        self.sequence = self.sequence.wrapping_add(packet.data.len() as u32);
        let until = Instant::now() + deadline;
        let mut interval = FIRST_RETRANSMISSION;
        self.client.record.add(format!("client {} sends request {id}", self.from));
        loop {
            let daemon = self.send(packet.clone());
            let retransmit_at = (Instant::now() + interval).min(until);
            while let Some(answer) = self.receive(retransmit_at) {
                if answer.is(RST) {
                    // A client ignores a reset that is far from what it expects next.
                    let distance = answer.seq.wrapping_sub(self.acknowledged) as i32;
                    if i64::from(distance).abs() > RESET_WINDOW {
                        continue;
                    }
                    let outcome = self.reset_by(&answer);
                    self.client.record.add(format!(
                        "client {} gets a reset of {} on an open flow; the last packet went to {daemon}",
                        self.from,
                        if outcome == Outcome::ResetBySystem { "the system" } else { "a backend" }
                    ));
                    return outcome;
                }
                if answer.data.is_empty() || answer.seq != self.acknowledged {
                    continue;
                }
                self.acknowledged = self.acknowledged.wrapping_add(answer.data.len() as u32);
                self.send(Packet::new(self.from, self.to, ACK, self.sequence, self.acknowledged));
                let text = String::from_utf8_lossy(&answer.data).into_owned();
                let field = |name: &str| {
                    text.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("").to_owned()
                };
                let backend = field("X-Response-Signature: ");
                self.client
                    .record
                    .add(format!("client {} gets the answer to {id} from {backend}", self.from));
                self.backend = Some(backend.clone());
                return Outcome::Answered(backend);
            }
            if Instant::now() >= until {
                self.client
                    .record
                    .add(format!("client {} gives up request {id} at its deadline", self.from));
                return Outcome::Deadline;
            }
            interval = (interval * 2).min(LONGEST_RETRANSMISSION);
        }
    }

    /// Closes the flow.
    pub fn close(self) {
        self.send(Packet::new(self.from, self.to, FIN | ACK, self.sequence, self.acknowledged));
    }

    /// Sends a packet and returns the address of the daemon to which the router passed it.
    fn send(&self, mut packet: Packet) -> String {
        packet.echo = self.echo;
        let Some(daemon) = self.client.router.select(self.client.zone, self.from, self.to) else {
            return "no daemon".to_owned();
        };
        let _ = self.client.socket.send_to(&packet.encode(), daemon);
        daemon.to_string()
    }

    fn receive(&mut self, until: Instant) -> Option<Packet> {
        let rest = until.saturating_duration_since(Instant::now());
        let packet = self.packets.recv_timeout(rest).ok()?;
        if !packet.is(RST) {
            self.echo = packet.echo;
        }
        Some(packet)
    }

    fn reset_by(&self, packet: &Packet) -> Outcome {
        match packet.is_reset_of_system() {
            true => Outcome::ResetBySystem,
            false => Outcome::ResetByBackend,
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.client.flows.lock().unwrap().remove(&self.from.port());
    }
}
