use std::time::{Duration, Instant};

use crate::{
    flow::{Cursor, Entry, Mark, State, Table},
    forward::{Forwarder, Mode},
    member::{self, Ranking},
};

/// The number of buckets that are checked for expired records in each tick.
///
/// With a tick of 10 ms, a table with 2^20 buckets is checked in 10 s.
const SWEEP_BUCKETS: usize = 1024;

/// The time between two removals of old pairs from the history of owners.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Updates of the flow table and of the placer's counts of open flows, which must agree.
impl Forwarder {
    /// Stores a record and updates the placer's counts.
    pub(super) fn store(&mut self, now: Instant, entry: &Entry) {
        let held = self.table.peek(now, entry.fingerprint);
        // Most packets of an active flow do not change the record within a tick of the table.
        if held.as_ref() == Some(entry) {
            return;
        }
        let before = held.filter(|entry| self.is_counted(entry));
        let after = Some(entry).filter(|entry| self.is_counted(entry));
        if before.map(|entry| entry.target) != after.map(|entry| entry.target) {
            if let Some(before) = before {
                self.placer.record_close(before.target);
            }
            if let Some(after) = after {
                self.placer.record_open(after.target);
            }
        }
        if let Some(evicted) = self.table.put(now, entry) {
            self.counters.evicted += 1;
            if self.is_counted(&evicted) {
                self.placer.record_close(evicted.target);
            }
        }
    }

    /// Returns whether the placer counts a flow: this daemon is the flow's primary owner, and the
    /// flow has a confirmed target and has not ended.
    pub(super) fn is_counted(&self, entry: &Entry) -> bool {
        is_counted(&self.ranking, self.id, entry)
    }

    /// Counts the open flows again after a change of primary owners.
    pub(super) fn recount_open_flows(&mut self, now: Instant) {
        self.placer.reset_open_flows();
        let (placer, ranking, id) = (&mut self.placer, &self.ranking, self.id);
        self.table.scan(now, &mut Cursor::default(), usize::MAX, |entry| {
            if is_counted(ranking, id, &entry) {
                placer.record_open(entry.target);
            }
        });
    }

    pub(super) fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            self.history.prune(now, self.config.history_period);
        }
        let (placer, ranking, id) = (&mut self.placer, &self.ranking, self.id);
        let owners_mode = self.config.mode == Mode::Owners;
        let history = self.config.history_period;
        // A member that is not an owner is not told of the end of a flow. Records that this daemon
        // received as a new owner before its view changed are not idle yet, so they are kept.
        let stale = |entry: &Entry| {
            let slot = entry.fingerprint.slot();
            owners_mode
                && Table::TICK * u32::from(entry.idle_ticks) > history
                && ranking.owners(slot).is_some_and(|owners| !owners.contains(id))
        };
        self.table.expire(now, SWEEP_BUCKETS, stale, |entry| {
            if is_counted(ranking, id, &entry) {
                placer.record_close(entry.target);
            }
        });
        self.cache.expire(now, SWEEP_BUCKETS);
    }
}

/// See [`Forwarder::is_counted`].
fn is_counted(ranking: &Ranking, id: member::Id, entry: &Entry) -> bool {
    let is_primary = || {
        let owners = ranking.owners(entry.fingerprint.slot());
        owners.is_some_and(|owners| owners.primary == id)
    };
    entry.state != State::Closed && !entry.has(Mark::Probing) && is_primary()
}
