use std::time::Instant;

use crate::{
    flow::{Entry, Fingerprint, Mark, State},
    forward::{Action, Cause, Forwarder, TargetStatus, packet::Packet},
    route::ServiceIndex,
    ticket::TargetId,
};

/// Probing: packets of a flow of which no member holds a record are sent to a candidate, one of the
/// flow's base targets, until a return packet shows which target has the flow.
impl Forwarder {
    /// Returns the base targets of a flow in the service's generations, newest first.
    pub(super) fn base_targets(
        &self,
        service: ServiceIndex,
        fingerprint: Fingerprint,
    ) -> Vec<TargetId> {
        let mut base_targets = Vec::new();
        let generations = self.routes.service(service).map(|s| &s.generations);
        for generation in generations.into_iter().flatten() {
            if let Some(target) = generation.base_target(fingerprint)
                && self.routes.target(target).is_some()
                && !base_targets.contains(&target)
            {
                base_targets.push(target);
            }
        }
        base_targets
    }

    /// Sends a packet of an unknown TCP flow to the first candidate, or rejects the packet if there
    /// is none.
    pub(super) fn probe(&mut self, now: Instant, packet: &Packet<'_>, out: &mut Vec<Action>) {
        if packet.summary.flags.rst {
            return self.drop_packet(Cause::UnknownFlow, out);
        }
        let Some(target) = self.next_candidate(now, packet, None) else {
            return self.reject(packet, out);
        };
        self.counters.probes += 1;
        let entry = Entry::new(packet.fingerprint, target, State::Open).with(Mark::Probing);
        self.store(now, &entry);
        self.deliver(packet, target, out);
    }

    /// Sends a further packet of a probed flow to the candidate or, if a return packet has
    /// confirmed a target since, to this target.
    pub(super) fn continue_probe(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        if let Some(cached) = self.cache.get(now, packet.fingerprint) {
            entry.target = cached.target;
            entry = with_confirmed_target(entry);
        }
        self.store(now, &entry);
        self.deliver(packet, entry.target, out);
    }

    /// Handles a reset from the candidate: the next packet goes to the next candidate, if there is
    /// one.
    pub(super) fn next_probe(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        mut entry: Entry,
        out: &mut Vec<Action>,
    ) {
        entry.idle_ticks = 0;
        let Some(target) = self.next_candidate(now, packet, Some(entry.target)) else {
            entry.state = State::Closed;
            self.store(now, &entry);
            return self.send_to_caller(packet, out);
        };
        entry.target = target;
        self.store(now, &entry);
        self.drop_packet(Cause::Probed, out);
    }

    fn next_candidate(
        &self,
        now: Instant,
        packet: &Packet<'_>,
        after: Option<TargetId>,
    ) -> Option<TargetId> {
        let base_targets = self.base_targets(packet.service, packet.fingerprint);
        let skip = after.map_or(0, |after| {
            let position = base_targets.iter().position(|target| *target == after);
            position.map_or(base_targets.len(), |position| position + 1)
        });
        base_targets
            .into_iter()
            .skip(skip)
            .find(|target| self.target_status(now, packet.service, *target) == TargetStatus::Usable)
    }
}

/// Returns the entry with its target marked as confirmed by a return packet.
pub(super) fn with_confirmed_target(mut entry: Entry) -> Entry {
    entry.set(Mark::Probing, false);
    entry.set(Mark::Pinned, true);
    entry
}
