//! A target that answers each request with its own id.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use banyanwharf_testkit::Store;
use serde_json::json;
use tokio::{net::UdpSocket, task::JoinHandle};

use super::segment::{ACK, RST, SYN, Segment};

/// The sequence number of a target's first byte.
const START: u32 = 7_000;

/// What a target has seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) opened: AtomicU64,
    pub(crate) requests: AtomicU64,
    /// Packets of flows that the target does not hold.
    pub(crate) strays: AtomicU64,
    pub(crate) is_silent: AtomicBool,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: String,
    pub(crate) number: u64,
    pub(crate) address: SocketAddrV4,
    pub(crate) seen: Arc<Seen>,
    service: String,
    zone: String,
    task: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Target {
    /// Starts a target that sends to callers at `caller_port`.
    pub(crate) async fn start(number: u64, service: &str, zone: &str, caller_port: u16) -> Target {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let std::net::SocketAddr::V4(address) = socket.local_addr().expect("an address") else {
            unreachable!("the address is an IPv4 address")
        };
        let seen = Arc::new(Seen::default());
        let task = tokio::spawn(run(socket, number, caller_port, seen.clone()));
        let id = format!("i-{number:08x}");
        let (service, zone) = (service.to_owned(), zone.to_owned());
        Target { id, number, address, seen, service, zone, task }
    }

    /// Writes the target's entry.
    pub(crate) fn register(&self, store: &Store, state: &str) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 4, "state": state, "warmupLeftMs": 0, "seqNo": 1,
            "born": 1_700_000_000_000_u64 + self.number,
        });
        store.put(&format!("servers/{}", self.id), entry.to_string().as_bytes());
    }

    pub(crate) fn leave(&self, store: &Store) {
        store.remove(&format!("servers/{}", self.id));
    }
}

async fn run(socket: UdpSocket, number: u64, caller_port: u16, seen: Arc<Seen>) {
    let held: Mutex<HashSet<(Ipv4Addr, u16)>> = Mutex::default();
    let mut buffer = [0; 2048];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        let (prefix, packet) = buffer[..length].split_at(8);
        let intended = u64::from_be_bytes(prefix.try_into().expect("8 bytes"));
        if intended != number || seen.is_silent.load(Ordering::Relaxed) {
            continue;
        }
        let segment = Segment::decode(packet);
        let mut reply = Segment {
            sequence: START,
            acknowledged: segment.sequence.wrapping_add(segment.data.len() as u32),
            token: segment.token,
            flags: ACK,
            destination: segment.source,
            source: segment.destination,
            data: Vec::new(),
        };
        if segment.flags & SYN != 0 {
            seen.opened.fetch_add(1, Ordering::Relaxed);
            held.lock().expect("no panic").insert(segment.source);
            reply.flags = SYN | ACK;
        } else if !held.lock().expect("no panic").contains(&segment.source) {
            seen.strays.fetch_add(1, Ordering::Relaxed);
            reply.flags = RST;
        } else if segment.data.is_empty() {
            continue;
        } else {
            seen.requests.fetch_add(1, Ordering::Relaxed);
            reply.sequence = segment.acknowledged;
            reply.data = number.to_string().into_bytes();
        }
        let caller = (segment.source.0, caller_port);
        let _ = socket.send_to(&reply.encode(), caller).await;
    }
}
