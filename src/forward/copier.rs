use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use crate::{
    flow::{Cursor, SLOTS, Slot},
    forward::Config,
    member,
    util::TokenBucket,
    wire::Record,
};

/// A scan of the table for the records that one new owner needs.
#[derive(Debug, Clone)]
pub(super) struct CopyTask {
    /// The new owner.
    pub(super) recipient: member::Id,
    /// For each hash slot, whether the recipient needs its records.
    pub(super) slots: Vec<bool>,
    /// How far the table has been scanned.
    pub(super) cursor: Cursor,
}

/// A batch of records that was sent and has not been acknowledged.
#[derive(Debug, Clone)]
pub(super) struct Batch {
    pub(super) recipient: member::Id,
    pub(super) records: Vec<Record>,
    /// When the batch was last sent.
    pub(super) sent_at: Instant,
    /// The number of times that the batch was sent.
    pub(super) attempts: u8,
}

/// Tracks which records have to be copied to new owners and which copies are not acknowledged yet.
#[derive(Debug, Clone)]
pub(super) struct Copier {
    /// The scans that are not complete, at most one for each recipient.
    pub(super) tasks: VecDeque<CopyTask>,
    /// The batches without an acknowledgement, by sequence number.
    pub(super) unacknowledged: BTreeMap<u32, Batch>,
    /// Limits the bytes of batches per second.
    pub(super) rate_limiter: TokenBucket,
    /// The number of unacknowledged batches at which no further batch is sent.
    pub(super) window: usize,
    /// The sequence number of the last batch. It starts at a random number, so that an
    /// acknowledgement of a batch that an earlier process of this daemon sent matches no batch.
    sequence: u32,
}

impl Copier {
    pub(super) fn new(config: &Config, seed: u64, now: Instant) -> Copier {
        Copier {
            tasks: VecDeque::new(),
            unacknowledged: BTreeMap::new(),
            rate_limiter: TokenBucket::new(
                config.copy_bytes_per_second,
                config.copy_burst_bytes,
                now,
            ),
            window: 8,
            sequence: seed as u32,
        }
    }

    /// Switches from the background rate to the handover rate.
    pub(super) fn use_handover_rate(&mut self, config: &Config, now: Instant) {
        self.rate_limiter = TokenBucket::new(
            config.handover_bytes_per_second,
            config.handover_bytes_per_second / 4.0,
            now,
        );
        self.window = 64;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.tasks.is_empty() && self.unacknowledged.is_empty()
    }

    /// Adds a hash slot to the task of `recipient`, creating the task if needed, and restarts the
    /// task's scan.
    pub(super) fn add(&mut self, recipient: member::Id, slot: Slot) {
        let found = self.tasks.iter().position(|task| task.recipient == recipient);
        let index = found.unwrap_or_else(|| {
            self.tasks.push_back(CopyTask {
                recipient,
                slots: vec![false; usize::from(SLOTS)],
                cursor: Cursor::default(),
            });
            self.tasks.len() - 1
        });
        let task = &mut self.tasks[index];
        task.slots[usize::from(slot)] = true;
        task.cursor = Cursor::default();
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
