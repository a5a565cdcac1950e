//! Placement by expected work under the load patterns that it addresses, in a small queueing model.

mod cookies;
mod placements;

use std::time::Duration;

use banyanwharf::cookie::{Availability, Kind, Packet, Placement, Tuning, work::Estimator};
use cookies::{DaemonFixture, OTHER_ZONE, OWN_ZONE, data_packet, flow, ms, packet, targets};
use placements::{Fleet, Traffic};

/// One request per flow, 22 ms of work.
fn short(zone: usize, rate: f64) -> Traffic {
    Traffic { zone, rate, work: 22.0, requests: 1, pause: 0.0 }
}

/// Long flows with pauses.
fn long(zone: usize, rate: f64) -> Traffic {
    Traffic { zone, rate, work: 22.0, requests: 20, pause: 400.0 }
}

/// Returns a zone of 24 targets and 12 daemons after 4 s at 35% of the capacity, in which a third
/// of the targets is `slowness` times as slow as the others for the last 2 s.
fn with_slow_targets(placement: Placement, slowness: f64) -> Fleet {
    let mut fleet = Fleet::new(placement, 1, 24, 12);
    fleet.run(2000.0, &[short(0, 0.76)]);
    for server in &mut fleet.servers[..8] {
        server.slowness = slowness;
    }
    fleet.run(2000.0, &[short(0, 0.76)]);
    fleet.reset();
    fleet
}

fn served(fleet: &Fleet, range: std::ops::Range<usize>) -> f64 {
    let count = range.len() as f64;
    fleet.servers[range].iter().map(|server| server.served).sum::<usize>() as f64 / count
}

/// Guards against targets that become slow and get as many flows as fast ones, so that their
/// requests are late although other targets are free.
#[test]
fn a_slow_target_gets_fewer_flows() {
    let late = [Placement::OpenFlows, Placement::ExpectedWork].map(|placement| {
        let mut fleet = with_slow_targets(placement, 5.0);
        fleet.run(10_000.0, &[short(0, 0.76)]);
        let (slow, fast) = (served(&fleet, 0..8), served(&fleet, 8..24));
        (fleet.late_share(0, 100.0), slow / fast)
    });
    assert!(late[1].0 < late[0].0 / 3.0, "{late:?}");
    assert!(late[1].1 < 0.25, "{late:?}");
}

/// Guards against flows that leave their zone for a small gain, and that break when the zones are cut
/// off from each other. Two thirds of the own zone's targets are somewhat slow, at 35% load, and the
/// other zone is idle.
#[test]
fn a_flow_stays_in_its_zone_while_the_answer_is_soon_enough() {
    let mut fleet = Fleet::new(Placement::ExpectedWork, 2, 24, 12);
    for server in fleet.servers.iter_mut().filter(|server| server.zone == 0).take(16) {
        server.slowness = 1.5;
    }
    fleet.run(8000.0, &[short(0, 0.76), long(0, 0.02)]);
    let left: usize =
        fleet.servers.iter().filter(|server| server.zone == 1).map(|s| s.served).sum();
    assert_eq!(left, 0);
}

/// Guards against a target that is avoided for ever after it was slow.
#[test]
fn a_recovered_target_gets_flows_again() {
    let mut fleet = with_slow_targets(Placement::ExpectedWork, 5.0);
    fleet.run(4000.0, &[short(0, 0.76)]);
    for server in &mut fleet.servers[..8] {
        server.slowness = 1.0;
    }
    fleet.run(6000.0, &[short(0, 0.76)]);
    fleet.reset();
    fleet.run(4000.0, &[short(0, 0.76)]);
    let share = served(&fleet, 0..8) / served(&fleet, 8..24);
    assert!(share > 0.7, "{share}");
}

/// Guards against equal shares for targets of which a third is 2.4 times as fast.
#[test]
fn fast_targets_get_more_flows() {
    let late = [Placement::OpenFlows, Placement::ExpectedWork].map(|placement| {
        let mut fleet = Fleet::new(placement, 1, 24, 12);
        for server in &mut fleet.servers[..8] {
            server.slowness = 1.0 / 2.4;
        }
        fleet.run(4000.0, &[short(0, 2.4)]);
        fleet.reset();
        fleet.run(8000.0, &[short(0, 2.4)]);
        let (fast, usual) = (served(&fleet, 0..8), served(&fleet, 8..24));
        (fleet.late_share(0, 60.0), fast / usual)
    });
    assert!(late[1].0 < late[0].0 * 0.8, "{late:?}");
    assert!(late[1].1 > 1.5, "{late:?}");
}

/// Guards against long flows that are distributed worse than by the number of open flows when all
/// targets look alike.
#[test]
fn equal_targets_get_equal_shares_of_long_flows() {
    let busiest = [Placement::OpenFlows, Placement::ExpectedWork].map(|placement| {
        let mut fleet = Fleet::new(placement, 1, 24, 12);
        fleet.run(20_000.0, &[long(0, 0.05)]);
        (fleet.busiest_over_mean(), fleet.late_share(0, 100.0))
    });
    assert!(busiest[1].0 < busiest[0].0 + 0.05, "{busiest:?}");
}

