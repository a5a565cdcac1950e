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
        api::Answerer,
        command::Command,
        join::Joiner,
        metrics,
        packets::{Notice, Parts},
        request::{self, Links},
        shared::Shared,
        spans::Sampler,
        start::{bind, bind_error, forwarder, spawn_actors, spawn_packet_loop},
        watch,
    },
    platform::{Client, Timeouts},
    settings::Settings,
    telemetry::{Metrics, Server, Tracing},
    wire::{Body, Sender},
};

/// Commands and notices that may wait between the packet loop and the actors.
const QUEUE: usize = 4096;

/// How often a leaving daemon checks whether it may stop.
const LEAVE_POLL: Duration = Duration::from_millis(100);

/// The longest time for the handover after the drain time.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(60);

/// The longest time for telling the others that this daemon has left.
const FAREWELL_TIMEOUT: Duration = Duration::from_secs(3);

/// A running daemon.
pub struct Node {
    info: Info,
    settings: Settings,
    commands: mpsc::Sender<Command>,
    links: Links,
    coordinator: ActorRef<request::Coordinator>,
    tasks: Vec<AbortHandle>,
    packet_thread: Option<JoinHandle<()>>,
    shared: Arc<Shared>,
    sender: Sender,
    metrics: Metrics,
    incarnation: member::Incarnation,
    admin: Option<admin::Server>,
    scrape: Option<Server>,
}

