//! Daemons of a zone tell each other about slow and full targets within their byte budget, and wrong,
//! outdated or missing reports change the order of targets within bounds only.

mod cookies;
mod zones;

use std::time::{Duration, Instant};

use banyanwharf::cookie::{
    Placement, Tuning,
    work::{Batch, Publisher, Report, ReportTable},
};
use cookies::{DaemonFixture, ms, targets};
use zones::*;

/// Guards against daemons that learn of a slow target only from their own flows: with 85 daemons, one
/// of them sees an answer of a target in seven seconds.
#[test]
fn a_slow_target_seen_by_one_daemon_is_known_to_its_zone_within_a_second() {
    for count in [5, 20, 85] {
        let mut zone = Zone::new(count, 723);
        zone.observe(0, slow(7, 3.0));
        let mut known_after = None;
        for tick in 1..=10 {
            zone.tick();
            if zone.informed(7) == count - 1 {
                known_after.get_or_insert(tick * 100);
            }
        }
        let bytes = zone.daemons[0].bytes_sent;
        println!("{count} daemons: known after {known_after:?} ms, {bytes} bytes in 1 s");
        assert!(known_after.is_some(), "{} of {} know", zone.informed(7), count - 1);
        // Reports are not forwarded: only the observer has sent frames.
        assert!(zone.daemons[1..].iter().all(|daemon| daemon.bytes_sent == 0));
    }
}

/// Guards against detection that gets slower with the number of daemons: each sees a smaller part of
/// the answers of a target.
#[test]
fn detection_of_a_slow_target_does_not_slow_down_with_the_number_of_daemons() {
    for count in [5, 20, 85] {
        let mut zone = Zone::new(count, 723);
        // Each target answers 12 requests a second, each to a random daemon.
        let mut seen = vec![false; count];
        let mut informed_after = None;
        for tick in 1..=20 {
            for _ in 0..if tick % 5 == 0 { 2 } else { 1 } {
                let daemon = zone.random_daemon();
                seen[daemon] = true;
                zone.observe(daemon, slow(7, 2.5));
            }
            zone.tick();
            let informed = zone.knowing(7, &seen);
            if informed * 10 >= count * 9 {
                informed_after.get_or_insert(tick * 100);
            }
        }
        let alone = seen.iter().filter(|seen| **seen).count();
        println!(
            "{count} daemons: 90% know after {informed_after:?} ms; {alone} see it themselves in 2 s"
        );
        assert!(informed_after.is_some_and(|after| after <= 1_000));
    }
}

/// Guards against a byte budget that is spent on a few targets while many become slow together.
#[test]
fn a_tenth_of_the_targets_that_become_slow_together_are_known_sooner_than_by_own_flows() {
    for (count, targets) in [(12, 50_u32), (20, 170), (85, 723)] {
        let slow_targets = targets / 10;
        let mut zone = Zone::new(count, targets);
        let mut seen = vec![vec![false; count]; slow_targets as usize];
        let mut shares = Vec::new();
        for tick in 1..=30 {
            for target in 0..slow_targets {
                // Each target answers 12 requests a second, each to a random daemon.
                for _ in 0..if tick % 5 == 0 { 2 } else { 1 } {
                    let daemon = zone.random_daemon();
                    seen[target as usize][daemon] = true;
                    zone.observe(daemon, slow(target, 2.5));
                }
            }
            zone.tick();
            let pairs = count * seen.len();
            let percent = |known: usize| known * 100 / pairs;
            let known =
                (0..slow_targets).map(|target| zone.knowing(target, &seen[target as usize]));
            let alone = seen.iter().flatten().filter(|seen| **seen).count();
            shares.push((percent(known.sum()), percent(alone)));
        }
        println!(
            "{count} daemons, {slow_targets} slow targets, percent known with reports, alone:"
        );
        println!("  after 0.5, 1, 2, 3 s: {:?}", [4, 9, 19, 29].map(|tick: usize| shares[tick]));
        let (known, alone) = shares[9];
        assert!(known > alone);
    }
}

