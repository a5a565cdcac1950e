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
    node::{
        command::Command, packet_loop_stats::PacketLoopStats, packet_tracer::PacketTracer,
        pause_detector::PauseDetector,
    },
    ticket::TargetId,
    util::{ReceiveBatch, SendBatch},
    wire::{Body, Frame, Keyring, TAG_BYTES},
};

/// The interval between two ticks of the forwarder.
const TICK: Duration = Duration::from_millis(10);

/// The interval at which statistics and observations are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// The longest wait for the confirmation of the view after a pause. Forwarding then resumes
/// without the confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Queued packets whose decision is older are dropped, since the process was paused after the
/// decision and the decision may be out of date.
const MAX_DECISION_AGE: Duration = Duration::from_secs(1);

/// The location of a received packet in the receive batch.
struct ReceivedPacket {
    /// The index of the datagram in the receive batch.
    index: usize,
    /// The range of the packet in the datagram.
    range: Range<usize>,
}

/// The kinds of frames that the packet loop sends and counts the bytes of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FrameKind {
    /// The frame carries a packet.
    Hop,
    /// The frame was caused by a single packet: a query or an answer.
    Lookup,
    /// The frame copies records to a new owner or acknowledges such a copy.
    Copy,
}

impl FrameKind {
    fn of(body: &Body) -> FrameKind {
        match body {
            Body::Hop(_) => FrameKind::Hop,
            Body::Copy { .. } | Body::CopyAck { .. } => FrameKind::Copy,
            _ => FrameKind::Lookup,
        }
    }
}

/// An event that the packet loop reports to the actors.
#[derive(Debug)]
pub(super) enum Event {
    /// A control frame was received.
    Frame {
        /// The member that sent the frame.
        from: member::Id,
        /// The address that the frame was sent from.
        address: SocketAddr,
        /// The body of the frame.
        body: Body,
    },
    /// The process was paused for this time; the member view must be confirmed.
    Paused(Duration),
    /// The observations of targets since the last event of this kind.
    Observed(Vec<(TargetId, Observation)>),
}

/// The sockets, channels and components of a [`PacketLoop`].
pub(super) struct Parts {
    /// The socket for packets from and to the fabric and the targets.
    pub(super) data: UdpSocket,
    /// The socket for frames from and to other daemons.
    pub(super) peer: UdpSocket,
    /// The address of the fabric, to which return packets for callers are sent.
    pub(super) fabric: SocketAddr,
    /// The keys that authenticate frames.
    pub(super) keyring: Arc<Keyring>,
    /// Decides what happens to each packet.
    pub(super) forwarder: Forwarder,
    /// The commands from the actors.
    pub(super) commands: mpsc::Receiver<Command>,
    /// The events for the actors.
    pub(super) events: mpsc::Sender<Event>,
    /// The statistics that are published to the other tasks.
    pub(super) published_stats: Arc<ArcSwap<PacketLoopStats>>,
    /// Makes the spans of sampled packets.
    pub(super) packet_tracer: PacketTracer,
    /// The daemon's own member id.
    pub(super) own_id: member::Id,
    /// The daemon's own region. Only its members own flows and place them on targets.
    pub(super) region: Arc<str>,
}

