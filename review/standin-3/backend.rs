//! Backends: they hold flows, run requests and write their entries into the store.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    packet::{ACK, FIN, Flow, Packet, RST, SYN},
    record::Record,
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The size of a response.
const RESPONSE_BYTES: usize = 600;

/// The time until the first retransmission of a response, the largest time between two, and their
/// number.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);
const MAXIMUM_RETRANSMIT: Duration = Duration::from_millis(1600);
const RETRANSMISSIONS: u32 = 8;

/// A flow that a backend holds.
#[derive(Debug)]
pub struct Held {
    pub client_seq: u32,
    pub own_seq: u32,
    pub is_open: bool,
    echo: u32,
    /// The next byte that the backend expects.
    expected: u32,
    /// The next byte that the backend sends.
    next: u32,
    work: Option<(Instant, String)>,
    unacknowledged: Option<Sent>,
}

#[derive(Debug)]
struct Sent {
    packet: Packet,
    next_at: Instant,
    delay: Duration,
    copies: u32,
}

/// What a backend has done that the judge has to know.
#[derive(Debug)]
pub enum Event {
    Opened {
        backend: usize,
        flow: Flow,
        client_seq: u32,
    },
    /// The backend took the first copy of an opening packet while it was cold.
    TakenCold {
        backend: usize,
    },
    /// A packet reached the backend that it accepted as meant for it.
    Reached {
        backend: usize,
        flow: Flow,
    },
    Run {
        backend: usize,
        flow: Flow,
        request: String,
    },
    /// The backend has reset a flow that it does not hold.
    Reset,
    /// A packet arrived that its sender did not write so.
    Changed {
        backend: usize,
    },
}

pub struct Backend {
    pub index: usize,
    pub name: String,
    pub number: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddrV4,
    pub born: u64,
    pub is_draining: bool,
    pub is_up: bool,
    /// When the backend last started or stopped.
    pub changed_at: Instant,
    pub flows: HashMap<Flow, Held>,
    /// Until when the backend is cold.
    pub cold_until: Option<Instant>,
    work_time: Duration,
    socket: UdpSocket,
    listener: Option<TcpListener>,
    beats: u64,
    next_beat_at: Instant,
    last_beat_at: Instant,
    /// The entry without the number of the heartbeat, as last written.
    written: String,
    caller_port: u16,
    next_seq: u32,
}

