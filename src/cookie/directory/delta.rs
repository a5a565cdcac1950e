//! Export and import of changes between the daemons of a zone, so that only one of them has to read
//! the targets from the store.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::cookie::{
    ApplyOutcome, Delta, Directory, InventoryEntry, Position, Presence, Revision, Sequence,
};

impl Directory {
    /// Returns the changes after the position `since`.
    pub fn delta(&self, now: Instant, since: Position) -> Delta {
        let is_new = |changed: Sequence, revision: Revision| match since {
            Position::Followed(since) => changed > since,
            Position::Read(read) => revision > read,
        };
        let is_complete = match since {
            Position::Followed(since) => {
                (self.last_forgotten_change..=self.sequence).contains(&since)
            }
            Position::Read(_) => false,
        };
        let mut delta = Delta {
            sequence: self.sequence,
            revision: self.revision,
            age: elapsed(now, self.read_at),
            operator_change_revision: self.last_operator_change,
            operator_age: elapsed(now, self.confirmed_at),
            is_absence_conclusive: self.is_absence_conclusive(now),
            inventory: (!is_complete).then(|| self.inventory()),
            ..Delta::default()
        };
        let changed = self
            .targets
            .iter()
            .filter(|(_, known)| is_new(known.last_change, known.target.revision));
        for (name, known) in changed {
            match known.presence {
                Presence::Present => delta.written.push((*known.target).clone()),
                Presence::Unreadable => delta.unreadable.push((*known.target).clone()),
                Presence::Lapsed => delta.lapsed.push((*known.target).clone()),
                Presence::Gone => delta.ended.push(name.clone()),
            }
        }
        delta
    }

    fn inventory(&self) -> Vec<InventoryEntry> {
        let left = self.targets.iter().filter(|(_, known)| known.presence != Presence::Gone);
        left.map(|(name, known)| InventoryEntry {
            name: name.clone(),
            revision: known.target.revision,
            presence: known.presence,
        })
        .collect()
    }

    /// Applies a delta of the followed daemon. Returns [`ApplyOutcome::Ignored`] without any change
    /// if this daemon lacks more than the delta contains or has read the targets at a newer
    /// revision; it then has to read the targets from the store.
    pub fn apply_delta(&mut self, now: Instant, delta: Delta) -> ApplyOutcome {
        let Delta { age: Some(age), operator_age: Some(operator_age), .. } = delta else {
            return ApplyOutcome::Ignored;
        };
        if delta.revision < self.revision || !self.is_delta_sufficient(now, &delta) {
            return ApplyOutcome::Ignored;
        }
        if !delta.is_absence_conclusive {
            self.store_health.record_failure(now);
        }
        let before = self.sequence;
        self.enter_era(now, delta.revision);
        self.revision = delta.revision;
        let mut missing: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut lapsed: Vec<Arc<str>> = Vec::new();
        let mut unreadable: Vec<Arc<str>> = Vec::new();
        if let Some(inventory) = delta.inventory {
            missing.extend(self.targets.keys().cloned());
            for InventoryEntry { name, presence, .. } in inventory {
                missing.remove(&name);
                match presence {
                    Presence::Lapsed => lapsed.push(name),
                    Presence::Unreadable => unreadable.push(name),
                    Presence::Present | Presence::Gone => {}
                }
            }
        }
        for target in &delta.lapsed {
            lapsed.push(target.name.clone());
        }
        for target in &delta.unreadable {
            unreadable.push(target.name.clone());
        }
        for target in delta.lapsed.into_iter().chain(delta.unreadable) {
            if !self.is_restored(now, &target) {
                self.insert_target(now, target);
            }
        }
        for target in delta.written {
            if self.is_restored(now, &target) {
                self.restored_targets.insert(target.name.clone(), target);
            } else {
                self.restored_targets.remove(&target.name);
                self.insert_target(now, target);
            }
        }
        for name in delta.ended.iter().chain(&missing) {
            self.restored_targets.remove(name);
        }
        unreadable.iter().for_each(|name| self.record_unreadable(name));
        lapsed.iter().for_each(|name| self.record_missing(now, name, true));
        delta.ended.iter().for_each(|name| self.record_missing(now, name, false));
        missing.iter().for_each(|name| self.record_missing(now, name, false));
        self.apply_restored(now);
        let present = self.targets.values_mut().filter(|t| t.presence == Presence::Present);
        present.for_each(|known| known.era = delta.revision.era);
        self.forget_ended(now);
        self.record_read(now, now.checked_sub(age));
        // The followed daemon confirms only what this daemon has read as well.
        if self.operator_revision >= delta.operator_change_revision
            && self.operator_revision.era == delta.operator_change_revision.era
        {
            self.confirmed_at = self.confirmed_at.max(now.checked_sub(operator_age));
            self.release_unconfirmed_zones();
        }
        if self.sequence == before { ApplyOutcome::Same } else { ApplyOutcome::New }
    }

    /// Returns whether this directory is complete after the delta: each target of the delta's
    /// inventory is in this directory or in the delta, and a target that is missing in the
    /// inventory has certainly ended. An entry has the same number in each era that holds it, and
    /// the delta contains those that were written since this directory's era. In a later era, the
    /// followed daemon may have been started after the return from a copy and may not know the targets
    /// that the copy lacks, so a target that is missing in its inventory may still run.
    fn is_delta_sufficient(&self, now: Instant, delta: &Delta) -> bool {
        let Some(inventory) = &delta.inventory else {
            return true;
        };
        let changed = || delta.written.iter().chain(&delta.lapsed).chain(&delta.unreadable);
        let is_known = |item: &InventoryEntry| {
            let known = self.targets.get(&item.name);
            known.is_some_and(|known| known.target.revision.number == item.revision.number)
                || changed().any(|target| target.name == item.name)
        };
        let is_lacking = || {
            let listed: BTreeSet<&Arc<str>> = inventory.iter().map(|item| &item.name).collect();
            let mut left = self.targets.iter().filter(|(_, t)| t.presence != Presence::Gone);
            left.any(|(name, _)| !listed.contains(name))
        };
        let is_later_era = delta.revision.era > self.revision.era;
        delta.is_absence_conclusive
            && self.is_absence_conclusive(now)
            && inventory.iter().all(is_known)
            && !(is_later_era && is_lacking())
    }
}

fn elapsed(now: Instant, since: Option<Instant>) -> Option<Duration> {
    since.map(|since| now.saturating_duration_since(since))
}
