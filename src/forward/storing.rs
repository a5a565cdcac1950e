use std::time::Instant;

use crate::{
    flow::{Entry, Fingerprint, Mark, State},
    forward::{Action, Cause, Forwarder, Standing, deciding::touched, packet::Packet},
    member,
    ticket::TargetId,
    wire::{Body, Record, Stage},
};

/// The records that another owner sends, on the data path or by copy.
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
                && self.standing(now, packet.service, entry.target) != Standing::Gone
                && wins(entry, packet, replaces)
        });
        if let Some(entry) = kept {
            self.counters.conflicts += 1;
            let target = entry.target;
            self.tell(sender, Body::Learned { fingerprint, target }, out);
            return self.deliver_stored(now, sender, packet, entry, out);
        }
        let same = held.filter(|entry| entry.target == target);
        let entry = match same {
            Some(entry) => entry,
            None => {
                self.forget(now, fingerprint);
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
        match self.standing(now, packet.service, target) {
            Standing::Usable => self.deliver(packet, target, out),
            Standing::Gone => self.terminate(now, packet, entry, out),
            Standing::Unheard => self.hop(sender, packet, Stage::Deliver { target }, out),
        }
    }

    /// Delivers a packet that the secondary owner could not deliver.
    pub(super) fn deliver_returned(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        target: TargetId,
        out: &mut Vec<Action>,
    ) {
        let held = self.table.get(now, packet.fingerprint);
        if held.is_some_and(|entry| entry.target != target) {
            return self.drop(Cause::ResetFilter, out);
        }
        match self.standing(now, packet.service, target) {
            Standing::Usable => self.deliver(packet, target, out),
            Standing::Gone => self.drop(Cause::TargetGone, out),
            Standing::Unheard => self.drop(Cause::TargetUnheard, out),
        }
    }

    /// Handles the news that a flow is on a target.
    pub(super) fn on_learned(&mut self, now: Instant, fingerprint: Fingerprint, target: TargetId) {
        let Some(entry) = self.table.get(now, fingerprint) else {
            return self.cache.put(now, fingerprint, target, true);
        };
        if entry.target == target {
            return;
        }
        if entry.has(Mark::Relayed) && entry.state != State::Closed {
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
            let weaker = held.is_none_or(|entry| {
                entry.has(Mark::Probing)
                    || (entry.state == State::Opening
                        && !entry.has(Mark::Relayed)
                        && State::from(record.state).is_open())
            });
            if weaker {
                self.counters.copies_stored += 1;
                self.store(now, &Entry::from_record(record));
                self.forward_copy(sender, record.fingerprint);
            }
        }
        self.tell(sender, Body::Copied { sequence }, out);
    }

    /// Passes a copied record on if this daemon is about to stop and was taken for an owner.
    fn forward_copy(&mut self, sender: member::Id, fingerprint: Fingerprint) {
        let slot = fingerprint.slot();
        let Some(owners) = self.ranking.owners(slot).filter(|_| self.is_leaving()) else {
            return;
        };
        for id in owners.iter().filter(|id| *id != sender && *id != self.id) {
            self.copier.add(id, slot);
        }
    }

    /// Removes a record, so that a record with another target can take its place.
    fn forget(&mut self, now: Instant, fingerprint: Fingerprint) {
        if let Some(entry) = self.table.remove(now, fingerprint)
            && self.is_counted(&entry)
        {
            self.placer.record_close(entry.target);
        }
    }
}

/// Returns whether the secondary owner's record wins over another target that the primary
/// owner has chosen.
fn wins(held: &Entry, packet: &Packet<'_>, replaces: Option<TargetId>) -> bool {
    let opening = held.state == State::Opening && !held.has(Mark::Relayed);
    // The primary owner has moved the flow, or it has seen the flow open on its target.
    let yields = opening && (replaces == Some(held.target) || !packet.summary.opens());
    held.state != State::Closed && !held.has(Mark::Probing) && !yields
}

/// Returns the entry after a request packet.
fn after_request(entry: Entry, packet: &Packet<'_>) -> Entry {
    let flags = packet.summary.flags;
    if packet.summary.opens() {
        if entry.state == State::Closed {
            return Entry::new(entry.fingerprint, entry.target, State::Opening);
        }
        return entry.fresh();
    }
    let mut next = touched(entry, packet);
    next.set(Mark::Probing, false);
    next.set(Mark::Relayed, true);
    if flags.fin {
        next.set(Mark::CallerFin, true);
    }
    if flags.rst || (next.has(Mark::CallerFin) && next.has(Mark::TargetFin)) {
        next.state = State::Closed;
    }
    next
}
