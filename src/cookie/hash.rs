use crate::{
    cookie::{Cookie, Target},
    util::hash_bytes,
};

/// Returns the cookie of one start of a target. It is the same in every daemon, and never 0.
pub fn cookie(target: &Target) -> Cookie {
    let hash = hash_bytes(&[b"cookie", &target.number.to_le_bytes(), &target.born.to_le_bytes()]);
    ((hash >> 32) as Cookie).max(1)
}
