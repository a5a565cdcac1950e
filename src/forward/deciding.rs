use std::time::Instant;

use crate::{
    flow::{Entry, Mark, State, Table},
    forward::{Action, Cause, Forwarder, Mode, Standing, inquiry::Kind, packet::Packet},
    member,
    packet::{reset, unreachable},
    ticket::TargetId,
    wire::{Body, Hop, Stage},
};

/// The number of idle intervals in each of which an active flow refreshes the second copy.
const REFRESHES: u32 = 4;

/// The number of packets without answer that take a record to the secondary owner.
const COPY_PACKETS: u8 = 2;

/// Request packets: the way from the ingress daemon to the target.
impl Forwarder {
    /// Handles a request packet from outside the fleet.
    pub(super) fn request(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        match self.config.mode {
            Mode::Local => return self.deliver_by_hash(now, packet, out),
            Mode::SingleOwner => return self.send_to_primary(now, packet, out),
            Mode::Owners => {}
        }
        if !packet.summary.is_control() {
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
        if cached.due || self.standing(now, packet.service, cached.target) != Standing::Usable {
            return false;
        }
        self.counters.cache_hits += 1;
        self.deliver(packet, cached.target, out);
        true
    }

    /// Decides on a packet as primary owner, or sends it to the primary owner.
    pub(super) fn send_to_primary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(owners) = self.owners(packet) else {
            return self.drop(Cause::NoOwner, out);
        };
        if owners.primary != self.id {
            if self.deliver_held(now, packet, out) {
                return;
            }
            return self.hop(owners.primary, packet, Stage::Decide, out);
        }
        match self.config.mode {
            Mode::SingleOwner => self.deliver_by_hash(now, packet, out),
            _ => self.decide(now, packet, out),
        }
    }

    /// Delivers a packet without control flags from a record of the secondary owner, which
    /// saves a hop. A former owner's record may be of an earlier flow with the same addresses.
    fn deliver_held(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) -> bool {
        if packet.summary.is_control() || self.config.mode != Mode::Owners {
            return false;
        }
        let Some(mut entry) = self.table.get(now, packet.fingerprint) else {
            return false;
        };
        let half_closed = entry.has(Mark::CallerFin) || entry.has(Mark::TargetFin);
        if self.other_owner(packet.fingerprint).is_none()
            || !entry.state.is_open()
            || !entry.has(Mark::Relayed)
            || half_closed
            || u32::from(entry.idle) > self.refresh_interval(&entry) / 2
            || self.standing(now, packet.service, entry.target) != Standing::Usable
        {
            return false;
        }
        // The time of the last packet stays as it is, so that the flow's packets go through the
        // primary owner again when it must hear that the flow is alive.
        entry.state = State::Open;
        self.table.put(now, &entry);
        self.inform(packet, entry.target, out);
        self.deliver(packet, entry.target, out);
        true
    }

    /// Decides on a packet as primary owner.
    pub(super) fn decide(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get(now, packet.fingerprint) else {
            return self.decide_unknown(now, packet, out);
        };
        let flags = packet.summary.flags;
        if packet.summary.opens() {
            return self.decide_opening(now, packet, entry, out);
        }
        // The caller has a SYN-ACK that did not pass this owner, so the flow may be on another
        // target by another owner's record.
        if is_unconfirmed(&entry) && !flags.rst {
            return self.ask(now, packet, Kind::Stream, None, out);
        }
        match self.standing(now, packet.service, entry.target) {
            Standing::Gone => return self.terminate(now, packet, entry, out),
            Standing::Unheard => return self.pass_unheard(packet, entry, out),
            Standing::Usable => {}
        }
        let mut next = touched(entry, packet);
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
        let store = flags.fin || flags.rst || refresh || first || !next.has(Mark::Copied);
        self.inform(packet, next.target, out);
        self.pass(now, packet, next, store, None, out);
    }

    /// Stores the record and passes the packet on, through the secondary owner if `store`.
    pub(super) fn pass(
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
        // A SYN may be lost on the way to the secondary owner; the SYN-ACK, which travels
        // through it too, proves that it was not. Other packets prove nothing, so two of them
        // take the way.
        if secondary.is_some() && entry.state != State::Opening && !entry.has(Mark::Copied) {
            entry.unanswered += 1;
            if entry.unanswered >= COPY_PACKETS {
                entry.unanswered = 0;
                entry.set(Mark::Copied, true);
            }
        }
        self.store(now, &entry);
        match secondary {
            Some(member) => self.hop(member, packet, Stage::Store { target, replaces }, out),
            None => self.deliver(packet, target, out),
        }
    }

