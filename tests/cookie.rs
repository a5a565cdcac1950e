//! The cookie forwarder must deliver each flow to its target, place new flows only where they are
//! borne, and refuse only what cannot be served.

mod cookies;

use std::{collections::HashMap, sync::Arc, time::Duration};

use banyanwharf::cookie::{
    ApplyOutcome, Availability, Cause, Change, Directory, Event, Kind, Listing, OperatorState,
    Packet, Presence, Reason, Target, Tuning, Verdict, cookie,
};
use cookies::*;

/// Guards against flows that break when the daemon that opened them is replaced: a daemon without
/// any record delivers by the cookie alone.
#[test]
fn another_daemon_delivers_by_the_cookie() {
    let all = targets("web", 3, 3);
    let mut first = Bench::new(all.clone());
    let mut second = Bench::new(all);
    for number in 0..50 {
        let opened = first.open(number);
        let later = second.answered(number, opened.cookie, 100);
        assert_eq!(later, Verdict::Forward(opened));
    }
}

/// Guards against a new start of a target that gets packets of the flows of the former one.
#[test]
fn restarted_target_is_another() {
    let mut bench = Bench::new(targets("web", 1, 0));
    let opened = bench.establish(1);
    let mut restarted = target(1, "web", HOME);
    restarted.born += 1;
    restarted.revision = 2;
    bench.after(ms(500)).list(vec![restarted.clone()]);
    assert_ne!(cookie(&restarted), opened.cookie);
    let verdict = bench.answered(1, opened.cookie, 200);
    assert_eq!(verdict, Verdict::Reset(Reason::TargetGone));
    assert_eq!(bench.open(2).cookie, cookie(&restarted));
}

/// Guards against packets that reach a service which the route never led to.
#[test]
fn cookie_of_another_service_is_not_delivered() {
    let mut all = targets("web", 2, 0);
    let files = target(9, "files", HOME);
    all.push(files.clone());
    let mut bench = Bench::new(all.clone());
    bench.after(Duration::from_secs(60)).list(all);
    bench.directory.confirm_config(bench.now);
    bench.publish();
    let forged = packet(flow(1, 1), Kind::Data, cookie(&files));
    assert_eq!(bench.decide(&forged), Verdict::Drop(Cause::WrongService));
}

/// The pattern: a configuration gives a route to another service, and new daemons join while flows
/// to the former service are open. Guards against daemons that drop the packets of these flows.
#[test]
fn new_daemon_delivers_flows_of_the_former_service() {
    let mut all = targets("web", 1, 0);
    let files = target(9, "files", HOME);
    all.push(files.clone());
    let mut bench = Bench::new(all);
    bench.after(Duration::from_secs(5));
    let held = packet(flow(1, 1), Kind::Data, cookie(&files));
    assert_eq!(delivery(bench.decide(&held)).number, 9);
}

/// Guards against a caller that pretends to be a target.
#[test]
fn answers_from_callers_are_dropped() {
    let mut bench = Bench::new(targets("web", 1, 0));
    let forged = packet(flow(1, 1), Kind::Foreign, 0);
    assert_eq!(bench.decide(&forged), Verdict::Drop(Cause::Foreign));
}

/// Guards against new flows for targets that leave, and against open flows that move away.
#[test]
fn draining_target_keeps_flows_and_gets_no_new_ones() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    let opened: Vec<_> = (0..20).map(|number| (number, bench.establish(number))).collect();
    let mut drained = all;
    drained[0].availability = Availability::Draining;
    drained[0].revision = 2;
    let leaving = cookie(&drained[0]);
    bench.after(ms(500)).list(drained);
    for (number, delivery) in opened {
        assert_eq!(bench.answered(number, delivery.cookie, 200), Verdict::Forward(delivery));
    }
    for number in 100..150 {
        assert_ne!(bench.open(number).cookie, leaving);
    }
}

