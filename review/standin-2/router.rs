//! The platform's routers: they select a daemon of the client's zone for each packet, by a hash of
//! the flow over the daemons that are in rotation.

use std::{
    io::{Read, Write},
    net::{SocketAddr, SocketAddrV4, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    thread,
    time::Duration,
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of failed checks after which a daemon is out of rotation.
const MISSES: u8 = 2;

pub struct Member {
    pub zone: &'static str,
    pub data: SocketAddrV4,
    pub ready: SocketAddrV4,
    is_in_rotation: AtomicBool,
    misses: AtomicU8,
}

pub struct Router {
    members: Vec<Member>,
}

impl Router {
    pub fn start(daemons: Vec<(&'static str, SocketAddrV4, SocketAddrV4)>) -> Arc<Router> {
        let members = daemons.into_iter().map(|(zone, data, ready)| Member {
            zone,
            data,
            ready,
            is_in_rotation: AtomicBool::new(false),
            misses: AtomicU8::new(MISSES),
        });
        let router = Arc::new(Router { members: members.collect() });
        for index in 0..router.members.len() {
            let router = router.clone();
            thread::spawn(move || {
                loop {
                    router.probe(index);
                    thread::sleep(PROBE_INTERVAL);
                }
            });
        }
        router
    }

    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.members[index].is_in_rotation.load(Ordering::SeqCst)
    }

    /// Selects a daemon of `zone`.
    pub fn select(&self, zone: &str, from: SocketAddrV4, to: SocketAddrV4) -> Option<SocketAddrV4> {
        let all: Vec<&Member> = self.members.iter().filter(|member| member.zone == zone).collect();
        let is_in = |member: &&&Member| member.is_in_rotation.load(Ordering::SeqCst);
        let mut candidates: Vec<&Member> = all.iter().filter(is_in).copied().collect();
        if candidates.is_empty() {
            candidates = self.members.iter().filter(|member| is_in(&member)).collect();
        } else if 2 * candidates.len() < all.len() {
            candidates = all;
        }
        // Only the flows of a daemon that leaves the rotation move (`steady`).
        candidates
            .into_iter()
            .max_by_key(|member| hash(member.data, from, to))
            .map(|member| member.data)
    }

    fn probe(&self, index: usize) {
        let member = &self.members[index];
        if get_ready(member.ready).unwrap_or(false) {
            member.misses.store(0, Ordering::SeqCst);
            member.is_in_rotation.store(true, Ordering::SeqCst);
        } else if member.misses.fetch_add(1, Ordering::SeqCst) + 1 >= MISSES {
            member.misses.store(MISSES, Ordering::SeqCst);
            member.is_in_rotation.store(false, Ordering::SeqCst);
        }
    }
}

fn get_ready(address: SocketAddrV4) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), PROBE_TIMEOUT)?;
    stream.set_read_timeout(Some(PROBE_TIMEOUT))?;
    stream.write_all(
        b"GET /banyanwharf/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
    )?;
    let mut buffer = [0; 64];
    let count = stream.read(&mut buffer)?;
    Ok(buffer[..count].starts_with(b"HTTP/1.1 200"))
}

fn hash(daemon: SocketAddrV4, from: SocketAddrV4, to: SocketAddrV4) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for end in [daemon, from, to] {
        for byte in end.ip().octets().into_iter().chain(end.port().to_le_bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ hash >> 33
}
