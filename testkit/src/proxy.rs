use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    task::JoinSet,
    time::sleep,
};

use crate::util::{AbortOnDrop, lock};

/// The size of the buffer for each direction of a connection.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a [`Proxy`] does with the bytes of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyMode {
    /// Forwards all bytes.
    #[default]
    Forward,
    /// Forwards all bytes after this delay.
    Delay(Duration),
    /// Discards what clients send. Connections stay open.
    DropRequests,
    /// Discards what the server sends. Connections stay open.
    DropResponses,
    /// Discards the bytes of both directions. Connections stay open.
    DropAll,
    /// Resets open and new connections.
    Reset,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

#[derive(Debug, Default)]
struct State {
    mode: ProxyMode,
    /// The number of accepted connections. Connections are numbered from 1 on.
    accepted: u64,
    /// The number of the last stalled connection. All bytes of the connections up to this number
    /// are discarded.
    last_stalled: u64,
}

#[derive(Debug)]
struct Shared {
    server: SocketAddr,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

/// A TCP proxy on the loopback interface that injects faults into its connections.
///
/// A connection never forwards bytes after it has discarded some in the same direction, like a
/// connection whose peer has failed without sending FIN or RST.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    _task: AbortOnDrop,
}

impl Proxy {
    /// Starts a proxy for `server` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let changed = watch::Sender::new(());
        let shared = Arc::new(Shared { server, state: Mutex::default(), changed });
        let task = tokio::spawn(accept(listener, shared.clone()));
        Ok(Self { address, shared, _task: AbortOnDrop(task.abort_handle()) })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the proxy does with all bytes that it receives from now on.
    pub fn set_mode(&self, mode: ProxyMode) {
        lock(&self.shared.state).mode = mode;
        self.shared.changed.send_replace(());
    }

    /// Discards all further bytes of the connections that are open now. New connections are not
    /// affected.
    pub fn stall_open_connections(&self) {
        let mut state = lock(&self.shared.state);
        state.last_stalled = state.accepted;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let number = {
            let mut state = lock(&shared.state);
            state.accepted += 1;
            state.accepted
        };
        connections.spawn(connect(client, number, shared.clone()));
    }
}

async fn connect(mut client: TcpStream, number: u64, shared: Arc<Shared>) {
    // If the server is not reachable, the client's connection is closed.
    let Ok(mut server) = TcpStream::connect(shared.server).await else {
        return;
    };
    let is_reset = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let both = async {
            tokio::join!(
                relay(from_client, to_server, Direction::Request, number, &shared),
                relay(from_server, to_client, Direction::Response, number, &shared),
            )
        };
        tokio::select! {
            _ = both => false,
            () = wait_for_reset(&shared) => true,
        }
    };
    if is_reset {
        for stream in [&client, &server] {
            // An error means that the connection is closed already and needs no reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

async fn relay(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    number: u64,
    shared: &Shared,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut has_dropped = false;
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let (mode, last_stalled) = {
            let state = lock(&shared.state);
            (state.mode, state.last_stalled)
        };
        has_dropped |= number <= last_stalled || drops(mode, direction);
        if has_dropped {
            continue;
        }
        if let ProxyMode::Delay(delay) = mode {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    // An error means that the receiver has closed the connection first.
    let _ = to.shutdown().await;
}

fn drops(mode: ProxyMode, direction: Direction) -> bool {
    match mode {
        ProxyMode::Forward | ProxyMode::Delay(_) | ProxyMode::Reset => false,
        ProxyMode::DropRequests => direction == Direction::Request,
        ProxyMode::DropResponses => direction == Direction::Response,
        ProxyMode::DropAll => true,
    }
}

async fn wait_for_reset(shared: &Shared) {
    let mut changed = shared.changed.subscribe();
    while lock(&shared.state).mode != ProxyMode::Reset {
        // An error means that the proxy was dropped.
        if changed.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
