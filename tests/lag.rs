//! Reads of the targets must be cheap while nothing has changed, and must not miss a change.

use std::time::Instant;

use banyanwharf::gateway::{Consistency, ReadPolicy};

/// Guards against full-price reads while a quiet store's revision stands still.
#[test]
fn quiet_store_is_read_stale() {
    let mut policy = ReadPolicy::default();
    assert_eq!(
        policy.next_consistency(),
        Consistency::Linearizable,
        "the first read must not be old"
    );
    for _ in 0..100 {
        policy.record_read(Instant::now(), 21, 21);
        assert_eq!(policy.next_consistency(), Consistency::Stale);
    }
}

/// Guards against stale copies that lag for seconds: a leaving target would keep getting flows.
#[test]
fn read_behind_the_watch_is_repeated_linearizably() {
    let mut policy = ReadPolicy::default();
    policy.record_read(Instant::now(), 21, 21);
    policy.record_read(Instant::now(), 21, 25);
    assert_eq!(policy.next_consistency(), Consistency::Linearizable);
    policy.record_read(Instant::now(), 25, 25);
    assert_eq!(policy.next_consistency(), Consistency::Stale);
}
