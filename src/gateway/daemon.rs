use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{error, info, warn};
use ractor::{Actor, ActorRef};
use rand::RngExt as _;
use tokio::{
    sync::{mpsc, oneshot},
    task::{AbortHandle, JoinHandle},
};

use crate::{
    admin,
    cookie::{Census, Forwarder, Tuning, work::Batch},
    gateway::{
        Codec, Error, Result, Source,
        admin_handler::AdminHandler,
        component::{Component, Watcher},
        directory_actor,
        directory_actor::DirectoryActor,
        members,
        members::Members,
        metrics,
        packets::PacketLoop,
        peer_client::PeerClient,
        reader, readiness,
        report_exchange::{ReceivedReports, ReportExchange},
        report_receiver::ReportReceiver,
        report_sender::ReportSender,
        shared::Shared,
    },
    member::{self, Detector, Info},
    settings,
    telemetry::{Metrics, Server},
    util::{BindError, Listener},
    wire::{Keyring, Sender},
};

/// How long the fabric needs to stop sending to a daemon that is not ready: two failed checks at
/// two checks a second, and one check that was already in flight.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(1700);

/// The number of queries that may be queued for the packet loop.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// The number of frames with reports that may be queued in each direction. The packet loop takes
/// the received ones ten times a second.
const REPORT_QUEUE_CAPACITY: usize = 64;

/// A running daemon in gateway mode.
pub struct Gateway {
    settings: settings::Gateway,
    shared: Arc<Shared>,
    directory_actor: ActorRef<directory_actor::Request>,
    members: Option<ActorRef<members::Request>>,
    tasks: Vec<AbortHandle>,
    ended_components: mpsc::UnboundedReceiver<Component>,
    _admin: Option<admin::Server>,
    _readiness_server: Listener,
    _metrics_server: Option<Server>,
    /// Stops the packet loop when this sender is dropped.
    _stop: oneshot::Sender<()>,
}