/// Guards against new flows for a zone that operators took out of service.
#[test]
fn zone_out_of_service_gets_no_new_flows() {
    let mut bench = Bench::new(targets("web", 2, 2));
    let opened = bench.establish(1);
    let change = Change::ZoneOut(HOME.into());
    assert_eq!(bench.directory.apply_change(bench.now, 5, change), ApplyOutcome::New);
    bench.publish();
    assert_eq!(bench.answered(1, opened.cookie, 200), Verdict::Forward(opened));
    let away: Vec<_> = targets("web", 2, 2).iter().skip(2).map(cookie).collect();
    for number in 10..30 {
        assert!(away.contains(&bench.open(number).cookie));
    }
    let back = Change::ZoneBack(HOME.into(), 9);
    assert_eq!(bench.directory.apply_change(bench.now, 9, back), ApplyOutcome::New);
    bench.publish();
    assert!(!away.contains(&bench.open(40).cookie));
}

/// Guards against callers that wait for a request that nobody can serve.
#[test]
fn what_cannot_be_served_is_refused_at_once() {
    let mut bench = Bench::new(Vec::new());
    assert_eq!(bench.decide(&open(1)), Verdict::Reset(Reason::NoTarget));
    let unrouted = packet(flow(1, 77), Kind::Open { attempt: 0 }, 0);
    assert_eq!(bench.decide(&unrouted), Verdict::Reset(Reason::NoRoute));
}

/// The pattern: all daemons start anew while the store is down. Guards against refusals of callers
/// that can be served as soon as the store answers.
#[test]
fn daemon_that_knows_too_little_refuses_nothing() {
    let mut bench = Bench::new(Vec::new());
    bench.forwarder = banyanwharf::cookie::Forwarder::new(HOME.into(), Tuning::default());
    for _ in 0..5 {
        assert_eq!(bench.decide(&open(1)), Verdict::Drop(Cause::NotReady));
        bench.after(ms(1000));
    }
}

/// Guards against a refusal by an old view: the route may be new.
#[test]
fn old_view_does_not_refuse_a_route() {
    let mut bench = Bench::new(targets("web", 1, 0));
    bench.after(Duration::from_secs(10));
    let unrouted = packet(flow(1, 77), Kind::Open { attempt: 0 }, 0);
    assert_eq!(bench.decide(&unrouted), Verdict::Drop(Cause::StaleView));
}

/// Guards against resets of flows whose target the daemon has not read yet.
#[test]
fn unknown_cookie_is_reset_only_after_a_newer_read() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all[..1].to_vec());
    let unread = cookie(&all[1]);
    assert_eq!(bench.answered(1, unread, 100), Verdict::Drop(Cause::UnknownCookie));
    bench.after(ms(500)).list(all.clone());
    assert!(matches!(bench.answered(1, unread, 100), Verdict::Forward(_)));
    assert_eq!(bench.answered(2, 12345, 100), Verdict::Drop(Cause::UnknownCookie));
    for _ in 0..3 {
        bench.after(ms(500)).list(all.clone());
    }
    assert_eq!(bench.answered(2, 12345, 100), Verdict::Reset(Reason::UnknownCookie));
}

/// Guards against targets that are given up because their entries lapsed while the store was away.
#[test]
fn lapsed_entries_stay_in_use_until_the_store_has_been_back() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    let opened = bench.establish(1);
    bench.after(ms(500)).fail();
    bench.after(Duration::from_secs(4)).list(Vec::new());
    assert!(matches!(bench.decide(&open(2)), Verdict::Forward(_)));
    assert_eq!(bench.answered(1, opened.cookie, 200), Verdict::Forward(opened));
    bench.after(ms(1_000)).list(all[..1].to_vec());
    for _ in 0..4 {
        bench.after(ms(500)).list(all[..1].to_vec());
    }
    let view = bench.directory.view(bench.now);
    assert_eq!(view.target(cookie(&all[0])).map(|entry| entry.presence), Some(Presence::Present));
    assert_eq!(view.target(cookie(&all[1])).map(|entry| entry.presence), Some(Presence::Gone));
}

