use std::time::Instant;

use crate::{
    flow::{Entry, Mark, State},
    forward::{Action, Cause, Forwarder, Standing, inquiry::Kind, packet::Packet},
    load::Observation,
    place::{Preference, Refusal},
    ticket::{Priority, TargetId},
};

/// The number of unanswered SYNs after which a flow may be moved.
const UNANSWERED: u8 = 2;

/// New flows: placement, retries and refusals.
impl Forwarder {
    /// Decides on a SYN of a flow that this daemon holds.
    pub(super) fn decide_opening(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        entry: Entry,
        out: &mut Vec<Action>,
    ) {
        let standing = self.standing(now, packet.service, entry.target);
        if entry.state == State::Closed {
            return self.reopen(now, packet, entry, standing, out);
        }
        if entry.state == State::Opening && !entry.has(Mark::Relayed) {
            self.observe(entry.target, Observation::Unanswered);
            let placeable = standing == Standing::Usable;
            if self.may_move(now, &entry, placeable)
                && let Ok(target) = self.choose(now, packet, &[entry.target])
            {
                return self.move_flow(now, packet, entry, target, out);
            }
        }
        match standing {
            Standing::Gone => self.terminate(now, packet, entry, out),
            Standing::Unheard => self.drop(Cause::TargetUnheard, out),
            Standing::Usable => {
                let mut next = entry;
                next.idle = 0;
                if entry.state == State::Opening {
                    next.unanswered = (entry.unanswered + 1).min(7);
                    next.set(Mark::Rejected, false);
                }
                self.pass(now, packet, next, true, None, out);
            }
        }
    }

    /// Places a new flow with the addresses of a closed one on the same target.
    fn reopen(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        entry: Entry,
        standing: Standing,
        out: &mut Vec<Action>,
    ) {
        let target = self.routes.target(entry.target).filter(|target| target.is_placeable());
        let is_taken = standing == Standing::Usable
            && target.is_some_and(|target| self.placer.reserve(now, target));
        if !is_taken {
            return self.drop(Cause::ClosedFlow, out);
        }
        self.counters.reused += 1;
        self.earn_retry();
        let mut next = Entry::new(packet.fingerprint, entry.target, State::Opening);
        next.unanswered = 1;
        // Other daemons may have the target cached, so the flow cannot be moved.
        next.moves = self.config.retries;
        self.pass(now, packet, next.with(Mark::Placed), true, None, out);
    }

    /// Returns whether a SYN may go to another target, and takes a retry for it.
    fn may_move(&mut self, now: Instant, entry: &Entry, usable: bool) -> bool {
        if !entry.has(Mark::Placed) || entry.moves >= self.config.retries {
            return false;
        }
        // The retry of a rejected SYN was taken when the reset was dropped.
        !usable
            || entry.has(Mark::Rejected)
            || (entry.unanswered >= UNANSWERED && !self.may_be_split(now) && self.take_retry())
    }

    /// Returns whether a member has failed by this daemon's view a short while ago.
    ///
    /// It may live on the other side of a partition and place the same flow. Both sides take
    /// the same target unless one moves the flow.
    fn may_be_split(&self, now: Instant) -> bool {
        self.failure.is_some_and(|at| now.saturating_duration_since(at) < self.config.history)
    }

    fn move_flow(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        entry: Entry,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        self.counters.moved += 1;
        let mut next = Entry::new(packet.fingerprint, target, State::Opening);
        next.unanswered = 1;
        next.moves = entry.moves + 1;
        let replaces = Some(entry.target);
        self.pass(now, packet, next.with(Mark::Placed), true, replaces, out);
    }

    /// Decides on a packet of a flow that this daemon does not hold.
    pub(super) fn decide_unknown(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) {
        let slot = packet.fingerprint.slot();
        // While views differ, another member may act as primary owner too.
        let unsettled = self.history.is_unsettled(now, slot, self.config.unsettled);
        if packet.summary.opens() {
            return match unsettled {
                true => self.ask(now, packet, Kind::Opening, None, out),
                false => self.place(now, packet, true, out),
            };
        }
        if self.adopt(now, packet, out) {
            return;
        }
        if !packet.is_datagram() {
            return self.ask(now, packet, Kind::Stream, None, out);
        }
        match !unsettled && self.is_certain(slot, None) {
            true => self.place(now, packet, true, out),
            false => self.ask(now, packet, Kind::Datagram, None, out),
        }
    }

    /// Makes a cached target the record of the flow.
    fn adopt(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) -> bool {
        let Some(cached) = self.cache.get(now, packet.fingerprint) else {
            return false;
        };
        let entry = Entry::new(packet.fingerprint, cached.target, State::Open);
        self.counters.adopted += 1;
        self.store(now, &entry.with(Mark::Relayed));
        self.decide(now, packet, out);
        true
    }

    /// Places a new flow.
    ///
    /// With `refusable`, it is certain that no packet of the flow was passed to a target, so a
    /// refusal is true.
    ///
    /// # Panics
    ///
    /// Panics if a flow that is held would be refused.
    pub(super) fn place(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        refusable: bool,
        out: &mut Vec<Action>,
    ) {
        let Ok(target) = self.choose(now, packet, &[]) else {
            if !refusable {
                return self.drop(Cause::Unplaceable, out);
            }
            assert!(
                self.table.get(now, packet.fingerprint).is_none(),
                "flow {:?} would be refused although it is held",
                packet.fingerprint
            );
            self.counters.refused += 1;
            return self.answer(packet, out);
        };
        self.counters.placed += 1;
        self.earn_retry();
        let state = match packet.is_datagram() {
            true => State::Open,
            false => State::Opening,
        };
        let mut entry = Entry::new(packet.fingerprint, target, state).with(Mark::Placed);
        entry.unanswered = u8::from(!packet.is_datagram());
        entry.set(Mark::Datagram, packet.is_datagram());
        entry.set(Mark::Relayed, packet.is_datagram());
        self.pass(now, packet, entry, true, None, out);
    }

    fn choose(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        excluded: &[TargetId],
    ) -> Result<TargetId, Refusal> {
        let service = self.routes.service(packet.service);
        let service = service.ok_or(Refusal::NoTarget)?;
        let fingerprint = packet.fingerprint;
        if excluded.is_empty() {
            self.placer.admit(now, packet.summary.request_key().caller.ip())?;
        }
        let is_stable = service.policy.priority == Priority::Stability;
        let preference = match is_stable && self.may_be_split(now) {
            true => Preference::Base,
            false => Preference::Balance,
        };
        let routes = &self.routes;
        let target = self.placer.place(now, routes, service, fingerprint, preference, excluded)?;
        match self.is_placeable(target) && !excluded.contains(&target) {
            true => Ok(target),
            false => Err(Refusal::NoTarget),
        }
    }
}
