//! Test double of a target, which responds to each request with its own number and the request.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use banyanwharf_testkit::Store;
use serde_json::json;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::segment::{ACK, FIN, RST, SYN, Segment};

/// The difference between the initial sequence numbers of targets with consecutive numbers. Packets
/// of callers acknowledge numbers in the range of the target that the flow is on, so that a target
/// recognises packets meant for another one.
const INITIAL_SEQUENCE_STEP: u32 = 1_000_000;

/// The time between two looks at whether a target is silent, and between two attempts to listen.
const LISTEN_PERIOD: Duration = Duration::from_millis(20);

/// What a target received, and the faults that it simulates.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) opened: AtomicU64,
    pub(crate) requests: AtomicU64,
    /// Packets of flows that the target does not have.
    pub(crate) unknown_flow_packets: AtomicU64,
    pub(crate) is_silent: AtomicBool,
    /// Whether each response closes its flow.
    pub(crate) is_draining: AtomicBool,
    /// The daemons whose datagrams the target ignores.
    pub(crate) blocked_daemons: Mutex<HashSet<IpAddr>>,
    /// The events that were not checked yet.
    pub(crate) events: Mutex<Vec<Event>>,
}

/// A packet that a target accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) at: Instant,
    /// The daemon that sent the packet.
    pub(crate) daemon: IpAddr,
    /// The caller's address and port.
    pub(crate) caller: (Ipv4Addr, u16),
    /// The service's address and port.
    pub(crate) service: (Ipv4Addr, u16),
    pub(crate) kind: EventKind,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// An opening packet, with the number of its earlier copies.
    Opening { retransmissions: u32, sequence: u32 },
    /// A request that the target executed.
    Executed(Vec<u8>),
}

/// A flow of a target.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// The sequence number after the last request.
    next: u32,
    response: Vec<u8>,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) number: u64,
    pub(crate) address: SocketAddrV4,
    pub(crate) record: Arc<Record>,
    pub(crate) service: String,
    pub(crate) zone: String,
    born: u64,
    /// The entry that the target wrote last.
    entry: Mutex<Vec<u8>>,
    task: JoinHandle<()>,
    listener: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
        self.listener.abort();
    }
}

impl Target {
    /// Starts a target that sends to callers at `caller_port`.
    pub(crate) async fn start(number: u64, service: &str, zone: &str, caller_port: u16) -> Target {
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Target::start_at(any_port, 1_700_000_000_000 + number, number, service, zone, caller_port)
            .await
    }

    /// Starts a target at an address; `born` is the Unix time of its start in milliseconds.
    pub(crate) async fn start_at(
        address: SocketAddrV4,
        born: u64,
        number: u64,
        service: &str,
        zone: &str,
        caller_port: u16,
    ) -> Target {
        // A free UDP port may be in use by a TCP connection, so that daemons would be refused there.
        let (socket, listener) = loop {
            let socket = UdpSocket::bind(address).await.expect("the port is free");
            let local = socket.local_addr().expect("the address is valid");
            let listener = TcpListener::bind(local).await.ok();
            if listener.is_some() || address.port() != 0 {
                break (socket, listener);
            }
        };
        let SocketAddr::V4(address) = socket.local_addr().expect("the address is valid") else {
            unreachable!("the address is an IPv4 address")
        };
        let record = Arc::new(Record::default());
        let listener = tokio::spawn(accept(address, listener, record.clone()));
        let task = tokio::spawn(run(socket, number, caller_port, record.clone()));
        let id = format!("i-{number:08x}");
        let (service, zone) = (service.to_owned(), zone.to_owned());
        let entry = Mutex::default();
        Target { id, number, address, record, service, zone, born, entry, task, listener }
    }

    /// Writes the target's entry to the store.
    pub(crate) fn register(&self, store: &Store, state: &str) {
        self.register_cold(store, state, 0);
    }

    /// Writes the entry of a target that stays cold for `cold_ms` milliseconds.
    pub(crate) fn register_cold(&self, store: &Store, state: &str, cold_ms: u64) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 4, "state": state, "warmupLeftMs": cold_ms, "seqNo": 1,
            "born": self.born,
        });
        self.record.is_draining.store(state == "draining", Ordering::Relaxed);
        let entry = entry.to_string().into_bytes();
        store.put(&self.store_key(), &entry);
        *self.entry.lock().expect("the lock is not poisoned") = entry;
    }

    /// Returns whether the store holds the entry that the target wrote last.
    pub(crate) fn is_entry_stored(&self, store: &Store) -> bool {
        let entry = self.entry.lock().expect("the lock is not poisoned");
        store.content(&self.store_key()).is_some_and(|stored| stored == *entry)
    }

    pub(crate) fn deregister(&self, store: &Store) {
        store.remove(&self.store_key());
    }

    /// Stops the target and waits until its address is free.
    pub(crate) async fn stop(mut self) {
        self.task.abort();
        // The result is the error of a cancelled task.
        let _ = (&mut self.task).await;
        self.listener.abort();
        let _ = (&mut self.listener).await;
    }

    pub(crate) fn store_key(&self) -> String {
        store_key(self.number)
    }
}

