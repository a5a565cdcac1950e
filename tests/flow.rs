//! The flow table returns what was stored and takes bounded memory. A full table evicts closed
//! flows first, then opening flows, then idle ones, and a flow expires after the timeout of its
//! state. The cache of targets is bounded, too, and its entries expire.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use banyanwharf::flow::{Cache, Cursor, Entry, Fingerprint, Mark, State, Table, Timeouts};
use bolero::TypeGenerator;

fn fingerprint(number: u32) -> Fingerprint {
    // Spreads the numbers over hash slots and buckets.
    Fingerprint(u128::from(number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835))
}

fn entry(number: u32, target: u64, state: State) -> Entry {
    Entry::new(fingerprint(number), target, state)
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// Stores a flow. The first value is the number of the flow. The second is the target (modulo
    /// 8) and the count of moves (the upper three bits). The third is the state (modulo 4), the
    /// marks `CallerFin` and `Udp` (bits 2 and 3) and the count of unanswered packets (the upper
    /// three bits).
    Put(u8, u8, u8),
    Remove(u8),
    /// Waits for this number of intervals of 4 s.
    Wait(u8),
    Expire,
}

fn timeout(entry: &Entry) -> Duration {
    let timeouts = Timeouts::default();
    match entry.state {
        State::Closed => timeouts.closed,
        _ if entry.has(Mark::Udp) => timeouts.udp,
        State::Opening => timeouts.opening,
        _ if entry.has(Mark::CallerFin) => timeouts.half_closed,
        State::Answered | State::Open => timeouts.open,
    }
}

/// Guards against a table that loses flows, mixes them up or keeps them too long, in comparison
/// with a map.
#[test]
fn table_matches_a_map() {
    bolero::check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut now = Instant::now();
        let mut table = Table::new(1000, Timeouts::default(), now);
        let mut oracle: HashMap<Fingerprint, (Entry, Instant)> = HashMap::new();
        for step in steps {
            match *step {
                Step::Put(number, target, state) => {
                    let kinds = [State::Closed, State::Opening, State::Answered, State::Open];
                    let state_of = kinds[usize::from(state % 4)];
                    let mut entry = entry(number.into(), (target % 8).into(), state_of);
                    entry.set(Mark::CallerFin, state & 4 != 0);
                    entry.set(Mark::Udp, state & 8 != 0);
                    entry.unanswered = state >> 5;
                    entry.moves = target >> 5;
                    assert_eq!(table.put(now, &entry), None);
                    oracle.insert(entry.fingerprint, (entry, now));
                }
                Step::Remove(number) => {
                    let found = table.remove(now, fingerprint(number.into())).is_some();
                    let held = oracle.remove(&fingerprint(number.into())).is_some();
                    // A flow that only the map held fails the comparison of the sizes below.
                    assert!(held || !found);
                }
                Step::Wait(time) => now += Duration::from_secs(u64::from(time) * 4),
                Step::Expire => {
                    table.expire(
                        now,
                        usize::MAX,
                        |_| false,
                        |removed| {
                            let (entry, last_put_at) =
                                oracle.remove(&removed.fingerprint).expect("the map has the flow");
                            assert!(
                                now - last_put_at > timeout(&entry),
                                "a flow expired before its timeout"
                            );
                        },
                    );
                }
            }
            for (fingerprint, (entry, last_put_at)) in &oracle {
                let found = table.get(now, *fingerprint).map(|found| found.with_zero_idle());
                let live = now - *last_put_at <= timeout(entry);
                assert_eq!(found, live.then_some(*entry));
            }
            assert_eq!(table.len(), oracle.len());
            for target in 0..8 {
                let held = oracle.values().filter(|(entry, _)| entry.target == target);
                assert_eq!(table.flow_count(target) as usize, held.count());
            }
        }
    });
}

/// Guards against a flow that moves to another target after its SYN-ACK has passed.
#[test]
#[should_panic(expected = "changes its target")]
fn pinned_flows_do_not_move() {
    let now = Instant::now();
    let mut table = Table::new(10, Timeouts::default(), now);
    table.put(now, &entry(1, 1, State::Answered).with(Mark::Pinned));
    table.put(now, &entry(1, 2, State::Opening));
}