/// Guards against control traffic that grows with the number of slow and full targets: links have
/// 10 Mbit/s, and the budget is 1 KB a second of each daemon.
#[test]
fn bytes_stay_within_the_budget_while_many_targets_are_slow_and_full_by_turns() {
    for count in [5, 20, 85] {
        let mut zone = Zone::new(count, 723);
        let mut sent_by_tick = Vec::new();
        for tick in 0..1_200_u32 {
            for daemon in 0..count {
                // Every daemon sees 20 targets a second change between slow, full and normal.
                for _ in 0..2 {
                    let target = zone.random(723);
                    let report = match zone.random(3) {
                        0 => slow(target, 3.0),
                        1 => Report { is_rejecting: true, ..slow(target, 0.2) },
                        _ => slow(target, 1.0),
                    };
                    zone.observe(daemon, report);
                }
            }
            zone.tick();
            let sent: Vec<usize> = zone.daemons.iter().map(|daemon| daemon.bytes_sent).collect();
            if tick == 0 {
                sent_by_tick.push(vec![0; count]);
            }
            sent_by_tick.push(sent);
        }
        let highest = |ticks: usize| {
            let windows = sent_by_tick.windows(ticks + 1);
            let of_window = |window: &[Vec<usize>]| {
                let ends = window[ticks].iter().zip(&window[0]);
                ends.map(|(end, start)| end - start).max().unwrap_or_default()
            };
            windows.map(of_window).max().unwrap_or_default()
        };
        let total: usize = zone.daemons.iter().map(|daemon| daemon.bytes_sent).sum();
        let mean = total / count / 120;
        println!(
            "{count} daemons: {mean} bytes/s a daemon, at most {} in 1 s, {} in 60 s",
            highest(10),
            highest(600)
        );
        assert!(mean <= 1_000 && highest(600) <= 60_000);
        assert!(zone.daemons.iter().all(|daemon| daemon.table.len() <= 723 * 8));
    }
}

/// Guards against frames without content: a zone at rest sends nothing.
#[test]
fn nothing_is_sent_while_no_target_differs() {
    let mut zone = Zone::new(12, 50);
    for tick in 0..100 {
        for daemon in 0..12 {
            zone.observe(daemon, slow(tick % 50, 0.8 + 0.05 * (daemon % 12) as f32));
        }
        zone.tick();
    }
    assert!(zone.daemons.iter().all(|daemon| daemon.bytes_sent == 0));
}

/// Guards against a target that is slow and full by turns and uses up the budget for announcements.
#[test]
fn a_target_that_is_full_by_turns_is_announced_once_in_two_seconds() {
    let start = Instant::now();
    let mut publisher = Publisher::new(start);
    let mut announcements = 0;
    for tick in 0..100 {
        let now = start + Duration::from_millis(100 * tick);
        let report = Report { is_rejecting: tick % 2 == 0, ..slow(1, 2.0) };
        let batch = publisher.publish(now, &[report], 84);
        // Periodic frames go to at most 8 daemons.
        announcements += usize::from(batch.is_some_and(|batch| batch.peers > 8));
    }
    assert!(announcements <= 5, "{announcements} announcements in 10 s");
}

/// Guards against a wrong daemon that takes a zone's targets out of use or displaces right reports.
#[test]
fn a_wrong_daemon_demotes_at_most_a_quarter_of_the_targets() {
    let now = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(now, 0..100);
    for from in [1, 2] {
        let honest: Vec<Report> = (90..100).map(|cookie| slow(cookie, 3.0)).collect();
        assert_eq!(table.record(now, from, &honest), 10);
    }
    for first in [0, 50] {
        let wrong: Vec<Report> = (first..first + 50).map(|cookie| slow(cookie, 1e6)).collect();
        table.record(now, 3, &wrong);
    }
    table.refresh(now);
    let factor = |cookie| table.factor(now, cookie, 0.0);
    let demoted: Vec<u32> = (0..100).filter(|cookie| factor(*cookie) > 1.0).collect();
    assert_eq!(demoted.len(), 25);
    assert!((90..100).all(|cookie| demoted.contains(&cookie)));
    assert!((0..100).all(|cookie| factor(cookie) <= 4.0));
    // Own observations outweigh the wrong report.
    assert!((0..90).all(|cookie| table.factor(now, cookie, 10.0) < 1.1));
}