/// The same if nothing else changes in the store, so that the targets are not read again.
#[test]
fn lapsed_entries_end_though_the_store_stands_still() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    bench.after(ms(500)).fail();
    bench.after(Duration::from_secs(4)).list(all[..1].to_vec());
    let standing = |bench: &mut Bench| {
        let view = bench.directory.view(bench.now);
        view.target(cookie(&all[1])).map(|entry| entry.presence)
    };
    assert_eq!(standing(&mut bench), Some(Presence::Lapsed));
    bench.after(Duration::from_secs(3));
    assert!(bench.directory.confirm_listing(bench.now, bench.revision));
    assert_eq!(standing(&mut bench), Some(Presence::Gone));
}

/// Guards against a leaving target that is kept after its entry has been removed.
#[test]
fn leaving_target_without_entry_is_gone() {
    let mut all = targets("web", 2, 0);
    all[0].availability = Availability::Draining;
    let mut bench = Bench::new(all.clone());
    bench.after(ms(500)).fail();
    bench.after(ms(500)).list(all[1..].to_vec());
    let view = bench.directory.view(bench.now);
    assert_eq!(view.target(cookie(&all[0])).map(|entry| entry.presence), Some(Presence::Gone));
}

/// Guards against a stale read or a slow peer that takes back something newer.
#[test]
fn nothing_older_takes_force() {
    let tuning = Tuning::default();
    let mut directory = Directory::new(tuning);
    let now = std::time::Instant::now();
    let operator = |revision, version| OperatorState {
        revision,
        config: Some(Arc::new(config(version, 0.0))),
        ..OperatorState::default()
    };
    assert_eq!(directory.apply_operator_state(now, &operator(7, 7)), ApplyOutcome::New);
    assert_eq!(directory.apply_operator_state(now, &operator(3, 3)), ApplyOutcome::Ignored);
    let mut changed = config(9, 0.0);
    changed.revision = 2;
    directory.apply_change(now, 8, Change::Config(Arc::new(changed)));
    assert_eq!(directory.view(now).version(), Some(7));
    let listing = |revision, targets| Listing { revision, targets };
    directory.apply_listing(now, listing(9, targets("web", 2, 0)));
    assert_eq!(directory.apply_listing(now, listing(8, Vec::new())), ApplyOutcome::Ignored);
    assert_eq!(directory.view(now).entries().len(), 2);
}

/// Guards against whole reads of a store in which nothing has changed, and against a change that is
/// taken for none.
#[test]
fn unchanged_revision_confirms_the_targets() {
    let mut bench = Bench::new(targets("web", 2, 0));
    let (read, second) = (bench.revision, Duration::from_secs(1));
    bench.after(second);
    assert!(bench.directory.confirm_listing(bench.now, read));
    assert_eq!(bench.directory.age(bench.now), Some(Duration::ZERO));
    bench.after(second);
    assert!(!bench.directory.confirm_listing(bench.now, read + 1));
    assert!(!bench.directory.confirm_listing(bench.now, read - 1));
    assert_eq!(bench.directory.age(bench.now), Some(second));
}

/// Guards against a caller that stays on two targets: copies of an opening packet go to the target
/// of the first one.
#[test]
fn copies_of_an_opening_packet_stay_together() {
    let mut bench = Bench::new(targets("web", 6, 0));
    let first = bench.open(1);
    for number in 2..40 {
        bench.open(number);
    }
    bench.after(ms(200));
    let copy = Packet { kind: Kind::Open { attempt: 1 }, ..open(1) };
    assert_eq!(bench.decide(&copy), Verdict::Forward(first));
}

