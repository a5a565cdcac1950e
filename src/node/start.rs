//! The creation of the sockets, the packet loop and the actors for
//! [`Node::start`](super::Node::start).

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread::JoinHandle,
    time::Instant,
};

use ractor::{Actor, ActorRef};
use rand::RngExt as _;
use rand_pcg::Pcg64;
use socket2::{Domain, Socket, Type};
use tokio::sync::mpsc;

use crate::{
    flow::Hasher,
    forward::{self, Forwarder},
    load::Monitor,
    member::{self, Detector, Info},
    node::{
        Error, Result,
        command::Command,
        coordinator::Coordinator,
        members::{self, Members},
        packets::{PacketLoop, Parts},
        request::{self, Actors},
        shared::Shared,
        targets::{self, Targets},
        tickets::{self, Tickets},
    },
    place::{self, Placer},
    platform::{EndpointClient, Timeouts},
    settings::Settings,
    spread::{self, Disseminator},
    ticket::State,
    util::BindError,
    wire::Sender,
};

/// The requested size of each socket buffer.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Creates the forwarder from the settings.
pub(super) fn forwarder(
    settings: &Settings,
    own: member::Id,
    seed: u64,
    now: Instant,
) -> Forwarder {
    let limits = &settings.limits;
    let config = forward::Config {
        max_flows: limits.owned_flows as usize,
        max_cached_flows: limits.cached_flows as usize,
        max_pending: limits.pending_packets as usize,
        handover_bytes_per_second: f64::from(settings.handover_bytes_per_second),
        ..forward::Config::default()
    };
    let placement = place::Config {
        new_flows_per_second: limits.new_flows_per_second,
        caller_share: limits.caller_share,
        ..place::Config::default()
    };
    let hasher = Hasher::new(settings.flow_key.bytes());
    let placer = Placer::new(placement, own, seed, now);
    Forwarder::new(config, own, hasher, placer, seed, now)
}

/// Starts the packet loop on a separate thread.
pub(super) fn spawn_packet_loop(parts: Parts, now: Instant) -> Result<JoinHandle<()>> {
    let start_error =
        |source: std::io::Error| Error::Start { name: "packet loop", source: source.into() };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(start_error)?;
    let run = move || {
        runtime.block_on(async move {
            match PacketLoop::new(parts, now) {
                Ok(packet_loop) => packet_loop.run().await,
                Err(error) => log::error!("packet loop cannot register its sockets: {error}"),
            }
        });
    };
    std::thread::Builder::new().name("packets".into()).spawn(run).map_err(start_error)
}

/// Starts the actors and gives the coordinator references to the other actors.
pub(super) async fn spawn_actors(
    settings: &Settings,
    info: &Info,
    incarnation: member::Incarnation,
    shared: &Arc<Shared>,
    sender: &Sender,
    commands: &mpsc::Sender<Command>,
    random: &mut Pcg64,
) -> Result<(ActorRef<request::Coordinator>, Actors)> {
    let start_error =
        |name| move |source: ractor::SpawnErr| Error::Start { name, source: source.into() };
    let (coordinator, _) = Actor::spawn(None, Coordinator, (commands.clone(), shared.clone()))
        .await
        .map_err(start_error("coordinator"))?;
    let now = Instant::now();
    let detector =
        Detector::new(member::Config::default(), info.clone(), incarnation, random.random(), now);
    let arguments = members::Arguments {
        detector,
        region: info.region.clone(),
        sender: sender.clone(),
        commands: commands.clone(),
        shared: shared.clone(),
        coordinator: coordinator.clone(),
    };
    let (members, _) =
        Actor::spawn(None, Members, arguments).await.map_err(start_error("member view"))?;
    let mut config = spread::Config::new(info.zone.clone());
    config.rate = f64::from(settings.control.bytes_per_second);
    config.burst = f64::from(settings.control.burst_bytes);
    let zones = (!settings.zones.is_empty()).then(|| settings.zones.clone().into());
    let arguments = tickets::Arguments {
        disseminator: Disseminator::new(config, info.id(), random.random(), now),
        state: State::new(zones),
        sender: sender.clone(),
        commands: commands.clone(),
        shared: shared.clone(),
        coordinator: coordinator.clone(),
    };
    let (tickets, _) =
        Actor::spawn(None, Tickets, arguments).await.map_err(start_error("ticket state"))?;
    let arguments = targets::Arguments {
        monitor: Monitor::new(crate::load::Config::default(), info.id()),
        region: info.region.clone(),
        endpoint: EndpointClient::new(Timeouts::default()),
        sender: sender.clone(),
        commands: commands.clone(),
        shared: shared.clone(),
        own_id: info.id(),
    };
    let (targets, _) =
        Actor::spawn(None, Targets, arguments).await.map_err(start_error("target classes"))?;
    let actors = Actors { members, tickets, targets };
    let _ = coordinator.cast(request::Coordinator::SetActors(Box::new(actors.clone())));
    Ok((coordinator, actors))
}

/// Opens a non-blocking UDP socket that is bound to `address`.
pub(super) fn bind(name: &'static str, address: SocketAddr) -> Result<UdpSocket> {
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
        // The system may grant less. Packets that a burst then loses are retransmitted by the
        // transport protocol.
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
        socket.bind(&address.into())?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().map_err(bind_error(name, address))
}

/// Returns a function that converts an I/O error of the socket `name` to an [`Error`].
pub(super) fn bind_error(
    name: &'static str,
    address: SocketAddr,
) -> impl FnOnce(std::io::Error) -> Error {
    move |source| BindError { name, address, source }.into()
}
