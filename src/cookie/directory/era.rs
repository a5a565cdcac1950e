//! The return of the store from a copy, which begins a new era of its revisions.
//!
//! Writers repeat what the copy lacks, but not at once, and the copy may show again what had
//! already been removed. Neither a missing nor a restored entry is therefore trusted immediately.

use std::{collections::BTreeSet, sync::Arc, time::Instant};

use crate::cookie::{Directory, OperatorState, Presence, Revision, Target};

/// The first read of the targets in an era.
#[derive(Debug, Clone, Copy)]
pub(super) struct EraStart {
    at: Instant,
    /// The store's revision at that read. Entries with a higher number were written in the era.
    revision: Revision,
}

impl Directory {
    /// Begins the era of `revision`, at which the targets were read, unless it has already begun.
    pub(super) fn enter_era(&mut self, now: Instant, revision: Revision) {
        if self.read_at.is_none() || revision.era <= self.revision.era {
            return;
        }
        self.store_health.record_return(now);
        self.restored_targets.clear();
        self.era_start = Some(EraStart { at: now, revision });
    }

    /// Returns whether the entry of `target` was certainly written in the present era, which has begun
    /// while this daemon ran.
    pub(super) fn is_written_in_era(&self, target: &Target) -> bool {
        self.era_start.is_some_and(|start| target.revision.follows(start.revision))
    }

    /// Returns whether the entry of `target` may be one that was removed before the store returned
    /// from a copy: the same or a later start of the target is known, it has not been seen in the
    /// present era, and the entry was not certainly written in this era.
    pub(super) fn is_restored(&self, now: Instant, target: &Target) -> bool {
        let (Some(start), Some(known)) = (self.era_start, self.targets.get(&target.name)) else {
            return false;
        };
        let number = target.revision.number;
        let is_former = if known.target.born == target.born {
            known.presence == Presence::Gone && number <= known.target.revision.number
        } else {
            known.target.born > target.born
        };
        let lasted = now.saturating_duration_since(start.at);
        is_former
            && known.era < self.revision.era
            && !self.is_written_in_era(target)
            && lasted < self.tuning.restored_entry_lifetime
    }

    /// Requires a listing of the targets if restored entries may still be in the store. Neither a delta
    /// nor a peer's state contains them, and a watch reports only later changes, so a running target
    /// that counts as ended would stay ended.
    pub(super) fn request_listing(&mut self, now: Instant) {
        self.is_listing_due |= self.era_start.is_some_and(|start| {
            now.saturating_duration_since(start.at) < self.tuning.restored_entry_lifetime
        });
    }

    /// Applies the restored entries that are still in the store although the entries of ended
    /// targets have expired.
    pub(super) fn apply_restored(&mut self, now: Instant) {
        let is_due = self.era_start.is_some_and(|start| {
            now.saturating_duration_since(start.at) >= self.tuning.restored_entry_lifetime
        });
        if is_due {
            for target in std::mem::take(&mut self.restored_targets).into_values() {
                self.insert_target(now, target);
            }
        }
    }

    /// Keeps the zones out of service that are not among `listed`, the zones with an item in the copy
    /// from which the store has returned, until operators have had time to write their items again.
    pub(super) fn restart_zone_grace(&mut self, now: Instant, listed: &BTreeSet<Arc<str>>) {
        let until = now.checked_add(self.tuning.zone_grace).unwrap_or(now);
        let missing = self.zones_out.iter().filter(|zone| !listed.contains(*zone));
        self.unconfirmed_zones = missing.map(|zone| (zone.clone(), until)).collect();
    }

    /// Keeps the zones out of service that another daemon keeps out without an item, unless they have
    /// returned to service here in the same era. A grace that this daemon has begun is not prolonged.
    pub(super) fn merge_unconfirmed_zones(&mut self, now: Instant, operator: &OperatorState) {
        for (zone, remaining) in &operator.unconfirmed_zones {
            let has_returned = self
                .zones_back
                .get(zone)
                .is_some_and(|(since, _)| since.era == operator.revision.era);
            if !has_returned {
                let remaining = (*remaining).min(self.tuning.zone_grace);
                let until = now.checked_add(remaining).unwrap_or(now);
                self.unconfirmed_zones.entry(zone.clone()).or_insert(until);
            }
        }
    }

    /// Returns zones to service whose items operators have not written again in time.
    pub(super) fn release_unconfirmed_zones(&mut self) {
        let Some(confirmed_at) = self.confirmed_at else {
            return;
        };
        let is_over = |until: &Instant| *until <= confirmed_at;
        let over: Vec<Arc<str>> = self
            .unconfirmed_zones
            .iter()
            .filter(|(_, until)| is_over(until))
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in over {
            self.unconfirmed_zones.remove(&zone);
            self.zones_out.remove(&zone);
            self.zones_back.insert(zone, (self.operator_revision, confirmed_at));
            self.record_operator_change(self.operator_revision);
        }
    }
}
