//! The failure detector.
//!
//! Methods that change the state of the detector emit no outputs themselves. The next
//! [`Detector::on_tick`] or [`Detector::on_message`] does, so messages are built in one place.

mod anti_entropy;
mod apply;
mod departure;
mod piggyback;
mod ping;

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::{
    member::{
        Config, Counters, Id, Incarnation, Info, Member, Message, Output, Status, Update, View,
        buckets::Buckets, detector::departure::Departure, update_queue::UpdateQueue,
    },
    util::TokenBucket,
};

/// The time for which failure claims of a member that has failed and come back are verified.
///
/// When a partition ends, members of the other side still report members of this side as failed.
const CLAIM_VERIFICATION_PERIOD: Duration = Duration::from_secs(60);

/// The maximum number of failure claims that wait to be verified.
const MAX_CLAIMS: usize = 256;

/// The number of messages that carry an update which only raises an incarnation.
///
/// Few members need such an update: for members that received the refuted claim it is a change
/// of state, which they send on as often as any other. After a partition there is one such
/// update for each member.
const REFUTATION_SENDS: u32 = 6;

/// The time between two removals of expired members.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(10);

/// A suspicion that has neither been refuted nor expired.
#[derive(Debug)]
struct Suspicion {
    /// The time at which the suspect is declared failed.
    deadline: Instant,
    /// The time of the next reminder to the suspect, if this daemon began the suspicion.
    remind_at: Option<Instant>,
}

/// A SWIM failure detector, with pings, indirect pings, suspicion, and updates piggybacked on
/// these messages.
///
/// The detector does no I/O and reads no clock. The caller calls [`Detector::on_tick`] about
/// every 100 ms and [`Detector::on_message`] for every message, and carries out the outputs.
///
/// ```
/// use std::time::Instant;
/// use banyanwharf::member::{Config, Detector, Info, Output};
///
/// let info = |name: &str, port| Info {
///     name: name.into(),
///     region: "mvd".into(),
///     zone: "mvd-cerro".into(),
///     peer: ([127, 0, 0, 1], port).into(),
///     admin: ([127, 0, 0, 1], port + 1).into(),
/// };
/// let now = Instant::now();
/// let mut detector = Detector::new(Config::default(), info("entry-1", 7000), 1, 42, now);
/// detector.set_contacts(now, [info("entry-2", 7002)]);
/// let mut outputs = Vec::new();
/// detector.on_tick(now, &mut outputs);
/// assert!(matches!(outputs[0], Output::Send { .. }));
/// ```
#[derive(Debug)]
pub struct Detector {
    config: Config,
    /// The id of the local member.
    own: Id,
    /// The incarnation of the local member at the start of this process.
    initial_incarnation: Incarnation,
    rng: Pcg64Mcg,
    view: View,
    buckets: Buckets,
    update_queue: UpdateQueue,
    /// The members to ping in the round robin, in random order.
    ping_order: Vec<Id>,
    ping_cursor: usize,
    pending_pings: Vec<ping::PendingPing>,
    relays: VecDeque<ping::Relay>,
    suspicions: BTreeMap<Id, Suspicion>,
    /// The failure claims that wait to be verified, with the time of their arrival.
    claims: VecDeque<(Instant, Update)>,
    /// Members that have announced that they are leaving, also if they are suspected now.
    departing: HashSet<Id>,
    /// The times at which members that had failed came back.
    recovered_at: HashMap<Id, Instant>,
    /// Failed members to ping soon, because another failed member has come back.
    reconnect_queue: Vec<Id>,
    next_reconnect: Instant,
    /// The members that the platform lists, and their addresses.
    contacts: BTreeMap<Id, SocketAddr>,
    /// Contacts that were not tried yet in this round.
    untried_contacts: Vec<Id>,
    /// Whether this is the first round of contacts.
    first_contact_round: bool,
    sequence: u32,
    last_tick: Instant,
    next_ping: Instant,
    next_claim: Instant,
    next_failed_ping: Instant,
    next_contact: Instant,
    next_anti_entropy: Instant,
    next_housekeeping: Instant,
    /// Limits the bytes per second of anti-entropy.
    anti_entropy_limiter: TokenBucket,
    /// Limits the bytes per second of additional pings while many updates wait.
    backlog_ping_limiter: TokenBucket,
    next_backlog_ping: Instant,
    /// Members to start an anti-entropy exchange with, because they have come back.
    anti_entropy_queue: Vec<Id>,
    confirmation: Option<anti_entropy::Confirmation>,
    departure: Option<Departure>,
    /// Whether another process has taken over the local member's name.
    replaced: bool,
    view_changed: bool,
    counters: Counters,
}

