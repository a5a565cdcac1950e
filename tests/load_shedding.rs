//! Full targets get no new flows, and flows are refused only by priority and only while no zone has
//! room.

mod cookies;
mod overloads;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    Cookie, Directory, Event, Forwarder, Kind, Listing, OperatorState, Packet, Reason, Target,
    Tuning, Verdict, cookie,
};
use cookies::*;
use overloads::{Overload, config, shedding};

/// The ports of routes with the priorities 0, 1, 1 and 2.
const HIGH: u16 = 1;
const LOW: u16 = 2;
const ALSO_LOW: u16 = 3;
const LOWEST: u16 = 4;

const BURST_START: Duration = Duration::from_secs(4);
const BURST_END: Duration = Duration::from_secs(8);

/// The requests of a target that serves two at a time within 20 ms.
const CAPACITY_PER_SECOND: f64 = 100.0;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns targets with two slots.
fn small_targets(own: u64, other: u64) -> Vec<Target> {
    let targets = targets("web", own, other).into_iter();
    targets.map(|target| Target { slots: 2, ..target }).collect()
}

/// Returns two daemons with four targets in their zone and four in another one, and a demand of 300
/// requests per second on a capacity of 800.
fn two_zones(tuning: &Tuning) -> Overload {
    let config = config(&[(HIGH, 0), (LOW, 1), (ALSO_LOW, 1), (LOWEST, 2)]);
    let mut overload = Overload::new(tuning, 2, small_targets(4, 4), config);
    overload.demand(HIGH, 150.0, ms(20), ms(0), secs(12));
    overload.demand(LOW, 150.0, ms(20), ms(3), secs(12));
    overload
}

/// Returns the same with a burst on the route `port`, which raises the demand to four times the
/// capacity.
fn burst(tuning: &Tuning, port: u16) -> Overload {
    let mut overload = two_zones(tuning);
    overload.demand(port, 30.0 * CAPACITY_PER_SECOND, ms(20), BURST_START, BURST_END);
    overload
}

/// Guards against a burst of requests of low priority that takes the room of those that callers need
/// most.
#[test]
fn a_burst_of_low_priority_leaves_room_for_high_priority() {
    let mut without = burst(&Tuning::default(), LOW);
    let without = without.run(secs(14)).record(HIGH).clone();
    let mut with = burst(&shedding(), LOW);
    let with = with.run(secs(14)).record(HIGH).clone();
    assert_eq!(with.refusals, [], "the highest class is always admitted");
    assert!(3 * with.failed < without.failed, "{with:?} {without:?}");
}

/// Guards against refusals long after a burst, when the targets have room again.
#[test]
fn admission_recovers_within_a_second_after_a_burst() {
    let mut overload = burst(&shedding(), LOW);
    let low = overload.run(secs(14)).record(LOW);
    assert!(low.refusals.iter().any(|at| *at < BURST_END), "{low:?}");
    let late = low.refusals.iter().filter(|at| **at > BURST_END + secs(1)).count();
    assert_eq!(late, 0);
}

/// Guards against refusals of flows that a target could serve at once.
#[test]
fn few_flows_are_refused_while_a_target_has_a_free_slot() {
    let mut overload = burst(&shedding(), LOW);
    let total = overload.run(secs(14)).total();
    let (wrong, refusals) = (total.wrong_refusals, total.refusals.len());
    assert!(refusals > 100 && 20 * (wrong as usize) < refusals, "{wrong} of {refusals}");
}

/// Guards against a class that gets no request through while higher ones are served.
#[test]
fn no_class_starves() {
    let mut overload = burst(&shedding(), LOW);
    overload.demand(LOWEST, 100.0, ms(20), ms(5), secs(14)).run(BURST_START + secs(1));
    let before = overload.record(LOWEST).served;
    overload.run(BURST_END);
    assert!(overload.record(LOWEST).served > before + 3, "{:?}", overload.record(LOWEST));
}

