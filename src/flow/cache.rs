use std::time::{Duration, Instant};

use hashbrown::HashTable;

use crate::{flow::Fingerprint, ticket::TargetId};

/// The number of entries that a full cache looks at to find one to evict.
const EVICTION_SAMPLE: usize = 16;

/// A cached target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedTarget {
    /// The target that the flow is on.
    pub target: TargetId,
    /// Whether the next request packet should go through the owner all the same, so that the
    /// owner sees that the flow is alive.
    pub refresh_due: bool,
}

#[derive(Debug, Clone, Copy)]
struct Packed {
    fingerprint: [u32; 4],
    target: [u32; 2],
    /// When the entry was learned, in seconds since the start.
    learned_at: u32,
    /// When a packet last went through the owner, in seconds since the start.
    routed_at: u32,
}

/// The targets that a daemon has learned for flows that other daemons own.
#[derive(Debug, Clone)]
pub struct Cache {
    entries: HashTable<Packed>,
    capacity: usize,
    start: Instant,
    position: usize,
}

impl Cache {
    /// How long an entry is valid.
    pub const LIFETIME: Duration = Duration::from_secs(30);

    /// The longest time without a packet through the owner. It is below the shortest idle
    /// timeout of a live flow (15 min).
    const REFRESH_SECONDS: u32 = 300;

    /// Creates an empty cache for at most `capacity` flows.
    pub fn new(capacity: usize, now: Instant) -> Cache {
        Cache { entries: HashTable::new(), capacity: capacity.max(1), start: now, position: 0 }
    }

    /// Returns the number of entries, valid or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory that the entries take, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.entries.allocation_size()
    }

    /// Returns the valid entry of a flow.
    pub fn get(&self, now: Instant, fingerprint: Fingerprint) -> Option<CachedTarget> {
        let now = self.seconds(now);
        let packed = self.entries.find(fingerprint.low_bits(), |packed| packed.is(fingerprint))?;
        (packed.is_valid(now)).then(|| CachedTarget {
            target: (u64::from(packed.target[0]) << 32) | u64::from(packed.target[1]),
            refresh_due: now.saturating_sub(packed.routed_at) >= Self::REFRESH_SECONDS,
        })
    }

    /// Stores the target that the owner named, or that a return packet proved.
    ///
    /// `via_owner` says whether a packet went through the owner. Without it, the time of the
    /// next packet through the owner is spread over the refresh interval by the fingerprint.
    pub fn put(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        target: TargetId,
        via_owner: bool,
    ) {
        let seconds = self.seconds(now);
        let spread = (fingerprint.0 >> 64) as u32 ^ seconds.wrapping_mul(0x9e37_79b9);
        let mut packed = Packed {
            fingerprint: fingerprint.words(),
            target: [(target >> 32) as u32, target as u32],
            learned_at: seconds,
            routed_at: seconds,
        };
        let hash = fingerprint.low_bits();
        if let Some(held) = self.entries.find_mut(hash, |held| held.is(fingerprint)) {
            if !via_owner {
                packed.routed_at = held.routed_at;
            }
            *held = packed;
            return;
        }
        if !via_owner {
            packed.routed_at = seconds.saturating_sub(spread % Self::REFRESH_SECONDS);
        }
        if self.entries.len() >= self.capacity {
            self.evict();
        }
        self.entries.insert_unique(hash, packed, |packed| packed.hash());
    }

    /// Removes the entry of a flow.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        if let Ok(held) =
            self.entries.find_entry(fingerprint.low_bits(), |packed| packed.is(fingerprint))
        {
            held.remove();
        }
    }

    /// Removes the entries that are no longer valid among up to `limit` buckets.
    pub fn expire(&mut self, now: Instant, limit: usize) {
        let now = self.seconds(now);
        let buckets = self.entries.num_buckets();
        for _ in 0..limit.min(buckets) {
            self.position = (self.position + 1) % buckets;
            if let Ok(held) = self.entries.get_bucket_entry(self.position)
                && !held.get().is_valid(now)
            {
                held.remove();
            }
        }
    }

    fn evict(&mut self) {
        let buckets = self.entries.num_buckets();
        let mut oldest: Option<(u32, usize)> = None;
        let mut seen = 0;
        for _ in 0..buckets {
            self.position = (self.position + 1) % buckets;
            if let Some(packed) = self.entries.get_bucket(self.position) {
                let candidate = (packed.learned_at, self.position);
                oldest = Some(oldest.map_or(candidate, |oldest| oldest.min(candidate)));
                seen += 1;
            }
            if seen == EVICTION_SAMPLE {
                break;
            }
        }
        if let Some((_, position)) = oldest
            && let Ok(held) = self.entries.get_bucket_entry(position)
        {
            held.remove();
        }
    }

    fn seconds(&self, now: Instant) -> u32 {
        now.saturating_duration_since(self.start).as_secs() as u32
    }
}

impl Packed {
    fn is(&self, fingerprint: Fingerprint) -> bool {
        self.fingerprint == fingerprint.words()
    }

    fn hash(&self) -> u64 {
        Fingerprint::from_words(self.fingerprint).low_bits()
    }

    fn is_valid(&self, now: u32) -> bool {
        u64::from(now.saturating_sub(self.learned_at)) < Cache::LIFETIME.as_secs()
    }
}