impl Detector {
    /// Creates a detector that knows only the local member.
    ///
    /// `incarnation` is the start time of the process in milliseconds since the Unix epoch.
    pub fn new(
        config: Config,
        info: Info,
        incarnation: Incarnation,
        seed: u64,
        now: Instant,
    ) -> Detector {
        let own = info.id();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Without a random phase, daemons that started together would all ping at once.
        let phase = config.period.mul_f64(rng.random::<f64>());
        let anti_entropy_phase = config.anti_entropy_interval.mul_f64(rng.random::<f64>());
        let mut detector = Detector {
            own,
            initial_incarnation: incarnation,
            view: View::new(),
            buckets: Buckets::new(),
            update_queue: UpdateQueue::default(),
            ping_order: Vec::new(),
            ping_cursor: 0,
            pending_pings: Vec::new(),
            relays: VecDeque::new(),
            suspicions: BTreeMap::new(),
            claims: VecDeque::new(),
            departing: HashSet::new(),
            recovered_at: HashMap::new(),
            reconnect_queue: Vec::new(),
            next_reconnect: now,
            contacts: BTreeMap::new(),
            untried_contacts: Vec::new(),
            first_contact_round: false,
            sequence: rng.random::<u32>() >> 8,
            rng,
            last_tick: now,
            next_ping: now + phase,
            next_claim: now,
            next_failed_ping: now
                + config.failed_ping_interval.mul_f64(phase.as_secs_f64().fract()),
            next_contact: now,
            next_anti_entropy: now + anti_entropy_phase,
            next_housekeeping: now + HOUSEKEEPING_INTERVAL,
            anti_entropy_limiter: TokenBucket::new(
                config.anti_entropy_bytes_per_second.into(),
                8192.0,
                now,
            ),
            backlog_ping_limiter: TokenBucket::new(
                config.anti_entropy_bytes_per_second.into(),
                16384.0,
                now,
            ),
            next_backlog_ping: now,
            anti_entropy_queue: Vec::new(),
            confirmation: None,
            departure: None,
            replaced: false,
            view_changed: true,
            counters: Counters::default(),
            config,
        };
        let member = Member { info, incarnation, status: Status::Alive, since: now };
        detector.store(member);
        detector.update_queue.push(own, true, 0);
        detector
    }