/// The pattern: a quarter of the targets falls silent at once while callers keep opening flows.
/// Guards against callers that wait for them until the store notices.
#[test]
fn silent_targets_get_no_new_flows_and_their_copies_move() {
    let all = targets("web", 4, 0);
    let mut bench = Bench::new(all.clone());
    let silent = cookie(&all[0]);
    let mut opened: Vec<_> = (0..40).map(|number| (number, bench.establish(number))).collect();
    opened.retain(|(_, delivery)| delivery.cookie == silent);
    assert!(opened.len() >= 8);
    bench.after(ms(100));
    for (number, _) in &opened {
        bench.send(*number, silent, 1000);
    }
    let waiting = (100..110).find(|number| bench.open(*number).cookie == silent);
    let waiting = waiting.expect("one new flow goes to the target before it is noticed");
    bench.after(ms(200));
    for (number, _) in &opened[..2] {
        assert!(matches!(bench.send(*number, silent, 1000), Verdict::Forward(_)));
    }
    let events = bench.forwarder.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::TargetFellSilent { .. })));
    for number in 200..240 {
        assert_ne!(bench.open(number).cookie, silent);
    }
    let copy = Packet { kind: Kind::Open { attempt: 1 }, ..open(waiting) };
    assert_ne!(delivery(bench.decide(&copy)).cookie, silent);
    bench.after(ms(400));
    let (number, _) = opened[0];
    assert_eq!(bench.send(number, silent, 1000), Verdict::Reset(Reason::TargetSilent));
    // The answer to a repeated packet may have come through another daemon.
    let (number, _) = opened[1];
    bench.answered(number, silent, 500);
    assert_ne!(bench.open(250).cookie, silent);
    // One flow gets through, so the target answers again.
    let (number, _) = opened[2];
    bench.send(number, silent, 2000);
    bench.after(ms(50)).answered(number, silent, 500);
    let again = (300..400).filter(|number| bench.open(*number).cookie == silent).count();
    assert!(again > 0);
}

/// The pattern: targets end without a word while callers hold long flows to them, some idle, some
/// waiting for an answer that was never sent. Guards against callers that wait until their deadline,
/// and against requests that are sent on a flow which is already lost.
#[test]
fn flows_of_lost_targets_are_reset_without_a_packet_of_theirs() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    let ended = cookie(&all[0]);
    let opened: Vec<_> = (0..20).map(|number| (number, bench.establish(number))).collect();
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
    let mut held: Vec<_> =
        opened.iter().filter(|(_, to)| to.cookie == ended).map(|(n, _)| flow(*n, 1)).collect();
    bench.after(Duration::from_secs(4)).list(all[1..].to_vec());
    let mut given_up = bench.forwarder.take_lost_flows(bench.now);
    given_up.sort();
    held.sort();
    let flows: Vec<_> = given_up.iter().map(|(flow, _)| *flow).collect();
    assert_eq!(flows, held);
    assert!(given_up.iter().all(|(_, expected)| *expected == 100));
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
}

/// The same before the store notices: two callers repeat packets for 600 ms.
#[test]
fn flows_of_silent_targets_are_reset_without_a_packet_of_theirs() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    let silent = cookie(&all[0]);
    let opened: Vec<_> = (0..20).map(|number| (number, bench.establish(number))).collect();
    let held: Vec<_> = opened.iter().filter(|(_, to)| to.cookie == silent).collect();
    for wait in [100, 200, 300] {
        bench.after(ms(wait));
        assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
        for (number, _) in &held[..2] {
            bench.send(*number, silent, 1000);
        }
    }
    bench.after(ms(100));
    assert_eq!(bench.forwarder.take_lost_flows(bench.now).len(), held.len());
}

/// The pattern: a partition makes targets silent for a daemon, the fabric sends their callers elsewhere,
/// and sends them back after the partition has ended. Guards against resets of flows that work, by
/// evidence from the partition.
#[test]
fn old_evidence_does_not_reset_flows_that_come_back() {
    let all = targets("web", 1, 0);
    let mut bench = Bench::new(all.clone());
    let silent = cookie(&all[0]);
    (0..4).for_each(|number| {
        bench.establish(number);
    });
    bench.after(ms(10));
    (0..4).for_each(|number| {
        bench.send(number, silent, 1000);
    });
    for wait in [200, 300] {
        bench.after(ms(wait));
        for number in 0..2 {
            bench.send(number, silent, 1000);
        }
    }
    assert!(bench.forwarder.counters().silences > 0);
    // Meanwhile the flows went on through other daemons. A flow comes that was never seen here, and
    // packets that say nothing of flows that were.
    bench.after(Duration::from_secs(8)).list(all);
    for number in [0, 1, 20] {
        assert!(matches!(bench.answered(number, silent, 90), Verdict::Forward(_)));
    }
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
    // One lost packet is no reason either.
    bench.send(0, silent, 5000);
    bench.after(ms(200));
    assert!(matches!(bench.send(0, silent, 5000), Verdict::Forward(_)));
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
}