/// Guards against more than 64 bytes for each flow at any size, a table that exceeds its capacity,
/// and the eviction of active flows before others.
#[test]
fn memory_is_bounded_and_eviction_ordered() {
    // A quarter each of the flows is active and open, idle and open, opening, and closed. The idle
    // time of 40 s is shorter than all timeouts, so no flow has expired.
    let now = Instant::now();
    let later = now + Duration::from_secs(40);
    let mut table = Table::new(50_000, Timeouts::default(), now);
    for number in 0..50_000 {
        let state = [State::Open, State::Open, State::Opening, State::Closed][number as usize % 4];
        table.put(if number % 4 == 0 { later } else { now }, &entry(number, 1, state));
        // Below 8 flows the smallest allocation determines the size.
        assert!(number < 8 || table.allocated_bytes() <= 64 * table.len(), "{number}");
    }
    let expected = [(State::Closed, 12_500), (State::Opening, 12_500), (State::Open, 12_500)];
    let mut number = 50_000;
    for (state, count) in expected {
        let mut hits = 0;
        for _ in 0..count {
            let evicted = table.put(later, &entry(number, 1, State::Open));
            let evicted = evicted.expect("the table is full");
            hits += usize::from(evicted.state == state);
            number += 1;
        }
        // The table evicts from a sample, so the order may be wrong for the last few flows.
        assert!(hits * 100 >= count * 95, "{hits} of {count} evicted flows were {state:?}");
    }
    assert_eq!(table.len(), 50_000);
    let kept = (0..50_000).step_by(4).filter(|n| table.get(later, fingerprint(*n)).is_some());
    assert!(kept.count() > 11_500, "flows with recent packets were evicted before idle ones");
}

/// Guards against a scan that skips flows when the table grows during the scan.
#[test]
fn scan_sees_every_flow() {
    let now = Instant::now();
    let mut table = Table::new(10_000, Timeouts::default(), now);
    (0..500).for_each(|n| assert!(table.put(now, &entry(n, 1, State::Open)).is_none()));
    let mut cursor = Cursor::default();
    let mut seen = HashMap::new();
    let mut next = 500;
    while !table
        .scan(now, &mut cursor, 64, |entry| *seen.entry(entry.fingerprint).or_insert(0) += 1)
    {
        (next..next + 20)
            .for_each(|n| assert!(table.put(now, &entry(n, 1, State::Open)).is_none()));
        next += 20;
        if next > 3000 {
            next = 3000;
        }
    }
    assert!((0..500).all(|n| seen.contains_key(&fingerprint(n))));
}

/// Guards against a cache that exceeds its capacity or keeps an entry for more than 30 s after its
/// target was last stored, and against flows whose owner is never contacted because return packets
/// keep the cache entry in use.
#[test]
fn cache_entries_expire_in_time() {
    let start = Instant::now();
    let mut cache = Cache::new(1000, start);
    for number in 0..2000 {
        // The last argument is `via_owner`: the packet has gone through the primary owner.
        cache.put(start, fingerprint(number), u64::MAX - u64::from(number), true);
    }
    assert_eq!(cache.len(), 1000);
    let valid = |cache: &Cache, now| {
        let found = (0..2000).filter_map(|n| Some((n, cache.get(now, fingerprint(n))?)));
        found.map(|(n, found)| assert_eq!(found.target, u64::MAX - u64::from(n))).count()
    };
    assert_eq!(valid(&cache, start + Duration::from_secs(29)), 1000);
    assert_eq!(valid(&cache, start + Duration::from_secs(30)), 0);
    cache.expire(start + Duration::from_secs(30), usize::MAX);
    assert!(cache.is_empty());
    let due = (0..60).any(|step| {
        let now = start + Duration::from_secs(60 + step * 10);
        // Stored from a return packet, which has not gone through the primary owner.
        cache.put(now, fingerprint(1), 1, false);
        cache.get(now, fingerprint(1)).is_some_and(|cached| cached.refresh_due)
    });
    assert!(due);
}