/// Guards against a wrong daemon that draws all flows of its zone to one target.
#[test]
fn a_wrong_daemon_at_most_halves_the_expected_time_of_a_target() {
    let now = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(now, 0..100);
    for from in 0..100 {
        table.record(now, from, &[slow(1, 1e-6)]);
    }
    table.refresh(now);
    assert!((0.5..0.6).contains(&table.factor(now, 1, 0.0)));
    assert!(table.factor(now, 1, 100.0) > 0.95);
}

/// Guards against reports that outweigh what a daemon sees itself.
#[test]
fn a_report_counts_less_than_an_own_observation() {
    let now = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(now, 0..100);
    table.record(now, 1, &[slow(1, 3.0)]);
    table.refresh(now);
    // With equal weights, one own observation would reduce the factor to its square root.
    assert!(table.factor(now, 1, 0.0) > 1.5);
    assert!(table.factor(now, 1, 1.0) < 3.0_f64.sqrt());
}

/// Guards against targets that stay demoted by reports after they have recovered.
#[test]
fn reports_decay_within_two_seconds() {
    let start = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(start, 0..100);
    for from in 0..8 {
        let full = Report { is_rejecting: true, ..slow(2, 1.0) };
        table.record(start, from, &[slow(1, 4.0), full]);
    }
    table.refresh(start);
    let mut previous = f64::MAX;
    for tick in 0..=20 {
        let now = start + Duration::from_millis(100 * tick);
        let factor = table.factor(now, 1, 0.0);
        assert!(factor <= previous);
        previous = factor;
    }
    assert_eq!(previous, 1.0);
    assert_eq!(table.factor(start + Duration::from_secs(1), 2, 0.0), 1.0);
}

/// Guards against a frozen daemon that spreads what it saw before the pause, including a batch that
/// waits in the queue of the sending task.
#[test]
fn a_frozen_daemon_that_resumes_sends_no_old_reports() {
    let start = Instant::now();
    let mut publisher = Publisher::new(start);
    let batch = publisher.publish(start, &[slow(1, 3.0)], 4).expect("the target is newly slow");
    let resumed = start + Duration::from_secs(5);
    assert_eq!(batch.reports_at(resumed), []);
    let aged = |seconds| Report { age: Duration::from_secs_f64(seconds), ..slow(1, 3.0) };
    assert_eq!(publisher.publish(resumed, &[aged(5.0), aged(1.0)], 4), None);
    // A clock that does not count the suspension gives old observations a low age.
    publisher.record_pause(resumed);
    assert_eq!(publisher.publish(resumed, &[aged(0.5)], 4), None);
    let later = resumed + Duration::from_millis(600);
    let sent = publisher.publish(later, &[aged(0.5), aged(0.7)], 4);
    assert_eq!(sent.map(|batch| batch.reports), Some(vec![aged(0.5)]));
}

/// Guards against a frozen receiver that takes the frames in its socket for present ones.
#[test]
fn a_resumed_receiver_ignores_the_reports_that_waited() {
    let start = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(start, 0..100);
    table.record(start, 1, &[slow(1, 3.0)]);
    table.record_pause(start);
    assert_eq!(table.record(start, 2, &[slow(1, 3.0)]), 0);
    table.refresh(start);
    assert_eq!(table.factor(start, 1, 0.0), 1.0);
    let later = start + Duration::from_millis(300);
    assert_eq!(table.record(later, 2, &[slow(1, 3.0)]), 1);
}