/// The pattern: the daemon stands still, and the packets that callers repeated meanwhile are read at
/// once. Guards against targets that are blamed for it.
#[test]
fn packets_repeated_during_a_pause_are_no_evidence() {
    let all = targets("web", 1, 0);
    let mut bench = Bench::new(all.clone());
    let own = cookie(&all[0]);
    (0..4).for_each(|number| {
        bench.establish(number);
    });
    bench.after(ms(10));
    (0..4).for_each(|number| {
        bench.send(number, own, 1000);
    });
    bench.after(Duration::from_secs(4));
    bench.forwarder.record_pause(bench.now);
    for number in 0..4 {
        assert!(matches!(bench.send(number, own, 1000), Verdict::Forward(_)));
    }
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
    assert_eq!(bench.forwarder.counters().silences, 0);
}

/// The pattern: the copies of an opening packet go through two daemons and to two targets, the second of
/// which answers. Later the fabric sends the flow through the first daemon, and the first target ends.
/// Guards against a reset of the flow, which was never on that target.
#[test]
fn flow_that_another_daemon_moved_is_not_on_the_first_target() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    let first = bench.open(1).cookie;
    let other = all.iter().map(cookie).find(|cookie| *cookie != first).expect("two targets");
    let left: Vec<_> = all.iter().filter(|target| cookie(target) == other).cloned().collect();
    bench.after(Duration::from_secs(5)).list(all.clone());
    assert!(matches!(bench.answered(1, other, 500), Verdict::Forward(_)));
    bench.after(ms(500)).list(left.clone());
    bench.after(Duration::from_secs(4)).list(left);
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
}

/// The pattern: one flow gets no answer, since its target does not hold it, and the other flows of the
/// target are idle meanwhile. Guards against resets of flows that work.
#[test]
fn lone_flow_without_answers_does_not_end_the_others() {
    let all = targets("web", 1, 0);
    let mut bench = Bench::new(all.clone());
    let own = cookie(&all[0]);
    (0..6).for_each(|number| {
        bench.establish(number);
    });
    bench.after(ms(10)).send(0, own, 1000);
    for wait in [200, 400] {
        bench.after(ms(wait));
        assert!(matches!(bench.send(0, own, 1000), Verdict::Forward(_)));
    }
    bench.after(ms(800));
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
    assert_eq!(bench.send(0, own, 1000), Verdict::Reset(Reason::TargetSilent));
    assert!(bench.forwarder.take_lost_flows(bench.now).is_empty());
}

/// Guards against packets that overtake each other and are taken for repeated ones.
#[test]
fn reordered_packets_are_no_evidence() {
    let all = targets("web", 1, 0);
    let mut bench = Bench::new(all.clone());
    let own = cookie(&all[0]);
    for number in 0..4 {
        bench.establish(number);
        bench.send(number, own, 1050);
        bench.after(ms(2)).send(number, own, 1000);
    }
    assert_eq!(bench.forwarder.counters().silences, 0);
}

/// The pattern: the own zone is out of service and is then cut off from the others. Guards against a
/// daemon that keeps callers whom the daemons of other zones could serve.
#[test]
fn daemon_that_reaches_no_target_is_cut_off() {
    let all = targets("web", 0, 3);
    let mut bench = Bench::new(all);
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), None, "nobody has asked");
    for number in 0..9 {
        bench.open(number);
    }
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(false));
    for attempt in 1..=2 {
        bench.after(ms(210));
        for number in 0..9 {
            let copy = Packet { kind: Kind::Open { attempt }, ..open(number) };
            bench.decide(&copy);
        }
    }
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(true));
    let opened = bench.open(20);
    bench.answered(20, opened.cookie, 100);
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(false), "a target answers");
}

