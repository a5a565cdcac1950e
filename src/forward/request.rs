use std::time::Instant;

use crate::{
    flow::{Entry, Mark, State, Table},
    forward::{Action, Cause, Forwarder, Mode, TargetStatus, lookup::Kind, packet::Packet},
    member,
    packet::{reset, unreachable},
    ticket::TargetId,
    wire::{Body, Hop, Stage},
};

/// The number of refresh intervals in an idle timeout. An active flow refreshes the record at the
/// secondary owner once in each of them.
const REFRESHES_PER_TIMEOUT: u32 = 4;

/// The number of packets after which the secondary owner is taken to hold the record, if no return
/// packet confirms it.
const PACKETS_TO_REPLICATE: u8 = 2;

/// Request packets: from the ingress daemon to the target.
impl Forwarder {
    /// Handles a request packet from outside the fleet.
    pub(super) fn on_request(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        match self.config.mode {
            Mode::Local => return self.deliver_by_hash(now, packet, out),
            Mode::SingleOwner => return self.send_to_primary(now, packet, out),
            Mode::Owners => {}
        }
        if !packet.summary.has_syn_fin_or_rst() {
            if self.deliver_cached(now, packet, out) {
                return;
            }
            self.counters.cache_misses += 1;
        }
        self.send_to_primary(now, packet, out);
    }

    fn deliver_cached(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) -> bool {
        let Some(cached) = self.cache.get(now, packet.fingerprint) else {
            return false;
        };
        if cached.refresh_due
            || self.target_status(now, packet.service, cached.target) != TargetStatus::Usable
        {
            return false;
        }
        self.counters.cache_hits += 1;
        self.deliver(packet, cached.target, out);
        true
    }