/// Returns the key of the entry of target `number`.
pub(crate) fn store_key(number: u64) -> String {
    format!("servers/i-{number:08x}")
}

/// Accepts TCP connections at the target's address, and refuses them while the target is silent, as
/// after a crash of its process.
async fn accept(address: SocketAddrV4, mut bound: Option<TcpListener>, record: Arc<Record>) {
    loop {
        // The port may still be in use by a connection of another test.
        let listener = match bound.take() {
            Some(listener) => Ok(listener),
            None => TcpListener::bind(address).await,
        };
        if let Ok(listener) = listener {
            while !record.is_silent.load(Ordering::Relaxed) {
                // The connection is closed at once, since daemons send nothing on it.
                let _ = timeout(LISTEN_PERIOD, listener.accept()).await;
            }
        }
        while record.is_silent.load(Ordering::Relaxed) {
            sleep(LISTEN_PERIOD).await;
        }
        sleep(LISTEN_PERIOD).await;
    }
}

async fn run(socket: UdpSocket, number: u64, caller_port: u16, record: Arc<Record>) {
    let initial_sequence = (number as u32).wrapping_mul(INITIAL_SEQUENCE_STEP);
    let mut flows: HashMap<(Ipv4Addr, u16), Flow> = HashMap::new();
    let mut buffer = [0; 2048];
    loop {
        let Ok((length, daemon)) = socket.recv_from(&mut buffer).await else {
            // The socket reports an error once when a caller has stopped.
            continue;
        };
        let (prefix, packet) = buffer[..length].split_at(8);
        let intended = u64::from_be_bytes(prefix.try_into().expect("8 bytes"));
        let is_unreachable =
            record.blocked_daemons.lock().expect("the lock is not poisoned").contains(&daemon.ip());
        if intended != number || is_unreachable || record.is_silent.load(Ordering::Relaxed) {
            continue;
        }
        let segment = Segment::decode(packet);
        let record_event = |kind| {
            let (caller, service) = (segment.source, segment.destination);
            let event = Event { at: Instant::now(), daemon: daemon.ip(), caller, service, kind };
            record.events.lock().expect("the lock is not poisoned").push(event);
        };
        let end = segment.sequence.wrapping_add(segment.data.len() as u32);
        let mut reply = Segment {
            sequence: initial_sequence,
            acknowledged: end,
            token: segment.token,
            flags: ACK,
            destination: segment.source,
            source: segment.destination,
            data: Vec::new(),
        };
        if segment.flags & SYN != 0 {
            record.opened.fetch_add(1, Ordering::Relaxed);
            record_event(EventKind::Opening {
                retransmissions: segment.acknowledged,
                sequence: segment.sequence,
            });
            flows.insert(segment.source, Flow { next: end, ..Flow::default() });
            reply.flags = SYN | ACK;
        } else if segment.flags & RST != 0 {
            flows.remove(&segment.source);
            continue;
        } else if let Some(flow) = flows.get_mut(&segment.source) {
            let is_own_flow =
                segment.acknowledged.wrapping_sub(initial_sequence) < INITIAL_SEQUENCE_STEP;
            if segment.flags & FIN != 0 {
                // A daemon that was paused may deliver the end of an earlier flow from this port.
                if !is_own_flow || segment.sequence != flow.next {
                    continue;
                }
                flows.remove(&segment.source);
            } else if segment.data.is_empty() || !is_own_flow {
                continue;
            } else {
                // A packet that a daemon delayed may be older than the last request.
                if segment.sequence != flow.next && end != flow.next {
                    continue;
                }
                if segment.sequence == flow.next {
                    record.requests.fetch_add(1, Ordering::Relaxed);
                    record_event(EventKind::Executed(segment.data.clone()));
                    let response = [number.to_string().as_bytes(), b" ", &segment.data].concat();
                    *flow = Flow { next: end, response };
                }
                reply.sequence = segment.acknowledged;
                reply.data = flow.response.clone();
                if record.is_draining.load(Ordering::Relaxed) {
                    reply.flags |= FIN;
                }
            }
        } else if segment.flags & FIN == 0 {
            record.unknown_flow_packets.fetch_add(1, Ordering::Relaxed);
            reply.flags = RST;
        }
        let caller = (segment.source.0, caller_port);
        // A lost reply is sent again when the caller retransmits its packet.
        let _ = socket.send_to(&reply.encode(), caller).await;
    }
}
