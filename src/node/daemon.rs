use std::{
    sync::{Arc, atomic::Ordering},
    thread::JoinHandle,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use log::{info, warn};
use ractor::ActorRef;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
    time::sleep,
};

use crate::{
    admin,
    member::{self, Info},
    node::{
        Error, Result,
        admin_handler::AdminHandler,
        command::Command,
        join::Joiner,
        metrics,
        packet_tracer::PacketTracer,
        packets::{Event, Parts},
        request::{self, Actors},
        shared::Shared,
        start::{bind, bind_error, forwarder, spawn_actors, spawn_packet_loop},
        watch,
    },
    platform::{Client, Timeouts},
    settings::Settings,
    telemetry::{Metrics, Server, Tracing},
    wire::{Body, Sender},
};

/// The capacity of the command channel and of the event channel of the packet loop.
const CHANNEL_CAPACITY: usize = 4096;

/// The interval at which a leaving daemon checks whether it may stop.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time that the handover of the records may take after the drain time.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest time for announcing to the other members that this daemon has left.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(3);

/// A running daemon in tunnel mode.
pub struct Node {
    info: Info,
    settings: Settings,
    commands: mpsc::Sender<Command>,
    actors: Actors,
    coordinator: ActorRef<request::Coordinator>,
    tasks: Vec<AbortHandle>,
    packet_thread: Option<JoinHandle<()>>,
    shared: Arc<Shared>,
    sender: Sender,
    metrics: Metrics,
    incarnation: member::Incarnation,
    admin: Option<admin::Server>,
    metrics_server: Option<Server>,
}

