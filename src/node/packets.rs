use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, UdpSocket},
    ops::Range,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use arc_swap::ArcSwap;
use tokio::{io::Interest, sync::mpsc, time::MissedTickBehavior};

use crate::{
    forward::{Action, Forwarder},
    load::Observation,
    member,
    node::{clock::Watch, command::Command, counters::LoopCounters, spans::Sampler},
    ticket::TargetId,
    util::{Inbox, Outbox},
    wire::{Body, Frame, Keyring, TAG_BYTES},
};

/// How often the forwarder's timers run.
const TICK: Duration = Duration::from_millis(10);

/// How often counters and observations are published.
const PUBLISH: Duration = Duration::from_millis(500);

/// How long a view may stay unconfirmed after a pause before the daemon goes on with it.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// A decision that is older when it is to be sent was made before a pause of the process.
const MAX_DECISION_AGE: Duration = Duration::from_secs(1);

/// The place of the packet that caused the present actions.
struct Source {
    /// The datagram's index in the inbox.
    index: usize,
    /// The packet's place in the datagram.
    part: Range<usize>,
}

/// The kinds of frames that the packet loop sends, for counting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// The frame carries a packet.
    Hop,
    /// The frame was caused by one packet of a flow.
    Lookup,
    /// The frame copies records in the background.
    Copy,
}

impl Kind {
    fn of(body: &Body) -> Kind {
        match body {
            Body::Hop(_) => Kind::Hop,
            Body::Copy { .. } | Body::Copied { .. } => Kind::Copy,
            _ => Kind::Lookup,
        }
    }
}

/// What the packet loop tells the actors.
#[derive(Debug)]
pub(super) enum Notice {
    /// A control frame has arrived.
    Frame {
        /// The sender.
        from: member::Id,
        /// The sender's address.
        address: SocketAddr,
        /// The content.
        body: Body,
    },
    /// The process was paused; the view must be confirmed.
    Paused(Duration),
    /// What was seen of targets since the last notice.
    Observed(Vec<(TargetId, Observation)>),
}

/// What the packet loop is made of.
pub(super) struct Parts {
    /// The socket for the fabric and the targets.
    pub(super) data: UdpSocket,
    /// The socket for frames.
    pub(super) peer: UdpSocket,
    /// Where packets for callers are sent.
    pub(super) fabric: SocketAddr,
    /// The keys of frames.
    pub(super) keyring: Arc<Keyring>,
    /// The decisions.
    pub(super) forwarder: Forwarder,
    /// The requests of the actors.
    pub(super) commands: mpsc::Receiver<Command>,
    /// What the actors are told.
    pub(super) notices: mpsc::Sender<Notice>,
    /// Where the counters are published.
    pub(super) counters: Arc<ArcSwap<LoopCounters>>,
    /// Chooses the packets that are traced.
    pub(super) sampler: Sampler,
    /// The daemon's own id.
    pub(super) own: member::Id,
    /// The region whose members share the targets.
    pub(super) region: Arc<str>,
}

/// Receives packets and frames, asks the forwarder, and sends what it decides.
///
/// The loop runs on a thread of its own and is not an actor: a message for each packet would cost
/// more than the decision.
pub(super) struct PacketLoop {
    parts: Parts,
    data: tokio::net::UdpSocket,
    peer: tokio::net::UdpSocket,
    inbox: Inbox,
    to_data: Outbox,
    to_peers: Outbox,
    actions: Vec<Action>,
    addresses: Addresses,
    counts: LoopCounters,
    watch: Watch,
    published: Instant,
    suspended_at: Option<Instant>,
    is_joining: bool,
}

impl PacketLoop {
    /// Creates the loop. It forwards nothing before [`Command::Resume`].
    ///
    /// # Errors
    ///
    /// Returns an error if the sockets cannot be registered with the runtime.
    pub(super) fn new(parts: Parts, now: Instant) -> io::Result<PacketLoop> {
        let data = tokio::net::UdpSocket::from_std(parts.data.try_clone()?)?;
        let peer = tokio::net::UdpSocket::from_std(parts.peer.try_clone()?)?;
        let mut packet_loop = PacketLoop {
            parts,
            data,
            peer,
            inbox: Inbox::new(),
            to_data: Outbox::new(),
            to_peers: Outbox::new(),
            actions: Vec::new(),
            addresses: Addresses::new(),
            counts: LoopCounters::default(),
            watch: Watch::new(now, SystemTime::now()),
            published: now,
            suspended_at: None,
            is_joining: true,
        };
        packet_loop.parts.forwarder.suspend();
        Ok(packet_loop)
    }