impl Backend {
    pub fn start(
        index: usize,
        number: u64,
        service: &'static str,
        zone: &'static str,
        address: SocketAddrV4,
        work_time: Duration,
    ) -> Backend {
        let socket = UdpSocket::bind(address).expect("the backend's address can be bound");
        socket.set_nonblocking(true).expect("the socket can be set up");
        let now = Instant::now();
        let mut backend = Backend {
            index,
            name: format!("i-{number:08x}"),
            number,
            service,
            zone,
            address,
            born: unix_millis(),
            is_draining: false,
            is_up: true,
            changed_at: now,
            flows: HashMap::new(),
            cold_until: None,
            work_time,
            socket,
            listener: None,
            beats: 0,
            next_beat_at: now,
            last_beat_at: now,
            written: String::new(),
            caller_port: address.port(),
            next_seq: (number as u32).wrapping_mul(0x9e37_79b9) ^ unix_millis() as u32,
        };
        backend.listen();
        backend
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    /// Returns the fields of the entry after `service`, without `born`.
    pub fn entry_fields(&self) -> String {
        let now = Instant::now();
        let cold_for = self.cold_until.map_or(Duration::ZERO, |until| until - now.min(until));
        format!(
            "\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{}\",\
             \"warmupLeftMs\":{}",
            self.address,
            self.zone,
            if self.is_draining { "draining" } else { "ready" },
            cold_for.as_millis(),
        )
    }

    /// Returns the entry that the backend writes.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"{}\",{},\"seqNo\":{},\"born\":{}}}",
            self.service,
            self.entry_fields(),
            self.beats,
            self.born
        )
    }

    /// Stops the backend as a crash does: it forgets its flows and sends nothing.
    pub fn crash(&mut self, now: Instant) {
        self.is_up = false;
        self.changed_at = now;
        self.listener = None;
        self.flows.clear();
    }

    /// Starts the backend again under its id.
    pub fn start_again(&mut self, now: Instant) {
        self.is_up = true;
        self.changed_at = now;
        self.born = unix_millis();
        self.beats = 0;
        self.next_beat_at = now;
        self.listen();
    }

    fn listen(&mut self) {
        let listener = TcpListener::bind(self.address).expect("the backend's port can be bound");
        listener.set_nonblocking(true).expect("the listener can be set up");
        self.listener = Some(listener);
    }

    /// Writes the entry if a heartbeat is due. Returns the write instead of making it if it shall be
    /// late. The store changes an entry when more than the number of the heartbeat differs.
    pub fn beat(&mut self, now: Instant, store: &Store, is_late: bool) -> Option<(String, String)> {
        if !self.is_up {
            if !self.written.is_empty() && now - self.last_beat_at > 3 * HEARTBEAT {
                self.written.clear();
                store.delete(&self.key());
            }
            return None;
        }
        if now < self.next_beat_at {
            return None;
        }
        self.next_beat_at = now + HEARTBEAT;
        self.beats += 1;
        if is_late {
            return Some((self.key(), self.entry()));
        }
        self.last_beat_at = now;
        self.written = self.entry();
        let is_same = store.read(&self.key()).is_some_and(|text| same_entry(&text, &self.written));
        if !is_same {
            store.write(&self.key(), &self.written);
        }
        None
    }

    pub fn poll(&mut self, now: Instant, record: &Record, events: &mut Vec<Event>) {
        self.accept();
        let mut buffer = [0; 2048];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            if self.is_up {
                self.receive(now, &buffer[..length], record, events);
            }
        }
        self.respond(now, record);
    }

    /// Answers health checks. A daemon only opens and closes a connection.
    fn accept(&mut self) {
        let Some(listener) = &self.listener else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            thread::spawn(move || answer_health(stream));
        }
    }

    fn receive(&mut self, now: Instant, datagram: &[u8], record: &Record, events: &mut Vec<Event>) {
        let Some((number, packet)) = datagram.split_first_chunk::<8>() else {
            return;
        };
        let number = u64::from_be_bytes(*number);
        if number != 0 && number != self.number {
            return;
        }
        let Some(packet) = Packet::decode(packet).filter(Packet::is_genuine) else {
            record.write(format!("{} got a packet that its sender did not write so", self.name));
            events.push(Event::Changed { backend: self.index });
            return;
        };
        let flow = Flow { client: packet.from, route: packet.to };
        events.push(Event::Reached { backend: self.index, flow });
        if packet.flags & SYN != 0 {
            return self.receive_opening(now, &packet, flow, events);
        }
        if packet.flags & RST != 0 {
            self.flows.remove(&flow);
            return;
        }
        let is_held = self.flows.get(&flow).is_some_and(|held| {
            // A packet that acknowledges another backend's opening belongs to a flow of that one.
            held.is_open || packet.ack == held.own_seq.wrapping_add(1)
        });
        if !is_held {
            if packet.flags & FIN != 0 {
                let ack = Packet {
                    seq: packet.ack,
                    ack: packet.seq,
                    echo: packet.echo,
                    ..Packet::new(flow.route, flow.client, ACK)
                };
                self.send(&ack);
                return;
            }
            record.write(format!(
                "{} resets {} {}: it holds no such flow",
                self.name, flow.client, flow.route
            ));
            events.push(Event::Reset);
            let reset = Packet {
                seq: packet.ack,
                ack: packet.seq,
                echo: packet.echo,
                ..Packet::new(flow.route, flow.client, RST)
            };
            self.send(&reset);
            return;
        }
        let index = self.index;
        let Some(held) = self.flows.get_mut(&flow) else {
            return;
        };
        if !held.is_open {
            held.is_open = true;
            let client_seq = held.client_seq;
            record.write(format!("{} has opened {} {}", self.name, flow.client, flow.route));
            events.push(Event::Opened { backend: index, flow, client_seq });
        }
        held.echo = packet.echo;
        if packet.ack == held.next {
            held.unacknowledged = None;
        }
        if packet.flags & FIN != 0 {
            let fin = Packet {
                seq: held.next,
                ack: packet.seq.wrapping_add(1),
                echo: held.echo,
                ..Packet::new(flow.route, flow.client, FIN | ACK)
            };
            self.flows.remove(&flow);
            self.send(&fin);
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == held.expected {
            held.expected = held.expected.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data);
            let request = text.split_whitespace().next().unwrap_or_default().to_owned();
            record.write(format!("{} runs {request}", self.name));
            held.work = Some((now + self.work_time, request.clone()));
            events.push(Event::Run { backend: index, flow, request });
        }
    }

    fn receive_opening(
        &mut self,
        now: Instant,
        packet: &Packet,
        flow: Flow,
        events: &mut Vec<Event>,
    ) {
        let known = self.flows.get(&flow).filter(|held| held.client_seq == packet.seq);
        let own_seq = match known {
            Some(held) => held.own_seq,
            None => {
                if self.cold_until.is_some_and(|until| now < until) {
                    events.push(Event::TakenCold { backend: self.index });
                }
                self.next_seq = self.next_seq.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
                let own_seq = self.next_seq;
                self.flows.insert(
                    flow,
                    Held {
                        client_seq: packet.seq,
                        own_seq,
                        is_open: false,
                        echo: packet.echo,
                        expected: packet.seq.wrapping_add(1),
                        next: own_seq.wrapping_add(1),
                        work: None,
                        unacknowledged: None,
                    },
                );
                own_seq
            }
        };
        let answer = Packet {
            seq: own_seq,
            ack: packet.seq.wrapping_add(1),
            echo: packet.echo,
            ..Packet::new(flow.route, flow.client, SYN | ACK)
        };
        self.send(&answer);
    }

    /// Sends the responses that are ready, and those again that were not acknowledged.
    fn respond(&mut self, now: Instant, record: &Record) {
        let mut packets = Vec::new();
        for (flow, held) in &mut self.flows {
            if held.work.as_ref().is_some_and(|(at, _)| now >= *at)
                && let Some((_, request)) = held.work.take()
            {
                let text = format!("{request} {} {} ", self.service, self.name);
                let data = format!("{text:.<RESPONSE_BYTES$}").into_bytes();
                let packet = Packet {
                    seq: held.next,
                    ack: held.expected,
                    echo: held.echo,
                    data,
                    ..Packet::new(flow.route, flow.client, ACK)
                };
                record.write(format!("{} answers {request}", self.name));
                held.next = held.next.wrapping_add(RESPONSE_BYTES as u32);
                packets.push(packet.clone());
                held.unacknowledged = Some(Sent {
                    packet,
                    next_at: now + RETRANSMIT_AFTER,
                    delay: RETRANSMIT_AFTER,
                    copies: 0,
                });
            }
            if let Some(sent) = &mut held.unacknowledged
                && now >= sent.next_at
                && sent.copies < RETRANSMISSIONS
            {
                sent.copies += 1;
                sent.delay = (2 * sent.delay).min(MAXIMUM_RETRANSMIT);
                sent.next_at = now + sent.delay;
                sent.packet.echo = held.echo;
                packets.push(sent.packet.clone());
            }
        }
        packets.iter().for_each(|packet| self.send(packet));
    }

    /// Sends a packet directly to its client.
    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.to.ip(), self.caller_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }
}

fn answer_health(mut stream: TcpStream) {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut buffer = [0; 512];
    if stream.read(&mut buffer).unwrap_or(0) > 0 {
        let _ =
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
}

/// Returns whether two entries differ at most in the number of the heartbeat.
fn same_entry(one: &str, other: &str) -> bool {
    let without_number = |text: &str| {
        let (start, rest) = text.split_once("\"seqNo\":")?;
        let rest = rest.trim_start_matches(|digit: char| digit.is_ascii_digit());
        Some(format!("{start}{rest}"))
    };
    without_number(one) == without_number(other)
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