impl Node {
    /// Starts a daemon. The daemon joins in the background and forwards packets as soon as it has
    /// the first state.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not valid, an address cannot be bound, telemetry cannot
    /// be set up, or a thread or an actor cannot be started.
    pub async fn start(settings: Settings) -> Result<Node> {
        settings.validate().map_err(Error::Settings)?;
        let now = Instant::now();
        let mut random = Pcg64::seed_from_u64(rand::rng().random());
        let info = Info {
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            peer: settings.peer,
            admin: settings.admin,
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = since_epoch.as_millis() as member::Incarnation;
        let keyring = Arc::new(settings.keyring().map_err(Error::Keys)?);
        let data = bind("data", settings.data)?;
        let peer = bind("peer", settings.peer)?;
        let outgoing = peer.try_clone().map_err(bind_error("peer", settings.peer))?;
        let sender = Sender::new(Arc::new(outgoing), keyring.clone(), info.id());
        let shared = Arc::new(Shared::new());
        let (commands, command_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (events, event_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let tracing = Tracing::new(&settings.trace, info.name.clone(), random.random())?;
        let parts = Parts {
            data,
            peer,
            fabric: settings.fabric,
            keyring,
            forwarder: forwarder(&settings, info.id(), random.random(), now),
            commands: command_receiver,
            events,
            published_stats: shared.packet_loop_stats.clone(),
            packet_tracer: PacketTracer::new(tracing),
            own_id: info.id(),
            region: info.region.clone(),
        };
        let packet_thread = spawn_packet_loop(parts, now)?;
        let (coordinator, actors) =
            spawn_actors(&settings, &info, incarnation, &shared, &sender, &commands, &mut random)
                .await?;
        let metrics = Metrics::new()?;
        let mut node = Node {
            info,
            settings,
            commands,
            actors,
            coordinator,
            tasks: Vec::new(),
            packet_thread: Some(packet_thread),
            shared,
            sender,
            metrics,
            incarnation,
            admin: None,
            metrics_server: None,
        };
        if let Err(error) = node.spawn_tasks(event_receiver, &mut random).await {
            node.shut_down().await;
            return Err(error);
        }
        info!("daemon {} started in zone {}", node.info.name, node.info.zone);
        Ok(node)
    }

    /// Returns the description of this daemon that other members receive.
    pub fn info(&self) -> &Info {
        &self.info
    }

    /// Returns the bytes of control frames that the daemon has sent: failure detection, tickets,
    /// load reports and copies of records. Frames that are sent on behalf of a single packet are
    /// not included; [`Node::lookup_bytes`] counts them.
    pub fn control_bytes(&self) -> u64 {
        self.sender.sent_bytes() + self.shared.packet_loop_stats.load().copy_bytes
    }

    /// Returns the bytes of answers to cache misses and of queries that the daemon has sent.
    pub fn lookup_bytes(&self) -> u64 {
        self.shared.packet_loop_stats.load().lookup_bytes
    }

    /// Waits until the daemon forwards packets. A daemon that has no first state after about 5 s
    /// forwards without it.
    pub async fn ready(&self) {
        let _ = self.shared.is_ready.subscribe().wait_for(|is_ready| *is_ready).await;
    }

    /// Stops gracefully: the daemon gives up ownership, hands over its records, forwards until the
    /// drain time is over, and announces that it has left.
    pub async fn stop(mut self) {
        info!("daemon {} is leaving and hands over its records", self.info.name);
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        let began_at = Instant::now();
        let drain = self.settings.drain_time;
        let _ = self.actors.members.cast(request::Members::AnnounceLeaving);
        let _ = self.commands.send(Command::BeginLeave).await;
        loop {
            sleep(LEAVE_POLL_INTERVAL).await;
            let elapsed = began_at.elapsed();
            if elapsed >= drain && self.is_handed_over().await {
                break;
            }
            if elapsed >= drain + HANDOVER_TIMEOUT {
                warn!("handover is not complete after {} s; stopping anyway", elapsed.as_secs());
                break;
            }
        }
        let _ = self.actors.members.cast(request::Members::AnnounceLeft);
        let departure_began_at = Instant::now();
        while departure_began_at.elapsed() < DEPARTURE_TIMEOUT && !self.is_departed().await {
            sleep(LEAVE_POLL_INTERVAL).await;
        }
        info!("daemon {} has left after {} ms", self.info.name, began_at.elapsed().as_millis());
        self.shut_down().await;
    }

    /// Stops at once without an announcement, like a failure of the VM.
    pub async fn kill(mut self) {
        self.shut_down().await;
    }

    async fn is_handed_over(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::IsHandedOver(reply)).await.is_ok()
            && answer.await.unwrap_or(true)
    }

    async fn is_departed(&self) -> bool {
        let request = request::Members::IsDepartureFinished;
        match self.actors.members.call(request, Some(LEAVE_POLL_INTERVAL)).await {
            Ok(ractor::rpc::CallResult::Success(is_departed)) => is_departed,
            _ => false,
        }
    }

    async fn shut_down(&mut self) {
        for task in self.tasks.drain(..) {
            task.abort();
        }
        self.actors.members.kill();
        self.actors.tickets.kill();
        self.actors.targets.kill();
        self.coordinator.kill();
        if let Some(admin) = self.admin.take() {
            admin.stop().await;
        }
        if let Some(metrics_server) = self.metrics_server.take() {
            metrics_server.stop().await;
        }
        let _ = self.commands.send(Command::Stop).await;
        if let Some(thread) = self.packet_thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }

    async fn spawn_tasks(
        &mut self,
        events: mpsc::Receiver<Event>,
        random: &mut Pcg64,
    ) -> Result<()> {
        let actors = self.actors.clone();
        let client = Arc::new(Client::new(self.settings.platform.clone(), Timeouts::default()));
        let joiner = Joiner {
            platform: client.clone(),
            own_info: self.info.clone(),
            contacts: self.settings.contacts.clone(),
            members: actors.members.clone(),
            tickets: actors.tickets.clone(),
            coordinator: self.coordinator.clone(),
            shared: self.shared.clone(),
        };
        let (requester, requests) = admin::channel();
        let handler = AdminHandler {
            info: self.info.clone(),
            incarnation: self.incarnation,
            started_at: Instant::now(),
            actors: actors.clone(),
            commands: self.commands.clone(),
            shared: self.shared.clone(),
        };
        self.admin = Some(admin::Server::start(self.settings.admin, requester).await?);
        self.metrics_server = Some(self.metrics.serve(self.settings.metrics).await?);
        let (tickets_seed, vms_seed) = (random.random(), random.random());
        let shared = || self.shared.clone();
        let tasks = [
            tokio::spawn(dispatch_events(events, actors.clone(), self.coordinator.clone())),
            tokio::spawn(watch::tickets(
                client.clone(),
                shared(),
                actors.tickets.clone(),
                tickets_seed,
            )),
            tokio::spawn(watch::vms(client, shared(), actors.members.clone(), vms_seed)),
            tokio::spawn(joiner.run()),
            tokio::spawn(metrics::run(self.metrics.clone(), shared(), self.sender.clone())),
            tokio::spawn(handler.run(requests)),
        ];
        self.tasks.extend(tasks.iter().map(tokio::task::JoinHandle::abort_handle));
        Ok(())
    }
}

/// Passes the events of the packet loop to the actors until an actor has stopped.
async fn dispatch_events(
    mut events: mpsc::Receiver<Event>,
    actors: Actors,
    coordinator: ActorRef<request::Coordinator>,
) {
    while let Some(event) = events.recv().await {
        let is_delivered = match event {
            Event::Frame { from, address, body: Body::Member(message) } => {
                actors.members.cast(request::Members::Received { from, address, message }).is_ok()
            }
            Event::Frame { from, body: Body::Spread(message), .. } => {
                actors.tickets.cast(request::Tickets::Received { from, message }).is_ok()
            }
            Event::Frame { body: Body::Load(reports), .. } => {
                actors.targets.cast(request::Targets::Reports(reports)).is_ok()
            }
            Event::Frame { .. } => true,
            Event::Paused(gap) => coordinator.cast(request::Coordinator::Paused(gap)).is_ok(),
            Event::Observed(observations) => {
                actors.targets.cast(request::Targets::Observed(observations)).is_ok()
            }
        };
        if !is_delivered {
            return;
        }
    }
}
