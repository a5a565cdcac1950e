use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use crate::{
    flow::{Cache, Fingerprint, Hasher, Key, Mark, SLOTS, Table},
    forward::{
        Action, Cause, Config, Counters, Explanation, Mode, copier::Copier, history::History,
        inquiry::Inquiry, packet::Packet,
    },
    load::Observation,
    member::{self, Owners, Ranking},
    packet,
    place::Placer,
    route,
    ticket::{TargetId, TargetState},
    wire::{Body, TraceContext},
};

/// Observations that wait to be taken. More say nothing new about a target.
const MAX_OBSERVATIONS: usize = 1024;

/// The smallest and largest number of saved retries.
const RETRY_RESERVE: (f64, f64) = (10.0, 1000.0);

/// Decides what happens to each packet.
#[derive(Debug)]
pub struct Forwarder {
    pub(super) config: Config,
    pub(super) id: member::Id,
    pub(super) hasher: Hasher,
    pub(super) started: Instant,
    pub(super) routes: Arc<route::Table>,
    pub(super) ranking: Arc<Ranking>,
    pub(super) ranked: bool,
    pub(super) table: Table,
    pub(super) cache: Cache,
    pub(super) placer: Placer,
    pub(super) history: History,
    pub(super) inquiries: BTreeMap<Fingerprint, Inquiry>,
    pub(super) pending: usize,
    pub(super) copier: Copier,
    pub(super) counters: Counters,
    pub(super) retries: f64,
    /// When each draining target was first seen to drain.
    pub(super) draining: HashMap<TargetId, Instant>,
    /// When a member was last seen to fail.
    pub(super) failure: Option<Instant>,
    /// The targets that a ticket removed.
    pub(super) removed: HashMap<TargetId, Instant>,
    pub(super) pruned: Instant,
    /// What was seen of targets since the last call of [`Forwarder::take_observations`].
    observations: Vec<(TargetId, Observation)>,
    suspended: bool,
    leaving: bool,
}

impl Forwarder {
    /// Creates a forwarder without routes and members.
    pub fn new(
        config: Config,
        id: member::Id,
        hasher: Hasher,
        placer: Placer,
        seed: u64,
        now: Instant,
    ) -> Forwarder {
        Forwarder {
            id,
            hasher,
            started: now,
            routes: Arc::default(),
            ranking: Arc::default(),
            ranked: false,
            table: Table::new(config.flows, config.timeouts, now),
            cache: Cache::new(config.cached, now),
            placer,
            history: History::new(),
            inquiries: BTreeMap::new(),
            pending: 0,
            copier: Copier::new(&config, seed, now),
            counters: Counters::default(),
            retries: RETRY_RESERVE.0,
            draining: HashMap::new(),
            failure: None,
            removed: HashMap::new(),
            pruned: now,
            observations: Vec::new(),
            suspended: false,
            leaving: false,
            config,
        }
    }

    /// Replaces the routes.
    pub fn set_routes(&mut self, now: Instant, routes: Arc<route::Table>) {
        for target in self.routes.targets() {
            if routes.target(target.id).is_none() {
                self.removed.insert(target.id, now);
            }
        }
        let history = self.config.timeouts.open;
        self.removed.retain(|_, at| now.saturating_duration_since(*at) <= history);
        self.draining.retain(|id, _| {
            routes.target(*id).is_some_and(|target| target.state == TargetState::Draining)
        });
        for target in routes.targets() {
            if target.state == TargetState::Draining {
                self.draining.entry(target.id).or_insert(now);
            }
        }
        self.placer.set_routes(now, &routes);
        self.routes = routes;
    }

    /// Replaces the ranking of owners and starts copying records to new owners.
    pub fn set_ranking(&mut self, now: Instant, ranking: Arc<Ranking>) {
        let previous = std::mem::replace(&mut self.ranking, ranking);
        if !self.ranked {
            self.ranked = true;
            self.recount(now);
            self.history.begin(now, &self.ranking);
            return;
        }
        if !self.ranking.failed().is_subset(previous.failed()) {
            self.failure = Some(now);
        }
        let mut changed = vec![false; usize::from(SLOTS)];
        for slot in 0..SLOTS {
            let (before, after) = (previous.owners(slot), self.ranking.owners(slot));
            if before != after {
                self.history.replace(now, slot, before);
                changed[usize::from(slot)] = true;
            }
        }
        self.history.prune(now, self.config.history);
        // Most changes of the view are of other regions, and a pass over the table is dear.
        if changed.contains(&true) {
            self.recount(now);
        }
        if self.config.mode == Mode::Owners {
            self.table.unmark(Mark::Copied, |fingerprint| changed[usize::from(fingerprint.slot())]);
            self.plan_copies(&previous);
        }
    }

    /// Handles an encapsulated packet from outside the fleet.
    pub fn on_datagram(
        &mut self,
        now: Instant,
        from: SocketAddr,
        bytes: &[u8],
        trace: Option<TraceContext>,
        actions: &mut Vec<Action>,
    ) {
        self.counters.datagrams += 1;
        if self.suspended {
            return self.drop(Cause::Suspended, actions);
        }
        let summary = match packet::parse(bytes) {
            Ok(summary) => summary,
            Err(error) => return self.drop(error.into(), actions),
        };
        let packet = |key: Key, service| Packet {
            bytes,
            summary,
            fingerprint: self.hasher.fingerprint(&key),
            service,
            sender: None,
            hops_left: None,
            trace,
            held: false,
        };
        let protocol = summary.protocol;
        if let Some(service) = self.routes.service_at(protocol, summary.destination) {
            let packet = packet(summary.request_key(), service);
            return self.request(now, &packet, actions);
        }
        let Some(service) = self.routes.service_at(protocol, summary.source) else {
            return self.drop(Cause::UnknownDestination, actions);
        };
        let Some(target) = self.routes.target_at(service, from) else {
            return self.drop(Cause::UnexpectedSender, actions);
        };
        let packet = packet(summary.return_key(), service);
        self.returned(now, &packet, target, actions);
    }