/// Guards against an older frame that overtakes a newer one of the same daemon.
#[test]
fn a_late_frame_does_not_replace_a_newer_one() {
    let now = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(now, 0..100);
    table.record(now, 1, &[slow(1, 3.0)]);
    table.refresh(now);
    let before = table.factor(now, 1, 0.0);
    let late = Report { age: Duration::from_millis(500), ..slow(1, 0.3) };
    assert_eq!(table.record(now, 1, &[late]), 0);
    table.refresh(now);
    assert_eq!(table.factor(now, 1, 0.0), before);
}

/// Guards against a zone that depends on each frame: a lost one costs accuracy only.
#[test]
fn lost_frames_leave_fewer_daemons_informed() {
    let mut zone = Zone::new(20, 723);
    zone.loss_percent = 50;
    for _ in 0..10 {
        for daemon in 0..4 {
            zone.observe(daemon, slow(7, 3.0));
        }
        zone.tick();
    }
    let informed = zone.informed(7);
    println!("{informed} of 20 daemons know with a loss of 50%");
    assert!(informed >= 15);
    assert_eq!(zone.informed(8), 0);
}

/// Guards against wrong conclusions from missing reports: a partition leaves each side with its own
/// observations, and reports arrive again after it.
#[test]
fn a_partition_inside_the_zone_leaves_each_side_with_its_own_observations() {
    let mut zone = Zone::new(20, 723);
    zone.is_partitioned = true;
    let tick_with_observations = |zone: &mut Zone| {
        zone.observe(0, slow(7, 3.0));
        zone.observe(1, slow(8, 3.0));
        zone.tick();
    };
    for _ in 0..20 {
        tick_with_observations(&mut zone);
    }
    let knows = |zone: &Zone, daemon: usize, cookie| zone.factor(daemon, cookie) > 1.2;
    // Daemons with even and odd numbers are on different sides.
    assert!((2..20).all(|daemon| !knows(&zone, daemon, if daemon % 2 == 0 { 8 } else { 7 })));
    zone.is_partitioned = false;
    for _ in 0..30 {
        tick_with_observations(&mut zone);
    }
    let informed = (2..20).filter(|daemon| knows(&zone, *daemon, 7)).count();
    println!("{informed} of 18 daemons know 3 s after the partition");
    assert!(informed >= 12);
}

/// Guards against invalid numbers, which would make the order of targets undefined.
#[test]
fn invalid_reports_are_ignored() {
    let now = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(now, 0..100);
    for factor in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -1.0, 0.0, -0.0] {
        assert_eq!(table.record(now, 1, &[slow(1, factor)]), 0);
        assert_eq!(Publisher::new(now).publish(now, &[slow(1, factor)], 4), None);
    }
    for age in [Duration::from_secs(2), Duration::from_secs(65), Duration::MAX] {
        assert_eq!(table.record(now, 1, &[Report { age, ..slow(1, 3.0) }]), 0);
        let old = Report { age, ..slow(1, 3.0) };
        assert_eq!(Publisher::new(now).publish(now, &[old], 4), None);
        let batch = Batch { reports: vec![old], peers: 1, created_at: now };
        assert_eq!(batch.reports_at(now + Duration::from_secs(1)), []);
    }
    // The target is not in the zone.
    assert_eq!(table.record(now, 1, &[slow(100, 3.0)]), 0);
    assert!(table.is_empty());
    for own_samples in [f64::NAN, f64::INFINITY, -5.0] {
        table.record(now, 1, &[slow(1, 3.0)]);
        table.refresh(now);
        assert!((1.0..=4.0).contains(&table.factor(now, 1, own_samples)));
    }
}

