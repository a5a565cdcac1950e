use std::hash::{Hash as _, Hasher as _};

use siphasher::sip::SipHasher13;

use crate::member::{Id, Incarnation, Status};

/// The number of buckets, a power of two.
///
/// At 1,100 members a bucket has 17 members, whose states fit in one message.
pub(super) const BUCKETS: usize = 64;

/// Hashes of the present members by the high bits of their ids.
///
/// Failed members and members that left are not included, because daemons forget them at
/// different times.
#[derive(Debug)]
pub(super) struct Buckets([u64; BUCKETS]);

impl Buckets {
    pub(super) fn new() -> Buckets {
        Buckets([0; BUCKETS])
    }

    /// Adds a member's state, or removes it if it was added before.
    pub(super) fn toggle(&mut self, id: Id, incarnation: Incarnation, status: Status) {
        if matches!(status, Status::Failed | Status::Left) {
            return;
        }
        let mut hasher = SipHasher13::new();
        (id, incarnation, status as u8).hash(&mut hasher);
        self.0[(id >> (64 - BUCKETS.ilog2())) as usize] ^= hasher.finish();
    }

    /// Returns one hash of all members.
    pub(super) fn digest(&self) -> u64 {
        self.0.iter().fold(0, |digest, bucket| digest ^ bucket)
    }

    /// Returns the hashes at a resolution of `count` buckets, a power of two up to [`BUCKETS`].
    pub(super) fn folded(&self, count: usize) -> Vec<[u8; 4]> {
        self.0
            .chunks(BUCKETS / count)
            .map(|chunk| {
                let hash = chunk.iter().fold(0, |hash, bucket| hash ^ bucket);
                (hash as u32).to_le_bytes()
            })
            .collect()
    }

    /// Returns the first and the last id of bucket `index` at a resolution of `count` buckets.
    pub(super) fn range(index: usize, count: usize) -> (Id, Id) {
        if count <= 1 {
            return (Id::MIN, Id::MAX);
        }
        let shift = 64 - count.ilog2();
        let from = (index as u64) << shift;
        (from, from | ((1 << shift) - 1))
    }
}