impl Gateway {
    /// Starts a daemon, which forwards packets as soon as it has read the configuration and the
    /// targets. `ready_path` is the path of the readiness check.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound, the keys are not valid, or a thread, an
    /// actor or the metrics cannot be set up.
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
        let arguments =
            directory_actor::Arguments { tuning: tuning.clone(), shared: shared.clone() };
        let (watcher, ended_components) = Watcher::new();
        let (directory_actor, actor_task) = Actor::spawn(None, DirectoryActor, arguments).await?;
        let mut tasks = vec![watch_actor(&watcher, Component::DirectoryActor, actor_task)];
        let (commands, command_receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        shared.contacts.store(Arc::new(settings.contacts.clone()));
        let (report_exchange, report_ends) = report_queues(&tuning, &settings, &shared).unzip();
        let packet_loop = PacketLoop {
            commands: command_receiver,
            opening_times: metrics::opening_times(&metrics),
            codec,
            forwarder: Forwarder::new(settings.zone.clone(), tuning),
            shared: shared.clone(),
            directory_actor: directory_actor.clone(),
            caller_port: settings.data.port(),
            zone: settings.zone.clone(),
            socket,
            report_exchange,
        };
        let source = Arc::new(source);
        let mut random = rand::rng();
        let (targets_seed, operator_seed) = (random.random(), random.random());
        let (stop, stopped) = oneshot::channel();
        let guard = watcher.guard(Component::PacketLoop);
        packet_loop.spawn(stopped, guard).map_err(Error::Thread)?;
        let call_durations = metrics::store_call_durations(&metrics);
        let targets_reader = reader::run_targets_reader(
            source.clone(),
            directory_actor.clone(),
            shared.clone(),
            call_durations.clone(),
            targets_seed,
        );
        tasks.push(watcher.spawn(Component::TargetsReader, targets_reader));
        let operator_reader = reader::run_operator_reader(
            source,
            directory_actor.clone(),
            shared.clone(),
            call_durations,
            operator_seed,
        );
        tasks.push(watcher.spawn(Component::OperatorReader, operator_reader));
        let own = own_info(&settings);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = since_epoch.as_millis() as member::Incarnation;
        let mut members = None;
        if let Some(peer) = settings.peer {
            let started =
                start_members(&settings, peer, &own, incarnation, &shared, report_ends, &watcher)
                    .await?;
            let (actor, member_tasks) = started;
            let peer_client = PeerClient {
                info: own.clone(),
                shared: shared.clone(),
                directory_actor: directory_actor.clone(),
                members: actor.clone(),
            };
            tasks.extend(member_tasks);
            tasks.push(watcher.spawn(Component::JoinTask, peer_client.clone().join()));
            tasks.push(watcher.spawn(Component::FollowTask, peer_client.clone().follow()));
            tasks.push(watcher.spawn(Component::StateFallback, peer_client.run_state_fallback()));
            members = Some(actor);
        }
        let mut admin = None;
        if let Some(address) = settings.admin {
            let (requester, requests) = admin::channel();
            let handler = AdminHandler {
                info: own,
                incarnation,
                started_at: Instant::now(),
                shared: shared.clone(),
                directory_actor: directory_actor.clone(),
                members: members.clone(),
                commands,
            };
            tasks.push(watcher.spawn(Component::AdminHandler, handler.run(requests)));
            admin = Some(admin::Server::start(address, requester).await?);
        }
        let metrics_server = match settings.metrics {
            Some(address) => Some(metrics.serve(address).await?),
            None => None,
        };
        tasks.push(watcher.spawn(Component::MetricsTask, metrics::run(metrics, shared.clone())));
        let readiness_server = readiness::serve(settings.ready, ready_path, shared.clone()).await?;
        info!(name = &*settings.name, zone = &*settings.zone; "daemon started");
        Ok(Gateway {
            settings,
            shared,
            directory_actor,
            members,
            tasks,
            ended_components,
            _admin: admin,
            _readiness_server: readiness_server,
            _metrics_server: metrics_server,
            _stop: stop,
        })
    }

    /// Applies changed settings, and returns the names of the changed ones that need a restart of
    /// the daemon.
    pub fn reload(&mut self, settings: settings::Gateway) -> Vec<&'static str> {
        let previous = &self.settings;
        let changed = [
            ("name", previous.name != settings.name),
            ("zone", previous.zone != settings.zone),
            ("data", previous.data != settings.data),
            ("ready", previous.ready != settings.ready),
            ("admin", previous.admin != settings.admin),
            ("metrics", previous.metrics != settings.metrics),
            ("peer", previous.peer != settings.peer),
            ("platform", previous.platform != settings.platform),
            ("flow_ttl_seconds", previous.flow_ttl != settings.flow_ttl),
            ("cold_factor", previous.cold_factor != settings.cold_factor),
            ("cold_slack", previous.cold_slack != settings.cold_slack),
            ("load_shedding", previous.load_shedding != settings.load_shedding),
            ("target_reports", previous.target_reports != settings.target_reports),
        ];
        self.settings.drain_time = settings.drain_time;
        self.shared.contacts.store(Arc::new(settings.contacts));
        self.settings.log = settings.log;
        changed.into_iter().filter(|(_, is_changed)| *is_changed).map(|(name, _)| name).collect()
    }

    /// Waits until a component without which the daemon cannot follow changes or forward packets has
    /// ended, and returns its name. The end of another component is only logged. Can be cancelled
    /// without loss.
    pub async fn failed_component(&mut self) -> &'static str {
        while let Some(component) = self.ended_components.recv().await {
            if component.is_essential() {
                return component.name();
            }
            error!(component = component.name(); "component has ended; the daemon continues");
        }
        // Every component has been reported, and none can end any more.
        std::future::pending().await
    }

    /// Stops the daemon gracefully. The daemon reports at once that it is not ready, and forwards
    /// packets until the fabric has stopped sending to it.
    pub async fn stop(self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        if let Some(members) = &self.members
            && members.cast(members::Request::AnnounceLeaving).is_err()
        {
            warn!("member actor has stopped; other daemons are not told that this daemon leaves");
        }
        let stop_requested_at = Instant::now();
        let drain = self.settings.drain_time;
        tokio::time::sleep(WITHDRAWAL_TIME.min(drain)).await;
        info!(after_ms = stop_requested_at.elapsed().as_millis() as u64; "daemon stops");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.directory_actor.kill();
        if let Some(members) = &self.members {
            members.kill();
        }
    }
}

