use std::{
    collections::HashMap,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{net::UdpSocket, sync::mpsc};

use crate::{
    Daemons, Segment,
    segment::addresses,
    util::{AbortOnDrop, MAX_DATAGRAM_BYTES, bind, lock, send},
};

/// The length of the queue of packets to a caller.
const CALLER_QUEUE_PACKETS: usize = 1 << 16;

/// How the fabric selects the daemon for a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LoadSharing {
    /// Each packet goes to a random daemon.
    #[default]
    PerPacket,
    /// A hash of the flow's addresses selects the daemon, as with ECMP routing.
    PerFlow,
}

/// The impairment of the network, which applies to both directions.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Impairment {
    /// The share of packets that are lost, from 0 to 1.
    pub loss: f64,
    /// The minimum delay of a packet.
    pub delay: Duration,
    /// The maximum of the random time that is added to the delay. Jitter reorders packets.
    pub jitter: Duration,
}

/// The packets that the fabric has counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FabricRecord {
    /// Packets sent to daemons.
    pub sent: u64,
    /// Packets delivered to callers.
    pub returned: u64,
    /// Packets dropped by the impairment or because there was no daemon.
    pub lost: u64,
    /// Packets dropped because a socket or a caller's queue was full.
    pub overflowed: u64,
    /// Return packets that are addressed to an unknown caller or that could not be parsed.
    pub unroutable: u64,
}

#[derive(Debug)]
struct State {
    random: Pcg64,
    load_sharing: LoadSharing,
    impairment: Impairment,
    callers: HashMap<IpAddr, mpsc::Sender<Vec<u8>>>,
    record: FabricRecord,
}

/// The receiver of a packet that leaves the fabric.
enum NextHop {
    Daemon(SocketAddr),
    Caller(mpsc::Sender<Vec<u8>>),
}

#[derive(Debug)]
struct Shared {
    socket: UdpSocket,
    daemons: Daemons,
    state: Mutex<State>,
}

/// A test double for the network fabric between callers and daemons. Clones share their state.
#[derive(Debug, Clone)]
pub struct Fabric {
    shared: Arc<Shared>,
    _task: Arc<AbortOnDrop>,
}

impl Fabric {
    /// Starts a fabric that sends the callers' packets to `daemons`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the socket.
    pub fn start(seed: u64, daemons: Daemons) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            socket: bind((Ipv4Addr::LOCALHOST, 0).into())?,
            daemons,
            state: Mutex::new(State {
                random: Pcg64::seed_from_u64(seed),
                load_sharing: LoadSharing::default(),
                impairment: Impairment::default(),
                callers: HashMap::new(),
                record: FabricRecord::default(),
            }),
        });
        let task = tokio::spawn(receive(shared.clone()));
        Ok(Self { shared, _task: Arc::new(AbortOnDrop(task.abort_handle())) })
    }

    /// Returns the address to which daemons send packets for callers.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Replaces the daemons that receive packets.
    pub fn set_daemons(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.shared.daemons.set(addresses);
    }

    /// Sets how the fabric selects the daemon for a packet.
    pub fn set_load_sharing(&self, load_sharing: LoadSharing) {
        lock(&self.shared.state).load_sharing = load_sharing;
    }

    /// Sets the impairment of the network.
    pub fn set_impairment(&self, impairment: Impairment) {
        lock(&self.shared.state).impairment = impairment;
    }

    /// Returns the packets counted so far.
    pub fn record(&self) -> FabricRecord {
        lock(&self.shared.state).record
    }

    /// Registers the addresses of a caller and returns the receiver of the packets to them.
    pub fn register(&self, addresses: &[IpAddr]) -> mpsc::Receiver<Vec<u8>> {
        let (sender, receiver) = mpsc::channel(CALLER_QUEUE_PACKETS);
        let mut state = lock(&self.shared.state);
        for address in addresses {
            state.callers.insert(*address, sender.clone());
        }
        receiver
    }

    /// Sends an IP packet of a caller to a daemon.
    pub fn send(&self, packet: Vec<u8>) {
        let load_sharing = lock(&self.shared.state).load_sharing;
        let daemon = match load_sharing {
            LoadSharing::PerPacket => {
                let mut state = lock(&self.shared.state);
                self.shared.daemons.pick(&mut state.random)
            }
            LoadSharing::PerFlow => pick_by_flow(&self.shared.daemons, &packet),
        };
        match daemon {
            Some(daemon) => transmit(&self.shared, NextHop::Daemon(daemon), packet),
            None => lock(&self.shared.state).record.lost += 1,
        }
    }
}

fn pick_by_flow(daemons: &Daemons, packet: &[u8]) -> Option<SocketAddr> {
    let flow = Segment::parse(packet).map(|segment| (segment.source, segment.destination));
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(flow);
    let addresses = daemons.get();
    addresses.get((hash % addresses.len().max(1) as u64) as usize).copied()
}

/// Delivers a packet after the delay of the impairment, or drops the packet.
fn transmit(shared: &Arc<Shared>, next_hop: NextHop, packet: Vec<u8>) {
    let delay = {
        let mut state = lock(&shared.state);
        let Impairment { loss, delay, jitter } = state.impairment;
        if loss > 0.0 && state.random.random_bool(loss.clamp(0.0, 1.0)) {
            state.record.lost += 1;
            return;
        }
        delay + jitter.mul_f64(state.random.random())
    };
    if delay.is_zero() {
        return deliver(shared, next_hop, packet);
    }
    let shared = shared.clone();
    let at = Instant::now() + delay;
    tokio::spawn(async move {
        tokio::time::sleep_until(at.into()).await;
        deliver(&shared, next_hop, packet);
    });
}

fn deliver(shared: &Shared, next_hop: NextHop, packet: Vec<u8>) {
    let delivered = match &next_hop {
        NextHop::Daemon(daemon) => send(&shared.socket, &packet, *daemon),
        NextHop::Caller(caller) => caller.try_send(packet).is_ok(),
    };
    let record = &mut lock(&shared.state).record;
    match (next_hop, delivered) {
        (_, false) => record.overflowed += 1,
        (NextHop::Daemon(_), true) => record.sent += 1,
        (NextHop::Caller(_), true) => record.returned += 1,
    }
}

async fn receive(shared: Arc<Shared>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // The socket reports an error after a packet to a daemon that has stopped.
        let Ok((length, _)) = shared.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let packet = &buffer[..length];
        let caller =
            addresses(packet).and_then(|(_, to)| lock(&shared.state).callers.get(&to).cloned());
        match caller {
            Some(caller) => transmit(&shared, NextHop::Caller(caller), packet.to_vec()),
            None => lock(&shared.state).record.unroutable += 1,
        }
    }
}