/// Guards against a preference among routes of the same priority class.
#[test]
fn routes_of_equal_priority_are_treated_alike() {
    let mut overload = burst(&shedding(), LOW);
    let rate = 30.0 * CAPACITY_PER_SECOND;
    overload.demand(ALSO_LOW, rate, ms(20), BURST_START, BURST_END).run(secs(14));
    let [low, also] = [LOW, ALSO_LOW].map(|port| overload.record(port).refusals.len() as f64);
    assert!(low > 100.0 && (0.9..1.1).contains(&(low / also)), "{low} {also}");
}

/// Guards against retries that keep the targets full after the burst that caused them, and that
/// multiply the requests which reach full targets.
#[test]
fn a_retry_storm_does_not_feed_itself() {
    let mut without = burst(&Tuning::default(), LOW);
    let without = without.run(secs(14)).total();
    let mut overload = burst(&shedding(), LOW);
    overload.run(BURST_END + secs(2));
    let settled = overload.total();
    let end = overload.run(secs(14)).total();
    assert!(2 * end.arrivals < without.arrivals, "{} {}", end.arrivals, without.arrivals);
    assert_eq!(end.rejected, settled.rejected);
    assert_eq!(end.failed, settled.failed);
}

/// Guards against refusals while another zone has capacity: only the targets of the own zone are
/// full.
#[test]
fn nothing_is_refused_while_another_zone_has_capacity() {
    let mut overload = two_zones(&shedding());
    overload.run(secs(4));
    for target in small_targets(4, 0) {
        overload.fill(cookie(&target));
    }
    let before = overload.total();
    let total = overload.run(secs(12)).total();
    assert!(total.rejected > before.rejected + 20, "the full targets reject");
    assert_eq!(total.refusals, []);
    assert!(100 * total.failed < total.requests, "{} of {}", total.failed, total.requests);
}

/// Guards against refusals by a daemon that has seen no answer of the route before the burst, so
/// that it cannot tell a rejection from a short answer.
#[test]
fn a_daemon_without_evidence_refuses_nothing() {
    let config = config(&[(HIGH, 0), (LOW, 1)]);
    let mut overload = Overload::new(&shedding(), 1, small_targets(1, 0), config);
    overload.demand(LOW, 4_000.0, ms(2_000), ms(0), secs(1)).run(secs(1));
    assert!(overload.record(LOW).rejected > 100);
    assert_eq!(overload.record(LOW).refusals, []);
}

/// Guards against refusals by rejections from before a pause of the process.
#[test]
fn a_pause_discards_the_evidence() {
    let mut overload = burst(&shedding(), LOW);
    overload.run(BURST_START + secs(2));
    let now = overload.start + overload.now;
    let forwarder = &mut overload.forwarders[0];
    assert!(refused_flows(forwarder, now, 3_000_000) > 0);
    forwarder.record_pause(now);
    assert_eq!(refused_flows(forwarder, now + ms(400), 4_000_000), 0);
}

/// Guards against refusals by rejections that are older than a second.
#[test]
fn old_evidence_does_not_count() {
    let mut overload = burst(&shedding(), LOW);
    overload.run(BURST_START + secs(2));
    let now = overload.start + overload.now + ms(1_000);
    assert_eq!(refused_flows(&mut overload.forwarders[0], now, 3_000_000), 0);
}

