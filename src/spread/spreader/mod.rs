//! The spreader: its state, and the dispatch of ticks and messages to its jobs.

mod announcing;
mod comparing;
mod confirming;
mod fetching;

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
        assembly::Assemblies,
        confirmation::Confirmation,
        peers::{self, Peers},
        queue::{Lane, Queue},
    },
    ticket::{ApplyOutcome, Number, ObjectId, State, Ticket},
};

use announcing::Pending;
use fetching::want;

/// The time between two copies of the list of members.
const REFRESH: Duration = Duration::from_secs(1);

/// Spreads tickets between the members.
///
/// The caller passes in ticks, messages and tickets from the platform with the daemon's
/// [`State`], and carries out the actions that are appended to `out`.
#[derive(Debug)]
pub struct Spreader {
    config: Config,
    own: member::Id,
    rng: Pcg64Mcg,
    peers: Peers,
    queue: Queue,
    assemblies: Assemblies,
    /// How often each new ticket is still to be announced.
    rumors: BTreeMap<Number, usize>,
    pending: BTreeMap<Number, Pending>,
    manifests: BTreeMap<Number, Vec<ObjectId>>,
    next_gossip: Instant,
    next_entropy: Instant,
    confirmation: Option<Confirmation>,
    sequence: u32,
    counters: Counters,
}

impl Spreader {
    /// Creates a spreader for the member `own`. Random choices come from `seed`.
    pub fn new(config: Config, own: member::Id, seed: u64, now: Instant) -> Spreader {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Spreads the comparisons of daemons that started together.
        let share = rng.random_range(0.0..1.0);
        let next_entropy = now + config.entropy_interval.mul_f64(share);
        Spreader {
            queue: Queue::new(&config, now),
            config,
            own,
            rng,
            peers: Peers::default(),
            assemblies: Assemblies::default(),
            rumors: BTreeMap::new(),
            pending: BTreeMap::new(),
            manifests: BTreeMap::new(),
            next_gossip: now,
            next_entropy,
            confirmation: None,
            sequence: 0,
            counters: Counters::default(),
        }
    }

    /// Returns whether this daemon reads the platform: it is one of the live members of its zone
    /// with the highest rendezvous scores. A daemon whose view has no other member reads.
    pub fn is_reader(&self, view: &View) -> bool {
        peers::is_reader(view, self.own, &self.config.zone, self.config.readers)
    }

    /// Does what is due. To be called about every 100 ms.
    pub fn on_tick(&mut self, now: Instant, view: &View, state: &State, out: &mut Vec<Action>) {
        let refreshed_at = self.peers.refreshed_at;
        if refreshed_at.is_none_or(|at| at + REFRESH <= now) {
            let zone = &self.config.zone;
            self.peers.refresh(now, view, self.own, zone);
        }
        self.gossip(now);
        self.retry(now, state);
        if now >= self.next_entropy {
            self.next_entropy = now + self.config.entropy_interval;
            if let Some(to) = self.peers.any(&mut self.rng) {
                self.queue.push(Lane::Background, to, Message::Digest(state.summary()));
            }
        }
        self.ask_again(now, state, out);
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
            Message::Request(wants) => self.on_request(from, wants, state),
            Message::Part(part) => self.on_part(now, from, part, state, out),
            Message::Digest(summary) => self.compare(from, summary, state),
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

    /// Applies tickets read from the platform, in the order of their publication.
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
                    self.in_force(now, number, manifest, out);
                }
                Err(refusal) => {
                    self.counters.refused += 1;
                    out.push(Action::Refused(refusal));
                }
            }
        }
        self.complete(now, state, out);
        self.queue.flush(now, out);
    }

    /// Returns whether nothing is being fetched, announced or queued.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.rumors.is_empty()
            && self.assemblies.is_empty()
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