/// The pattern: one of two other zones with many targets is cut off while the own zone is out of
/// service. Guards against callers that find out about each target of that zone in turn.
#[test]
fn zone_that_is_cut_off_gets_no_new_flows() {
    let mut all = targets("web", 0, 60);
    for target in all.iter_mut().skip(30) {
        target.zone = "zone-c".into();
    }
    let mut bench = Bench::new(all);
    let is_cut = |number: u64| number <= 30;
    let waiting: Vec<u32> = (0..20).filter(|number| is_cut(bench.open(*number).number)).collect();
    assert!(waiting.len() >= 3);
    bench.after(ms(200));
    for number in &waiting {
        bench.decide(&Packet { kind: Kind::Open { attempt: 1 }, ..open(*number) });
    }
    for number in 100..200 {
        assert!(!is_cut(bench.open(number).number));
    }
    let copy = Packet { kind: Kind::Open { attempt: 2 }, ..open(waiting[0]) };
    assert!(!is_cut(delivery(bench.decide(&copy)).number));
}

/// The same with no other zone left: the fabric must hear soon.
#[test]
fn daemon_that_reaches_no_zone_is_cut_off_at_once() {
    let mut bench = Bench::new(targets("web", 0, 60));
    (0..5).for_each(|number| {
        bench.open(number);
    });
    bench.after(ms(200));
    for number in 0..5 {
        bench.decide(&Packet { kind: Kind::Open { attempt: 1 }, ..open(number) });
    }
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(true));
}

/// Guards against callers who wait for flows into a zone that is cut off: each target of the zone has
/// one flow only, which proves nothing alone.
#[test]
fn repeated_packets_into_a_silent_zone_are_reset() {
    let mut bench = Bench::new(targets("web", 0, 9));
    let opened: Vec<_> = (0..9).map(|number| (number, bench.establish(number))).collect();
    bench.after(ms(50));
    for (number, to) in &opened[..4] {
        bench.send(*number, to.cookie, 1000);
    }
    for wait in [200, 390] {
        bench.after(ms(wait));
        for (number, to) in &opened[..4] {
            bench.send(*number, to.cookie, 1000);
        }
    }
    let (number, to) = opened[0];
    bench.after(ms(20));
    assert_eq!(bench.send(number, to.cookie, 1000), Verdict::Reset(Reason::TargetSilent));
    // A packet that was not sent before may be answered.
    let (number, to) = opened[5];
    assert!(matches!(bench.send(number, to.cookie, 1000), Verdict::Forward(_)));
    // One answer ends the silence of the zone and of the targets that fell silent with it.
    bench.answered(number, to.cookie, 900);
    for (number, to) in &opened[1..4] {
        assert!(matches!(bench.send(*number, to.cookie, 3000), Verdict::Forward(_)));
    }
}

/// The pattern: a zone is cut off, and the fabric sends its flows through other daemons and back in
/// turn. Guards against answers that another daemon has brought about, taken for the end of the cut.
#[test]
fn answers_through_other_daemons_do_not_end_the_silence_of_a_zone() {
    let mut bench = Bench::new(targets("web", 0, 30));
    let opened: Vec<_> = (0..9).map(|number| (number, bench.establish(number))).collect();
    for wait in [50, 200] {
        bench.after(ms(wait));
        for (number, to) in &opened {
            bench.send(*number, to.cookie, 1000);
        }
    }
    bench.open(20);
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(true));
    // Another daemon carried the third copy.
    bench.after(ms(300));
    for (number, to) in &opened {
        bench.answered(*number, to.cookie, 500);
    }
    bench.open(21);
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(true));
    // A new flow tests the zone, and its target answers.
    let tested = bench.after(ms(1000)).open(22);
    bench.after(ms(5)).answered(22, tested.cookie, 100);
    assert_eq!(bench.forwarder.is_every_target_silent(bench.now), Some(false));
}

/// Guards against losses in a zone that answers others, taken for a partition.
#[test]
fn losses_in_a_zone_that_answers_are_no_partition() {
    let mut bench = Bench::new(targets("web", 0, 9));
    let opened: Vec<_> = (0..9).map(|number| (number, bench.establish(number))).collect();
    for round in 1..40 {
        for (number, to) in &opened[..3] {
            bench.send(*number, to.cookie, 1000 * round);
        }
        bench.after(ms(100));
        let (number, to) = opened[4];
        bench.answered(number, to.cookie, 100 + round);
        bench.after(ms(110));
        for (number, to) in &opened[..3] {
            assert!(matches!(bench.send(*number, to.cookie, 1000 * round), Verdict::Forward(_)));
        }
    }
    assert_eq!(bench.forwarder.counters().zone_silences, 0);
}