/// Guards against different decisions on the copies of one opening packet: a caller whose reset was
/// lost sends a copy, and a target may have opened a flow that another daemon has forwarded.
#[test]
fn copies_of_an_opening_packet_get_the_same_decision() {
    let mut overload = burst(&shedding(), LOW);
    overload.run(BURST_START + secs(2));
    let now = overload.start + overload.now;
    let forwarder = &mut overload.forwarders[0];
    forwarder.take_events();
    let verdict = |forwarder: &mut Forwarder, now: Instant, number, attempt| {
        let opening = packet(flow(number, LOW), Kind::Open { attempt }, 0);
        forwarder.decide(now, &opening)
    };
    for number in 1_000_000..1_000_200 {
        let [first, copy] = [(now, 0), (now + ms(200), 1)].map(|(at, attempt)| {
            verdict(forwarder, at, number, attempt) == Verdict::Reset(Reason::NoRoom)
        });
        assert_eq!(copy, first);
    }
    // Another daemon may have forwarded the first copy.
    for number in 2_000_000..2_000_200 {
        let copy = verdict(forwarder, now, number, 1);
        assert!(matches!(copy, Verdict::Forward(_)));
    }
    let events = forwarder.take_events();
    let evidence = events.iter().find_map(|event| match event {
        Event::Refused { refusal, .. } => Some(refusal.clone()),
        _ => None,
    });
    let evidence = evidence.expect("a refusal has an event");
    assert!((5..100).contains(&evidence.admitted_percent), "{evidence:?}");
    assert_eq!(evidence.zones.len(), 2);
    assert!(evidence.zones.iter().all(|zone| zone.rejections > 0));
    assert!(forwarder.counters().resets[&Reason::NoRoom] > 0);
}

/// Returns whether a copy of an opening packet is refused.
fn is_refused(forwarder: &mut Forwarder, now: Instant, number: u32, attempt: u32) -> bool {
    let opening = packet(flow(number, LOW), Kind::Open { attempt }, 0);
    forwarder.decide(now, &opening) == Verdict::Reset(Reason::NoRoom)
}

/// Returns a daemon that refuses flows of low priority, and the present time.
fn refusing_daemon() -> (Forwarder, Instant) {
    let mut overload = burst(&shedding(), LOW);
    overload.run(BURST_START + secs(2));
    let now = overload.start + overload.now;
    (overload.forwarders.swap_remove(0), now)
}

/// Guards against the reset of a flow that a target has opened: this daemon has refused the first copy
/// of the opening packet, and another one has forwarded the second.
#[test]
fn a_copy_after_a_missing_one_is_not_refused() {
    let (mut forwarder, now) = refusing_daemon();
    let numbers = 1_000_000..1_000_200;
    let refused: Vec<u32> =
        numbers.filter(|number| is_refused(&mut forwarder, now, *number, 0)).collect();
    assert!(refused.len() > 50, "{}", refused.len());
    let (with_gap, without_gap) = refused.split_at(refused.len() / 2);
    for number in with_gap {
        assert!(!is_refused(&mut forwarder, now + ms(600), *number, 2));
        assert!(!is_refused(&mut forwarder, now + ms(601), *number, 1));
        assert!(!is_refused(&mut forwarder, now + ms(602), *number, 0));
    }
    for number in without_gap {
        for (after, attempt) in [(1, 0), (200, 1), (201, 1), (202, 0), (600, 2), (601, 1)] {
            assert!(is_refused(&mut forwarder, now + ms(after), *number, attempt));
        }
    }
}

/// Guards against the reset of an open flow by a delayed copy of its opening packet. The copy that
/// opened the flow went through another daemon, and this one may have refused a copy before.
#[test]
fn a_flow_known_from_later_packets_is_not_refused() {
    let (mut forwarder, now) = refusing_daemon();
    let cookie = forwarder.view().entries()[0].cookie;
    for has_refused in [true, false] {
        let first = 1_000_000 + 1_000 * u32::from(has_refused);
        for number in first..first + 200 {
            if has_refused {
                is_refused(&mut forwarder, now, number, 0);
            }
            let data =
                Packet { acknowledged: 100, ..packet(flow(number, LOW), Kind::Data, cookie) };
            assert!(matches!(forwarder.decide(now + ms(10), &data), Verdict::Forward(_)));
            assert!(!is_refused(&mut forwarder, now + ms(20), number, 0));
            assert!(!is_refused(&mut forwarder, now + ms(30), number, 1));
        }
    }
}