/// Guards against one overloaded zone beside zones with free slots.
#[test]
fn zones_with_unequal_demand_share_capacity() {
    let late = [Placement::OpenFlows, Placement::ExpectedWork].map(|placement| {
        let mut fleet = Fleet::new(placement, 3, 16, 12);
        // 16 targets serve 1.45 requests per ms.
        let kinds = [short(0, 1.9), short(1, 0.6), short(2, 0.5)];
        fleet.run(3000.0, &kinds);
        fleet.reset();
        fleet.run(8000.0, &kinds);
        [0, 1, 2].map(|zone| fleet.late_share(zone, 150.0))
    });
    assert!(late[1][0] < 0.05 && late[1][1] < 0.05 && late[1][2] < 0.05, "{late:?}");
}

/// Guards against daemons that all choose the same targets, or change between two groups of them,
/// since they act on the same delayed observations.
#[test]
fn many_daemons_with_one_view_do_not_choose_one_target() {
    for daemons in [5, 12, 85] {
        let mut fleet = Fleet::new(Placement::ExpectedWork, 1, 40, daemons);
        fleet.run(3000.0, &[short(0, 2.0)]);
        // Windows of 300 ms: an oscillation would load some targets much more than others in each.
        let mut worst: f64 = 0.0;
        for _ in 0..10 {
            fleet.reset();
            fleet.run(300.0, &[short(0, 2.0)]);
            worst = worst.max(fleet.busiest_over_mean());
        }
        assert!(worst < 2.6, "{daemons} daemons: {worst}");
    }
}

/// Guards against decisions that depend on complete observations: packets of a flow that go to
/// different daemons leave requests without answers and answers without requests.
#[test]
fn missing_observations_change_the_rank_only() {
    let late = [Placement::OpenFlows, Placement::ExpectedWork].map(|placement| {
        let mut fleet = Fleet::new(placement, 1, 24, 12);
        fleet.is_spraying = true;
        fleet.run(2000.0, &[short(0, 1.2)]);
        fleet.reset();
        fleet.run(6000.0, &[short(0, 1.2)]);
        assert!(fleet.servers.iter().all(|server| server.served > 0));
        (fleet.late_share(0, 100.0), fleet.busiest_over_mean())
    });
    assert!(late[1].0 < late[0].0 + 0.02, "{late:?}");
}

/// Returns a daemon with two targets, the first of which took 800 ms for its answers, and the other
/// 5 ms.
fn with_unequal_observations() -> DaemonFixture {
    let tuning = Tuning { placement: Placement::ExpectedWork, ..Tuning::default() };
    let mut fixture = DaemonFixture::with_tuning(targets("web", 2, 0), 0.0, tuning);
    for number in 0..40 {
        let opened = fixture.advance(ms(5)).establish(number);
        fixture.send_data(number, opened.cookie, 1);
        fixture.advance(ms(if opened.number == 1 { 800 } else { 5 }));
        fixture.acknowledge(number, opened.cookie, 1100);
    }
    fixture
}

/// Guards against observations that keep flows from the only usable target, or send them to a
/// draining one.
#[test]
fn wrong_observations_change_the_rank_only() {
    let mut fixture = with_unequal_observations();
    assert!(fixture.forwarder.highest_delays(fixture.now)["web"] > 2.0);
    let mut all = targets("web", 2, 0);
    all[1].availability = Availability::Draining;
    all[1].revision = 2.into();
    fixture.read_targets(all);
    assert!((200..210).all(|number| fixture.open(number).number == 1));
}

/// Guards against old observations that still decide.
#[test]
fn old_observations_do_not_count() {
    let mut fixture = with_unequal_observations();
    fixture.advance(Duration::from_secs(30));
    fixture.forwarder.sweep(fixture.now);
    let first = (100..140).filter(|number| fixture.open(*number).number == 1).count();
    assert!((15..=25).contains(&first), "{first} of 40 flows");
}

/// Guards against slow targets that are noticed late where many daemons see few answers each, and
/// against zones whose load changes back and forth between targets in a burst.
#[test]
fn a_burst_beside_slow_targets_is_served_by_the_fast_ones() {
    for daemons in [5, 12, 85] {
        let late = [Placement::OpenFlows, Placement::ExpectedWork].map(|placement| {
            let mut fleet = Fleet::new(placement, 1, 40, daemons);
            fleet.run(3000.0, &[short(0, 0.7), long(0, 0.03)]);
            for server in &mut fleet.servers[..14] {
                server.slowness = 5.0;
            }
            fleet.run(1000.0, &[short(0, 0.7), long(0, 0.03)]);
            fleet.reset();
            fleet.run(6000.0, &[short(0, 1.5), long(0, 0.03)]);
            fleet.late_share(0, 150.0)
        });
        assert!(late[1] < late[0] / 2.0, "{daemons} daemons: {late:?}");
    }
}

/// Opens flow `number` with a round trip of 6 ms, and returns the number of its target and the cookie.
fn establish(fixture: &mut DaemonFixture, number: u32) -> (u64, u32) {
    let opened = fixture.open(number);
    fixture.advance(ms(6)).acknowledge(number, opened.cookie, 100);
    (opened.number, opened.cookie)
}