    /// Handles a request packet as primary owner, or sends it to the primary owner.
    pub(super) fn send_to_primary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(owners) = self.owners(packet) else {
            return self.drop_packet(Cause::NoOwner, out);
        };
        if owners.primary != self.id {
            if self.deliver_as_secondary(now, packet, out) {
                return;
            }
            return self.hop(owners.primary, packet, Stage::Decide, out);
        }
        match self.config.mode {
            Mode::SingleOwner => self.deliver_by_hash(now, packet, out),
            _ => self.decide(now, packet, out),
        }
    }

    /// Delivers a packet without SYN, FIN and RST by the record of this daemon as secondary owner,
    /// which saves a hop. A former owner must not do so, since its record may be of an earlier flow
    /// with the same addresses. Returns whether the packet was delivered.
    fn deliver_as_secondary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) -> bool {
        if packet.summary.has_syn_fin_or_rst() || self.config.mode != Mode::Owners {
            return false;
        }
        let Some(mut entry) = self.table.get(now, packet.fingerprint) else {
            return false;
        };
        let half_closed = entry.has(Mark::CallerFin) || entry.has(Mark::TargetFin);
        if self.other_owner(packet.fingerprint).is_none()
            || !entry.state.is_open()
            || !entry.has(Mark::Pinned)
            || half_closed
            || u32::from(entry.idle_ticks) > self.refresh_interval(&entry) / 2
            || self.target_status(now, packet.service, entry.target) != TargetStatus::Usable
        {
            return false;
        }
        // The idle time is not reset, so that packets go through the primary owner again before the
        // record there expires.
        entry.state = State::Open;
        self.table.put(now, &entry);
        self.notify_sender(packet, entry.target, out);
        self.deliver(packet, entry.target, out);
        true
    }

    /// Handles a request packet as primary owner.
    pub(super) fn decide(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get(now, packet.fingerprint) else {
            return self.decide_unknown(now, packet, out);
        };
        let flags = packet.summary.flags;
        if packet.summary.is_syn() {
            return self.decide_syn(now, packet, entry, out);
        }
        // The caller has received a SYN-ACK that did not pass through this owner, so the flow may
        // have another target in another owner's record.
        if is_unconfirmed(&entry) && !flags.rst {
            return self.start_lookup(now, packet, Kind::NonSyn, None, out);
        }
        match self.target_status(now, packet.service, entry.target) {
            TargetStatus::Gone => return self.terminate(now, packet, entry, out),
            TargetStatus::NotYetUsable => return self.send_to_secondary(packet, entry, out),
            TargetStatus::Usable => {}
        }
        let mut next = after_non_syn(entry, packet);
        let refresh = self.is_refresh_due(now, &entry);
        let first = entry.state != State::Open;
        if flags.fin {
            next.set(Mark::CallerFin, true);
            if next.has(Mark::TargetFin) {
                next.state = State::Closed;
            }
        }
        if flags.rst {
            next.state = State::Closed;
        }
        if entry.has(Mark::Probing) {
            return self.continue_probe(now, packet, next, out);
        }
        let store = flags.fin || flags.rst || refresh || first || !next.has(Mark::Replicated);
        self.notify_sender(packet, next.target, out);
        self.store_and_send(now, packet, next, store, None, out);
    }

    /// Stores the record and sends the packet to the target, through the secondary owner if `store`
    /// is set.
    pub(super) fn store_and_send(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        store: bool,
        replaces: Option<TargetId>,
        out: &mut Vec<Action>,
    ) {
        let target = entry.target;
        let secondary = self.other_owner(entry.fingerprint).filter(|_| store);
        // A SYN may be lost on the way to the secondary owner, but the SYN-ACK also passes through
        // that owner and confirms its record. Other packets have no such confirmation, so two of
        // them are sent through the secondary owner.
        if secondary.is_some() && entry.state != State::Opening && !entry.has(Mark::Replicated) {
            entry.unanswered += 1;
            if entry.unanswered >= PACKETS_TO_REPLICATE {
                entry.unanswered = 0;
                entry.set(Mark::Replicated, true);
            }
        }
        self.store(now, &entry);
        match secondary {
            Some(member) => self.hop(member, packet, Stage::Store { target, replaces }, out),
            None => self.deliver(packet, target, out),
        }
    }

    /// Tells the daemon that forwarded a packet to this one which target the flow has.
    pub(super) fn notify_sender(
        &mut self,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = packet.fingerprint;
        if self.ranking.candidate_count() > self.config.max_notified_members {
            return;
        }
        if let Some(sender) = packet.sender {
            self.send_control(sender, Body::FlowTarget { fingerprint, target }, out);
        }
    }

    /// Sends a packet to its target.
    ///
    /// # Panics
    ///
    /// Panics if the target belongs to another service.
    pub(super) fn deliver(&mut self, packet: &Packet<'_>, id: TargetId, out: &mut Vec<Action>) {
        let Some(target) = self.routes.target(id) else {
            return self.drop_packet(Cause::TargetUnheard, out);
        };
        assert_eq!(
            target.service, packet.service,
            "packet for {:?} would reach a target of another service",
            packet.summary.destination
        );
        let address = target.address;
        self.counters.delivered += 1;
        out.push(Action::Deliver { target: id, address, packet: packet.payload() });
    }

    /// Sends a packet to another daemon.
    pub(super) fn hop(
        &mut self,
        member: member::Id,
        packet: &Packet<'_>,
        stage: Stage,
        out: &mut Vec<Action>,
    ) {
        let hops_left = match packet.hops_left {
            None => self.config.max_further_hops,
            Some(0) => return self.drop_packet(Cause::HopLimit, out),
            Some(left) => left - 1,
        };
        self.counters.hops += 1;
        out.push(Action::Peer {
            member,
            body: Body::Hop(Hop { stage, hops_left, trace: packet.trace }),
            packet: packet.payload(),
        });
    }

    /// Closes a flow whose target is gone and rejects the packet.
    pub(super) fn terminate(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        if entry.state != State::Closed {
            entry.state = State::Closed;
            entry.idle_ticks = 0;
            self.store(now, &entry);
        }
        self.cache.remove(packet.fingerprint);
        self.reject(packet, out);
    }

    /// Answers a packet with a reset or an ICMP error.
    pub(super) fn reject(&mut self, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let answer = match packet.is_udp() {
            true => unreachable(packet.bytes),
            false => reset(packet.bytes),
        };
        if answer.is_none() {
            return self.drop_packet(Cause::TargetGone, out);
        }
        self.counters.terminated += 1;
        out.push(Action::Return { packet: answer });
    }

    /// Sends a packet to the secondary owner, where the target may already be usable.
    fn send_to_secondary(&mut self, packet: &Packet<'_>, entry: Entry, out: &mut Vec<Action>) {
        let target = entry.target;
        match self.other_owner(entry.fingerprint) {
            Some(member) if packet.hops_left != Some(0) => {
                let replaces = None;
                self.hop(member, packet, Stage::Store { target, replaces }, out);
            }
            _ => self.drop_packet(Cause::TargetUnheard, out),
        }
    }

    /// Delivers a packet to the target in this daemon's table or, if there is none, to the newest
    /// generation's base target.
    fn deliver_by_hash(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let known = self.table.get(now, packet.fingerprint).filter(|entry| {
            self.target_status(now, packet.service, entry.target) == TargetStatus::Usable
        });
        let base = || self.base_targets(packet.service, packet.fingerprint);
        let Some(target) = known.map(|entry| entry.target).or_else(|| base().first().copied())
        else {
            return self.reject(packet, out);
        };
        let mut entry = Entry::new(packet.fingerprint, target, State::Open);
        entry.set(Mark::Udp, packet.is_udp());
        self.store(now, &entry);
        self.deliver(packet, target, out);
    }

    /// Returns whether a packet is the first one of its flow in a refresh interval.
    ///
    /// Such a packet goes through the secondary owner, so the record there does not expire while
    /// the flow is active.
    fn is_refresh_due(&self, now: Instant, entry: &Entry) -> bool {
        let interval = self.refresh_interval(entry);
        let tick = self.table.ticks(now);
        tick / interval != tick.saturating_sub(u32::from(entry.idle_ticks)) / interval
    }

    /// Returns the refresh interval, a fraction of the idle timeout, in ticks.
    fn refresh_interval(&self, entry: &Entry) -> u32 {
        let timeouts = &self.config.timeouts;
        let timeout = match entry.has(Mark::Udp) {
            true => timeouts.udp,
            false => timeouts.open,
        };
        ((timeout.as_secs() / Table::TICK.as_secs()) as u32 / REFRESHES_PER_TIMEOUT).max(1)
    }
}

/// Returns whether the flow is opening and no SYN-ACK has passed through this owner.
pub(super) fn is_unconfirmed(entry: &Entry) -> bool {
    entry.state == State::Opening && !entry.has(Mark::Pinned)
}

/// Returns the entry after a request packet without SYN.
pub(super) fn after_non_syn(entry: Entry, packet: &Packet<'_>) -> Entry {
    let mut next = entry;
    next.idle_ticks = 0;
    next.set(Mark::Udp, packet.is_udp());
    if matches!(entry.state, State::Opening | State::Answered) {
        next.state = State::Open;
    }
    next.set(Mark::Pinned, next.has(Mark::Pinned) || !next.has(Mark::Probing));
    next
}
