use std::time::{Duration, Instant};

use crate::{
    flow::{Mark, SLOTS, State},
    forward::{
        Action, Forwarder,
        copier::{Batch, CopyTask},
    },
    member::{self, Ranking},
    wire::{Body, Record},
};

/// The number of buckets scanned between two checks of the batch size. The largest batch therefore
/// has `BATCH_RECORDS - 1 + BUCKETS_PER_STEP` records, which fit in a packet of 1,500 bytes.
const BUCKETS_PER_STEP: usize = 16;

/// The number of collected records at which a batch is sent.
const BATCH_RECORDS: usize = 24;

/// The largest number of buckets scanned in one tick.
const MAX_BUCKETS_PER_TICK: usize = 4096;

/// The time after which an unacknowledged batch is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// The number of times that a batch is sent. A recipient that acknowledges none of them has failed,
/// and the next ranking names another owner.
const MAX_ATTEMPTS: u8 = 10;

/// The largest encoded size of a record in a batch, in bytes.
const RECORD_BYTES: usize = 30;

/// Copying of records to new owners.
impl Forwarder {
    /// Plans the copies for the hash slots whose owners have changed.
    pub(super) fn plan_copies(&mut self, previous: &Ranking) {
        let ranking = self.ranking.clone();
        self.copier.tasks.retain_mut(|task| {
            for slot in 0..SLOTS {
                let owners = ranking.owners(slot);
                task.slots[usize::from(slot)] &=
                    owners.is_some_and(|owners| owners.contains(task.recipient));
            }
            task.slots.contains(&true)
        });
        for slot in 0..SLOTS {
            let (Some(before), Some(after)) = (previous.owners(slot), ranking.owners(slot)) else {
                continue;
            };
            let owner_remains = after.iter().any(|id| before.contains(id));
            // The former pairs of owners, without the pair that the current change has replaced.
            let earlier = self.history.former_pairs(slot).split_last();
            let earlier = earlier.map_or(&[][..], |(_, earlier)| earlier);
            // The copies after an earlier change may be incomplete, so every member that may hold
            // records sends them.
            let sends = match before.contains(self.id) {
                true => after.contains(self.id) || !owner_remains || !earlier.is_empty(),
                false => earlier.iter().any(|pair| pair.owners.contains(self.id)),
            };
            if sends || self.is_leaving() {
                for id in after.iter().filter(|id| !before.contains(*id)) {
                    self.copier.add(id, slot);
                }
            }
        }
    }

    /// Sends the next records to new owners, within the rate limit.
    pub(super) fn continue_copies(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.resend_copies(now, out);
        let mut buckets = 0;
        while buckets < MAX_BUCKETS_PER_TICK
            && self.copier.unacknowledged.len() < self.copier.window
            && self.copier.rate_limiter.take(now, 0.0)
        {
            let Some(mut task) = self.copier.tasks.pop_front() else {
                return;
            };
            let mut records = Vec::new();
            let mut complete = false;
            while !complete && buckets < MAX_BUCKETS_PER_TICK && records.len() < BATCH_RECORDS {
                complete = self.collect(now, &mut task, &mut records);
                buckets += BUCKETS_PER_STEP;
            }
            let recipient = task.recipient;
            if !complete {
                self.copier.tasks.push_front(task);
            }
            if !records.is_empty() {
                let sequence = self.copier.next_sequence();
                self.counters.copied += records.len() as u64;
                let batch = Batch { recipient, records, sent_at: now, attempts: 1 };
                self.send_batch(now, sequence, &batch, out);
                self.copier.unacknowledged.insert(sequence, batch);
            }
        }
    }

    /// Collects the records from the task's next buckets. Returns whether the scan is complete.
    fn collect(&self, now: Instant, task: &mut CopyTask, records: &mut Vec<Record>) -> bool {
        let CopyTask { slots, cursor, .. } = task;
        self.table.scan(now, cursor, BUCKETS_PER_STEP, |entry| {
            let slot = entry.fingerprint.slot();
            let owners = self.ranking.owners(slot);
            let is_owner = owners.is_some_and(|owners| owners.contains(self.id));
            let copied = is_owner && entry.has(Mark::Replicated);
            if slots[usize::from(slot)]
                && !copied
                && entry.state != State::Closed
                && !entry.has(Mark::Probing)
            {
                records.push(entry.record());
            }
        })
    }

    fn resend_copies(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        self.copier.unacknowledged.retain(|sequence, batch| {
            if now.saturating_duration_since(batch.sent_at) < RESEND_INTERVAL {
                return true;
            }
            batch.sent_at = now;
            batch.attempts += 1;
            if batch.attempts <= MAX_ATTEMPTS {
                due.push((*sequence, batch.clone()));
            }
            batch.attempts <= MAX_ATTEMPTS
        });
        for (sequence, batch) in due {
            self.send_batch(now, sequence, &batch, out);
        }
    }

    fn send_batch(&mut self, now: Instant, sequence: u32, batch: &Batch, out: &mut Vec<Action>) {
        let bytes = RECORD_BYTES * batch.records.len() + 32;
        self.copier.rate_limiter.debit(now, bytes as f64);
        let records = batch.records.clone();
        self.send_control(batch.recipient, Body::Copy { sequence, records }, out);
    }

    /// Handles the acknowledgement of a batch.
    pub(super) fn on_copy_acknowledged(&mut self, sender: member::Id, sequence: u32) {
        let batches = &mut self.copier.unacknowledged;
        if batches.get(&sequence).is_none_or(|batch| batch.recipient != sender) {
            return;
        }
        let Some(batch) = batches.remove(&sequence) else {
            return;
        };
        for record in &batch.records {
            if self.other_owner(record.fingerprint) == Some(sender) {
                self.table.mark(record.fingerprint, Mark::Replicated);
            }
        }
    }
}