/// The pattern: a target answers nobody for a second and then again, and its entry does not change.
/// Guards against a target that never gets a flow again.
#[test]
fn silent_target_is_tested_though_its_entry_stands_still() {
    let all = targets("web", 4, 0);
    let mut bench = Bench::new(all.clone());
    let silent = cookie(&all[0]);
    let held: Vec<u32> = (0..8).filter(|n| bench.establish(*n).cookie == silent).collect();
    bench.after(ms(50));
    for wait in [0, 210] {
        bench.after(ms(wait));
        for number in &held {
            bench.send(*number, silent, 1000);
        }
    }
    assert_eq!(bench.forwarder.counters().silences, 1);
    let mut tests = 0;
    for number in 100..160 {
        bench.after(ms(100)).list(all.clone());
        tests += u32::from(bench.open(number).cookie == silent);
    }
    assert_eq!(tests, 1, "once in five seconds");
}

/// Guards against a target that is given up because of single lost packets.
#[test]
fn lost_packets_do_not_make_a_target_silent() {
    let all = targets("web", 1, 0);
    let mut bench = Bench::new(all.clone());
    let own = cookie(&all[0]);
    for number in 0..10 {
        bench.establish(number);
    }
    for round in 0..50 {
        bench.send(0, own, 1000 * (round + 1));
        bench.after(ms(100));
        bench.answered(1, own, 1000 * (round + 1));
        bench.after(ms(100));
        // The packet of flow 0 was lost; flow 1 had an answer meanwhile.
        assert!(matches!(bench.send(0, own, 1000 * (round + 1)), Verdict::Forward(_)));
    }
    assert_eq!(bench.forwarder.counters().silences, 0);
}

/// The pattern: a steady load of long flows on equal targets. Guards against imbalance by hashing.
#[test]
fn long_flows_spread_evenly() {
    let mut bench = Bench::new(targets("web", 4, 0));
    let mut counts: HashMap<u32, u32> = HashMap::new();
    for number in 0..200 {
        *counts.entry(bench.establish(number).cookie).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 50), "{counts:?}");
}

/// The pattern: all daemons were down, and the first one to return gets the callers of all zones at
/// once. Guards against the own zone's targets being overrun while those of other zones are idle.
#[test]
fn reconnecting_callers_of_all_zones_spill_over() {
    let mut bench = Bench::new(targets("web", 3, 11));
    let mut counts: HashMap<u64, u32> = HashMap::new();
    for number in 0..280 {
        bench.after(ms(1));
        *counts.entry(bench.open(number).number).or_default() += 1;
    }
    let most = counts.values().max().copied();
    // 14 targets of 4 slots each: 20 flows on average.
    assert!(most <= Some(22), "{counts:?}");
}

/// The pattern: an ordinary load of short requests. Guards against flows that leave their zone by
/// habit and end at the next partition.
#[test]
fn ordinary_load_stays_in_its_zone() {
    let mut bench = Bench::new(targets("web", 3, 11));
    for number in 0..300 {
        bench.after(ms(10));
        let opened = bench.establish(number);
        assert!(opened.number <= 3);
        bench.send(number, opened.cookie, 50);
        bench.answered(number, opened.cookie, 2_000);
    }
    assert_eq!(bench.forwarder.counters().placed_in_other_zones, 0);
}

/// Guards against targets that have just started and get more than they bear, summed over all
/// daemons of their zone.
#[test]
fn cold_target_gets_its_allowance_at_most() {
    let daemons = 3;
    let cold = Target { cold_for: Duration::from_secs(2), ..target(1, "web", HOME) };
    // 4 a second, at 1.5 times and 5 on top.
    let allowance = 11;
    let mut total = 0;
    for daemon in 0..daemons {
        let mut bench = Bench::with(vec![cold.clone(), target(2, "web", AWAY)], 4.0);
        bench.forwarder.set_zone_daemons(daemons);
        for number in 0..100 {
            bench.after(ms(9));
            total += u32::from(bench.open(daemon as u32 * 1000 + number).number == 1);
        }
    }
    assert!(total > 0 && total <= allowance, "{total}");
}

