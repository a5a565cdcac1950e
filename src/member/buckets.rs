use std::hash::{Hash as _, Hasher as _};

use siphasher::sip::SipHasher13;

use crate::member::{Id, Incarnation, Status};

/// The number of buckets, a power of two.
///
/// In a fleet of 1,100 members a bucket has 17 members, whose states fit in one message.
pub(super) const BUCKET_COUNT: usize = 64;

/// A hash of the member states in each bucket, which two daemons compare to find differences
/// between their views.
///
/// A member belongs to a bucket by the high bits of its id. Members that have failed or left are
/// not included, because daemons remove them at different times.
#[derive(Debug)]
pub(super) struct Buckets([u64; BUCKET_COUNT]);

impl Buckets {
    pub(super) fn new() -> Buckets {
        Buckets([0; BUCKET_COUNT])
    }

    /// Adds the state of a member to its bucket, or removes the state if it was added before.
    ///
    /// Both are the same XOR operation.
    pub(super) fn toggle(&mut self, id: Id, incarnation: Incarnation, status: Status) {
        if matches!(status, Status::Failed | Status::Left) {
            return;
        }
        let mut hasher = SipHasher13::new();
        (id, incarnation, status as u8).hash(&mut hasher);
        self.0[(id >> (64 - BUCKET_COUNT.ilog2())) as usize] ^= hasher.finish();
    }

    /// Returns one hash over all buckets.
    pub(super) fn digest(&self) -> u64 {
        self.0.iter().fold(0, |digest, bucket| digest ^ bucket)
    }

    /// Returns the hashes of `count` buckets, a power of two up to [`BUCKET_COUNT`], each of which
    /// combines as many adjacent buckets.
    pub(super) fn folded(&self, count: usize) -> Vec<[u8; 4]> {
        self.0
            .chunks(BUCKET_COUNT / count)
            .map(|chunk| {
                let hash = chunk.iter().fold(0, |hash, bucket| hash ^ bucket);
                (hash as u32).to_le_bytes()
            })
            .collect()
    }

    /// Returns the first and the last id of bucket `index` if there are `count` buckets.
    pub(super) fn range(index: usize, count: usize) -> (Id, Id) {
        if count <= 1 {
            return (Id::MIN, Id::MAX);
        }
        let shift = 64 - count.ilog2();
        let from = (index as u64) << shift;
        (from, from | ((1 << shift) - 1))
    }
}
