//! Clients: they open flows, send requests and check the responses.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use crate::{
    packet::{ACK, FIN, Flow, Packet, RST, SYN},
    record::Record,
};

/// When copies of the opening packet are sent, and when the attempt ends.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIMEOUT: Duration = Duration::from_millis(1400);

const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);
const MAXIMUM_RETRANSMIT: Duration = Duration::from_millis(1600);

/// The time after which a client gives up a request.
const DEADLINE: Duration = Duration::from_millis(2500);

/// How far the sequence number of a reset of the system may be from the last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// The size of a request.
const REQUEST_BYTES: usize = 900;

/// What a client has seen that the judge has to know.
#[derive(Debug)]
pub enum Event {
    /// The daemon at the address `sender` has reset a flow that the client regards as open.
    ResetBySystem {
        flow: Flow,
        client_seq: u32,
        sender: SocketAddr,
    },
    /// A backend has reset a flow that the client regards as open.
    ResetByBackend {
        flow: Flow,
        client_seq: u32,
    },
    /// The client got a packet that its sender did not write so, and that is no reset of the system.
    Changed {
        flow: Flow,
    },
    /// A response belongs to another request or comes from another service.
    Wrong {
        flow: Flow,
        text: String,
    },
    Answered,
    GivenUp,
    Opened,
    NotOpened,
}

#[derive(Debug)]
enum State {
    Opening { sent_at: Instant, copies: usize },
    Open,
}

#[derive(Debug)]
struct Request {
    id: String,
    packet: Packet,
    sent_at: Instant,
    next_at: Instant,
    delay: Duration,
}

#[derive(Debug)]
struct ClientFlow {
    flow: Flow,
    service: &'static str,
    state: State,
    client_seq: u32,
    next: u32,
    expected: u32,
    echo: u32,
    interval: Duration,
    next_request_at: Instant,
    closes_at: Instant,
    request: Option<Request>,
    requests: u32,
}

pub struct Client {
    pub zone: &'static str,
    ip: Ipv4Addr,
    socket: UdpSocket,
    flows: HashMap<u16, ClientFlow>,
    next_port: u16,
    next_seq: u32,
}

impl Client {
    pub fn new(zone: &'static str, ip: Ipv4Addr, port: u16) -> Client {
        let socket = UdpSocket::bind((ip, port)).expect("the client's address can be bound");
        socket.set_nonblocking(true).expect("the socket can be set up");
        let next_seq = u32::from(ip).wrapping_mul(0x9e37_79b9);
        Client { zone, ip, socket, flows: HashMap::new(), next_port: 20_000, next_seq }
    }

    pub fn open_flows(&self) -> usize {
        self.flows.values().filter(|flow| matches!(flow.state, State::Open)).count()
    }

    /// Opens a flow from a new port, which sends a request in each interval.
    pub fn open(
        &mut self,
        now: Instant,
        route: SocketAddrV4,
        service: &'static str,
        interval: Duration,
        lifetime: Duration,
        out: &mut Vec<Packet>,
    ) {
        self.next_port = if self.next_port >= 60_000 { 20_000 } else { self.next_port + 1 };
        self.next_seq = self.next_seq.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let port = self.next_port;
        let flow = Flow { client: SocketAddrV4::new(self.ip, port), route };
        let client_seq = self.next_seq;
        out.push(Packet { seq: client_seq, ..Packet::new(flow.client, route, SYN) });
        self.flows.insert(
            port,
            ClientFlow {
                flow,
                service,
                state: State::Opening { sent_at: now, copies: 0 },
                client_seq,
                next: client_seq.wrapping_add(1),
                expected: 0,
                echo: 0,
                interval,
                next_request_at: now,
                closes_at: now + lifetime,
                request: None,
                requests: 0,
            },
        );
    }

    /// Receives packets and sends what is due. The packets in `out` go to the router.
    pub fn poll(
        &mut self,
        now: Instant,
        record: &Record,
        out: &mut Vec<Packet>,
        events: &mut Vec<Event>,
    ) {
        let mut buffer = [0; 2048];
        while let Ok((length, sender)) = self.socket.recv_from(&mut buffer) {
            self.receive(now, sender, &buffer[..length], record, out, events);
        }
        let mut ended = Vec::new();
        for (port, flow) in &mut self.flows {
            if !flow.tick(now, record, out, events) {
                ended.push(*port);
            }
        }
        ended.iter().for_each(|port| drop(self.flows.remove(port)));
    }

