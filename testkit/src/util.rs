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

/// The size of a socket buffer. The buffer must hold the packets that arrive while the receiving
/// task is not scheduled.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// The size of the largest datagram that the test doubles receive.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 2048;

/// Locks `mutex`, also if another task has panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Binds a UDP socket with large buffers.
pub(crate) fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may set a smaller size, which makes packet loss more likely.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(StdUdpSocket::from(socket))
}

/// The ports that [`free_address`] returns. They lie below the ephemeral port range: the kernel
/// could assign an ephemeral port to an outgoing connection before the caller of `free_address`
/// binds it.
const FREE_PORTS: std::ops::Range<u16> = 10_000..32_000;

/// The ports that [`free_address`] has returned. Two tests of one process must not get the same
/// port before the first test has bound it.
static RETURNED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address whose port is free for UDP and TCP at the time of the call. Each
/// call in a process returns another port.
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

/// Returns a deterministic hash of `value`.
pub(crate) fn mix(mut value: u64) -> u64 {
    // The finalizer of SplitMix64.
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The number of flows that use one caller address, each with another port.
const PORTS_PER_ADDRESS: usize = 60_000;

/// The lowest port that the flows of a caller address use.
const FIRST_PORT: usize = 1024;

/// Returns the caller's address and port of the flow with the given number.
///
/// # Panics
///
/// Panics if `addresses` has too few addresses for that number.
pub(crate) fn flow_address(addresses: &[IpAddr], number: usize) -> SocketAddr {
    let port = (FIRST_PORT + number % PORTS_PER_ADDRESS) as u16;
    SocketAddr::new(addresses[number / PORTS_PER_ADDRESS], port)
}

/// Returns the number of the flow that uses the given address and port of the caller.
pub(crate) fn flow_number(addresses: &[IpAddr], flow: SocketAddr) -> Option<usize> {
    let index = addresses.iter().position(|address| *address == flow.ip())?;
    Some(index * PORTS_PER_ADDRESS + usize::from(flow.port()).checked_sub(FIRST_PORT)?)
}

/// Aborts a task when dropped.
#[derive(Debug)]
pub(crate) struct AbortOnDrop(pub(crate) AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A timer queue with at most one timer for each key.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    heap: BinaryHeap<Reverse<(Instant, K)>>,
    due_times: HashMap<K, Instant>,
}

impl<K: Copy + Eq + Hash + Ord> Timers<K> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), due_times: HashMap::new() }
    }

    /// Sets the timer of `key` to `at`, or removes the timer if `at` is `None`.
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

    /// Removes a timer that has expired and returns its key.
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

    /// Returns when the next timer expires.
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

/// Waits until `at`, or forever if `at` is `None`.
pub(crate) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Sends a datagram without blocking. Returns whether the socket accepted the datagram.
pub(crate) fn send(socket: &UdpSocket, packet: &[u8], to: SocketAddr) -> bool {
    SockRef::from(socket).send_to(packet, &to.into()).is_ok()
}
