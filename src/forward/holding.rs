use std::time::{Duration, Instant};

use crate::{
    flow::{Entry, Mark, State, Table},
    forward::{Forwarder, Mode},
};

/// The number of buckets that a tick looks at for expired flows.
///
/// With a tick of 10 ms, a table with 2^20 buckets is passed in 10 s.
const SWEEP_BUCKETS: usize = 1024;

/// The time between two prunings of the history of owners.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// The table of held flows and the placer's counts, which must change together.
impl Forwarder {
    /// Stores a record and keeps the placer's counts.
    pub(super) fn store(&mut self, now: Instant, entry: &Entry) {
        let counts = |entry: &Entry| entry.has(Mark::Placed) && entry.state != State::Closed;
        let held = self.table.peek(now, entry.fingerprint);
        // Most packets of an active flow change nothing within a tick of the table.
        if held.as_ref() == Some(entry) {
            return;
        }
        let before = held.filter(counts);
        let after = Some(entry).filter(|entry| counts(entry));
        if before.map(|entry| entry.target) != after.map(|entry| entry.target) {
            if let Some(before) = before {
                self.placer.closed(before.target);
            }
            if let Some(after) = after {
                self.placer.opened(after.target);
            }
        }
        if let Some(evicted) = self.table.put(now, entry) {
            self.counters.evicted += 1;
            if counts(&evicted) {
                self.placer.closed(evicted.target);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pruned) >= PRUNE_INTERVAL {
            self.pruned = now;
            self.history.prune(now, self.config.history);
        }
        let (placer, ranking, id) = (&mut self.placer, &self.ranking, self.id);
        let owners_mode = self.config.mode == Mode::Owners;
        let history = self.config.history;
        // A member that is no owner does not hear of the end of a flow. Records of a flow that
        // a new owner got before its view changed are not idle yet.
        let stale = |entry: &Entry| {
            let slot = entry.fingerprint.slot();
            owners_mode
                && Table::TICK * u32::from(entry.idle) > history
                && ranking.owners(slot).is_some_and(|owners| !owners.contains(id))
        };
        self.table.expire(now, SWEEP_BUCKETS, stale, |entry| {
            if entry.has(Mark::Placed) && entry.state != State::Closed {
                placer.closed(entry.target);
            }
        });
        self.cache.expire(now, SWEEP_BUCKETS);
    }
}
