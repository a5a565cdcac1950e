//! The disseminator: its state, and the dispatch of ticks and messages to the submodules.

mod announce;
mod anti_entropy;
mod confirm;
mod fetch;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    member::{self, View},
    spread::{
        Action, Config, Counters, Message,
        confirmation::Confirmation,
        peers::{self, Peers},
        queue::{Queue, TrafficClass},
        reassembly::Reassembler,
    },
    ticket::{ApplyOutcome, Number, ObjectId, State, Ticket},
};

use announce::PendingTicket;
use fetch::whole_blob_request;

/// The time between two refreshes of the list of peers from the view.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Disseminates tickets between the members by gossip and anti-entropy.
///
/// The caller passes in ticks, messages and tickets from the platform together with the
/// [`State`] of the daemon, and carries out the actions that are appended to `out`.
#[derive(Debug)]
pub struct Disseminator {
    config: Config,
    own: member::Id,
    rng: Pcg64Mcg,
    peers: Peers,
    queue: Queue,
    reassembler: Reassembler,
    /// The number of members that each new ticket is still to be announced to.
    remaining_announcements: BTreeMap<Number, usize>,
    /// The announced tickets that are being fetched.
    pending: BTreeMap<Number, PendingTicket>,
    /// The objects that each recent ticket changed.
    manifests: BTreeMap<Number, Vec<ObjectId>>,
    next_gossip: Instant,
    next_anti_entropy: Instant,
    confirmation: Option<Confirmation>,
    sequence: u32,
    counters: Counters,
}

impl Disseminator {
    /// Creates a disseminator for the local member `own`. `seed` determines all random choices.
    pub fn new(config: Config, own: member::Id, seed: u64, now: Instant) -> Disseminator {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // The phase is random, so that daemons that started together do not all begin anti-entropy
        // at once.
        let share = rng.random_range(0.0..1.0);
        let next_anti_entropy = now + config.anti_entropy_interval.mul_f64(share);
        Disseminator {
            queue: Queue::new(&config, now),
            config,
            own,
            rng,
            peers: Peers::default(),
            reassembler: Reassembler::default(),
            remaining_announcements: BTreeMap::new(),
            pending: BTreeMap::new(),
            manifests: BTreeMap::new(),
            next_gossip: now,
            next_anti_entropy,
            confirmation: None,
            sequence: 0,
            counters: Counters::default(),
        }
    }

    /// Returns whether this daemon is a zone reader, which reads the platform.
    ///
    /// The zone readers of a zone are its alive members with the highest rendezvous hashing scores.
    /// A daemon whose view has no other member reads the platform.
    pub fn is_reader(&self, view: &View) -> bool {
        peers::is_reader(view, self.own, &self.config.zone, self.config.readers)
    }

    /// Handles all timers that are due at `now`.
    ///
    /// The caller calls this method about every 100 ms.
    pub fn on_tick(&mut self, now: Instant, view: &View, state: &State, out: &mut Vec<Action>) {
        let refreshed_at = self.peers.refreshed_at;
        if refreshed_at.is_none_or(|at| at + PEER_REFRESH_INTERVAL <= now) {
            let zone = &self.config.zone;
            self.peers.refresh(now, view, self.own, zone);
        }
        self.gossip(now);
        self.retry_requests(now, state);
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + self.config.anti_entropy_interval;
            if let Some(to) = self.peers.random(&mut self.rng) {
                self.queue.push(TrafficClass::Background, to, Message::Digest(state.summary()));
            }
        }
        self.retry_confirmation(now, state, out);
        self.queue.flush(now, out);
    }

    /// Handles a message from another member.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: member::Id,
        message: Message,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Announce(numbers) => self.on_announce(now, from, numbers, state),
            Message::Request(blob_requests) => self.on_request(from, blob_requests, state),
            Message::Part(part) => self.on_part(now, from, part, state, out),
            Message::Digest(summary) => self.on_digest(from, summary, state),
            Message::Buckets(hashes) => self.on_buckets(from, &hashes, state),
            Message::Listing { from: first, to: last, digests } => {
                self.on_listing(from, first, last, &digests, state);
            }
            Message::History { summary, applied, refused, reply } => {
                self.on_history(from, summary, (applied, refused), reply, state, out);
            }
            Message::Confirm { sequence, summary } => {
                self.on_confirm(now, from, sequence, summary, state, out);
            }
            Message::Confirmed { sequence, summary } => {
                self.on_confirmed(from, sequence, summary, state);
            }
        }
        self.queue.flush(now, out);
    }

    /// Applies tickets from the platform, which must be in the order of their publication, and
    /// announces the new ones.
    pub fn on_published(
        &mut self,
        now: Instant,
        tickets: Vec<Ticket>,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        for ticket in tickets {
            let number = ticket.number;
            let manifest = ticket.objects().map(|object| object.id()).collect();
            match state.apply(now, ticket) {
                Ok(ApplyOutcome::AlreadyInForce) => self.keep_manifest(number, manifest),
                Ok(ApplyOutcome::New { changed: objects }) => {
                    out.push(Action::Changed { objects });
                    self.announce_in_force(now, number, manifest, out);
                }
                Err(refusal) => {
                    self.counters.refused += 1;
                    out.push(Action::Refused(refusal));
                }
            }
        }
        self.apply_complete_tickets(now, state, out);
        self.queue.flush(now, out);
    }

    /// Returns whether nothing is being fetched, announced or queued.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.remaining_announcements.is_empty()
            && self.reassembler.is_empty()
            && self.queue.is_idle()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        Counters {
            sent_bytes: self.queue.sent_bytes(),
            dropped: self.queue.dropped(),
            ..self.counters
        }
    }
}