    /// Handles all timers that are due at `now`.
    pub fn on_tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.extend_deadlines_if_late(now);
        self.last_tick = now;
        if self.is_running() {
            self.tick_pings(now, out);
            self.tick_suspicions(now, out);
            self.tick_contacts(now, out);
            self.tick_anti_entropy(now, out);
        } else {
            self.tick_departure(now, out);
        }
        self.tick_confirmation(now, out);
        self.tick_housekeeping(now);
        self.emit_view_change(out);
    }

    /// Handles a message from the member `from`.
    ///
    /// The caller must have authenticated the frame that carried the message.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: Id,
        from_address: SocketAddr,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if from == self.own {
            return;
        }
        self.extend_deadlines_if_late(now);
        let peer = Peer { id: from, address: from_address };
        match message {
            Message::Ping { sequence, updates } => {
                let corrections = self.apply_updates(now, peer, &updates, out);
                let first = self.correction_for(from).into_iter().chain(corrections);
                let updates = self.piggyback(first.collect());
                self.send(peer, Message::Ack { sequence, updates }, out);
            }
            Message::Ack { sequence, updates } => {
                self.apply_updates(now, peer, &updates, out);
                self.on_ack(peer, sequence, out);
            }
            Message::PingRequest { sequence, target, updates } => {
                self.apply_updates(now, peer, &updates, out);
                self.on_ping_request(now, peer, sequence, target, out);
            }
            Message::Digest { sequence, urgent, buckets } => {
                self.on_digest(now, peer, sequence, urgent, &buckets, out)
            }
            Message::Summary { sequence, parts, from, to, entries } => {
                self.count_summary(peer, sequence, parts);
                self.on_summary(now, peer, (from, to), &entries, out);
            }
            Message::Updates { updates, wanted } => {
                self.on_updates(now, peer, &updates, &wanted, out);
            }
        }
        self.emit_view_change(out);
    }

    /// Replaces the contacts with the members that the platform lists.
    ///
    /// A contact is pinged if it is unknown or has failed, and is added to the view only after
    /// it has answered.
    pub fn set_contacts(&mut self, now: Instant, contacts: impl IntoIterator<Item = Info>) {
        let first = self.contacts.is_empty();
        self.contacts = contacts
            .into_iter()
            .map(|info| (info.id(), info.peer))
            .filter(|(id, _)| *id != self.own)
            .collect();
        if first {
            // Only the first list is tried at once. Otherwise all daemons would ping a new contact
            // at the same time.
            self.first_contact_round = true;
            self.untried_contacts = self.contacts.keys().copied().collect();
            self.untried_contacts.shuffle(&mut self.rng);
            self.next_contact = now;
        }
    }

    /// Announces that the local member is about to stop. The detector continues to ping and to
    /// answer.
    pub fn announce_leaving(&mut self, now: Instant) {
        if self.status() == Status::Alive {
            self.set_own(now, Status::Leaving, self.incarnation(), false);
        }
    }

    /// Announces that the local member has stopped. After that the detector pings
    /// other members only to repeat the announcement.
    pub fn announce_left(&mut self, now: Instant) {
        if self.is_running() {
            self.set_own(now, Status::Left, self.incarnation(), false);
            self.departure = Some(Departure::new(now));
        }
    }

    /// Returns whether the process may exit: enough members have acknowledged the departure, or the
    /// time for the acknowledgements is over.
    ///
    /// The time is over after 2 s of ticks since [`Detector::announce_left`].
    pub fn is_departed(&self) -> bool {
        !self.is_running() && self.departure.is_none()
    }

    /// Returns the members that the local daemon knows, including the local one.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the local member's id.
    pub fn id(&self) -> Id {
        self.own
    }

    /// Returns a hash of the members that are alive, leaving or suspected.
    pub fn digest(&self) -> u64 {
        self.buckets.digest()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether another process has taken over the local member's name.
    pub fn is_replaced(&self) -> bool {
        self.replaced
    }

    fn own_member(&self) -> Option<&Member> {
        self.view.get(self.own)
    }

    fn status(&self) -> Status {
        self.own_member().map_or(Status::Alive, |member| member.status)
    }

    fn incarnation(&self) -> Incarnation {
        self.own_member().map_or(self.initial_incarnation, |member| member.incarnation)
    }

    fn is_running(&self) -> bool {
        self.status() != Status::Left
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Drops the pending pings and extends all suspicions if the local daemon was paused or got no
    /// CPU time, because acknowledgements and refutations may still wait in its socket.
    fn extend_deadlines_if_late(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_tick) <= self.config.max_tick_gap {
            return;
        }
        self.counters.late_ticks += 1;
        self.last_tick = now;
        self.pending_pings.clear();
        for (id, suspicion) in &mut self.suspicions {
            let timeout = if self.departing.contains(id) {
                self.config.leaving_suspicion_timeout
            } else {
                self.config.suspicion_timeout
            };
            suspicion.deadline = suspicion.deadline.max(now + timeout);
        }
        self.next_ping = self.next_ping.max(now);
    }

    fn send(&self, peer: Peer, message: Message, out: &mut Vec<Output>) {
        out.push(Output::Send { to: peer.id, address: peer.address, message });
    }

    /// Returns the member `id` and its address, or `None` if the member is not known.
    fn peer(&self, id: Id) -> Option<Peer> {
        let address = self.view.get(id)?.info.peer;
        Some(Peer { id, address })
    }

    /// Returns up to `count` random members other than `except` that are alive or leaving.
    fn random_peers(&mut self, count: usize, except: Id) -> Vec<Peer> {
        let mut ids: Vec<Id> = Vec::new();
        // A bounded number of random draws avoids a copy of the whole list.
        for _ in 0..(8 * count).min(4 * self.ping_order.len()) {
            let id = self.ping_order[self.rng.random_range(0..self.ping_order.len())];
            let present = self
                .view
                .get(id)
                .is_some_and(|member| matches!(member.status, Status::Alive | Status::Leaving));
            if present && id != except && !ids.contains(&id) {
                ids.push(id);
                if ids.len() == count {
                    break;
                }
            }
        }
        ids.into_iter().filter_map(|id| self.peer(id)).collect()
    }

    /// Removes members that failed or left long ago.
    fn tick_housekeeping(&mut self, now: Instant) {
        if now < self.next_housekeeping {
            return;
        }
        self.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.recovered_at
            .retain(|_, at| now.saturating_duration_since(*at) < CLAIM_VERIFICATION_PERIOD);
        let age = |member: &Member| now.saturating_duration_since(member.since);
        let old: Vec<Id> = self
            .view
            .iter()
            .filter(|(id, member)| match member.status {
                Status::Failed => age(member) >= self.config.failed_retention,
                Status::Left => *id != self.own && age(member) >= self.config.left_retention,
                Status::Alive | Status::Leaving | Status::Suspect => false,
            })
            .map(|(id, _)| id)
            .collect();
        for id in old {
            self.view.remove(id);
            self.update_queue.remove(id);
            self.departing.remove(&id);
            self.view_changed = true;
        }
    }

    /// Emits [`Output::ViewChanged`] if the view has changed since the last call.
    fn emit_view_change(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.view_changed) {
            out.push(Output::ViewChanged);
        }
    }

    /// Adds a member to the round robin at a random position.
    fn add_to_ping_order(&mut self, id: Id) {
        if id != self.own && !self.ping_order.contains(&id) {
            self.ping_order.push(id);
            let last = self.ping_order.len() - 1;
            let place = self.rng.random_range(0..=last);
            self.ping_order.swap(place, last);
        }
    }

    /// Starts the next round of the round robin in a new random order.
    fn shuffle_ping_order(&mut self) {
        self.ping_order.shuffle(&mut self.rng);
        self.ping_cursor = 0;
    }
}

/// The id of a member and the address that its messages are sent to.
#[derive(Debug, Clone, Copy)]
struct Peer {
    id: Id,
    address: SocketAddr,
}
