use std::time::{Duration, Instant};

use hashbrown::HashTable;

use crate::{
    flow::{Cursor, Entry, Fingerprint, Mark, State, Timeouts, interner::Interner},
    ticket::TargetId,
};

/// The number of entries sampled to choose one for eviction from a full table.
const EVICTION_SAMPLE: usize = 64;

/// An [`Entry`] packed into 24 bytes. With the control byte of the hash table and the lowest load
/// factor after growth (7/16), a flow takes 57 bytes.
#[derive(Debug, Clone, Copy)]
struct Packed {
    fingerprint: [u32; 4],
    target: u32,
    last_tick: u16,
    marks: u8,
    /// `state` (2 bits), `unanswered` (3 bits) and `moves` (3 bits) of the entry.
    counts: u8,
}

const _: () = assert!(size_of::<Packed>() == 24);

/// The flow records that a daemon holds as an owner.
#[derive(Debug, Clone)]
pub struct Table {
    entries: HashTable<Packed>,
    targets: Interner,
    timeouts: Timeouts,
    capacity: usize,
    start: Instant,
    sweep: Cursor,
    eviction_position: usize,
}

impl Table {
    /// The resolution of the time of the last packet.
    pub const TICK: Duration = Duration::from_secs(4);

    /// Creates an empty table for at most `capacity` flows.
    pub fn new(capacity: usize, timeouts: Timeouts, now: Instant) -> Table {
        Table {
            entries: HashTable::new(),
            targets: Interner::default(),
            timeouts,
            capacity: capacity.max(1),
            start: now,
            sweep: Cursor::default(),
            eviction_position: 0,
        }
    }