    fn receive(
        &mut self,
        now: Instant,
        sender: SocketAddr,
        datagram: &[u8],
        record: &Record,
        out: &mut Vec<Packet>,
        events: &mut Vec<Event>,
    ) {
        let Some(packet) = Packet::decode(datagram) else {
            return;
        };
        let Some(known) = self.flows.get_mut(&packet.to.port()) else {
            return;
        };
        let flow = known.flow;
        if packet.from != flow.route {
            return;
        }
        let client_seq = known.client_seq;
        let is_open = matches!(known.state, State::Open);
        let is_system_reset = packet.sum == 0 && packet.flags == RST && packet.data.is_empty();
        if is_system_reset {
            if !is_open {
                record.write(format!("{} opening is refused by the system", flow.client));
                events.push(Event::NotOpened);
                self.flows.remove(&packet.to.port());
                return;
            }
            let distance = packet.seq.wrapping_sub(known.expected) as i32;
            if distance.unsigned_abs() <= RESET_WINDOW {
                record.write(format!("{} {} is reset by the system", flow.client, flow.route));
                events.push(Event::ResetBySystem { flow, client_seq, sender });
                self.flows.remove(&packet.to.port());
            } else {
                record.write(format!("{} got a reset outside its window", flow.client));
                events.push(Event::Changed { flow });
            }
            return;
        }
        if !packet.is_genuine() {
            record.write(format!("{} got a packet that its sender did not write so", flow.client));
            events.push(Event::Changed { flow });
            return;
        }
        if packet.flags & RST != 0 {
            if is_open {
                record.write(format!("{} {} is reset by a backend", flow.client, flow.route));
                events.push(Event::ResetByBackend { flow, client_seq });
            } else {
                events.push(Event::NotOpened);
            }
            self.flows.remove(&packet.to.port());
            return;
        }
        // Each packet carries the last echo that was received on the flow.
        known.echo = packet.echo;
        if packet.flags & SYN != 0 {
            if !is_open && packet.ack == client_seq.wrapping_add(1) {
                record.write(format!("{} {} is open", flow.client, flow.route));
                events.push(Event::Opened);
                known.state = State::Open;
                known.expected = packet.seq.wrapping_add(1);
                known.next_request_at = now;
                out.push(known.packet(ACK, Vec::new()));
            }
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == known.expected {
            known.expected = known.expected.wrapping_add(packet.data.len() as u32);
            known.accept_response(now, &packet.data, record, events);
        }
        out.push(known.packet(ACK, Vec::new()));
    }
}

impl ClientFlow {
    fn packet(&self, flags: u8, data: Vec<u8>) -> Packet {
        Packet {
            seq: self.next,
            ack: self.expected,
            echo: self.echo,
            data,
            ..Packet::new(self.flow.client, self.flow.route, flags)
        }
    }

    fn accept_response(
        &mut self,
        now: Instant,
        data: &[u8],
        record: &Record,
        events: &mut Vec<Event>,
    ) {
        let text = String::from_utf8_lossy(data).into_owned();
        let mut words = text.split_whitespace();
        let (id, service) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let Some(request) = self.request.take() else {
            events.push(Event::Wrong { flow: self.flow, text: "no request waits".to_owned() });
            return;
        };
        if id != request.id || service != self.service {
            let text = format!("{} was answered by {id} of {service}", request.id);
            record.write(format!("{} {text}", self.flow.client));
            events.push(Event::Wrong { flow: self.flow, text });
            return;
        }
        record.write(format!("{id} is answered"));
        events.push(Event::Answered);
        self.next_request_at = now + self.interval;
    }

    /// Sends what is due. Returns whether the flow goes on.
    fn tick(
        &mut self,
        now: Instant,
        record: &Record,
        out: &mut Vec<Packet>,
        events: &mut Vec<Event>,
    ) -> bool {
        if let State::Opening { sent_at, copies } = &mut self.state {
            if now - *sent_at >= OPENING_TIMEOUT {
                events.push(Event::NotOpened);
                return false;
            }
            if let Some(after) = COPIES.get(*copies)
                && now - *sent_at >= *after
            {
                *copies += 1;
                let (seq, ack) = (self.client_seq, *copies as u32);
                let opening = Packet::new(self.flow.client, self.flow.route, SYN);
                out.push(Packet { seq, ack, ..opening });
            }
            return true;
        }
        if let Some(request) = &mut self.request {
            if now - request.sent_at >= DEADLINE {
                record.write(format!("{} is given up", request.id));
                events.push(Event::GivenUp);
                return false;
            }
            if now >= request.next_at {
                request.delay = (2 * request.delay).min(MAXIMUM_RETRANSMIT);
                request.next_at = now + request.delay;
                let (ack, echo) = (self.expected, self.echo);
                out.push(Packet { ack, echo, ..request.packet.clone() });
            }
            return true;
        }
        if now >= self.closes_at {
            out.push(self.packet(FIN | ACK, Vec::new()));
            return false;
        }
        if now >= self.next_request_at {
            self.requests += 1;
            let id = format!("{}-{}", self.flow.client, self.requests);
            let text = format!("{id} ");
            let packet = self.packet(ACK, format!("{text:.<REQUEST_BYTES$}").into_bytes());
            self.next = self.next.wrapping_add(REQUEST_BYTES as u32);
            out.push(packet.clone());
            record.write(format!("{id} is sent"));
            self.request = Some(Request {
                id,
                packet,
                sent_at: now,
                next_at: now + RETRANSMIT_AFTER,
                delay: RETRANSMIT_AFTER,
            });
        }
        true
    }
}