/// Guards against refusals by the priorities of a former configuration: in the new one, the route is
/// in the highest class of its service.
#[test]
fn a_new_configuration_changes_the_classes() {
    let (mut forwarder, now) = refusing_daemon();
    assert!(refused_flows(&mut forwarder, now, 3_000_000) > 0);
    let mut directory = Directory::new(shedding());
    directory.confirm_config(now);
    let config = Some(Arc::new(config(&[(HIGH, 1), (LOW, 1)])));
    let operator = OperatorState { revision: 1.into(), config, ..OperatorState::default() };
    directory.apply_operator_state(now, &operator);
    let listing =
        Listing { revision: 2.into(), targets: small_targets(4, 4), ..Listing::default() };
    directory.apply_listing(now, listing);
    forwarder.set_view(Arc::new(directory.view(now)));
    assert_eq!(refused_flows(&mut forwarder, now, 4_000_000), 0);
}

/// Records a rejection by the target `cookie`, in a flow that another daemon has opened.
fn reject(forwarder: &mut Forwarder, now: Instant, number: u32, cookie: Cookie) {
    let opened = Packet { acknowledged: 100, ..packet(flow(number, HIGH), Kind::Data, cookie) };
    forwarder.decide(now, &opened);
    forwarder.decide(now, &Packet { length: 50, ..opened });
    forwarder.decide(now, &Packet { sequence: 50, acknowledged: 220, ..opened });
}

/// Guards against refusals that go on while one of two full zones has room again: a target of this zone
/// still rejects, and its prompt answers are few among those of both zones.
#[test]
fn nothing_is_refused_after_one_of_two_full_zones_has_recovered() {
    let (mut forwarder, now) = refusing_daemon();
    // Only the following answers count.
    let now = now + ms(1_100);
    let cookies: Vec<Cookie> = small_targets(4, 4).iter().map(cookie).collect();
    let (full_zone, recovering_zone) = cookies.split_at(4);
    for number in 0..60 {
        reject(&mut forwarder, now, 5_000_000 + number, full_zone[0]);
    }
    reject(&mut forwarder, now, 5_100_000, recovering_zone[0]);
    assert!(refused_flows(&mut forwarder, now, 3_000_000) > 0);
    let mut prompt = 0;
    for number in 6_000_000..6_000_020 {
        let opening = packet(flow(number, HIGH), Kind::Open { attempt: 0 }, 0);
        let opened = destination(forwarder.decide(now, &opening)).cookie;
        if prompt == 6 || !recovering_zone.contains(&opened) {
            continue;
        }
        prompt += 1;
        let sent = Packet {
            acknowledged: 100,
            length: 50,
            ..packet(flow(number, HIGH), Kind::Data, opened)
        };
        forwarder.decide(now + ms(6), &sent);
        let answered = Packet { sequence: 50, acknowledged: 700, length: 0, ..sent };
        forwarder.decide(now + ms(32), &answered);
    }
    assert_eq!(prompt, 6);
    let now = now + ms(150);
    for number in 0..60 {
        reject(&mut forwarder, now, 5_200_000 + number, full_zone[0]);
    }
    assert_eq!(refused_flows(&mut forwarder, now, 4_000_000), 0);
}

/// Returns how many of 200 new flows of low priority, numbered from `first` on, are refused.
fn refused_flows(forwarder: &mut Forwarder, now: Instant, first: u32) -> usize {
    (first..first + 200).filter(|number| is_refused(forwarder, now, *number, 0)).count()
}

/// One daemon with `count` targets in its zone, which has seen 20 answers of 600 bytes that took
/// 20 ms.
fn trained(count: u64) -> DaemonFixture {
    let mut fixture = DaemonFixture::with_tuning(small_targets(count, 0), 0.0, shedding());
    for number in 0..20 {
        request(&mut fixture, number, 600, ms(20));
        fixture.advance(ms(20));
    }
    fixture
}