    /// Runs until [`Command::Stop`] arrives or the node is dropped.
    pub(super) async fn run(mut self) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => self.on_tick(),
                ready = self.data.readable() => if ready.is_ok() { self.on_data() },
                ready = self.peer.readable() => if ready.is_ok() { self.on_peer() },
                command = self.parts.commands.recv() => match command {
                    None | Some(Command::Stop) => return,
                    Some(command) => self.on_command(command),
                },
            }
        }
    }

    /// Returns the present time, after noticing a pause of the process.
    fn now(&mut self) -> Instant {
        let now = Instant::now();
        if let Some(gap) = self.watch.check(now, SystemTime::now()) {
            self.counts.pauses += 1;
            self.parts.forwarder.suspend();
            self.suspended_at = Some(now);
            // If the queue is full, forwarding resumes after `CONFIRM_TIMEOUT` unconfirmed.
            let _ = self.parts.notices.try_send(Notice::Paused(gap));
        }
        now
    }

    fn on_tick(&mut self) {
        let now = self.now();
        if self.suspended_at.is_some_and(|at| now >= at + CONFIRM_TIMEOUT) && !self.is_joining {
            self.resume(now);
        }
        self.parts.forwarder.on_tick(now, &mut self.actions);
        self.queue(None);
        self.send(now);
        if now.saturating_duration_since(self.published) >= PUBLISH {
            self.published = now;
            self.publish();
        }
    }

    fn on_data(&mut self) {
        let inbox = &mut self.inbox;
        let received = self.data.try_io(Interest::READABLE, || inbox.receive(&self.parts.data));
        let Ok(count) = received else { return };
        let now = self.now();
        for index in 0..count {
            let Some((from, bytes)) = self.inbox.datagram(index) else {
                continue;
            };
            let length = bytes.len();
            let trace = self.parts.sampler.ingress();
            self.parts.forwarder.on_datagram(now, from, bytes, trace, &mut self.actions);
            self.parts.sampler.decided(&self.actions);
            self.queue(Some(Source { index, part: 0..length }));
        }
        self.send(now);
    }

    fn on_peer(&mut self) {
        let inbox = &mut self.inbox;
        let received = self.peer.try_io(Interest::READABLE, || inbox.receive(&self.parts.peer));
        let Ok(count) = received else { return };
        let now = self.now();
        for index in 0..count {
            let Some((address, bytes)) = self.inbox.datagram(index) else {
                continue;
            };
            let Ok(mut frame) = Frame::decode(bytes, &self.parts.keyring) else {
                self.counts.bad_frames += 1;
                continue;
            };
            let end = bytes.len() - TAG_BYTES;
            let part = end - frame.packet.len()..end;
            match frame.body {
                Body::Member(_) | Body::Spread(_) | Body::Load(_) => {
                    let notice = Notice::Frame { from: frame.sender, address, body: frame.body };
                    // Control messages are repeated, so a full queue may lose them.
                    let _ = self.parts.notices.try_send(notice);
                }
                _ => {
                    self.parts.sampler.hop(&mut frame);
                    self.parts.forwarder.on_frame(now, &frame, &mut self.actions);
                    self.parts.sampler.decided(&self.actions);
                    self.queue(Some(Source { index, part }));
                }
            }
        }
        self.send(now);
    }

    fn on_command(&mut self, command: Command) {
        let now = self.now();
        let forwarder = &mut self.parts.forwarder;
        match command {
            Command::SetMembers { view, ranking } => {
                self.addresses = addresses(&view);
                forwarder.placer_mut().set_members(&view, &self.parts.region);
                forwarder.set_ranking(now, ranking);
            }
            Command::SetRoutes(table) => forwarder.set_routes(now, table),
            Command::SetClasses(changes) => {
                for change in changes {
                    forwarder.placer_mut().set_class(change.target, change.class, change.since);
                }
            }
            Command::Resume => {
                self.is_joining = false;
                self.resume(now);
            }
            Command::BeginLeave => forwarder.begin_leave(now),
            Command::IsHandedOver(reply) => {
                let _ = reply.send(forwarder.is_handed_over());
            }
            Command::Explain(key, reply) => {
                let _ = reply.send(forwarder.explain(now, &key));
            }
            Command::Stop => {}
        }
        self.queue(None);
        self.send(now);
    }

    fn resume(&mut self, now: Instant) {
        self.suspended_at = None;
        if self.parts.forwarder.is_suspended() {
            self.parts.forwarder.resume(now, &mut self.actions);
        }
    }

    /// Queues what the actions ask for. `source` is the packet that caused them.
    fn queue(&mut self, source: Option<Source>) {
        // The list keeps its memory for the next packet.
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Deliver { address, packet, .. } => {
                    push_packet(&mut self.to_data, address, packet, source.as_ref());
                }
                Action::Return { packet } => {
                    push_packet(&mut self.to_data, self.parts.fabric, packet, source.as_ref());
                }
                Action::Peer { member, body, packet } => {
                    self.queue_frame(member, body, packet, source.as_ref());
                }
                Action::Drop(_) => {}
            }
        }
        self.actions = actions;
    }

    fn queue_frame(
        &mut self,
        member: member::Id,
        body: Body,
        packet: Option<Vec<u8>>,
        source: Option<&Source>,
    ) {
        let Some(address) = self.addresses.get(&member) else {
            self.counts.unsent += 1;
            return;
        };
        let kind = Kind::of(&body);
        let received = source.filter(|_| kind == Kind::Hop).and_then(|source| {
            let (_, bytes) = self.inbox.datagram(source.index)?;
            bytes.get(source.part.clone())
        });
        let packet = packet.as_deref().or(received).unwrap_or_default();
        let frame = Frame { sender: self.parts.own, body, packet };
        let before = self.to_peers.bytes();
        let keyring = &self.parts.keyring;
        if self.to_peers.push_with(*address, |buffer| frame.encode(keyring, buffer)).is_err() {
            self.counts.unsent += 1;
        }
        let sent = (self.to_peers.bytes() - before) as u64;
        match kind {
            Kind::Hop => self.counts.hop_bytes += sent,
            Kind::Lookup => self.counts.lookup_bytes += sent,
            Kind::Copy => self.counts.copy_bytes += sent,
        }
    }

    /// Sends what is queued, unless the process was paused after it was decided.
    fn send(&mut self, decided: Instant) {
        let is_late = Instant::now().saturating_duration_since(decided) > MAX_DECISION_AGE;
        if is_late {
            self.counts.unsent += (self.to_data.len() + self.to_peers.len()) as u64;
            self.to_data.clear();
            self.to_peers.clear();
            return;
        }
        self.counts.unsent += self.to_data.flush(&self.parts.data, &self.inbox);
        self.counts.unsent += self.to_peers.flush(&self.parts.peer, &self.inbox);
    }

    fn publish(&mut self) {
        let observed = self.parts.forwarder.take_observations();
        if !observed.is_empty() {
            // Observations are hints; a full queue may lose them.
            let _ = self.parts.notices.try_send(Notice::Observed(observed));
        }
        self.counts.forward = self.parts.forwarder.counters().clone();
        self.counts.owned_flows = self.parts.forwarder.table().len() as u64;
        self.counts.cached_flows = self.parts.forwarder.cache().len() as u64;
        self.counts.is_suspended = self.parts.forwarder.is_suspended();
        self.counts.pending_packets = self.parts.forwarder.pending_packets() as u64;
        self.counts.open_queries = self.parts.forwarder.open_queries() as u64;
        self.counts.open_flows = self.parts.forwarder.placer().open_flows().collect();
        self.parts.counters.store(Arc::new(self.counts.clone()));
    }
}

/// Queues an encapsulated packet: the action's own one or else the received one.
fn push_packet(
    outbox: &mut Outbox,
    to: SocketAddr,
    packet: Option<Vec<u8>>,
    source: Option<&Source>,
) {
    match (packet, source) {
        (Some(packet), _) => outbox.push_owned(to, &packet),
        (None, Some(source)) => outbox.push_received(to, source.index, source.part.clone()),
        (None, None) => {}
    }
}

/// The addresses that members receive frames on.
type Addresses = HashMap<member::Id, SocketAddr>;

/// Returns the addresses of all members of a view.
fn addresses(view: &member::View) -> Addresses {
    view.iter().map(|(id, member)| (id, member.info.peer)).collect()
}
