//! The daemons of a zone together keep the limit of new flows to a cold target, also while they do not
//! know each other yet.

mod cookies;

use std::time::{Duration, Instant};

use banyanwharf::cookie::{Census, Target, Tuning};
use cookies::{DaemonFixture, OTHER_ZONE, OWN_ZONE, ms, target};

/// The time between two records of the number of daemons.
const RECORD_PERIOD: Duration = Duration::from_millis(200);

/// Records a number of daemons for some time and returns the time at the end.
fn record(census: &mut Census, mut now: Instant, count: Option<usize>, time: Duration) -> Instant {
    let until = now + time;
    while now < until {
        now += RECORD_PERIOD;
        census.record(now, count);
    }
    now
}

/// Returns a census of `count` daemons that is stable, and the time.
fn stable(count: usize) -> (Census, Instant) {
    let start = Instant::now();
    let mut census = Census::new(&Tuning::default(), start);
    let now = record(&mut census, start, Some(count), Duration::from_secs(11));
    (census, now)
}

/// Guards against daemons that restart together and each use the whole limit of a cold target or a
/// large part of it, since they know only a few others (`review/4/run.sh`).
#[test]
fn herd_restart_keeps_the_limit_of_a_cold_target() {
    // The rate of 10 a second times 1.5, and 5 more.
    let limit = 20;
    for daemons in 2..=12 {
        for learned_after in [0, 300, 1000, 4000] {
            let mut total = 0;
            for daemon in 0..daemons {
                let cold =
                    Target { cold_for: Duration::from_secs(2), ..target(1, "web", OWN_ZONE) };
                let warm = target(2, "web", OTHER_ZONE);
                let mut fixture = DaemonFixture::with_cold_rate(vec![cold, warm], 10.0);
                let started_at = fixture.now;
                let mut census = Census::new(&Tuning::default(), started_at);
                for number in 0..100 {
                    fixture.advance(ms(10));
                    let age = fixture.now - started_at;
                    // The daemon first knows itself and the contact, then all.
                    let count = if age < ms(learned_after) { 2 } else { daemons };
                    census.record(fixture.now, Some(count));
                    fixture.forwarder.set_cold_sharers(census.sharers(fixture.now));
                    total += u32::from(fixture.open(daemon as u32 * 1000 + number).number == 1);
                }
            }
            assert!(total > 0 && total <= limit, "{total} with {daemons} daemons");
        }
    }
}

/// Guards against a joining daemon whose share is added to the shares of the daemons that do not know
/// it yet.
#[test]
fn joining_daemon_keeps_the_limit_of_a_cold_target() {
    for daemons in 1..=100 {
        let (census, now) = stable(daemons);
        let mut joining = Census::new(&Tuning::default(), now);
        let unknown = joining.sharers(now);
        joining.record(now, Some(daemons + 1));
        let known = joining.sharers(now);
        for limit in 1..=1000 {
            let sum = daemons * (limit / census.sharers(now));
            assert!(sum + limit / known <= limit, "{daemons} daemons, limit {limit}");
            // Before it knows the others, a daemon assumes 12, so this holds in zones of up to 11.
            if daemons < Tuning::default().assumed_zone_daemons {
                assert!(sum + limit / unknown <= limit, "{daemons} daemons, limit {limit}");
            }
        }
    }
}

/// Guards against a share that is computed from a number of daemons that still changes.
#[test]
fn unstable_number_of_daemons_counts_as_the_assumed_one() {
    let assumed = Tuning::default().assumed_zone_daemons;
    let (mut census, now) = stable(3);
    assert_eq!(census.sharers(now), 4);
    let now = record(&mut census, now, Some(4), Duration::from_secs(4));
    assert_eq!(census.sharers(now), assumed);
    let now = record(&mut census, now, Some(4), Duration::from_secs(2));
    assert_eq!(census.sharers(now), 5);
    let now = record(&mut census, now, Some(40), Duration::from_secs(1));
    assert_eq!(census.sharers(now), 41, "a higher number counts at once");
}

/// Guards against a daemon whose number of daemons has not changed since its start, but that has only
/// just started.
#[test]
fn number_of_daemons_is_not_stable_right_after_the_start() {
    let start = Instant::now();
    let mut census = Census::new(&Tuning::default(), start);
    let now = record(&mut census, start, Some(2), Duration::from_secs(9));
    assert_eq!(census.sharers(now), Tuning::default().assumed_zone_daemons);
}

/// Guards against a daemon that counts itself as the only one of its zone since none of its contacts
/// has answered.
#[test]
fn unknown_number_of_daemons_counts_as_the_assumed_one() {
    let start = Instant::now();
    let mut census = Census::new(&Tuning::default(), start);
    let now = record(&mut census, start, None, Duration::from_secs(60));
    assert_eq!(census.sharers(now), Tuning::default().assumed_zone_daemons);
}

/// Guards against a frozen daemon that continues with the number of daemons from before the pause.
#[test]
fn number_of_daemons_is_not_stable_after_a_pause() {
    let (mut census, now) = stable(3);
    let now = now + Duration::from_secs(5);
    census.record(now, Some(3));
    assert_eq!(census.sharers(now), Tuning::default().assumed_zone_daemons);
}
