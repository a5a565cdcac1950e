use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

use crate::{
    ticket::{Number, ObjectId, version::Version},
    util,
};

/// The number of hash buckets by which the states of two members are compared.
///
/// With 3,300 objects, a bucket has about 52 objects, whose digests fit in one message.
pub const BUCKET_COUNT: usize = 64;

/// The number of low bits of an object's id that do not select its bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKET_COUNT.trailing_zeros();

/// The hashes by which two members find out whether their states are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Summary {
    /// The hash over all buckets, and thus over all versions of all objects.
    pub root: u64,
    /// The hash of the history.
    pub history: u64,
}

/// A hash of the kept versions of one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Digest {
    /// The object.
    pub id: ObjectId,
    /// The number of the newest version.
    pub number: Number,
    /// The hash of all kept versions.
    pub hash: u32,
}

impl Digest {
    /// Returns the hash that is XORed into the hash of the object's bucket.
    pub(super) fn bucket_contribution(self) -> u64 {
        let parts = [self.id, self.number, u64::from(self.hash)].map(u64::to_le_bytes);
        util::hash_bytes(&[&parts[0], &parts[1], &parts[2]])
    }
}

/// Returns the bucket of an object, which is given by the highest bits of its id.
pub(super) fn bucket_index(id: ObjectId) -> usize {
    (id >> BUCKET_SHIFT) as usize
}

/// Returns the range of ids that belong to a bucket.
pub(super) fn id_range(bucket: usize) -> RangeInclusive<ObjectId> {
    let start = ((bucket % BUCKET_COUNT) as u64) << BUCKET_SHIFT;
    start..=start | ((1 << BUCKET_SHIFT) - 1)
}

/// Returns the digest of an object from its versions, newest first, or `None` if there are none.
pub(super) fn of(id: ObjectId, versions: &[Version]) -> Option<Digest> {
    let number = versions.first()?.item.number;
    let mut bytes = Vec::with_capacity(16 * versions.len());
    for version in versions {
        bytes.extend_from_slice(&version.item.number.to_le_bytes());
        bytes.extend_from_slice(&version.hash.to_le_bytes());
    }
    let hash = util::hash_bytes(&[&bytes]) as u32;
    Some(Digest { id, number, hash })
}

/// Returns the hash over the hashes of all buckets.
pub(super) fn root(buckets: &[u64]) -> u64 {
    let bytes: Vec<u8> = buckets.iter().flat_map(|b| b.to_le_bytes()).collect();
    util::hash_bytes(&[&bytes])
}