/// Receives packets and frames, passes them to the forwarder, and carries out its actions.
///
/// The loop runs on a separate thread and is not an actor, since an actor message for each packet
/// would cost more than the forwarding decision.
pub(super) struct PacketLoop {
    parts: Parts,
    data: tokio::net::UdpSocket,
    peer: tokio::net::UdpSocket,
    receive_batch: ReceiveBatch,
    to_data: SendBatch,
    to_peers: SendBatch,
    actions: Vec<Action>,
    peer_addresses: PeerAddresses,
    stats: PacketLoopStats,
    pause_detector: PauseDetector,
    published_at: Instant,
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
            receive_batch: ReceiveBatch::new(),
            to_data: SendBatch::new(),
            to_peers: SendBatch::new(),
            actions: Vec::new(),
            peer_addresses: PeerAddresses::new(),
            stats: PacketLoopStats::default(),
            pause_detector: PauseDetector::new(now, SystemTime::now()),
            published_at: now,
            suspended_at: None,
            is_joining: true,
        };
        packet_loop.parts.forwarder.suspend();
        Ok(packet_loop)
    }

    /// Runs until [`Command::Stop`] arrives or the command channel is closed.
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

    /// Returns the current time. After a pause of the process, suspends forwarding and reports the
    /// pause to the actors.
    fn now_after_pause_check(&mut self) -> Instant {
        let now = Instant::now();
        if let Some(gap) = self.pause_detector.check(now, SystemTime::now()) {
            self.stats.pauses += 1;
            self.parts.forwarder.suspend();
            self.suspended_at = Some(now);
            // If the channel is full, the event is lost and forwarding resumes without a
            // confirmation after `CONFIRM_TIMEOUT`.
            let _ = self.parts.events.try_send(Event::Paused(gap));
        }
        now
    }

    fn on_tick(&mut self) {
        let now = self.now_after_pause_check();
        if self.suspended_at.is_some_and(|at| now >= at + CONFIRM_TIMEOUT) && !self.is_joining {
            self.resume(now);
        }
        self.parts.forwarder.on_tick(now, &mut self.actions);
        self.queue_actions(None);
        self.flush(now);
        if now.saturating_duration_since(self.published_at) >= PUBLISH_INTERVAL {
            self.published_at = now;
            self.publish();
        }
    }

    fn on_data(&mut self) {
        let receive_batch = &mut self.receive_batch;
        let received =
            self.data.try_io(Interest::READABLE, || receive_batch.receive(&self.parts.data));
        let Ok(count) = received else { return };
        let now = self.now_after_pause_check();
        for index in 0..count {
            let Some((from, bytes)) = self.receive_batch.datagram(index) else {
                continue;
            };
            let length = bytes.len();
            let trace = self.parts.packet_tracer.start_ingress();
            self.parts.forwarder.on_datagram(now, from, bytes, trace, &mut self.actions);
            self.parts.packet_tracer.finish(&self.actions);
            self.queue_actions(Some(ReceivedPacket { index, range: 0..length }));
        }
        self.flush(now);
    }

    fn on_peer(&mut self) {
        let receive_batch = &mut self.receive_batch;
        let received =
            self.peer.try_io(Interest::READABLE, || receive_batch.receive(&self.parts.peer));
        let Ok(count) = received else { return };
        let now = self.now_after_pause_check();
        for index in 0..count {
            let Some((address, bytes)) = self.receive_batch.datagram(index) else {
                continue;
            };
            let Ok(mut frame) = Frame::decode(bytes, &self.parts.keyring) else {
                self.stats.bad_frames += 1;
                continue;
            };
            let end = bytes.len() - TAG_BYTES;
            let range = end - frame.packet.len()..end;
            match frame.body {
                Body::Member(_) | Body::Spread(_) | Body::Load(_) | Body::TargetReports(_) => {
                    let event = Event::Frame { from: frame.sender, address, body: frame.body };
                    // Control messages are retransmitted, so losing one while the channel is full
                    // is acceptable.
                    let _ = self.parts.events.try_send(event);
                }
                _ => {
                    self.parts.packet_tracer.start_hop(&mut frame);
                    self.parts.forwarder.on_frame(now, &frame, &mut self.actions);
                    self.parts.packet_tracer.finish(&self.actions);
                    self.queue_actions(Some(ReceivedPacket { index, range }));
                }
            }
        }
        self.flush(now);
    }

    fn on_command(&mut self, command: Command) {
        let now = self.now_after_pause_check();
        let forwarder = &mut self.parts.forwarder;
        match command {
            Command::SetMembers { view, ranking } => {
                self.peer_addresses = peer_addresses(&view);
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
        self.queue_actions(None);
        self.flush(now);
    }

    fn resume(&mut self, now: Instant) {
        self.suspended_at = None;
        if self.parts.forwarder.is_suspended() {
            self.parts.forwarder.resume(now, &mut self.actions);
        }
    }

    /// Queues the packets and frames of the pending actions. `source` is the packet that caused
    /// the actions.
    fn queue_actions(&mut self, source: Option<ReceivedPacket>) {
        // The allocation of the list is reused for the next packet.
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
        source: Option<&ReceivedPacket>,
    ) {
        let Some(address) = self.peer_addresses.get(&member) else {
            self.stats.unsent += 1;
            return;
        };
        let kind = FrameKind::of(&body);
        let received = source.filter(|_| kind == FrameKind::Hop).and_then(|source| {
            let (_, bytes) = self.receive_batch.datagram(source.index)?;
            bytes.get(source.range.clone())
        });
        let packet = packet.as_deref().or(received).unwrap_or_default();
        let frame = Frame { sender: self.parts.own_id, body, packet };
        let before = self.to_peers.buffered_bytes();
        let keyring = &self.parts.keyring;
        if self.to_peers.try_push_written(*address, |buffer| frame.encode(keyring, buffer)).is_err()
        {
            self.stats.unsent += 1;
        }
        let sent = (self.to_peers.buffered_bytes() - before) as u64;
        match kind {
            FrameKind::Hop => self.stats.hop_bytes += sent,
            FrameKind::Lookup => self.stats.lookup_bytes += sent,
            FrameKind::Copy => self.stats.copy_bytes += sent,
        }
    }

    /// Sends the queued datagrams, or drops them if the process was paused after the decision.
    fn flush(&mut self, decided_at: Instant) {
        let is_late = Instant::now().saturating_duration_since(decided_at) > MAX_DECISION_AGE;
        if is_late {
            self.stats.unsent += (self.to_data.len() + self.to_peers.len()) as u64;
            self.to_data.clear();
            self.to_peers.clear();
            return;
        }
        self.stats.unsent += self.to_data.flush(&self.parts.data, &self.receive_batch);
        self.stats.unsent += self.to_peers.flush(&self.parts.peer, &self.receive_batch);
    }

    fn publish(&mut self) {
        let observed = self.parts.forwarder.take_observations();
        if !observed.is_empty() {
            // Observations are hints, so losing them while the channel is full is acceptable.
            let _ = self.parts.events.try_send(Event::Observed(observed));
        }
        self.stats.forward = self.parts.forwarder.counters().clone();
        self.stats.owned_flows = self.parts.forwarder.table().len() as u64;
        self.stats.cached_flows = self.parts.forwarder.cache().len() as u64;
        self.stats.is_suspended = self.parts.forwarder.is_suspended();
        self.stats.pending_packets = self.parts.forwarder.pending_packets() as u64;
        self.stats.open_lookups = self.parts.forwarder.open_lookups() as u64;
        self.stats.open_flows = self.parts.forwarder.placer().open_flows().collect();
        self.parts.published_stats.store(Arc::new(self.stats.clone()));
    }
}

/// Queues the packet of an action, or the received packet if the action has none.
fn push_packet(
    send_batch: &mut SendBatch,
    to: SocketAddr,
    packet: Option<Vec<u8>>,
    source: Option<&ReceivedPacket>,
) {
    match (packet, source) {
        (Some(packet), _) => send_batch.push_bytes(to, &packet),
        (None, Some(source)) => send_batch.push_received(to, source.index, source.range.clone()),
        (None, None) => {}
    }
}

/// The addresses at which members receive frames.
type PeerAddresses = HashMap<member::Id, SocketAddr>;

/// Returns the peer addresses of all members of a view.
fn peer_addresses(view: &member::View) -> PeerAddresses {
    view.iter().map(|(id, member)| (id, member.info.peer)).collect()
}
