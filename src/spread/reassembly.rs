use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    member,
    spread::{Blob, BlobRequest, Part, message::PART_BYTES},
    ticket::ObjectId,
    util,
};

/// The maximum number of parts of a blob. The largest blob has 4 versions of a service with 1,024
/// targets.
const MAX_PARTS: u16 = 1_024;

/// The maximum number of blobs that are reassembled at the same time.
const MAX_PARTIAL_BLOBS: usize = 64;

/// The maximum content bytes of all partial blobs.
const MAX_REASSEMBLY_BYTES: usize = 4 << 20;

/// The time without a new part after which a partial blob is dropped. A sender that sends other
/// large objects first needs about 50 s for each at 2 KB/s.
const PARTIAL_BLOB_TIMEOUT: Duration = Duration::from_secs(120);

/// A blob with more parts than this is large.
const LARGE_PARTS: usize = 8;

/// The time until missing parts of a large blob are requested, in retry intervals. It is longer
/// than for other blobs, because the sender has probably reached its rate limit.
const LARGE_RETRIES: u32 = 5;

/// The maximum number of part indices in one request, which must fit in a message.
const MAX_MISSING: usize = 256;

/// A blob of which some parts are missing.
#[derive(Debug)]
struct PartialBlob {
    /// The member that sent the last part.
    from: member::Id,
    parts: Vec<Option<Vec<u8>>>,
    /// The number of missing parts.
    missing: usize,
    /// The time at which the last part arrived.
    last_part_at: Instant,
    /// The time at which missing parts were last requested.
    requested_at: Instant,
}

/// A blob and the hash of its encoding.
///
/// Parts with the same hash fit together, also if several members sent them.
type Key = (Blob, u32);

/// Reassembles blobs from their parts.
#[derive(Debug, Default)]
pub(super) struct Reassembler {
    partial_blobs: HashMap<Key, PartialBlob>,
    /// The content bytes of all partial blobs.
    bytes: usize,
}

impl Reassembler {
    /// Adds a part and returns the whole encoded blob if no part of it is missing.
    pub(super) fn insert(&mut self, now: Instant, from: member::Id, part: Part) -> Option<Vec<u8>> {
        if part.index >= part.count || part.count > MAX_PARTS || part.bytes.len() > PART_BYTES {
            return None;
        }
        if part.count == 1 {
            return (hash(&part.bytes) == part.hash).then_some(part.bytes);
        }
        let key = (part.blob, part.hash);
        let count = usize::from(part.count);
        if !self.partial_blobs.contains_key(&key) {
            if self.partial_blobs.len() >= MAX_PARTIAL_BLOBS {
                return None;
            }
            let partial_blob = PartialBlob {
                from,
                parts: vec![None; count],
                missing: count,
                last_part_at: now,
                requested_at: now,
            };
            self.partial_blobs.insert(key, partial_blob);
        }
        let length = part.bytes.len();
        if self.bytes + length > MAX_REASSEMBLY_BYTES {
            return None;
        }
        let partial_blob = self.partial_blobs.get_mut(&key)?;
        partial_blob.last_part_at = now;
        partial_blob.from = from;
        let slot = partial_blob.parts.get_mut(usize::from(part.index))?;
        if slot.is_none() {
            *slot = Some(part.bytes);
            partial_blob.missing -= 1;
            self.bytes += length;
        }
        if partial_blob.missing > 0 {
            return None;
        }
        let partial_blob = self.remove(&key)?;
        let bytes: Vec<u8> = partial_blob.parts.into_iter().flatten().flatten().collect();
        (hash(&bytes) == key.1).then_some(bytes)
    }

    /// Drops expired partial blobs and returns requests for parts that did not arrive in time.
    pub(super) fn tick(&mut self, now: Instant, retry: Duration) -> Vec<(member::Id, BlobRequest)> {
        let expired: Vec<_> = self
            .partial_blobs
            .iter()
            .filter(|(_, partial_blob)| partial_blob.last_part_at + PARTIAL_BLOB_TIMEOUT <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove(&key);
        }
        let mut blob_requests = Vec::new();
        for ((blob, _), partial_blob) in &mut self.partial_blobs {
            let large = partial_blob.parts.len() > LARGE_PARTS;
            let retry = if large { retry * LARGE_RETRIES } else { retry };
            if partial_blob.last_part_at.max(partial_blob.requested_at) + retry > now {
                continue;
            }
            partial_blob.requested_at = now;
            let missing = (0..).zip(&partial_blob.parts).filter(|(_, part)| part.is_none());
            let parts = missing.map(|(index, _)| index).take(MAX_MISSING).collect();
            blob_requests.push((partial_blob.from, BlobRequest { blob: *blob, parts }));
        }
        // The order of a hash map differs between runs, but runs with the same seed must not
        // differ.
        blob_requests.sort_unstable_by(|a, b| (a.0, &a.1.parts).cmp(&(b.0, &b.1.parts)));
        blob_requests
    }

    /// Returns whether a blob of the object is being reassembled.
    pub(super) fn contains(&self, id: ObjectId) -> bool {
        let mut blobs = self.partial_blobs.keys().map(|(blob, _)| *blob);
        blobs.any(|blob| blob == Blob::Newest(id) || blob == Blob::Object(id))
    }

    /// Returns whether no blob is being reassembled.
    pub(super) fn is_empty(&self) -> bool {
        self.partial_blobs.is_empty()
    }

    fn remove(&mut self, key: &Key) -> Option<PartialBlob> {
        let partial_blob = self.partial_blobs.remove(key)?;
        self.bytes -= partial_blob.parts.iter().flatten().map(Vec::len).sum::<usize>();
        Some(partial_blob)
    }
}

/// Splits an encoded blob into parts and returns those with indices in `wanted`, or all if
/// `wanted` is empty.
pub(super) fn split(blob: Blob, bytes: &[u8], wanted: &[u16]) -> Vec<Part> {
    let hash = hash(bytes);
    let Ok(count) = u16::try_from(bytes.len().div_ceil(PART_BYTES)) else {
        return Vec::new();
    };
    (0..count)
        .zip(bytes.chunks(PART_BYTES))
        .filter(|(index, _)| wanted.is_empty() || wanted.contains(index))
        .map(|(index, bytes)| Part { blob, hash, index, count, bytes: bytes.to_vec() })
        .collect()
}

fn hash(bytes: &[u8]) -> u32 {
    util::hash_bytes(&[bytes]) as u32
}
