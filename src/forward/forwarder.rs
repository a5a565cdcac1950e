use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Instant,
};

use crate::{
    flow::{Cache, Fingerprint, Hasher, Key, Mark, SLOTS, Table},
    forward::{
        Action, Cause, Config, Counters, Explanation, Mode, copier::Copier, history::OwnerHistory,
        lookup::Lookup, packet::Packet,
    },
    load::Observation,
    member::{self, Owners, Ranking},
    packet,
    place::Placer,
    route,
    ticket::{TargetId, TargetState},
    wire::{Body, TraceContext},
};

/// The largest number of observations that are kept for [`Forwarder::take_observations`]. Further
/// observations are dropped, since they would hardly change the load class of a target.
const MAX_OBSERVATIONS: usize = 1024;

/// The initial retry budget (first value) and the largest one (second value), in retries.
const RETRY_BUDGET: (f64, f64) = (10.0, 1000.0);

/// Decides whether each packet is delivered to a target, sent to another daemon, queued, rejected
/// or dropped.
#[derive(Debug)]
pub struct Forwarder {
    pub(super) config: Config,
    pub(super) id: member::Id,
    pub(super) hasher: Hasher,
    pub(super) started_at: Instant,
    pub(super) routes: Arc<route::Table>,
    /// The owners of each hash slot.
    pub(super) ranking: Arc<Ranking>,
    /// Whether [`Forwarder::set_ranking`] was called.
    pub(super) has_ranking: bool,
    pub(super) table: Table,
    pub(super) cache: Cache,
    pub(super) placer: Placer,
    pub(super) history: OwnerHistory,
    pub(super) lookups: BTreeMap<Fingerprint, Lookup>,
    pub(super) pending_packets: usize,
    pub(super) copier: Copier,
    pub(super) counters: Counters,
    /// The number of retries that are still allowed; new flows increase it.
    pub(super) retry_budget: f64,
    /// When this daemon first saw each draining target as draining.
    pub(super) draining_since: HashMap<TargetId, Instant>,
    /// When a ranking last showed a member as failed that the previous ranking did not.
    pub(super) last_member_failed_at: Option<Instant>,
    /// When each target disappeared from the routes.
    pub(super) removed_at: HashMap<TargetId, Instant>,
    /// When old pairs were last removed from `history`.
    pub(super) pruned_at: Instant,
    /// The events on the packet path that concern the load or health of targets, since the last
    /// call of [`Forwarder::take_observations`].
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
            started_at: now,
            routes: Arc::default(),
            ranking: Arc::default(),
            has_ranking: false,
            table: Table::new(config.max_flows, config.timeouts, now),
            cache: Cache::new(config.max_cached_flows, now),
            placer,
            history: OwnerHistory::new(),
            lookups: BTreeMap::new(),
            pending_packets: 0,
            copier: Copier::new(&config, seed, now),
            counters: Counters::default(),
            retry_budget: RETRY_BUDGET.0,
            draining_since: HashMap::new(),
            last_member_failed_at: None,
            removed_at: HashMap::new(),
            pruned_at: now,
            observations: Vec::new(),
            suspended: false,
            leaving: false,
            config,
        }
    }

    /// Replaces the routes. Targets that are missing in `routes` are remembered as removed.
    pub fn set_routes(&mut self, now: Instant, routes: Arc<route::Table>) {
        for target in self.routes.targets() {
            if routes.target(target.id).is_none() {
                self.removed_at.insert(target.id, now);
            }
        }
        let retention = self.config.timeouts.open;
        self.removed_at.retain(|_, at| now.saturating_duration_since(*at) <= retention);
        self.draining_since.retain(|id, _| {
            routes.target(*id).is_some_and(|target| target.state == TargetState::Draining)
        });
        for target in routes.targets() {
            if target.state == TargetState::Draining {
                self.draining_since.entry(target.id).or_insert(now);
            }
        }
        self.placer.set_routes(now, &routes);
        self.routes = routes;
    }

    /// Replaces the ranking of owners and starts copying records to new owners.
    pub fn set_ranking(&mut self, now: Instant, ranking: Arc<Ranking>) {
        let previous = std::mem::replace(&mut self.ranking, ranking);
        if !self.has_ranking {
            self.has_ranking = true;
            self.recount_open_flows(now);
            self.history.begin(now, &self.ranking);
            return;
        }
        if !self.ranking.failed().is_subset(previous.failed()) {
            self.last_member_failed_at = Some(now);
        }
        let mut changed = vec![false; usize::from(SLOTS)];
        for slot in 0..SLOTS {
            let (before, after) = (previous.owners(slot), self.ranking.owners(slot));
            if before != after {
                self.history.replace(now, slot, before);
                changed[usize::from(slot)] = true;
            }
        }
        self.history.prune(now, self.config.history_period);
        // Most changes of the view concern members of other regions and change no owners, and a
        // scan of the table is expensive.
        if changed.contains(&true) {
            self.recount_open_flows(now);
        }
        if self.config.mode == Mode::Owners {
            self.table
                .unmark(Mark::Replicated, |fingerprint| changed[usize::from(fingerprint.slot())]);
            self.plan_copies(&previous);
        }
    }

    /// Handles an encapsulated packet from outside the fleet. `from` is the outer source address,
    /// which for a return packet is the address of the target.
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
            return self.drop_packet(Cause::Suspended, actions);
        }
        let summary = match packet::parse(bytes) {
            Ok(summary) => summary,
            Err(error) => return self.drop_packet(error.into(), actions),
        };
        let packet = |key: Key, service| Packet {
            bytes,
            summary,
            fingerprint: self.hasher.fingerprint(&key),
            service,
            sender: None,
            hops_left: None,
            trace,
            was_pending: false,
        };
        let protocol = summary.protocol;
        if let Some(service) = self.routes.service_at(protocol, summary.destination) {
            let packet = packet(summary.request_key(), service);
            return self.on_request(now, &packet, actions);
        }
        let Some(service) = self.routes.service_at(protocol, summary.source) else {
            return self.drop_packet(Cause::UnknownDestination, actions);
        };
        let Some(target) = self.routes.target_at(service, from) else {
            return self.drop_packet(Cause::UnexpectedSender, actions);
        };
        let packet = packet(summary.return_key(), service);
        self.on_return(now, &packet, target, actions);
    }

    /// Removes expired records and continues lookups and copies. Must be called every 10 to 50 ms.
    pub fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.expire(now);
        if self.suspended {
            return;
        }
        self.continue_lookups(now, actions);
        self.continue_copies(now, actions);
    }

    /// Starts the handover: from now on, records are copied to the new owners at the handover rate.
    ///
    /// The caller must then set a ranking without this daemon.
    pub fn begin_leave(&mut self, now: Instant) {
        self.leaving = true;
        self.copier.use_handover_rate(&self.config, now);
    }

    /// Returns whether this daemon is leaving and no copy of a record is left to be sent or
    /// acknowledged. Without [`begin_leave`](Forwarder::begin_leave), the result is false.
    pub fn is_handed_over(&self) -> bool {
        self.leaving && self.copier.is_idle()
    }

    /// Drops all packets and frames until [`resume`](Forwarder::resume) is called, because the
    /// process was paused and its view may be stale.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Resumes forwarding after the view was updated.
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

    /// Returns the table of the flow records that this daemon holds as an owner.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the cache of the targets of flows that other daemons own.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Returns the events on the packet path that concern the load or health of targets, since the
    /// last call, at most 1,024.
    pub fn take_observations(&mut self) -> Vec<(TargetId, Observation)> {
        std::mem::take(&mut self.observations)
    }

    /// Records an event on the packet path, from which the load class of the target is determined.
    pub(super) fn observe(&mut self, target: TargetId, observation: Observation) {
        if self.observations.len() < MAX_OBSERVATIONS {
            self.observations.push((target, observation));
        }
    }

    /// Returns the number of packets in the pending queue.
    pub fn pending_packets(&self) -> usize {
        self.pending_packets
    }

    /// Returns the number of running lookups, one for each flow whose record is searched for.
    pub fn open_lookups(&self) -> usize {
        self.lookups.len()
    }

    /// Returns the placer.
    pub fn placer(&self) -> &Placer {
        &self.placer
    }

    /// Returns the placer, to change its settings and to apply reports.
    pub fn placer_mut(&mut self) -> &mut Placer {
        &mut self.placer
    }

    /// Explains how the packets of a flow are treated.
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
            is_unsettled: self.history.is_unsettled(now, slot, self.config.unsettled_period),
            record,
            cached,
            is_pending: self.lookups.contains_key(&fingerprint),
            base_targets: service
                .map_or_else(Vec::new, |service| self.base_targets(service, fingerprint)),
            target_status: service.and_then(|service| {
                let target = record.map(|record| record.target).or(cached)?;
                Some(self.target_status(now, service, target))
            }),
        }
    }

    /// Returns the owners of a flow in the current ranking.
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

    /// Increases the retry budget by the share of one new flow, up to the largest budget.
    pub(super) fn refill_retry_budget(&mut self) {
        self.retry_budget =
            (self.retry_budget + self.config.retries_per_new_flow).min(RETRY_BUDGET.1);
    }

    /// Takes one retry from the budget if the budget allows one, and returns whether it does.
    pub(super) fn try_take_retry(&mut self) -> bool {
        if self.retry_budget < 1.0 {
            self.counters.retries_denied += 1;
            return false;
        }
        self.retry_budget -= 1.0;
        true
    }

    /// Counts a dropped packet and reports the cause to the packet loop.
    pub(super) fn drop_packet(&mut self, cause: Cause, actions: &mut Vec<Action>) {
        *self.counters.dropped.entry(cause).or_default() += 1;
        actions.push(Action::Drop(cause));
    }

    /// Sends a control message.
    pub(super) fn send_control(
        &mut self,
        member: member::Id,
        body: Body,
        actions: &mut Vec<Action>,
    ) {
        self.counters.control_bytes += size(&body);
        actions.push(Action::Peer { member, body, packet: None });
    }
}

/// Returns the estimated size of a control message's frame in bytes.
///
/// The header and the authentication tag of a frame take 26 bytes. An encoded record takes up to
/// 30 bytes: 19 for the fingerprint, 10 for the target and 1 for the state. A copy or its
/// acknowledgement takes 6 bytes for the message type and the sequence number, and an answer
/// without a record about 23 bytes for the message type, the fingerprint and the uptime.
fn size(body: &Body) -> u64 {
    const FRAME_BYTES: u64 = 26;
    const RECORD_BYTES: u64 = 30;
    FRAME_BYTES
        + match body {
            Body::Copy { records, .. } => 6 + RECORD_BYTES * records.len() as u64,
            Body::CopyAck { .. } => 6,
            Body::Answer { record: None, .. } => 23,
            _ => RECORD_BYTES,
        }
}