    /// Does what is due by time. It must be called every 10 to 50 ms.
    pub fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire(now);
        if self.suspended {
            return;
        }
        self.continue_inquiries(now, actions);
        self.continue_copies(now, actions);
    }

    /// Starts the handover: records are copied to the new owners at the handover rate.
    ///
    /// The ranking without this daemon must follow.
    pub fn begin_leave(&mut self, now: Instant) {
        self.leaving = true;
        self.copier.hurry(&self.config, now);
    }

    /// Returns whether this daemon leaves and all its records are at their new owners.
    pub fn is_handed_over(&self) -> bool {
        self.leaving && self.copier.is_idle()
    }

    /// Stops forwarding, because the process paused and its view may be stale.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Forwards again, after the view was updated.
    pub fn resume(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.suspended = false;
        self.on_tick(now, actions);
    }

    /// Returns whether [`begin_leave`](Forwarder::begin_leave) was called.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether the forwarder is suspended.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Returns the counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the flows held as owner.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the cached flows.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Returns what was seen of targets since the last call, at most 1,024 observations.
    pub fn take_observations(&mut self) -> Vec<(TargetId, Observation)> {
        std::mem::take(&mut self.observations)
    }

    /// Notes what a target did, for its load class.
    pub(super) fn observe(&mut self, target: TargetId, observation: Observation) {
        if self.observations.len() < MAX_OBSERVATIONS {
            self.observations.push((target, observation));
        }
    }

    /// Returns the number of packets in the pending queue.
    pub fn pending_packets(&self) -> usize {
        self.pending
    }

    /// Returns the number of flows that wait for the answer to a query.
    pub fn open_queries(&self) -> usize {
        self.inquiries.len()
    }

    /// Returns the placer.
    pub fn placer(&self) -> &Placer {
        &self.placer
    }

    /// Returns the placer, for its settings and reports.
    pub fn placer_mut(&mut self) -> &mut Placer {
        &mut self.placer
    }

    /// Says how the packets of a flow are treated, and why.
    pub fn explain(&self, now: Instant, key: &Key) -> Explanation {
        let fingerprint = self.hasher.fingerprint(key);
        let slot = fingerprint.slot();
        let record = self.table.get(now, fingerprint);
        let cached = self.cache.get(now, fingerprint).map(|cached| cached.target);
        let service = self.routes.service_at(key.protocol, key.service);
        Explanation {
            fingerprint,
            slot,
            owners: self.ranking.owners(slot),
            holders: self.holders(slot),
            unsettled: self.history.is_unsettled(now, slot, self.config.unsettled),
            record,
            cached,
            pending: self.inquiries.contains_key(&fingerprint),
            base: service.map_or_else(Vec::new, |service| self.candidates(service, fingerprint)),
            standing: service.and_then(|service| {
                let target = record.map(|record| record.target).or(cached)?;
                Some(self.standing(now, service, target))
            }),
        }
    }

    /// Returns the owners of a flow by the current ranking.
    pub fn owners_of(&self, fingerprint: Fingerprint) -> Option<Owners> {
        self.ranking.owners(fingerprint.slot())
    }

    /// Returns the owners of the packet's flow.
    pub(super) fn owners(&self, packet: &Packet<'_>) -> Option<Owners> {
        self.ranking.owners(packet.fingerprint.slot())
    }

    /// Returns the other owner of the flow, if this daemon is an owner.
    pub(super) fn other_owner(&self, fingerprint: Fingerprint) -> Option<member::Id> {
        let owners = self.ranking.owners(fingerprint.slot())?;
        match owners.primary == self.id {
            true => owners.secondary,
            false => (owners.secondary == Some(self.id)).then_some(owners.primary),
        }
    }

    /// Adds to the retry budget for a new flow.
    pub(super) fn earn_retry(&mut self) {
        self.retries = (self.retries + self.config.retry_fraction).min(RETRY_RESERVE.1);
    }

    /// Takes one retry from the budget.
    pub(super) fn take_retry(&mut self) -> bool {
        if self.retries < 1.0 {
            self.counters.retries_denied += 1;
            return false;
        }
        self.retries -= 1.0;
        true
    }

    pub(super) fn drop(&mut self, cause: Cause, actions: &mut Vec<Action>) {
        *self.counters.dropped.entry(cause).or_default() += 1;
        actions.push(Action::Drop(cause));
    }

    /// Sends a control message.
    pub(super) fn tell(&mut self, member: member::Id, body: Body, actions: &mut Vec<Action>) {
        self.counters.control_bytes += size(&body);
        actions.push(Action::Peer { member, body, packet: None });
    }
}

/// Returns the size of a control message with the frame's fixed parts, in bytes.
fn size(body: &Body) -> u64 {
    const FRAME: u64 = 26;
    const RECORD: u64 = 30;
    FRAME
        + match body {
            Body::Copy { records, .. } => 6 + RECORD * records.len() as u64,
            Body::Copied { .. } => 6,
            Body::Answer { record: None, .. } => 23,
            _ => RECORD,
        }
}
