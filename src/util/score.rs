use std::hash::Hasher as _;

use siphasher::sip::{SipHasher13, SipHasher24};

/// Returns the rendezvous hashing score of the pair (`a`, `b`). The highest score wins.
pub(crate) fn score(a: u64, b: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(a, b);
    hasher.write_u64(a.rotate_left(32) ^ b);
    hasher.finish()
}

/// Returns a hash of `parts` that is the same in every daemon and version.
///
/// Each part is followed by a separator, so `["ab", "c"]` and `["a", "bc"]` differ.
pub(crate) fn hash_bytes(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher24::new();
    for part in parts {
        hasher.write(part);
        hasher.write(&[0xff]);
    }
    hasher.finish()
}
