use crate::{
    cookie::{Cookie, Identity, Target},
    util::hash_bytes,
};

/// The number of low bits of a cookie that distinguish the starts of a target. Two successive starts
/// have the same ones with a probability of 1 in 1,024. The other 22 bits are the target's
/// [`Identity`], which about 10 pairs of 9,400 targets share.
const START_BITS: u32 = 10;

/// Returns the cookie of a target, which consists of the target's identity and a part that changes
/// with each start of the target. Every daemon computes the same cookie, and it is never 0.
pub fn cookie(target: &Target) -> Cookie {
    let id = target.number.to_le_bytes();
    let identity = hash_bytes(&[b"cookie", &id]) >> (32 + START_BITS);
    let start = hash_bytes(&[b"start", &id, &target.born.to_le_bytes()]) >> (64 - START_BITS);
    ((identity << START_BITS | start) as Cookie).max(1)
}

/// Returns the part of a cookie that is the same for all starts of a target.
pub(super) fn identity(cookie: Cookie) -> Identity {
    cookie >> START_BITS
}
