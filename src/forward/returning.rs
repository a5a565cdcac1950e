use std::time::Instant;

use crate::{
    flow::{Entry, Mark, State},
    forward::{
        Action, Cause, Forwarder, Mode, Standing, inquiry::Kind, packet::Packet, probing::confirmed,
    },
    load::Observation,
    member,
    ticket::TargetId,
    wire::{Body, Stage},
};

/// Return packets: the way from the target to the caller.
impl Forwarder {
    /// Handles a return packet from outside the fleet.
    pub(super) fn returned(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        if self.config.mode != Mode::Owners {
            return self.give_back(packet, out);
        }
        if self.standing(now, packet.service, target) != Standing::Usable {
            return self.drop(Cause::TargetGone, out);
        }
        if packet.summary.is_control() {
            return self.return_to_primary(now, packet, target, out);
        }
        if self.known_target(now, packet).is_some_and(|known| known != target) {
            return self.return_to_primary(now, packet, target, out);
        }
        self.cache.put(now, packet.fingerprint, target, false);
        self.give_back(packet, out);
    }

    /// Returns the target of the flow by this daemon's record or cache.
    fn known_target(&self, now: Instant, packet: &Packet<'_>) -> Option<TargetId> {
        let owner = self.owners(packet).is_some_and(|owners| owners.contains(self.id));
        let held = owner.then(|| self.table.get(now, packet.fingerprint));
        let held = held.flatten().map(|entry| entry.target);
        held.or_else(|| {
            let cached = self.cache.get(now, packet.fingerprint);
            cached.map(|cached| cached.target)
        })
    }

    /// Checks a return packet as primary owner, or sends it to the primary owner.
    pub(super) fn return_to_primary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let Some(owners) = self.owners(packet) else {
            return self.drop(Cause::NoOwner, out);
        };
        match owners.primary == self.id {
            true => self.decide_return(now, packet, target, out),
            false => self.hop(owners.primary, packet, Stage::Return { target }, out),
        }
    }

    /// Checks a return packet as primary owner.
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
                return self.drop(Cause::ResetFilter, out);
            }
            return self.pass_back(now, packet, confirmed(entry.on(target)), out);
        }
        if !packet.summary.is_control() {
            self.inform(packet, target, out);
            return self.give_back(packet, out);
        }
        if flags.rst {
            return self.decide_reset(now, packet, entry, out);
        }
        if flags.syn && entry.state == State::Opening {
            self.observe(target, Observation::Accepted);
        }
        self.pass_back(now, packet, after_return(entry, packet), out);
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
            return self.ask(now, packet, Kind::Return, Some(target), out);
        }
        if !flags.fin {
            return self.drop(Cause::ResetFilter, out);
        }
        // A FIN proves that the target holds the flow.
        let entry = Entry::new(packet.fingerprint, target, State::Open).with(Mark::Relayed);
        self.pass_back(now, packet, after_return(entry, packet), out);
    }

    /// Handles a reset from the flow's target.
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
        if entry.has(Mark::Rejected) {
            return self.drop(Cause::Retried, out);
        }
        let rejected = entry.state == State::Opening && !entry.has(Mark::Relayed);
        if rejected {
            self.observe(entry.target, Observation::Refused);
        } else if entry.state != State::Closed {
            self.observe(entry.target, Observation::FlowReset);
        }
        if rejected
            && entry.has(Mark::Placed)
            && entry.moves < self.config.retries
            && self.take_retry()
        {
            self.counters.retried += 1;
            entry.set(Mark::Rejected, true);
            self.store(now, &entry);
            return self.drop(Cause::Retried, out);
        }
        entry.state = State::Closed;
        entry.idle = 0;
        self.pass_back(now, packet, entry, out);
    }

    /// Stores the record and passes the return packet on through the secondary owner.
    ///
    /// The caller sees the SYN-ACK only if both owners have stored the flow as open, and the
    /// end of the flow only if both owners have seen it.
    fn pass_back(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        let target = entry.target;
        let secondary = self.other_owner(entry.fingerprint);
        entry.set(Mark::Copied, secondary.is_some());
        self.store(now, &entry);
        match secondary {
            Some(member) => self.hop(member, packet, Stage::StoreReturn { target }, out),
            None => self.give_back(packet, out),
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
            && entry.has(Mark::Relayed)
            && entry.state != State::Closed
        {
            self.counters.conflicts_open += 1;
            let target = entry.target;
            self.tell(sender, Body::Learned { fingerprint, target }, out);
            return self.drop(Cause::ResetFilter, out);
        }
        let same = held.filter(|entry| entry.target == target);
        let entry = same.unwrap_or_else(|| Entry::new(fingerprint, target, State::Opening));
        let mut next = after_return(entry, packet);
        if packet.summary.flags.rst {
            next.state = State::Closed;
        }
        self.store(now, &next);
        self.give_back(packet, out);
    }

    /// Sends a return packet to the fabric.
    pub(super) fn give_back(&mut self, packet: &Packet<'_>, out: &mut Vec<Action>) {
        self.counters.returned += 1;
        out.push(Action::Return { packet: packet.payload() });
    }
}

/// Returns the entry after a return packet that opens or ends the flow.
fn after_return(entry: Entry, packet: &Packet<'_>) -> Entry {
    let flags = packet.summary.flags;
    let mut next = confirmed(entry);
    next.idle = 0;
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