fn tuning(settings: &settings::Gateway) -> Tuning {
    Tuning {
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
        placement: settings.placement,
        sheds_load: settings.load_shedding,
        shares_reports: settings.target_reports,
        ended_target_retention: settings.flow_ttl,
        ..Tuning::default()
    }
}

fn own_info(settings: &settings::Gateway) -> Info {
    let settings::Gateway { name, region, zone, data, peer, admin, .. } = settings;
    Info {
        name: name.clone(),
        region: region.clone(),
        zone: zone.clone(),
        peer: peer.unwrap_or(SocketAddr::V4(*data)),
        admin: admin.unwrap_or(SocketAddr::V4(*data)),
    }
}

/// Reports an actor as ended when its task `actor_task` has ended.
fn watch_actor(watcher: &Watcher, component: Component, actor_task: JoinHandle<()>) -> AbortHandle {
    watcher.spawn(component, async move {
        // An actor that panics is stopped by its task, which ends without an error.
        if let Err(error) = actor_task.await {
            error!(component = component.name(); "task of the actor has failed: {error}");
        }
    })
}

/// The ends of the report queues outside the packet loop.
type ReportEnds = (mpsc::Receiver<Batch>, mpsc::Sender<ReceivedReports>);

/// Returns both ends of the queues of reports, or `None` if the daemon exchanges none.
fn report_queues(
    tuning: &Tuning,
    settings: &settings::Gateway,
    shared: &Arc<Shared>,
) -> Option<(ReportExchange, ReportEnds)> {
    if !tuning.shares_reports || settings.peer.is_none() {
        return None;
    }
    let (outgoing, batches) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    let (queue, received) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    Some((
        ReportExchange::new(own_info(settings), outgoing, received, shared.clone()),
        (batches, queue),
    ))
}

/// Starts the actor that detects the other daemons, and the task that receives their frames at
/// `address`. Returns the actor and the handles of the tasks.
async fn start_members(
    settings: &settings::Gateway,
    address: SocketAddr,
    own: &Info,
    incarnation: member::Incarnation,
    shared: &Arc<Shared>,
    report_ends: Option<ReportEnds>,
    watcher: &Watcher,
) -> Result<(ActorRef<members::Request>, Vec<AbortHandle>)> {
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
    let sender = Sender::new(Arc::new(outgoing), keyring.clone(), own.id());
    let arguments = members::Arguments {
        detector,
        info: own.clone(),
        sender: sender.clone(),
        shared: shared.clone(),
        census: Census::new(&tuning(settings), Instant::now()),
    };
    let (actor, actor_task) = Actor::spawn(None, Members, arguments).await?;
    let actor_task = watch_actor(watcher, Component::MembersActor, actor_task);
    let (batches, queue) = report_ends.unzip();
    let report_receiver = ReportReceiver { info: own.clone(), shared: shared.clone(), queue };
    let receiver = members::receive(socket, keyring, actor.clone(), report_receiver);
    let receiver = watcher.spawn(Component::FrameReceiver, receiver);
    let mut tasks = vec![actor_task, receiver];
    if let Some(batches) = batches {
        let report_sender =
            ReportSender { info: own.clone(), sender, shared: shared.clone(), batches };
        tasks.push(watcher.spawn(Component::ReportSender, report_sender.run()));
    }
    Ok((actor, tasks))
}
