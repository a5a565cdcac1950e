use rand::RngExt as _;
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap},
    hash::Hash,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket as StdUdpSocket},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::{net::UdpSocket, task::AbortHandle};

/// The socket buffer. It must hold the burst of packets that arrives while a task is not
/// due_times.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// The largest datagram that the test doubles receive.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2048;

/// Locks `mutex`. A panic of another holder leaves the records usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Binds a UDP socket with large buffers.
pub(crate) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant less; that only makes losses likelier.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(StdUdpSocket::from(socket))
}

/// The ports below the range from which the system takes those of outgoing connections. A port
/// of that range could be taken between this call and the use of the address.
const FREE_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// The ports that were given out. Two tests of one process must not get the same one before the
/// first has bound it.
static RETURNED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address whose port is free for UDP and TCP at the time of the call, and was not
/// returned to this process before.
///
/// # Errors
///
/// Returns the error of the socket calls.
pub fn free_address() -> io::Result<SocketAddr> {
    loop {
        let port = rand::rng().random_range(FREE_PORTS);
        if !lock(&RETURNED_PORTS).insert(port) {
            continue;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let tcp = std::net::TcpListener::bind(address);
        if tcp.is_ok() && StdUdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// Returns a repeatable hash of `value`.
pub(crate) fn mix(mut value: u64) -> u64 {
    // The finalizer of SplitMix64.
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The ports of one caller address.
const PORTS_PER_ADDRESS: usize = 60_000;

/// The lowest port of a caller address.
const FIRST_PORT: usize = 1024;

/// Returns the address and port of a caller's flow.
///
/// # Panics
///
/// Panics if there are too few addresses for so many flows.
pub(crate) fn flow_address(addresses: &[IpAddr], number: usize) -> SocketAddr {
    let port = (FIRST_PORT + number % PORTS_PER_ADDRESS) as u16;
    SocketAddr::new(addresses[number / PORTS_PER_ADDRESS], port)
}

/// Returns the number of the flow with an address and port.
pub(crate) fn flow_number(addresses: &[IpAddr], flow: SocketAddr) -> Option<usize> {
    let index = addresses.iter().position(|address| *address == flow.ip())?;
    Some(index * PORTS_PER_ADDRESS + usize::from(flow.port()).checked_sub(FIRST_PORT)?)
}

/// Ends a task when it is dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One pending wake-up per key.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    heap: BinaryHeap<Reverse<(Instant, K)>>,
    due_times: HashMap<K, Instant>,
}

impl<K: Copy + Eq + Hash + Ord> Timers<K> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), due_times: HashMap::new() }
    }

    /// Replaces the wake-up of `key`.
    pub(crate) fn set(&mut self, key: K, at: Option<Instant>) {
        match at {
            Some(at) => {
                if self.due_times.insert(key, at) != Some(at) {
                    self.heap.push(Reverse((at, key)));
                }
            }
            None => {
                self.due_times.remove(&key);
            }
        }
    }

    /// Removes and returns a key whose wake-up is due.
    pub(crate) fn pop_due(&mut self, now: Instant) -> Option<K> {
        self.skip_replaced();
        let Reverse((at, key)) = *self.heap.peek()?;
        if at > now {
            return None;
        }
        self.heap.pop();
        self.due_times.remove(&key);
        Some(key)
    }

    /// Returns the time of the next wake-up.
    pub(crate) fn next_due(&mut self) -> Option<Instant> {
        self.skip_replaced();
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    fn skip_replaced(&mut self) {
        while let Some(Reverse((at, key))) = self.heap.peek() {
            if self.due_times.get(key) == Some(at) {
                return;
            }
            self.heap.pop();
        }
    }
}

/// Waits until `at`, or forever if there is no such time.
pub(crate) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Sends a datagram without waiting. Returns whether the socket took it.
pub(crate) fn send(socket: &UdpSocket, packet: &[u8], to: SocketAddr) -> bool {
    SockRef::from(socket).send_to(packet, &to.into()).is_ok()
}
