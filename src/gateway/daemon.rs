use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{info, warn};
use ractor::{Actor, ActorRef};
use rand::RngExt as _;
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
};

use crate::{
    admin,
    cookie::{Forwarder, Tuning},
    gateway::{
        Codec, Error, Result, Source, answers::Answerer, help::Helper, keeper, keeper::Keeper,
        members, members::Members, metrics, packets::PacketLoop, reader, readiness, shared::Shared,
    },
    member::{self, Detector, Info},
    settings,
    telemetry::{Metrics, Server},
    util::{BindError, Listener},
    wire::{Keyring, Sender},
};

/// How long the fabric needs to send elsewhere: two misses at two checks a second, and one check
/// that was on its way.
const WITHDRAWAL: Duration = Duration::from_millis(1700);

/// The questions to the packet loop that may wait.
const COMMANDS: usize = 64;

/// A running daemon in gateway mode.
pub struct Gateway {
    settings: settings::Gateway,
    shared: Arc<Shared>,
    keeper: ActorRef<keeper::Request>,
    members: Option<ActorRef<members::Request>>,
    tasks: Vec<AbortHandle>,
    _admin: Option<admin::Server>,
    _ready: Listener,
    _scrape: Option<Server>,
    /// Ends the packet loop when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl Gateway {
    /// Starts a daemon. It forwards packets when it has read configuration and targets;
    /// `ready_path` is the path at which the fabric asks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be opened.
    pub async fn start(
        settings: settings::Gateway,
        source: impl Source,
        codec: impl Codec,
        ready_path: &'static str,
    ) -> Result<Gateway> {
        let tuning = tuning(&settings);
        let shared = Arc::new(Shared::default());
        let metrics = Metrics::new()?;
        let data = SocketAddr::V4(settings.data);
        let bind_error = |source| BindError { name: "data", address: data, source };
        let socket = UdpSocket::bind(data).map_err(bind_error)?;
        socket.set_nonblocking(true).map_err(bind_error)?;
        let arguments = keeper::Arguments { tuning: tuning.clone(), shared: shared.clone() };
        let (keeper, _) = Actor::spawn(None, Keeper, arguments).await?;
        let (commands, waiting) = mpsc::channel(COMMANDS);
        shared.contacts.store(Arc::new(settings.contacts.clone()));
        let packet_loop = PacketLoop {
            commands: waiting,
            openings: metrics::openings(&metrics),
            codec,
            forwarder: Forwarder::new(settings.zone.clone(), tuning),
            shared: shared.clone(),
            keeper: keeper.clone(),
            caller_port: settings.data.port(),
            zone: settings.zone.clone(),
            socket,
        };
        let source = Arc::new(source);
        let mut random = rand::rng();
        let (seed, other) = (random.random(), random.random());
        let (stop, stopped) = oneshot::channel();
        packet_loop.spawn(stopped).map_err(Error::Thread)?;
        let times = metrics::store_calls(&metrics);
        let tasks = [
            tokio::spawn(reader::targets(
                source.clone(),
                keeper.clone(),
                shared.clone(),
                times.clone(),
                seed,
            )),
            tokio::spawn(reader::operator(source, keeper.clone(), shared.clone(), times, other)),
        ];
        let mut tasks: Vec<AbortHandle> =
            tasks.iter().map(tokio::task::JoinHandle::abort_handle).collect();
        let own = info(&settings);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = since_epoch.as_millis() as member::Incarnation;
        let mut members = None;
        if let Some(peer) = settings.peer {
            let started = start_members(&settings, peer, &own, incarnation, &shared).await?;
            let (actor, receiver) = started;
            let helper = Helper {
                own: own.clone(),
                shared: shared.clone(),
                keeper: keeper.clone(),
                members: actor.clone(),
            };
            tasks.push(receiver);
            tasks.push(tokio::spawn(helper.clone().join()).abort_handle());
            tasks.push(tokio::spawn(helper.clone().follow()).abort_handle());
            tasks.push(tokio::spawn(helper.help()).abort_handle());
            members = Some(actor);
        }
        let mut admin = None;
        if let Some(address) = settings.admin {
            let (requester, requests) = admin::channel();
            let answerer = Answerer {
                info: own,
                incarnation,
                started: Instant::now(),
                shared: shared.clone(),
                keeper: keeper.clone(),
                members: members.clone(),
                commands,
            };
            tasks.push(tokio::spawn(answerer.run(requests)).abort_handle());
            admin = Some(admin::Server::start(address, requester).await?);
        }
        let scrape = match settings.metrics {
            Some(address) => Some(metrics.serve(address).await?),
            None => None,
        };
        tasks.push(tokio::spawn(metrics::run(metrics, shared.clone())).abort_handle());
        let ready = readiness::serve(settings.ready, ready_path, shared.clone()).await?;
        info!(name = &*settings.name, zone = &*settings.zone; "daemon started");
        Ok(Gateway {
            settings,
            shared,
            keeper,
            members,
            tasks,
            _admin: admin,
            _ready: ready,
            _scrape: scrape,
            _stop: stop,
        })
    }