/// Opens a flow, whose target answers its request with `bytes` after `work`, and closes it. Returns
/// the cookie of the target.
fn request(fixture: &mut DaemonFixture, number: u32, bytes: u32, work: Duration) -> u32 {
    let opened = fixture.open(number).cookie;
    fixture.advance(ms(6));
    let sent = Packet { sequence: 0, ..data_packet(number, opened, 0) };
    fixture.decide(&sent);
    fixture.advance(ms(6) + work);
    let answered = Packet { acknowledged: 100 + bytes, sequence: 50, length: 0, ..sent };
    fixture.decide(&answered);
    fixture.decide(&Packet { kind: Kind::Finish, ..answered });
    opened
}

fn is_used(fixture: &mut DaemonFixture, cookie: u32, numbers: std::ops::Range<u32>) -> bool {
    let mut is_used = false;
    for number in numbers {
        is_used |= request(fixture, number, 600, ms(0)) == cookie;
    }
    is_used
}

/// Guards against new flows to a target whose queue is still full.
#[test]
fn a_full_target_gets_no_new_flow_until_its_queue_has_drained() {
    let mut fixture = trained(4);
    let full = request(&mut fixture, 100, 120, ms(0));
    assert_eq!(fixture.forwarder.counters().rejections, 1);
    // 30 flows take 360 ms.
    assert!(!is_used(&mut fixture, full, 200..230));
    fixture.advance(secs(1));
    assert!(is_used(&mut fixture, full, 300..330));
}

/// Guards against a target that gets a flow of each daemon again and again while it rejects late,
/// since it is slow.
#[test]
fn a_late_rejection_of_a_slow_target_counts() {
    let mut fixture = trained(4);
    let full = request(&mut fixture, 100, 120, ms(300));
    assert_eq!(fixture.forwarder.counters().rejections, 1);
    assert!(!is_used(&mut fixture, full, 200..230));
}

/// Guards against retries that are used up at one full target.
#[test]
fn a_retry_does_not_return_to_the_target_that_rejected_it() {
    let mut fixture = trained(2);
    // All targets are full, so that only the memory of the caller separates them.
    let first = request(&mut fixture, 100, 120, ms(0));
    let second = request(&mut fixture, 101, 120, ms(0));
    assert_ne!(first, second);
    let mut fixture = trained(2);
    let first = request(&mut fixture, 100, 120, ms(0));
    for number in 101..112 {
        // Together these take less than the second for which a rejection is remembered.
        assert_ne!(request(&mut fixture, number, 600, ms(60)), first);
    }
}

/// Guards against the long exclusion of a target by a short successful answer.
#[test]
fn one_wrong_classification_is_harmless() {
    let mut fixture = trained(1);
    let only = request(&mut fixture, 100, 120, ms(0));
    // The only target of the service still gets new flows, and a prompt answer ends the exclusion.
    for number in 101..120 {
        assert_eq!(request(&mut fixture, number, 600, ms(20)), only);
    }
    assert!(!fixture.forwarder.counters().resets.contains_key(&Reason::NoRoom));
}

/// Guards against the classification of short answers as rejections on a route where they are usual.
#[test]
fn short_answers_with_the_usual_work_are_no_rejections() {
    let mut fixture = trained(4);
    for number in 100..120 {
        request(&mut fixture, number, 120, ms(20));
    }
    assert_eq!(fixture.forwarder.counters().rejections, 0);
}

/// Guards against a change of behaviour where load shedding is not enabled.
#[test]
fn nothing_is_shed_without_the_setting() {
    let mut overload = burst(&Tuning::default(), LOW);
    let total = overload.run(secs(14)).total();
    assert_eq!(total.refusals, []);
    let rejections = overload.forwarders.iter().map(|daemon| daemon.counters().rejections);
    assert_eq!(rejections.sum::<u64>(), 0);
}
