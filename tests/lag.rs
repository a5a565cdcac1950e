//! Reads of the targets are cheap while nothing changes, and miss no change.

use std::time::Instant;

use banyanwharf::gateway::{Consistency, ReadPolicy};

/// Guards against expensive linearizable reads while the revision of the store does not change.
#[test]
fn unchanged_store_is_read_stale() {
    let mut policy = ReadPolicy::default();
    assert_eq!(
        policy.next_consistency(),
        Consistency::Linearizable,
        "the first read must not be stale"
    );
    for _ in 0..100 {
        policy.record_read(Instant::now(), 21, 21);
        assert_eq!(policy.next_consistency(), Consistency::Stale);
    }
}

/// Guards against stale replicas that lag by seconds: a draining target would keep getting new
/// flows.
#[test]
fn read_behind_the_watch_is_repeated_linearizably() {
    let mut policy = ReadPolicy::default();
    policy.record_read(Instant::now(), 21, 21);
    policy.record_read(Instant::now(), 21, 25);
    assert_eq!(policy.next_consistency(), Consistency::Linearizable);
    policy.record_read(Instant::now(), 25, 25);
    assert_eq!(policy.next_consistency(), Consistency::Stale);
}
