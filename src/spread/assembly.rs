use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    member,
    spread::{Blob, Part, Want, message::PART_BYTES},
    ticket::ObjectId,
    util,
};

/// The parts of the largest blob, 4 versions of a service with 1,024 targets.
const MAX_PARTS: u16 = 1_024;

/// Blobs that are put together at the same time; bounds the memory with [`MAX_BYTES`].
const MAX_ASSEMBLIES: usize = 64;
const MAX_BYTES: usize = 4 << 20;

/// A sender that sends other large objects first needs about 50 s for each at 2 KB/s.
const EXPIRY: Duration = Duration::from_secs(120);

/// Missing parts of large blobs are requested less often: the sender is likely at the limit of
/// its budget.
const LARGE_PARTS: usize = 8;
const LARGE_RETRIES: u32 = 5;

/// The indices of missing parts in one request, which must fit in a message.
const MAX_MISSING: usize = 256;

/// A blob of which some parts are missing.
#[derive(Debug)]
struct Assembly {
    /// The member that sent the last part.
    from: member::Id,
    parts: Vec<Option<Vec<u8>>>,
    missing: usize,
    /// When the last part came.
    heard_at: Instant,
    /// When the missing parts were last requested.
    asked_at: Instant,
}

/// A blob and the hash of its encoding. Parts from several members fit together if the hash is
/// the same.
type Key = (Blob, u32);

/// Puts the parts of large blobs together.
#[derive(Debug, Default)]
pub(super) struct Assemblies {
    assemblies: HashMap<Key, Assembly>,
    bytes: usize,
}

impl Assemblies {
    /// Takes a part and returns the whole encoded blob if it was the last one.
    pub(super) fn insert(&mut self, now: Instant, from: member::Id, part: Part) -> Option<Vec<u8>> {
        if part.index >= part.count || part.count > MAX_PARTS || part.bytes.len() > PART_BYTES {
            return None;
        }
        if part.count == 1 {
            return (hash(&part.bytes) == part.hash).then_some(part.bytes);
        }
        let key = (part.blob, part.hash);
        let count = usize::from(part.count);
        if !self.assemblies.contains_key(&key) {
            if self.assemblies.len() >= MAX_ASSEMBLIES {
                return None;
            }
            let assembly = Assembly {
                from,
                parts: vec![None; count],
                missing: count,
                heard_at: now,
                asked_at: now,
            };
            self.assemblies.insert(key, assembly);
        }
        let length = part.bytes.len();
        if self.bytes + length > MAX_BYTES {
            return None;
        }
        let assembly = self.assemblies.get_mut(&key)?;
        assembly.heard_at = now;
        assembly.from = from;
        let slot = assembly.parts.get_mut(usize::from(part.index))?;
        if slot.is_none() {
            *slot = Some(part.bytes);
            assembly.missing -= 1;
            self.bytes += length;
        }
        if assembly.missing > 0 {
            return None;
        }
        let assembly = self.remove(&key)?;
        let bytes: Vec<u8> = assembly.parts.into_iter().flatten().flatten().collect();
        (hash(&bytes) == key.1).then_some(bytes)
    }

    /// Drops expired blobs and returns requests for the parts that did not come in time.
    pub(super) fn tick(&mut self, now: Instant, retry: Duration) -> Vec<(member::Id, Want)> {
        let expired: Vec<_> = self
            .assemblies
            .iter()
            .filter(|(_, assembly)| assembly.heard_at + EXPIRY <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove(&key);
        }
        let mut wants = Vec::new();
        for ((blob, _), assembly) in &mut self.assemblies {
            let large = assembly.parts.len() > LARGE_PARTS;
            let retry = if large { retry * LARGE_RETRIES } else { retry };
            if assembly.heard_at.max(assembly.asked_at) + retry > now {
                continue;
            }
            assembly.asked_at = now;
            let missing = (0..).zip(&assembly.parts).filter(|(_, part)| part.is_none());
            let parts = missing.map(|(index, _)| index).take(MAX_MISSING).collect();
            wants.push((assembly.from, Want { blob: *blob, parts }));
        }
        // The order of a hash map differs between runs, but a seeded run must repeat.
        wants.sort_unstable_by(|a, b| (a.0, &a.1.parts).cmp(&(b.0, &b.1.parts)));
        wants
    }

    /// Returns whether the object is being put together.
    pub(super) fn contains(&self, id: ObjectId) -> bool {
        let mut blobs = self.assemblies.keys().map(|(blob, _)| *blob);
        blobs.any(|blob| blob == Blob::Newest(id) || blob == Blob::Object(id))
    }

    /// Returns whether no blob is being put together.
    pub(super) fn is_empty(&self) -> bool {
        self.assemblies.is_empty()
    }

    fn remove(&mut self, key: &Key) -> Option<Assembly> {
        let assembly = self.assemblies.remove(key)?;
        self.bytes -= assembly.parts.iter().flatten().map(Vec::len).sum::<usize>();
        Some(assembly)
    }
}

/// Divides an encoded blob into parts; only those in `wanted`, or all if it is empty.
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
