use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

use crate::{
    ticket::{Number, ObjectId, version::Version},
    util,
};

/// The number of buckets that objects are divided into for comparing states.
///
/// At 3,300 objects a bucket has about 52, whose digests fit in one message.
pub const BUCKET_COUNT: usize = 64;

/// The bits of an object's id below the bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKET_COUNT.trailing_zeros();

/// The hashes that show whether two states are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Summary {
    /// The hash of all versions of all objects.
    pub root: u64,
    /// The hash of the history.
    pub history: u64,
}

/// The versions of one object in short.
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
    /// Returns the part of the object in the hash of its bucket.
    pub(super) fn bucket_contribution(self) -> u64 {
        let parts = [self.id, self.number, u64::from(self.hash)].map(u64::to_le_bytes);
        util::hash_bytes(&[&parts[0], &parts[1], &parts[2]])
    }
}

/// Returns the bucket of an object: the highest bits of its id.
pub(super) fn bucket_index(id: ObjectId) -> usize {
    (id >> BUCKET_SHIFT) as usize
}

/// Returns the ids of a bucket.
pub(super) fn id_range(bucket: usize) -> RangeInclusive<ObjectId> {
    let start = ((bucket % BUCKET_COUNT) as u64) << BUCKET_SHIFT;
    start..=start | ((1 << BUCKET_SHIFT) - 1)
}

/// Returns the digest of an object, or `None` without versions.
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

/// Returns the hash of all buckets.
pub(super) fn root(buckets: &[u64]) -> u64 {
    let bytes: Vec<u8> = buckets.iter().flat_map(|b| b.to_le_bytes()).collect();
    util::hash_bytes(&[&bytes])
}
