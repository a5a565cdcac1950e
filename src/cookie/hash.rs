use crate::{
    cookie::{Cookie, Target},
    util::hash_bytes,
};

/// Returns the cookie of a target, which changes with each start of the target. Every daemon
/// computes the same cookie, and it is never 0.
pub fn cookie(target: &Target) -> Cookie {
    let hash = hash_bytes(&[b"cookie", &target.number.to_le_bytes(), &target.born.to_le_bytes()]);
    ((hash >> 32) as Cookie).max(1)
}
