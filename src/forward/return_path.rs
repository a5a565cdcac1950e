use std::time::Instant;

use crate::{
    flow::{Entry, Mark, State},
    forward::{
        Action, Cause, Forwarder, Mode, TargetStatus, lookup::Kind, packet::Packet,
        probe::with_confirmed_target,
    },
    load::Observation,
    member,
    ticket::TargetId,
    wire::{Body, Stage},
};

/// Return packets: from the target to the caller.
impl Forwarder {
    /// Handles a return packet from outside the fleet.
    pub(super) fn on_return(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        if self.config.mode != Mode::Owners {
            return self.send_to_caller(packet, out);
        }
        if self.target_status(now, packet.service, target) != TargetStatus::Usable {
            return self.drop_packet(Cause::TargetGone, out);
        }
        if packet.summary.has_syn_fin_or_rst() {
            return self.return_to_primary(now, packet, target, out);
        }
        if self.known_target(now, packet).is_some_and(|known| known != target) {
            return self.return_to_primary(now, packet, target, out);
        }
        self.cache.put(now, packet.fingerprint, target, false);
        self.send_to_caller(packet, out);
    }

    /// Returns the flow's target in this daemon's record or cache.
    fn known_target(&self, now: Instant, packet: &Packet<'_>) -> Option<TargetId> {
        let owner = self.owners(packet).is_some_and(|owners| owners.contains(self.id));
        let held = owner.then(|| self.table.get(now, packet.fingerprint));
        let held = held.flatten().map(|entry| entry.target);
        held.or_else(|| {
            let cached = self.cache.get(now, packet.fingerprint);
            cached.map(|cached| cached.target)
        })
    }

    /// Handles a return packet as primary owner, or sends it to the primary owner.
    pub(super) fn return_to_primary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let Some(owners) = self.owners(packet) else {
            return self.drop_packet(Cause::NoOwner, out);
        };
        match owners.primary == self.id {
            true => self.decide_return(now, packet, target, out),
            false => self.hop(owners.primary, packet, Stage::Return { target }, out),
        }
    }

    /// Handles a return packet as primary owner.
    pub(super) fn decide_return(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.table.get(now, packet.fingerprint) else {
            return self.decide_unknown_return(now, packet, target, out);
        };
        let flags = packet.summary.flags;
        if entry.target != target {
            let proves = entry.has(Mark::Probing) && !flags.rst && !flags.syn;
            if !proves {
                return self.drop_packet(Cause::ResetFilter, out);
            }
            return self.return_through_secondary(
                now,
                packet,
                with_confirmed_target(entry.with_target(target)),
                out,
            );
        }
        if !packet.summary.has_syn_fin_or_rst() {
            self.notify_sender(packet, target, out);
            return self.send_to_caller(packet, out);
        }
        if flags.rst {
            return self.decide_reset(now, packet, entry, out);
        }
        if flags.syn && entry.state == State::Opening {
            self.observe(target, Observation::Accepted);
        }
        self.return_through_secondary(now, packet, after_return(entry, packet), out);
    }

    fn decide_unknown_return(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let flags = packet.summary.flags;
        if flags.syn || flags.rst {
            return self.start_lookup(now, packet, Kind::Return, Some(target), out);
        }
        if !flags.fin {
            return self.drop_packet(Cause::ResetFilter, out);
        }
        // A FIN proves that the target has the connection.
        let entry = Entry::new(packet.fingerprint, target, State::Open).with(Mark::Pinned);
        self.return_through_secondary(now, packet, after_return(entry, packet), out);
    }

    /// Handles a reset from the flow's target as primary owner.
    fn decide_reset(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        if entry.has(Mark::Probing) {
            return self.next_probe(now, packet, entry, out);
        }
        if entry.has(Mark::SynRejected) {
            return self.drop_packet(Cause::Retried, out);
        }
        let rejected = entry.state == State::Opening && !entry.has(Mark::Pinned);
        if rejected {
            self.observe(entry.target, Observation::Refused);
        } else if entry.state != State::Closed {
            self.observe(entry.target, Observation::FlowReset);
        }
        if rejected
            && entry.has(Mark::PlacedHere)
            && entry.moves < self.config.max_retries
            && self.try_take_retry()
        {
            self.counters.retried += 1;
            entry.set(Mark::SynRejected, true);
            self.store(now, &entry);
            return self.drop_packet(Cause::Retried, out);
        }
        entry.state = State::Closed;
        entry.idle_ticks = 0;
        self.return_through_secondary(now, packet, entry, out);
    }

    /// Stores the record and sends the return packet to the caller, through the secondary owner if
    /// there is one.
    ///
    /// The caller receives a SYN-ACK only after both owners have stored the flow as open, and the
    /// end of the flow only after both owners have seen it.
    fn return_through_secondary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        let target = entry.target;
        let secondary = self.other_owner(entry.fingerprint);
        entry.set(Mark::Replicated, secondary.is_some());
        self.store(now, &entry);
        match secondary {
            Some(member) => self.hop(member, packet, Stage::StoreReturn { target }, out),
            None => self.send_to_caller(packet, out),
        }
    }

    /// Handles a return packet as secondary owner.
    pub(super) fn store_return(
        &mut self,
        now: Instant,
        sender: member::Id,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = packet.fingerprint;
        let held = self.table.get(now, fingerprint);
        let other = held.filter(|entry| entry.target != target);
        if let Some(entry) = other
            && entry.has(Mark::Pinned)
            && entry.state != State::Closed
        {
            self.counters.conflicts_open += 1;
            let target = entry.target;
            self.send_control(sender, Body::FlowTarget { fingerprint, target }, out);
            return self.drop_packet(Cause::ResetFilter, out);
        }
        let same = held.filter(|entry| entry.target == target);
        let entry = same.unwrap_or_else(|| Entry::new(fingerprint, target, State::Opening));
        let mut next = after_return(entry, packet);
        if packet.summary.flags.rst {
            next.state = State::Closed;
        }
        self.store(now, &next);
        self.send_to_caller(packet, out);
    }

    /// Sends a return packet to the fabric, towards the caller.
    pub(super) fn send_to_caller(&mut self, packet: &Packet<'_>, out: &mut Vec<Action>) {
        self.counters.returned += 1;
        out.push(Action::Return { packet: packet.payload() });
    }
}

/// Returns the entry after a return packet that opens or ends the flow.
fn after_return(entry: Entry, packet: &Packet<'_>) -> Entry {
    let flags = packet.summary.flags;
    let mut next = with_confirmed_target(entry);
    next.idle_ticks = 0;
    next.unanswered = 0;
    if entry.state == State::Closed {
        return next;
    }
    if flags.syn && entry.state == State::Opening {
        next.state = State::Answered;
    }
    if flags.fin {
        next.set(Mark::TargetFin, true);
        next.state = match next.has(Mark::CallerFin) {
            true => State::Closed,
            false => State::Open,
        };
    }
    next
}