/// Guards against a cost that is learned from rejections: real answers then look much slower than
/// usual and rejections usual, so that a full target is preferred.
#[test]
fn a_daemon_that_starts_on_a_hard_day_ranks_a_rejecting_target_last() {
    // A slow target also takes some time to reject a request.
    for rejection_time in [ms(0), ms(10)] {
        let tuning = Tuning { placement: Placement::ExpectedWork, ..Tuning::default() };
        let mut fixture = DaemonFixture::with_tuning(targets("web", 3, 0), 0.0, tuning);
        let (mut full, mut full_requests) = (None, 0);
        let mut to_full = Vec::new();
        for number in 0..160 {
            let (target, cookie) = establish(&mut fixture, number);
            fixture.send_data(number, cookie, 1);
            // The target of the first flow is full: it rejects 3 of 4 requests, and the others wait
            // in its queue.
            let is_full = *full.get_or_insert(target) == target;
            to_full.push(is_full);
            full_requests += u32::from(is_full);
            let (work, bytes) = match (is_full, full_requests % 4) {
                (true, 0) => (ms(110), 1000),
                (true, _) => (rejection_time, 40),
                (false, _) => (ms(22), 1000),
            };
            fixture.advance(work + Duration::from_micros(6_500));
            fixture.acknowledge(number, cookie, 100 + bytes);
            fixture.decide(&packet(flow(number, 1), Kind::Finish, cookie));
        }
        // The first 120 requests take about 4 s.
        let late = to_full[120..].iter().filter(|is_full| **is_full).count();
        assert!(late <= 6, "{late} of 40 flows go to the full target ({rejection_time:?})");
    }
}

/// Returns a daemon with two targets that have answered 40 requests after 20 ms of work each.
fn with_usual_observations() -> DaemonFixture {
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    for number in 0..40 {
        let (_, cookie) = establish(&mut fixture, number);
        fixture.send_data(number, cookie, 1);
        fixture.advance(ms(26)).acknowledge(number, cookie, 1100);
    }
    fixture
}

/// Guards against a caller's pause that counts as answer time: if the acknowledgement of an answer
/// does not pass through this daemon, the next request acknowledges the answer after the pause.
#[test]
fn the_pause_of_a_caller_is_not_answer_time() {
    for pause in [ms(500), ms(1_500), ms(3_000)] {
        let mut fixture = with_usual_observations();
        let (_, cookie) = establish(&mut fixture, 100);
        fixture.send_data(100, cookie, 1);
        let next = Packet { acknowledged: 1100, ..data_packet(100, cookie, 51) };
        fixture.advance(pause).decide(&next);
        let highest = fixture.forwarder.highest_delays(fixture.now)["web"];
        assert!(highest < 1.5, "{highest} after {pause:?}");
    }
    // A late acknowledgement without data shows a slow answer.
    let mut fixture = with_usual_observations();
    let (_, cookie) = establish(&mut fixture, 100);
    fixture.send_data(100, cookie, 1);
    fixture.advance(ms(500)).acknowledge(100, cookie, 1100);
    assert!(fixture.forwarder.highest_delays(fixture.now)["web"] > 2.0);
}

/// Guards against a round-trip time near 0 of a flow that was opened before a pause of the process:
/// the round trip then counts as answer time.
#[test]
fn a_pause_during_the_opening_gives_no_round_trip() {
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    for number in 0..40 {
        let opened = fixture.open(number);
        fixture.advance(ms(100)).acknowledge(number, opened.cookie, 100);
        fixture.send_data(number, opened.cookie, 1);
        fixture.advance(ms(105)).acknowledge(number, opened.cookie, 1100);
    }
    let opened = fixture.open(100);
    fixture.advance(ms(90));
    fixture.forwarder.record_pause(fixture.now);
    fixture.advance(ms(1)).acknowledge(100, opened.cookie, 100);
    fixture.send_data(100, opened.cookie, 1);
    fixture.advance(ms(105)).acknowledge(100, opened.cookie, 1100);
    let highest = fixture.forwarder.highest_delays(fixture.now)["web"];
    assert!(highest < 1.5, "{highest}");
}

/// Guards against observations of former zones that are kept for ever.
#[test]
fn observations_of_a_zone_without_targets_are_removed() {
    let both = DaemonFixture::new(targets("web", 1, 1));
    let mut estimator = Estimator::default();
    estimator.record_opening(&OWN_ZONE.into(), ms(6));
    estimator.record_opening(&OTHER_ZONE.into(), ms(16));
    let distance = |estimator: &Estimator| estimator.zone_distance(OWN_ZONE, OTHER_ZONE);
    estimator.sweep(both.forwarder.view(), 0);
    assert!((distance(&estimator) - 0.01).abs() < 1e-9);
    let own = DaemonFixture::new(targets("web", 1, 0));
    estimator.sweep(own.forwarder.view(), 0);
    // The distance of an unknown zone.
    assert_eq!(distance(&estimator), 0.002);
}
