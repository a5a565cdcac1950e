use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::OnceLock,
    time::{Duration, Instant},
};

use smoltcp::{
    iface::{Config, Interface, SocketHandle, SocketSet},
    phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken},
    socket::tcp::{Socket, SocketBuffer, State},
    time::Instant as StackInstant,
    wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint},
};

/// The size of the receive buffer. The buffer must hold a whole message: smoltcp also takes the
/// window from a delayed segment, and a sender that learns of a closed window in this way never
/// sends again.
const RECEIVE_BUFFER_BYTES: usize = 8192;

/// The size of the send buffer. A longer message is written to it in parts.
const SEND_BUFFER_BYTES: usize = 2048;

/// The size of the largest IP packet that an endpoint sends.
const MTU_BYTES: usize = 1400;

/// A TCP connection with its own network stack.
///
/// smoltcp scans all sockets of an interface for each packet. With one interface for each
/// connection, the cost of a packet does not depend on the number of connections.
pub(crate) struct Connection {
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
    queues: PacketQueues,
    timeout: Duration,
}

impl Connection {
    /// Creates a connection that sends a SYN on the next poll.
    pub(crate) fn connect(
        local: SocketAddr,
        remote: SocketAddr,
        timeout: Duration,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut connection = Self::new(local, timeout, seed, now);
        let context = connection.interface.context();
        connection
            .sockets
            .get_mut::<Socket>(connection.handle)
            .connect(context, IpEndpoint::from(remote), IpEndpoint::from(local))
            .expect("a new socket can connect to a specified address");
        connection
    }

    /// Creates a connection that waits for a SYN.
    pub(crate) fn listen(local: SocketAddr, timeout: Duration, seed: u64, now: Instant) -> Self {
        let mut connection = Self::new(local, timeout, seed, now);
        connection
            .socket()
            .listen(IpEndpoint::from(local))
            .expect("a new socket can listen on a specified port");
        connection
    }

    fn new(local: SocketAddr, timeout: Duration, seed: u64, now: Instant) -> Self {
        let mut queues = PacketQueues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut queues, stack_time(now));
        // With a prefix of length 0, every address is on the link and no route is needed.
        interface.update_ip_addrs(|addresses| {
            let _ = addresses.push(IpCidr::new(IpAddress::from(local.ip()), 0));
        });
        let mut socket = Socket::new(
            SocketBuffer::new(vec![0; RECEIVE_BUFFER_BYTES]),
            SocketBuffer::new(vec![0; SEND_BUFFER_BYTES]),
        );
        socket.set_nagle_enabled(false);
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Self { interface, sockets, handle, queues, timeout }
    }

    /// Queues a received IP packet for the next poll.
    pub(crate) fn push(&mut self, packet: Vec<u8>) {
        self.queues.received.push_back(packet);
    }

    /// Runs the stack and returns the packets to send.
    pub(crate) fn poll(&mut self, now: Instant) -> VecDeque<Vec<u8>> {
        self.update_timeout();
        self.interface.poll(stack_time(now), &mut self.queues, &mut self.sockets);
        std::mem::take(&mut self.queues.sent)
    }

    /// Returns when the stack must be polled again.
    pub(crate) fn next_poll(&mut self, now: Instant) -> Option<Instant> {
        self.update_timeout();
        let delay = self.interface.poll_delay(stack_time(now), &self.sockets)?;
        // smoltcp returns a delay of 0 while the peer's window is full.
        Some(now + Duration::from(delay).max(Duration::from_millis(1)))
    }

    pub(crate) fn state(&self) -> State {
        self.sockets.get::<Socket>(self.handle).state()
    }

    /// Appends the received bytes to `buffer`.
    pub(crate) fn read(&mut self, buffer: &mut Vec<u8>) {
        let socket = self.socket();
        while socket.can_recv() {
            let copied = socket.recv(|data| {
                buffer.extend_from_slice(data);
                (data.len(), data.len())
            });
            if copied.is_err() {
                return;
            }
        }
    }

    /// Moves bytes from the front of `buffer` to the stack.
    pub(crate) fn write(&mut self, buffer: &mut VecDeque<u8>) {
        let socket = self.socket();
        while socket.can_send() && !buffer.is_empty() {
            let (front, _) = buffer.as_slices();
            let Ok(length) = socket.send_slice(front) else {
                return;
            };
            buffer.drain(..length);
        }
    }

    /// Closes the connection with a FIN after the bytes written so far.
    pub(crate) fn close(&mut self) {
        self.socket().close();
    }

    /// Aborts the connection with an RST.
    pub(crate) fn abort(&mut self) {
        self.socket().abort();
    }

    /// Sets the timeout of the socket while a segment waits for an acknowledgment, and removes it
    /// otherwise. smoltcp would apply the timeout to idle connections as well, which may stay
    /// silent.
    fn update_timeout(&mut self) {
        let timeout = self.timeout.into();
        let socket = self.socket();
        let idle = socket.state() == State::Established && socket.send_queue() == 0;
        socket.set_timeout((!idle).then_some(timeout));
    }

    fn socket(&mut self) -> &mut Socket<'static> {
        self.sockets.get_mut(self.handle)
    }
}

/// Converts a time to the stack's clock, which starts at 0 with the first call.
fn stack_time(now: Instant) -> StackInstant {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = *START.get_or_init(|| now);
    let micros = now.saturating_duration_since(start).as_micros();
    StackInstant::from_micros(micros as i64)
}

/// The packets that are exchanged between the stack and the endpoint's UDP socket.
#[derive(Debug, Default)]
struct PacketQueues {
    received: VecDeque<Vec<u8>>,
    sent: VecDeque<Vec<u8>>,
}

impl Device for PacketQueues {
    type RxToken<'a> = ReceiveToken;
    type TxToken<'a> = SendToken<'a>;

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }

    fn receive(&mut self, _: StackInstant) -> Option<(ReceiveToken, SendToken<'_>)> {
        let packet = self.received.pop_front()?;
        Some((ReceiveToken(packet), SendToken(&mut self.sent)))
    }

    fn transmit(&mut self, _: StackInstant) -> Option<SendToken<'_>> {
        Some(SendToken(&mut self.sent))
    }
}

struct ReceiveToken(Vec<u8>);

impl RxToken for ReceiveToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

struct SendToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl TxToken for SendToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, write: F) -> R {
        let mut packet = vec![0; length];
        let result = write(&mut packet);
        self.0.push_back(packet);
        result
    }
}