/// Guards against cold targets that get flows from daemons of other zones, whose share is unknown.
#[test]
fn cold_targets_of_other_zones_are_left_alone() {
    let mut all = targets("web", 1, 1);
    all[1].cold_for = Duration::from_secs(2);
    let mut bench = Bench::with(all[1..].to_vec(), 4.0);
    assert_eq!(bench.decide(&open(1)), Verdict::Reset(Reason::NoTarget));
}

/// The pattern: the store fails right after a zone came back into service, and a daemon starts. It
/// learns from another one, whose targets were read before. Guards against targets that are taken for
/// warm.
#[test]
fn new_daemon_learns_that_the_targets_of_a_zone_are_cold() {
    let mut bench = Bench::with(targets("web", 2, 0), 4.0);
    let read = bench.directory.listing();
    let out = Change::ZoneOut(HOME.into());
    let back = Change::ZoneBack(HOME.into(), 9);
    bench.directory.apply_change(bench.now, 7, out);
    bench.after(Duration::from_secs(8));
    bench.directory.apply_change(bench.now, 9, back);
    bench.after(ms(500));
    let operator = bench.directory.operator_state(bench.now);
    let mut young = Directory::new(Tuning::default());
    young.apply_peer(bench.now, ms(900), &operator, read);
    let view = young.view(bench.now);
    assert!(view.entries().iter().all(|entry| entry.is_cold(bench.now)));
    bench.after(Duration::from_secs(3));
    assert!(bench.directory.operator_state(bench.now).zones_back.is_empty());
}

/// Guards against a daemon that wakes up late and opens flows that their callers have opened
/// elsewhere meanwhile.
#[test]
fn opening_packets_that_waited_during_a_pause_are_dropped() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    bench.after(Duration::from_secs(4));
    bench.forwarder.record_pause(bench.now);
    assert_eq!(bench.decide(&open(1)), Verdict::Drop(Cause::Paused));
    bench.after(ms(20)).list(all);
    assert!(matches!(bench.decide(&open(2)), Verdict::Forward(_)));
}

/// The pattern: a zone is cut off with its daemon, whose state others fetch. Guards against an old
/// state of a peer that takes back what was read since.
#[test]
fn state_of_a_peer_is_used_if_it_is_newer() {
    let all = targets("web", 2, 0);
    let mut bench = Bench::new(all.clone());
    bench.after(Duration::from_secs(5)).fail();
    let operator = bench.directory.operator_state(bench.now);
    let older = Listing { revision: bench.revision - 1, targets: Vec::new() };
    let second = Duration::from_secs(1);
    bench.directory.apply_peer(bench.now, second, &operator, older);
    assert_eq!(bench.directory.listing().targets.len(), 2);
    let mut drained = all;
    drained[0].availability = Availability::Draining;
    drained[0].revision = 9;
    let newer = Listing { revision: 9, targets: drained };
    bench.directory.apply_peer(bench.now, second, &operator, newer);
    assert_eq!(bench.directory.age(bench.now), Some(second));
    bench.publish();
    assert_eq!(bench.open(1).number, 2);
    assert!(
        !bench.directory.is_absence_conclusive(bench.now),
        "a peer does not speak for the store"
    );
}

/// Guards against flows that are broken because an unknown number of flows fills the table.
#[test]
fn table_of_flows_is_bounded() {
    let tuning = Tuning { maximum_flows: 10, ..Tuning::default() };
    let mut bench = Bench::new(targets("web", 2, 0));
    let mut forwarder = banyanwharf::cookie::Forwarder::new(HOME.into(), tuning);
    forwarder.set_view(bench.forwarder.view().clone());
    bench.forwarder = forwarder;
    for number in 0..100 {
        bench.establish(number);
    }
    assert_eq!(bench.forwarder.flow_count(), 10);
    bench.after(Duration::from_secs(20));
    bench.forwarder.sweep(bench.now);
    assert_eq!(bench.forwarder.flow_count(), 0);
}
