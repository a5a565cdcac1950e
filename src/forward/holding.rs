use std::time::{Duration, Instant};

use crate::{
    flow::{Cursor, Entry, Mark, State, Table},
    forward::{Forwarder, Mode},
    member::{self, Ranking},
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
        let held = self.table.peek(now, entry.fingerprint);
        // Most packets of an active flow change nothing within a tick of the table.
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

    /// Returns whether the placer counts a flow: this daemon is the primary owner of the flow,
    /// which is open on a confirmed target.
    pub(super) fn is_counted(&self, entry: &Entry) -> bool {
        is_counted(&self.ranking, self.id, entry)
    }

    /// Counts the open flows again, because the primary owners have changed.
    pub(super) fn recount(&mut self, now: Instant) {
        self.placer.reset_open_flows();
        let (placer, ranking, id) = (&mut self.placer, &self.ranking, self.id);
        self.table.scan(now, &mut Cursor::default(), usize::MAX, |entry| {
            if is_counted(ranking, id, &entry) {
                placer.record_open(entry.target);
            }
        });
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