impl Node {
    /// Starts a daemon. It joins in the background and forwards packets when it has the first
    /// state.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are not valid or an address cannot be opened.
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
        let (commands, command_queue) = mpsc::channel(QUEUE);
        let (notices, notice_queue) = mpsc::channel(QUEUE);
        let tracing = Tracing::new(&settings.trace, info.name.clone(), random.random())?;
        let parts = Parts {
            data,
            peer,
            fabric: settings.fabric,
            keyring,
            forwarder: forwarder(&settings, info.id(), random.random(), now),
            commands: command_queue,
            notices,
            counters: shared.counters.clone(),
            sampler: Sampler::new(tracing),
            own: info.id(),
            region: info.region.clone(),
        };
        let packet_thread = spawn_packet_loop(parts, now)?;
        let (coordinator, links) =
            spawn_actors(&settings, &info, incarnation, &shared, &sender, &commands, &mut random)
                .await?;
        let metrics = Metrics::new()?;
        let mut node = Node {
            info,
            settings,
            commands,
            links,
            coordinator,
            tasks: Vec::new(),
            packet_thread: Some(packet_thread),
            shared,
            sender,
            metrics,
            incarnation,
            admin: None,
            scrape: None,
        };
        if let Err(error) = node.spawn_tasks(notice_queue, &mut random).await {
            node.end().await;
            return Err(error);
        }
        info!("daemon {} started in zone {}", node.info.name, node.info.zone);
        Ok(node)
    }

    /// Returns what the daemon says about itself to other members.
    pub fn info(&self) -> &Info {
        &self.info
    }

    /// Returns the bytes of control frames that the daemon has sent: the failure detector, tickets,
    /// load reports and copies of records. Frames that one packet of a flow causes are not
    /// control; [`Node::lookup_bytes`] counts them.
    pub fn control_bytes(&self) -> u64 {
        self.sender.sent_bytes() + self.shared.counters.load().copy_bytes
    }

    /// Returns the bytes of answers to cache misses and of queries that the daemon has sent.
    pub fn lookup_bytes(&self) -> u64 {
        self.shared.counters.load().lookup_bytes
    }

    /// Waits until the daemon has the first state and forwards packets, at most about 5 s.
    pub async fn ready(&self) {
        let _ = self.shared.is_ready.subscribe().wait_for(|is_ready| *is_ready).await;
    }

    /// Stops gracefully: the daemon is no longer an owner, hands over its flows, forwards until the
    /// drain time is over, and says that it has left.
    pub async fn stop(mut self) {
        info!("daemon {} leaves", self.info.name);
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        let begun = Instant::now();
        let drain = Duration::from_secs(u64::from(self.settings.drain_seconds));
        let _ = self.links.members.cast(request::Members::Leave);
        let _ = self.commands.send(Command::BeginLeave).await;
        loop {
            sleep(LEAVE_POLL).await;
            let elapsed = begun.elapsed();
            if elapsed >= drain && self.is_handed_over().await {
                break;
            }
            if elapsed >= drain + HANDOVER_TIMEOUT {
                warn!("handover is not complete after {} s", elapsed.as_secs());
                break;
            }
        }
        let _ = self.links.members.cast(request::Members::Left);
        let farewell = Instant::now();
        while farewell.elapsed() < FAREWELL_TIMEOUT && !self.is_departed().await {
            sleep(LEAVE_POLL).await;
        }
        info!("daemon {} has left after {} ms", self.info.name, begun.elapsed().as_millis());
        self.end().await;
    }

    /// Stops at once without telling anybody, like a failure of the VM.
    pub async fn kill(mut self) {
        self.end().await;
    }

    async fn is_handed_over(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::IsHandedOver(reply)).await.is_ok()
            && answer.await.unwrap_or(true)
    }

    async fn is_departed(&self) -> bool {
        let request = request::Members::IsDeparted;
        match self.links.members.call(request, Some(LEAVE_POLL)).await {
            Ok(ractor::rpc::CallResult::Success(is_departed)) => is_departed,
            _ => false,
        }
    }

    async fn end(&mut self) {
        for task in self.tasks.drain(..) {
            task.abort();
        }
        self.links.members.kill();
        self.links.tickets.kill();
        self.links.targets.kill();
        self.coordinator.kill();
        if let Some(admin) = self.admin.take() {
            admin.stop().await;
        }
        if let Some(scrape) = self.scrape.take() {
            scrape.stop().await;
        }
        let _ = self.commands.send(Command::Stop).await;
        if let Some(thread) = self.packet_thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }

    async fn spawn_tasks(
        &mut self,
        notices: mpsc::Receiver<Notice>,
        random: &mut Pcg64,
    ) -> Result<()> {
        let links = self.links.clone();
        let client = Arc::new(Client::new(self.settings.platform.clone(), Timeouts::default()));
        let joiner = Joiner {
            platform: client.clone(),
            own: self.info.clone(),
            contacts: self.settings.contacts.clone(),
            members: links.members.clone(),
            tickets: links.tickets.clone(),
            coordinator: self.coordinator.clone(),
            shared: self.shared.clone(),
        };
        let (requester, requests) = admin::channel();
        let answerer = Answerer {
            info: self.info.clone(),
            incarnation: self.incarnation,
            started: Instant::now(),
            links: links.clone(),
            commands: self.commands.clone(),
            shared: self.shared.clone(),
        };
        self.admin = Some(admin::Server::start(self.settings.admin, requester).await?);
        self.scrape = Some(self.metrics.serve(self.settings.metrics).await?);
        let (seed, other_seed) = (random.random(), random.random());
        let shared = || self.shared.clone();
        let watches = [
            tokio::spawn(dispatch(notices, links.clone(), self.coordinator.clone())),
            tokio::spawn(watch::tickets(client.clone(), shared(), links.tickets.clone(), seed)),
            tokio::spawn(watch::vms(client, shared(), links.members.clone(), other_seed)),
            tokio::spawn(joiner.run()),
            tokio::spawn(metrics::run(self.metrics.clone(), shared(), self.sender.clone())),
            tokio::spawn(answerer.run(requests)),
        ];
        self.tasks.extend(watches.iter().map(tokio::task::JoinHandle::abort_handle));
        Ok(())
    }
}

/// Passes the notices of the packet loop to the actors.
async fn dispatch(
    mut notices: mpsc::Receiver<Notice>,
    links: Links,
    coordinator: ActorRef<request::Coordinator>,
) {
    while let Some(notice) = notices.recv().await {
        let is_passed = match notice {
            Notice::Frame { from, address, body: Body::Member(message) } => {
                links.members.cast(request::Members::Received { from, address, message }).is_ok()
            }
            Notice::Frame { from, body: Body::Spread(message), .. } => {
                links.tickets.cast(request::Tickets::Received { from, message }).is_ok()
            }
            Notice::Frame { body: Body::Load(reports), .. } => {
                links.targets.cast(request::Targets::Reports(reports)).is_ok()
            }
            Notice::Frame { .. } => true,
            Notice::Paused(gap) => coordinator.cast(request::Coordinator::Paused(gap)).is_ok(),
            Notice::Observed(seen) => links.targets.cast(request::Targets::Observed(seen)).is_ok(),
        };
        if !is_passed {
            return;
        }
    }
}