    /// Returns the number of records, including expired ones that have not been removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table contains no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the allocated size of the hash table in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.entries.allocation_size()
    }

    /// Returns the number of records whose target is `target`.
    pub fn flow_count(&self, target: TargetId) -> u32 {
        self.targets.uses(target)
    }

    /// Returns the record of a flow unless the record has expired.
    pub fn get(&self, now: Instant, fingerprint: Fingerprint) -> Option<Entry> {
        let packed = self.entries.find(fingerprint.low_bits(), |packed| packed.is(fingerprint))?;
        let entry = self.unpack(now, packed);
        (!self.is_expired(&entry)).then_some(entry)
    }

    /// Returns the record of a flow even if the record has expired and was not removed yet.
    pub fn peek(&self, now: Instant, fingerprint: Fingerprint) -> Option<Entry> {
        self.entries
            .find(fingerprint.low_bits(), |packed| packed.is(fingerprint))
            .map(|packed| self.unpack(now, packed))
    }

    /// Stores the record of a flow in place of an earlier one. The time of the last packet becomes
    /// `now` less the entry's idle time.
    ///
    /// Returns the record that was evicted from a full table, if any.
    ///
    /// # Panics
    ///
    /// Panics if the entry changes the target of a pinned flow that has neither ended nor expired:
    /// the caller may have sent payload to the former target.
    pub fn put(&mut self, now: Instant, entry: &Entry) -> Option<Entry> {
        let last_tick = self.wrapped_ticks(now).wrapping_sub(entry.idle_ticks);
        let target = self.targets.acquire(entry.target);
        let packed = Packed::new(entry, target, last_tick);
        let hash = entry.fingerprint.low_bits();
        let expired = self.get(now, entry.fingerprint).is_none();
        if let Some(held) = self.entries.find_mut(hash, |held| held.is(entry.fingerprint)) {
            assert!(
                expired
                    || held.target == target
                    || held.state() == State::Closed
                    || held.marks & Mark::Pinned as u8 == 0,
                "pinned flow {:?} changes its target",
                entry.fingerprint
            );
            self.targets.release(held.target);
            *held = packed;
            return None;
        }
        let evicted = if self.entries.len() >= self.capacity { self.evict(now) } else { None };
        self.entries.insert_unique(hash, packed, |packed| packed.fingerprint().low_bits());
        evicted
    }

    /// Removes the record of a flow and returns it.
    pub fn remove(&mut self, now: Instant, fingerprint: Fingerprint) -> Option<Entry> {
        let held = self
            .entries
            .find_entry(fingerprint.low_bits(), |packed| packed.is(fingerprint))
            .ok()?;
        let (packed, _) = held.remove();
        let entry = self.unpack(now, &packed);
        self.targets.release(packed.target);
        Some(entry)
    }

    /// Removes the records that have expired or that `stale` selects from the next `limit` buckets,
    /// and passes each of them to `removed`.
    pub fn expire(
        &mut self,
        now: Instant,
        limit: usize,
        stale: impl Fn(&Entry) -> bool,
        mut removed: impl FnMut(Entry),
    ) {
        let mut cursor = self.sweep;
        let mut expired = Vec::new();
        if self.scan(now, &mut cursor, limit, |entry| {
            if self.is_expired(&entry) || stale(&entry) {
                expired.push(entry.fingerprint);
            }
        }) {
            cursor = Cursor::default();
        }
        self.sweep = cursor;
        for fingerprint in expired {
            if let Some(entry) = self.remove(now, fingerprint) {
                removed(entry);
            }
        }
    }

    /// Passes the records of the next `limit` buckets to `each` and advances the cursor.
    ///
    /// Returns whether the scan is complete.
    pub fn scan(
        &self,
        now: Instant,
        cursor: &mut Cursor,
        limit: usize,
        mut each: impl FnMut(Entry),
    ) -> bool {
        let buckets = self.entries.num_buckets();
        if cursor.buckets != buckets {
            *cursor = Cursor { position: 0, buckets };
        }
        let end = cursor.position.saturating_add(limit).min(buckets);
        for position in cursor.position..end {
            if let Some(packed) = self.entries.get_bucket(position) {
                each(self.unpack(now, packed));
            }
        }
        cursor.position = end;
        end == buckets
    }

    /// Removes `mark` from all flows whose fingerprint `selects` accepts.
    pub fn unmark(&mut self, mark: Mark, selects: impl Fn(Fingerprint) -> bool) {
        for packed in self.entries.iter_mut() {
            if selects(packed.fingerprint()) {
                packed.marks &= !(mark as u8);
            }
        }
    }

    /// Sets `mark` on a flow if the table holds the flow's record.
    pub fn mark(&mut self, fingerprint: Fingerprint, mark: Mark) {
        let hash = fingerprint.low_bits();
        if let Some(packed) = self.entries.find_mut(hash, |packed| packed.is(fingerprint)) {
            packed.marks |= mark as u8;
        }
    }

    /// Returns whether the flow has been idle for longer than its state allows.
    fn is_expired(&self, entry: &Entry) -> bool {
        let half_closed = entry.has(Mark::CallerFin) || entry.has(Mark::TargetFin);
        let timeout = match entry.state {
            State::Closed => self.timeouts.closed,
            _ if entry.has(Mark::Udp) => self.timeouts.udp,
            State::Opening => self.timeouts.opening,
            State::Answered | State::Open if half_closed => self.timeouts.half_closed,
            State::Answered | State::Open => self.timeouts.open,
        };
        Self::TICK * u32::from(entry.idle_ticks) > timeout
    }

    /// Evicts the record with the lowest state, and among these the longest idle time, from a
    /// sample of the table.
    fn evict(&mut self, now: Instant) -> Option<Entry> {
        let buckets = self.entries.num_buckets();
        let mut worst: Option<Entry> = None;
        let mut seen = 0;
        for step in 0..buckets {
            let position = (self.eviction_position + step) % buckets;
            let Some(packed) = self.entries.get_bucket(position) else {
                continue;
            };
            let entry = self.unpack(now, packed);
            let eviction_order = |entry: &Entry| (entry.state, std::cmp::Reverse(entry.idle_ticks));
            if worst.is_none_or(|worst| eviction_order(&entry) < eviction_order(&worst)) {
                worst = Some(entry);
            }
            seen += 1;
            if seen == EVICTION_SAMPLE {
                self.eviction_position = (position + 1) % buckets;
                break;
            }
        }
        self.remove(now, worst?.fingerprint)
    }

    /// Returns the number of full ticks since the table was created.
    pub fn ticks(&self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.start);
        (elapsed.as_secs() / Self::TICK.as_secs()) as u32
    }

    fn wrapped_ticks(&self, now: Instant) -> u16 {
        self.ticks(now) as u16
    }

    fn unpack(&self, now: Instant, packed: &Packed) -> Entry {
        let idle_ticks = self.wrapped_ticks(now).wrapping_sub(packed.last_tick);
        Entry {
            fingerprint: packed.fingerprint(),
            target: self.targets.target(packed.target),
            state: packed.state(),
            idle_ticks,
            unanswered: (packed.counts >> 2) & 7,
            moves: packed.counts >> 5,
            marks: packed.marks,
        }
    }
}

impl Packed {
    fn new(entry: &Entry, target: u32, last_tick: u16) -> Packed {
        let state = match entry.state {
            State::Closed => 0,
            State::Opening => 1,
            State::Answered => 2,
            State::Open => 3,
        };
        Packed {
            fingerprint: entry.fingerprint.words(),
            target,
            last_tick,
            marks: entry.marks,
            counts: state | (entry.unanswered.min(7) << 2) | (entry.moves.min(7) << 5),
        }
    }

    fn is(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprint == fingerprint.words()
    }

    fn fingerprint(&self) -> Fingerprint {
        Fingerprint::from_words(self.fingerprint)
    }

    fn state(&self) -> State {
        match self.counts & 3 {
            0 => State::Closed,
            1 => State::Opening,
            2 => State::Answered,
            _ => State::Open,
        }
    }
}
