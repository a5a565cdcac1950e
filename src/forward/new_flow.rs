use std::time::Instant;

use crate::{
    flow::{Entry, Mark, State},
    forward::{Action, Cause, Forwarder, TargetStatus, lookup::Kind, packet::Packet},
    load::Observation,
    place::{Preference, Refusal},
    ticket::{Priority, TargetId},
};

/// The number of unanswered SYNs after which a flow may be moved to another target.
const MOVE_AFTER_UNANSWERED_SYNS: u8 = 2;

/// New flows: placement, retries and refusals.
impl Forwarder {
    /// Handles a SYN of a flow whose record this daemon holds.
    pub(super) fn decide_syn(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        entry: Entry,
        out: &mut Vec<Action>,
    ) {
        let target_status = self.target_status(now, packet.service, entry.target);
        if entry.state == State::Closed {
            return self.reopen(now, packet, entry, target_status, out);
        }
        if entry.state == State::Opening && !entry.has(Mark::Pinned) {
            self.observe(entry.target, Observation::Unanswered);
            let placeable = target_status == TargetStatus::Usable;
            if self.may_move(now, &entry, placeable)
                && let Ok(target) = self.choose(now, packet, &[entry.target])
            {
                return self.move_flow(now, packet, entry, target, out);
            }
        }
        match target_status {
            TargetStatus::Gone => self.terminate(now, packet, entry, out),
            TargetStatus::NotYetUsable => self.drop_packet(Cause::TargetUnheard, out),
            TargetStatus::Usable => {
                let mut next = entry;
                next.idle_ticks = 0;
                if entry.state == State::Opening {
                    next.unanswered = (entry.unanswered + 1).min(7);
                    next.set(Mark::SynRejected, false);
                }
                self.store_and_send(now, packet, next, true, None, out);
            }
        }
    }

    /// Places a new flow on the target of a closed flow with the same addresses.
    fn reopen(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        entry: Entry,
        target_status: TargetStatus,
        out: &mut Vec<Action>,
    ) {
        let target = self.routes.target(entry.target).filter(|target| target.is_placeable());
        let is_taken = target_status == TargetStatus::Usable
            && target.is_some_and(|target| self.placer.reserve(now, target));
        if !is_taken {
            return self.drop_packet(Cause::ClosedFlow, out);
        }
        self.counters.reused += 1;
        self.refill_retry_budget();
        let mut next = Entry::new(packet.fingerprint, entry.target, State::Opening);
        next.unanswered = 1;
        // Other daemons may have the target cached, so the flow cannot be moved.
        next.moves = self.config.max_retries;
        self.store_and_send(now, packet, next.with(Mark::PlacedHere), true, None, out);
    }

    /// Returns whether a flow may be moved to another target, and takes a retry from the budget if
    /// the move needs one.
    fn may_move(&mut self, now: Instant, entry: &Entry, usable: bool) -> bool {
        if !entry.has(Mark::PlacedHere) || entry.moves >= self.config.max_retries {
            return false;
        }
        // The retry for a rejected SYN was taken from the budget when the reset was dropped.
        !usable
            || entry.has(Mark::SynRejected)
            || (entry.unanswered >= MOVE_AFTER_UNANSWERED_SYNS
                && !self.may_be_partitioned(now)
                && self.try_take_retry())
    }

    /// Returns whether a member has failed in this daemon's view within the history period.
    ///
    /// The member may be running on the other side of a network partition and place the same flow.
    /// Both sides choose the same target unless one of them moves the flow.
    fn may_be_partitioned(&self, now: Instant) -> bool {
        self.last_member_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < self.config.history_period)
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
        self.store_and_send(now, packet, next.with(Mark::PlacedHere), true, replaces, out);
    }

    /// Handles a request packet of a flow whose record this daemon, its primary owner, does not
    /// hold.
    pub(super) fn decide_unknown(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        out: &mut Vec<Action>,
    ) {
        let slot = packet.fingerprint.slot();
        // While the members' views differ, another member may act as primary owner too.
        let unsettled = self.history.is_unsettled(now, slot, self.config.unsettled_period);
        if packet.summary.is_syn() {
            return match unsettled {
                true => self.start_lookup(now, packet, Kind::Syn, None, out),
                false => self.place(now, packet, true, out),
            };
        }
        if self.adopt(now, packet, out) {
            return;
        }
        if !packet.is_udp() {
            return self.start_lookup(now, packet, Kind::NonSyn, None, out);
        }
        match !unsettled && self.is_certainly_unknown(slot, None) {
            true => self.place(now, packet, true, out),
            false => self.start_lookup(now, packet, Kind::Udp, None, out),
        }
    }

    /// Creates a record from the cached target of a flow and handles the packet with it. Returns
    /// whether the cache had a target.
    fn adopt(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) -> bool {
        let Some(cached) = self.cache.get(now, packet.fingerprint) else {
            return false;
        };
        let entry = Entry::new(packet.fingerprint, cached.target, State::Open);
        self.counters.adopted += 1;
        self.store(now, &entry.with(Mark::Pinned));
        self.decide(now, packet, out);
        true
    }

    /// Places a new flow.
    ///
    /// `may_refuse` is whether it is certain that no packet of the flow was sent to a target. If no
    /// target can take the flow, the flow is then refused; otherwise the packet is dropped.
    ///
    /// # Panics
    ///
    /// Panics if a flow whose record this daemon holds would be refused.
    pub(super) fn place(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        may_refuse: bool,
        out: &mut Vec<Action>,
    ) {
        let Ok(target) = self.choose(now, packet, &[]) else {
            if !may_refuse {
                return self.drop_packet(Cause::Unplaceable, out);
            }
            assert!(
                self.table.get(now, packet.fingerprint).is_none(),
                "flow {:?} would be refused although this daemon holds its record",
                packet.fingerprint
            );
            self.counters.refused += 1;
            return self.reject(packet, out);
        };
        self.counters.placed += 1;
        self.refill_retry_budget();
        let state = match packet.is_udp() {
            true => State::Open,
            false => State::Opening,
        };
        let mut entry = Entry::new(packet.fingerprint, target, state).with(Mark::PlacedHere);
        entry.unanswered = u8::from(!packet.is_udp());
        entry.set(Mark::Udp, packet.is_udp());
        entry.set(Mark::Pinned, packet.is_udp());
        self.store_and_send(now, packet, entry, true, None, out);
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
        let preference = match is_stable && self.may_be_partitioned(now) {
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