/// Guards against garbage that panics, breaks the bounds or grows the table.
#[test]
fn arbitrary_reports_keep_the_bounds() {
    let start = Instant::now();
    bolero::check!().with_type::<Vec<(u8, u8, u32, bool, u16)>>().for_each(|frames| {
        let mut table = ReportTable::new();
        table.set_targets(start, 0..40);
        let mut now = start;
        for &(from, cookie, factor, is_rejecting, age) in frames {
            now += Duration::from_millis(u64::from(from));
            let report = Report {
                cookie: cookie.into(),
                delay_factor: f32::from_bits(factor),
                is_rejecting,
                age: Duration::from_millis(age.into()),
            };
            table.record(now, from.into(), &[report]);
        }
        table.refresh(now);
        let factors: Vec<f64> = (0..256).map(|cookie| table.factor(now, cookie, 0.0)).collect();
        assert!(factors.iter().all(|factor| (0.5..=4.0).contains(factor)));
        assert!(factors.iter().filter(|factor| **factor > 1.0).count() <= 10);
        assert!(table.len() <= 40 * 8);
    });
}

/// Guards against a frame that lets one daemon fill the table.
#[test]
fn the_table_is_bounded_with_any_number_of_senders() {
    let start = Instant::now();
    let mut table = ReportTable::new();
    table.set_targets(start, 0..50);
    for from in 0..1_000 {
        let now = start + Duration::from_millis(from);
        let reports: Vec<Report> = (0..1_000).map(|cookie| slow(cookie, 3.0)).collect();
        table.record(now, from, &reports);
    }
    assert_eq!(table.len(), 50 * 8);
    let end = start + Duration::from_secs(3);
    table.set_targets(end, 0..50);
    assert!(table.is_empty());
}

/// Guards against full targets of which the other daemons are not told: rejections show no answer
/// time, so a full target does not differ from the others in it.
#[test]
fn a_target_that_rejects_requests_is_reported_until_it_is_usable() {
    let tuning = Tuning { sheds_load: true, ..Tuning::default() };
    // The third target is in another zone, whose targets are not reported.
    let mut fixture = DaemonFixture::with_tuning(targets("web", 2, 1), 0.0, tuning);
    let answer = |fixture: &mut DaemonFixture, number, cookie, work: u64, bytes: u32| {
        fixture.advance(ms(6)).acknowledge(number, cookie, 100);
        fixture.send_data(number, cookie, 1);
        fixture.advance(ms(6 + work)).acknowledge(number, cookie, 100 + bytes);
    };
    for number in 0..20 {
        let cookie = fixture.open(number).cookie;
        answer(&mut fixture, number, cookie, 20, 1000);
    }
    assert_eq!(fixture.forwarder.own_reports(fixture.now), []);
    let cookie = fixture.open(100).cookie;
    answer(&mut fixture, 100, cookie, 0, 40);
    fixture.advance(ms(50));
    let full = Report { cookie, delay_factor: 1.0, is_rejecting: true, age: ms(50) };
    assert_eq!(fixture.forwarder.own_reports(fixture.now), [full]);
    fixture.advance(Duration::from_secs(1));
    assert_eq!(fixture.forwarder.own_reports(fixture.now), []);
}

/// Guards against decisions that do not use the reports that arrived since the last one.
#[test]
fn a_new_flow_avoids_a_target_that_was_just_reported() {
    let tuning =
        Tuning { placement: Placement::ExpectedWork, shares_reports: true, ..Tuning::default() };
    let mut fixture = DaemonFixture::with_tuning(targets("web", 8, 0), 0.0, tuning);
    fixture.forwarder.sweep(fixture.now);
    let cookie = fixture.open(0).cookie;
    let full = Report { is_rejecting: true, ..slow(cookie, 1.0) };
    assert_eq!(fixture.forwarder.record_reports(fixture.now, 1, &[full]), 1);
    // The other 7 targets have equal expected times.
    assert!((1..30).all(|number| fixture.open(number).cookie != cookie));
}