    /// Tells the daemon that sent a packet the target of its flow.
    pub(super) fn inform(&mut self, packet: &Packet<'_>, target: TargetId, out: &mut Vec<Action>) {
        let fingerprint = packet.fingerprint;
        if self.ranking.candidate_count() > self.config.informed_members {
            return;
        }
        if let Some(sender) = packet.sender {
            self.tell(sender, Body::Learned { fingerprint, target }, out);
        }
    }

    /// Sends a packet to its target.
    ///
    /// # Panics
    ///
    /// Panics if the target belongs to another service.
    pub(super) fn deliver(&mut self, packet: &Packet<'_>, id: TargetId, out: &mut Vec<Action>) {
        let Some(target) = self.routes.target(id) else {
            return self.drop(Cause::TargetUnheard, out);
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
            None => self.config.hops,
            Some(0) => return self.drop(Cause::HopLimit, out),
            Some(left) => left - 1,
        };
        self.counters.hops += 1;
        out.push(Action::Peer {
            member,
            body: Body::Hop(Hop { stage, hops_left, trace: packet.trace }),
            packet: packet.payload(),
        });
    }

    /// Answers a packet whose target is gone, and closes the flow.
    pub(super) fn terminate(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        if entry.state != State::Closed {
            entry.state = State::Closed;
            entry.idle = 0;
            self.store(now, &entry);
        }
        self.cache.remove(packet.fingerprint);
        self.answer(packet, out);
    }

    /// Answers a packet with a reset or an ICMP message.
    pub(super) fn answer(&mut self, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let answer = match packet.is_datagram() {
            true => unreachable(packet.bytes),
            false => reset(packet.bytes),
        };
        if answer.is_none() {
            return self.drop(Cause::TargetGone, out);
        }
        self.counters.terminated += 1;
        out.push(Action::Return { packet: answer });
    }

    /// Passes a packet to the secondary owner, which may have the ticket with the target.
    fn pass_unheard(&mut self, packet: &Packet<'_>, entry: Entry, out: &mut Vec<Action>) {
        let target = entry.target;
        match self.other_owner(entry.fingerprint) {
            Some(member) if packet.hops_left != Some(0) => {
                let replaces = None;
                self.hop(member, packet, Stage::Store { target, replaces }, out);
            }
            _ => self.drop(Cause::TargetUnheard, out),
        }
    }

    /// Delivers by this daemon's table, and by the consistent hash for unknown flows.
    fn deliver_by_hash(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        let known = self
            .table
            .get(now, packet.fingerprint)
            .filter(|entry| self.standing(now, packet.service, entry.target) == Standing::Usable);
        let base = || self.candidates(packet.service, packet.fingerprint);
        let Some(target) = known.map(|entry| entry.target).or_else(|| base().first().copied())
        else {
            return self.answer(packet, out);
        };
        let mut entry = Entry::new(packet.fingerprint, target, State::Open);
        entry.set(Mark::Datagram, packet.is_datagram());
        self.store(now, &entry);
        self.deliver(packet, target, out);
    }

    /// Returns whether a packet crosses into a new refresh interval of the flow.
    ///
    /// The secondary owner sees one packet in each interval, so its record does not expire
    /// while the flow is active.
    fn is_refresh_due(&self, now: Instant, entry: &Entry) -> bool {
        let interval = self.refresh_interval(entry);
        let tick = self.table.ticks(now);
        tick / interval != tick.saturating_sub(u32::from(entry.idle)) / interval
    }

    /// Returns a part of the idle timeout, in ticks.
    fn refresh_interval(&self, entry: &Entry) -> u32 {
        let timeouts = &self.config.timeouts;
        let timeout = match entry.has(Mark::Datagram) {
            true => timeouts.datagram,
            false => timeouts.open,
        };
        ((timeout.as_secs() / Table::TICK.as_secs()) as u32 / REFRESHES).max(1)
    }
}

/// Returns whether no SYN-ACK of the flow has passed this owner.
pub(super) fn is_unconfirmed(entry: &Entry) -> bool {
    entry.state == State::Opening && !entry.has(Mark::Relayed)
}

/// Returns the entry after a packet without SYN.
pub(super) fn touched(entry: Entry, packet: &Packet<'_>) -> Entry {
    let mut next = entry;
    next.idle = 0;
    next.set(Mark::Datagram, packet.is_datagram());
    if matches!(entry.state, State::Opening | State::Answered) {
        next.state = State::Open;
    }
    next.set(Mark::Relayed, next.has(Mark::Relayed) || !next.has(Mark::Probing));
    next
}