    /// Puts changed settings in force and returns the names of those that need a new start.
    pub fn reload(&mut self, settings: settings::Gateway) -> Vec<&'static str> {
        let former = &self.settings;
        let changed = [
            ("name", former.name != settings.name),
            ("zone", former.zone != settings.zone),
            ("data", former.data != settings.data),
            ("ready", former.ready != settings.ready),
            ("admin", former.admin != settings.admin),
            ("metrics", former.metrics != settings.metrics),
            ("peer", former.peer != settings.peer),
            ("platform", former.platform != settings.platform),
            ("flow_ttl_seconds", former.flow_ttl_seconds != settings.flow_ttl_seconds),
            ("cold_factor", former.cold_factor != settings.cold_factor),
            ("cold_slack", former.cold_slack != settings.cold_slack),
        ];
        self.settings.drain_seconds = settings.drain_seconds;
        self.shared.contacts.store(Arc::new(settings.contacts));
        self.settings.log = settings.log;
        changed.into_iter().filter(|(_, is_changed)| *is_changed).map(|(name, _)| name).collect()
    }

    /// Stops gracefully: the daemon says at once that it is not ready, and forwards packets until
    /// the fabric sends elsewhere.
    pub async fn stop(self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        if let Some(members) = &self.members
            && members.cast(members::Request::Leave).is_err()
        {
            warn!("members have ended; others do not hear that the daemon leaves");
        }
        let begun = Instant::now();
        let drain = Duration::from_secs(u64::from(self.settings.drain_seconds));
        tokio::time::sleep(WITHDRAWAL.min(drain)).await;
        info!(after_ms = begun.elapsed().as_millis() as u64; "daemon stops");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.keeper.kill();
        if let Some(members) = &self.members {
            members.kill();
        }
    }
}

fn tuning(settings: &settings::Gateway) -> Tuning {
    Tuning {
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
        ended_target_retention: Duration::from_secs(u64::from(settings.flow_ttl_seconds)),
        ..Tuning::default()
    }
}

fn info(settings: &settings::Gateway) -> Info {
    let settings::Gateway { name, region, zone, data, peer, admin, .. } = settings;
    Info {
        name: name.clone(),
        region: region.clone(),
        zone: zone.clone(),
        peer: peer.unwrap_or(SocketAddr::V4(*data)),
        admin: admin.unwrap_or(SocketAddr::V4(*data)),
    }
}

/// Starts the actor that knows the other daemons, and the task that receives their frames at
/// `address`.
async fn start_members(
    settings: &settings::Gateway,
    address: SocketAddr,
    own: &Info,
    incarnation: member::Incarnation,
    shared: &Arc<Shared>,
) -> Result<(ActorRef<members::Request>, AbortHandle)> {
    let bind_error = |source| BindError { name: "peer", address, source };
    let keys = settings.keys.iter().map(|key| (key.number, *key.key.bytes()));
    let keyring = Arc::new(Keyring::new(keys)?);
    let socket = UdpSocket::bind(address).map_err(bind_error)?;
    socket.set_nonblocking(true).map_err(bind_error)?;
    let outgoing = socket.try_clone().map_err(bind_error)?;
    let socket = tokio::net::UdpSocket::from_std(socket).map_err(bind_error)?;
    let seed = rand::rng().random();
    let config = member::Config::default();
    let detector = Detector::new(config, own.clone(), incarnation, seed, Instant::now());
    let arguments = members::Arguments {
        detector,
        info: own.clone(),
        sender: Sender::new(Arc::new(outgoing), keyring.clone(), own.id()),
        shared: shared.clone(),
        started: Instant::now(),
    };
    let (actor, _) = Actor::spawn(None, Members, arguments).await?;
    let receiver = tokio::spawn(members::receive(socket, keyring, actor.clone()));
    Ok((actor, receiver.abort_handle()))
}
