use std::time::Instant;

use crate::{
    flow::{Entry, Fingerprint, Mark, State},
    forward::{Action, Cause, Forwarder, TargetStatus, packet::Packet, request::after_non_syn},
    member,
    ticket::TargetId,
    wire::{Body, Record, Stage},
};

/// Records that another owner sends, with a data packet or as a copy.
impl Forwarder {
    /// Handles a request packet as secondary owner.
    pub(super) fn store_request(
        &mut self,
        now: Instant,
        sender: member::Id,
        packet: &Packet<'_>,
        chosen: (TargetId, Option<TargetId>),
        out: &mut Vec<Action>,
    ) {
        let (target, replaces) = chosen;
        let fingerprint = packet.fingerprint;
        let held = self.table.get(now, fingerprint);
        let kept = held.filter(|entry| {
            entry.target != target
                && self.target_status(now, packet.service, entry.target) != TargetStatus::Gone
                && takes_precedence(entry, packet, replaces)
        });
        if let Some(entry) = kept {
            self.counters.conflicts += 1;
            let target = entry.target;
            self.send_control(sender, Body::FlowTarget { fingerprint, target }, out);
            return self.deliver_stored(now, sender, packet, entry, out);
        }
        let same = held.filter(|entry| entry.target == target);
        let entry = match same {
            Some(entry) => entry,
            None => {
                self.remove_record(now, fingerprint);
                Entry::new(fingerprint, target, State::Opening)
            }
        };
        let next = after_request(entry, packet);
        self.store(now, &next);
        self.deliver_stored(now, sender, packet, next, out);
    }

    fn deliver_stored(
        &mut self,
        now: Instant,
        sender: member::Id,
        packet: &Packet<'_>,
        entry: Entry,
        out: &mut Vec<Action>,
    ) {
        let target = entry.target;
        match self.target_status(now, packet.service, target) {
            TargetStatus::Usable => self.deliver(packet, target, out),
            TargetStatus::Gone => self.terminate(now, packet, entry, out),
            TargetStatus::NotYetUsable => self.hop(sender, packet, Stage::Deliver { target }, out),
        }
    }

    /// Delivers a packet that the secondary owner sent back because its target is not usable there
    /// yet.
    pub(super) fn deliver_for_secondary(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let held = self.table.get(now, packet.fingerprint);
        if held.is_some_and(|entry| entry.target != target) {
            return self.drop_packet(Cause::ResetFilter, out);
        }
        match self.target_status(now, packet.service, target) {
            TargetStatus::Usable => self.deliver(packet, target, out),
            TargetStatus::Gone => self.drop_packet(Cause::TargetGone, out),
            TargetStatus::NotYetUsable => self.drop_packet(Cause::TargetUnheard, out),
        }
    }

    /// Handles a message that names the target of a flow.
    pub(super) fn on_flow_target(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: TargetId,
    ) {
        let Some(entry) = self.table.get(now, fingerprint) else {
            return self.cache.put(now, fingerprint, target, true);
        };
        if entry.target == target {
            return;
        }
        if entry.has(Mark::Pinned) && entry.state != State::Closed {
            self.counters.conflicts_open += 1;
            return;
        }
        self.store(now, &Entry::new(fingerprint, target, State::Opening));
    }

    /// Stores copied records and acknowledges them.
    pub(super) fn on_copy(
        &mut self,
        now: Instant,
        sender: member::Id,
        sequence: u32,
        records: &[Record],
        out: &mut Vec<Action>,
    ) {
        for record in records {
            let held = self.table.get(now, record.fingerprint);
            let is_replaceable = held.is_none_or(|entry| {
                entry.has(Mark::Probing)
                    || (entry.state == State::Opening
                        && !entry.has(Mark::Pinned)
                        && State::from(record.state).is_open())
            });
            if is_replaceable {
                self.counters.copies_stored += 1;
                self.store(now, &Entry::from_record(record));
                self.forward_copy(sender, record.fingerprint);
            }
        }
        self.send_control(sender, Body::CopyAck { sequence }, out);
    }

    /// Forwards a copied record to the owners if this daemon is leaving. The sender still took it
    /// for an owner.
    fn forward_copy(&mut self, sender: member::Id, fingerprint: Fingerprint) {
        let slot = fingerprint.slot();
        let Some(owners) = self.ranking.owners(slot).filter(|_| self.is_leaving()) else {
            return;
        };
        for id in owners.iter().filter(|id| *id != sender && *id != self.id) {
            self.copier.add(id, slot);
        }
    }

    /// Removes the record of a flow, so that a record with another target can be stored.
    fn remove_record(&mut self, now: Instant, fingerprint: Fingerprint) {
        if let Some(entry) = self.table.remove(now, fingerprint)
            && self.is_counted(&entry)
        {
            self.placer.record_close(entry.target);
        }
    }
}

/// Returns whether the secondary owner's record takes precedence over the different target that the
/// primary owner chose.
fn takes_precedence(held: &Entry, packet: &Packet<'_>, replaces: Option<TargetId>) -> bool {
    let opening = held.state == State::Opening && !held.has(Mark::Pinned);
    // The primary owner has moved the flow, or has seen the flow open on the target that it chose.
    let yields = opening && (replaces == Some(held.target) || !packet.summary.is_syn());
    held.state != State::Closed && !held.has(Mark::Probing) && !yields
}

/// Returns the secondary owner's entry after a request packet.
fn after_request(entry: Entry, packet: &Packet<'_>) -> Entry {
    let flags = packet.summary.flags;
    if packet.summary.is_syn() {
        if entry.state == State::Closed {
            return Entry::new(entry.fingerprint, entry.target, State::Opening);
        }
        return entry.with_zero_idle();
    }
    let mut next = after_non_syn(entry, packet);
    next.set(Mark::Probing, false);
    next.set(Mark::Pinned, true);
    if flags.fin {
        next.set(Mark::CallerFin, true);
    }
    if flags.rst || (next.has(Mark::CallerFin) && next.has(Mark::TargetFin)) {
        next.state = State::Closed;
    }
    next
}
