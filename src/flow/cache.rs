use std::time::{Duration, Instant};

use hashbrown::HashTable;

use crate::{flow::Fingerprint, ticket::TargetId};

/// The number of entries sampled to choose the oldest one for eviction from a full cache.
const EVICTION_SAMPLE: usize = 16;

/// The target of a flow, as found in the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CachedTarget {
    /// The flow's target.
    pub target: TargetId,
    /// Whether the next request packet must go through the primary owner although the target is
    /// cached. Otherwise the owner's record of an active flow could expire.
    pub refresh_due: bool,
}

#[derive(Debug, Clone, Copy)]
struct Packed {
    fingerprint: [u32; 4],
    target: [u32; 2],
    /// When the target was last stored, in seconds since the cache was created.
    learned_at: u32,
    /// When a packet last went through the primary owner, in seconds since the cache was created.
    routed_at: u32,
}

/// A bounded cache of the targets of flows that other daemons own.
#[derive(Debug, Clone)]
pub struct Cache {
    entries: HashTable<Packed>,
    capacity: usize,
    start: Instant,
    position: usize,
}

impl Cache {
    /// How long an entry is valid after its target was last stored.
    pub const LIFETIME: Duration = Duration::from_secs(30);

    /// The time after which a request packet goes through the primary owner again. It is shorter
    /// than the shortest idle timeout of a live flow (15 min).
    const REFRESH_SECONDS: u32 = 300;

    /// Creates an empty cache for at most `capacity` flows.
    pub fn new(capacity: usize, now: Instant) -> Cache {
        Cache { entries: HashTable::new(), capacity: capacity.max(1), start: now, position: 0 }
    }

    /// Returns the number of entries, including expired ones that have not been removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the allocated size of the hash table in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.entries.allocation_size()
    }

    /// Returns the target cached for a flow unless the entry has expired.
    pub fn get(&self, now: Instant, fingerprint: Fingerprint) -> Option<CachedTarget> {
        let now = self.seconds(now);
        let packed = self.entries.find(fingerprint.low_bits(), |packed| packed.is(fingerprint))?;
        (packed.is_valid(now)).then(|| CachedTarget {
            target: (u64::from(packed.target[0]) << 32) | u64::from(packed.target[1]),
            refresh_due: now.saturating_sub(packed.routed_at) >= Self::REFRESH_SECONDS,
        })
    }

    /// Stores the target of a flow, as named by an owner or shown by a return packet.
    ///
    /// `via_owner` is whether a packet of the flow has just gone through the primary owner. If not,
    /// a new entry gets an earlier time that depends on the fingerprint, so that the refreshes of
    /// many flows are spread over the refresh interval.
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

    /// Removes the expired entries from the next `limit` buckets.
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
