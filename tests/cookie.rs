//! The cookie forwarder delivers each flow to its target, places new flows only on targets that can
//! take them, and resets only flows that cannot be served.

mod cookies;

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    ApplyOutcome, Availability, Cause, Change, CheckOutcome, Cookie, Directory, EntryChange, Event,
    Forwarder, Kind, Listing, ListingUpdate, OperatorState, Packet, Placement, Position, Presence,
    Reason, Revision, Target, Tuning, Verdict, ZonesOut, cookie,
};
use cookies::*;

/// Guards against flows that break when the fabric sends them through another daemon, which has no
/// state about them and knows the target only by the cookie.
#[test]
fn another_daemon_delivers_by_the_cookie() {
    let all = targets("web", 3, 3);
    let mut first = DaemonFixture::new(all.clone());
    let mut second = DaemonFixture::new(all);
    for number in 0..50 {
        let opened = first.open(number);
        let later = second.acknowledge(number, opened.cookie, 100);
        assert_eq!(later, Verdict::Forward(opened));
    }
}

/// Guards against callers that wait for the answer to a request which the previous process of a
/// restarted target had received.
#[test]
fn restarted_target_has_another_cookie() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let opened = fixture.establish(1);
    let waiting = fixture.establish(2);
    for _ in 0..6 {
        fixture.advance(ms(500)).read_targets(all.clone());
    }
    let mut restarted = target(1, "web", OWN_ZONE);
    restarted.born += 1;
    restarted.revision = 2.into();
    fixture.advance(ms(500)).read_targets(vec![restarted.clone()]);
    assert_ne!(cookie(&restarted), opened.cookie);
    let verdict = fixture.acknowledge(1, opened.cookie, 200);
    assert_eq!(verdict, Verdict::Reset(Reason::TargetGone));
    assert_eq!(waiting.cookie, opened.cookie);
    assert_eq!(fixture.forwarder.take_lost_flows(fixture.now), [(flow(2, 1), 100)]);
    assert_eq!(fixture.open(3).cookie, cookie(&restarted));
}

/// Guards against the reset of flows that a target took after it had been started again under its
/// id, while the store was down and daemons still gave out the cookie of its former start.
#[test]
fn flow_opened_after_an_unread_restart_is_kept() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let mut other_daemon = DaemonFixture::new(all.clone());
    for _ in 0..6 {
        fixture.advance(ms(500)).read_targets(all.clone());
    }
    for _ in 0..3 {
        fixture.advance(ms(500)).fail_read();
    }
    let opened = fixture.establish(1);
    for _ in 0..6 {
        fixture.advance(ms(500)).fail_read();
    }
    // The store answers again before the target has written its new entry.
    for _ in 0..4 {
        fixture.advance(ms(500)).read_targets(all.clone());
    }
    let mut restarted = target(1, "web", OWN_ZONE);
    restarted.born += 1;
    restarted.revision = 2.into();
    for _ in 0..8 {
        fixture.advance(ms(500)).read_targets(vec![restarted.clone()]);
        assert_eq!(fixture.forwarder.take_lost_flows(fixture.now), []);
    }
    assert!(fixture.directory.is_absence_conclusive(fixture.now));
    let kept = destination(fixture.acknowledge(1, opened.cookie, 200));
    assert_eq!((kept.address, kept.number), (opened.address, opened.number));
    // The target repeats the token, so the caller uses the present cookie from now on.
    assert_eq!(kept.cookie, cookie(&restarted));
    assert!(matches!(fixture.acknowledge(1, kept.cookie, 300), Verdict::Forward(_)));
    // The flow may move to a daemon that has seen no packet of it.
    other_daemon.now = fixture.now;
    other_daemon.read_targets(vec![restarted]);
    assert_eq!(destination(other_daemon.acknowledge(1, opened.cookie, 300)), kept);
}

/// Returns the daemon that starts after a target has been started again under its id, and a flow
/// that the target took before any daemon had read its new entry.
fn daemon_after_an_unread_restart() -> (DaemonFixture, Cookie, Target) {
    let mut earlier_daemon = DaemonFixture::new(targets("web", 3, 0));
    let opened = earlier_daemon.establish(1);
    let mut all = targets("web", 3, 0);
    let restarted = all.iter_mut().find(|target| cookie(target) == opened.cookie);
    let restarted = restarted.expect("the target of the flow");
    restarted.born += 1;
    let restarted = restarted.clone();
    (DaemonFixture::new(all), opened.cookie, restarted)
}

/// Guards against the reset of flows that a restarted target took before its new entry was read, by
/// daemons that start later and have never known its former start.
#[test]
fn later_daemon_keeps_a_flow_opened_after_an_unread_restart() {
    let (mut daemon, former, restarted) = daemon_after_an_unread_restart();
    assert_eq!(daemon.acknowledge(1, former, 200), Verdict::Drop(Cause::UnknownCookie));
    daemon.advance(ms(500)).read_again();
    assert_eq!(daemon.acknowledge(1, former, 200), Verdict::Drop(Cause::UnknownCookie));
    daemon.advance(ms(1000)).read_again();
    let kept = destination(daemon.acknowledge(1, former, 200));
    assert_eq!((kept.address, kept.number), (restarted.address, restarted.number));
    assert_eq!(kept.cookie, cookie(&restarted));
    // The caller may repeat the former cookie until it has received the present one.
    assert_eq!(destination(daemon.acknowledge(1, former, 300)), kept);
    assert_eq!(destination(daemon.acknowledge(1, kept.cookie, 400)), kept);
    assert_eq!(daemon.forwarder.take_lost_flows(daemon.now), []);
}

/// Guards against callers that wait for a target whose former start is not known and which has ended.
#[test]
fn flow_of_an_unknown_start_is_reset_if_its_target_has_ended() {
    let (mut daemon, former, restarted) = daemon_after_an_unread_restart();
    assert_eq!(daemon.acknowledge(1, former, 200), Verdict::Drop(Cause::UnknownCookie));
    let others: Vec<Target> =
        targets("web", 3, 0).into_iter().filter(|target| target.name != restarted.name).collect();
    for _ in 0..8 {
        daemon.advance(ms(500)).read_targets(others.clone());
    }
    assert_eq!(daemon.acknowledge(1, former, 200), Verdict::Reset(Reason::UnknownCookie));
}

/// Guards against packets for a target that this daemon has not read yet and that reach another one
/// whose cookie has the same bits for the id.
#[test]
fn unread_target_is_not_taken_for_another_one_of_the_same_identity() {
    // As many bits of a cookie as its doc comment states are derived from the id.
    let identity = |number: u64| cookie(&target(number, "web", OWN_ZONE)) >> 10;
    let mut numbers: HashMap<u32, u64> = HashMap::new();
    let pair = (0..).find_map(|number| Some((numbers.insert(identity(number), number)?, number)));
    let (known, unread) = pair.expect("two ids");
    let (known, unread) = (target(known, "web", OWN_ZONE), target(unread, "web", OWN_ZONE));
    let mut daemon = DaemonFixture::new(vec![known.clone()]);
    let sent = cookie(&unread);
    assert_eq!(daemon.acknowledge(1, sent, 100), Verdict::Drop(Cause::UnknownCookie));
    for _ in 0..3 {
        daemon.advance(ms(500)).read_targets(vec![known.clone(), unread.clone()]);
        assert_eq!(destination(daemon.acknowledge(1, sent, 100)).number, unread.number);
    }
    // A former start of either target has the same identity, so nothing shows which one it was.
    let former = sent ^ 1;
    for _ in 0..8 {
        daemon.advance(ms(500)).read_again();
        assert!(!matches!(daemon.acknowledge(2, former, 100), Verdict::Forward(_)));
    }
}

/// Guards against a restarted target that gets no packets, because its cookie is the same as that of
/// its former start.
#[test]
fn restarted_target_with_the_same_cookie_gets_new_flows() {
    let former = target(1, "web", OWN_ZONE);
    let is_same = |born: &u64| cookie(&Target { born: *born, ..former.clone() }) == cookie(&former);
    let born = (former.born + 1..).find(is_same).expect("a start with the same cookie");
    let mut daemon = DaemonFixture::new(vec![former.clone()]);
    let opened = daemon.establish(1);
    let restarted = Target { born, revision: 2.into(), ..former };
    for _ in 0..8 {
        daemon.advance(ms(500)).read_targets(vec![restarted.clone()]);
    }
    // The target resets the flows that it does not hold.
    assert_eq!(destination(daemon.acknowledge(1, opened.cookie, 200)).number, restarted.number);
    assert_eq!(daemon.open(2).number, restarted.number);
}

/// Guards against packets that reach a service to which their address was never routed: a caller
/// can put any cookie into a packet.
#[test]
fn packet_with_a_cookie_of_another_service_is_dropped() {
    let mut all = targets("web", 2, 0);
    let files = target(9, "files", OWN_ZONE);
    all.push(files.clone());
    let mut fixture = DaemonFixture::new(all.clone());
    fixture.advance(Duration::from_secs(60)).read_targets(all);
    fixture.directory.confirm_config(fixture.now);
    fixture.publish_view();
    let forged = packet(flow(1, 1), Kind::Data, cookie(&files));
    assert_eq!(fixture.decide(&forged), Verdict::Drop(Cause::WrongService));
}

/// Guards against broken flows after a configuration that routes an address to another service.
/// Daemons that start afterwards have not seen the old route, but receive packets of flows that
/// were opened by it.
#[test]
fn new_daemon_delivers_flows_of_the_former_service() {
    let mut all = targets("web", 1, 0);
    let files = target(9, "files", OWN_ZONE);
    all.push(files.clone());
    let mut fixture = DaemonFixture::new(all);
    fixture.advance(Duration::from_secs(5));
    let held = packet(flow(1, 1), Kind::Data, cookie(&files));
    assert_eq!(destination(fixture.decide(&held)).number, 9);
}

/// Guards against a caller that sends packets of a kind that only targets send.
#[test]
fn answers_from_callers_are_dropped() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 0));
    let forged = packet(flow(1, 1), Kind::Foreign, 0);
    assert_eq!(fixture.decide(&forged), Verdict::Drop(Cause::Foreign));
}

/// Guards against new flows to a draining target, and against open flows of it that go to another
/// target.
#[test]
fn draining_target_keeps_flows_and_gets_no_new_ones() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let opened: Vec<_> = (0..20).map(|number| (number, fixture.establish(number))).collect();
    let mut drained = all;
    drained[0].availability = Availability::Draining;
    drained[0].revision = 2.into();
    let leaving = cookie(&drained[0]);
    fixture.advance(ms(500)).read_targets(drained);
    for (number, destination) in opened {
        assert_eq!(
            fixture.acknowledge(number, destination.cookie, 200),
            Verdict::Forward(destination)
        );
    }
    for number in 100..150 {
        assert_ne!(fixture.open(number).cookie, leaving);
    }
}

/// Guards against new flows to a zone that operators have taken out of service, and against open
/// flows there that are not served any longer.
#[test]
fn zone_out_of_service_gets_no_new_flows() {
    let mut fixture = DaemonFixture::new(targets("web", 2, 2));
    let opened = fixture.establish(1);
    let change = Change::ZoneOut(OWN_ZONE.into());
    assert_eq!(fixture.directory.apply_change(fixture.now, 5.into(), change), ApplyOutcome::New);
    fixture.publish_view();
    assert_eq!(fixture.acknowledge(1, opened.cookie, 200), Verdict::Forward(opened));
    let other_zone: Vec<_> = targets("web", 2, 2).iter().skip(2).map(cookie).collect();
    for number in 10..30 {
        assert!(other_zone.contains(&fixture.open(number).cookie));
    }
    let back = Change::ZoneBack(OWN_ZONE.into(), 9.into());
    assert_eq!(fixture.directory.apply_change(fixture.now, 9.into(), back), ApplyOutcome::New);
    fixture.publish_view();
    assert!(!other_zone.contains(&fixture.open(40).cookie));
}

/// Guards against callers that wait for a timeout although no target or route can serve them.
#[test]
fn flow_without_target_or_route_is_reset_at_once() {
    let mut fixture = DaemonFixture::new(Vec::new());
    assert_eq!(fixture.decide(&opening_packet(1)), Verdict::Reset(Reason::NoTarget));
    let unrouted = packet(flow(1, 77), Kind::Open { attempt: 0 }, 0);
    assert_eq!(fixture.decide(&unrouted), Verdict::Reset(Reason::NoRoute));
}

/// Guards against resets by a daemon that has started while the store is down: the flows can be
/// served as soon as the store answers.
#[test]
fn daemon_without_a_view_resets_nothing() {
    let mut fixture = DaemonFixture::new(Vec::new());
    fixture.forwarder = banyanwharf::cookie::Forwarder::new(OWN_ZONE.into(), Tuning::default());
    for _ in 0..5 {
        assert_eq!(fixture.decide(&opening_packet(1)), Verdict::Drop(Cause::NotReady));
        fixture.advance(ms(1000));
    }
}

/// Guards against the reset of a flow whose route was published after the last read of the
/// configuration.
#[test]
fn stale_view_does_not_reset_an_unknown_route() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 0));
    fixture.advance(Duration::from_secs(10));
    let unrouted = packet(flow(1, 77), Kind::Open { attempt: 0 }, 0);
    assert_eq!(fixture.decide(&unrouted), Verdict::Drop(Cause::StaleView));
}

/// Guards against the reset of an open flow by a daemon that has not read the configuration which
/// adds the route yet, after the daemon that opened the flow has left the rotation. Guards also
/// against flows of a removed route whose callers never hear of it.
#[test]
fn open_flow_of_an_unknown_route_is_reset_only_after_a_newer_confirmation() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 0));
    let cookie = cookie(&target(1, "web", OWN_ZONE));
    let added = Packet { acknowledged: 100, ..packet(flow(1, 77), Kind::Data, cookie) };
    let removed = Packet { acknowledged: 100, ..packet(flow(2, 78), Kind::Data, cookie) };
    for _ in 0..3 {
        assert_eq!(fixture.decide(&added), Verdict::Drop(Cause::StaleView));
        assert_eq!(fixture.decide(&removed), Verdict::Drop(Cause::StaleView));
        fixture.advance(ms(400));
        fixture.directory.confirm_config(fixture.now);
        fixture.publish_view();
    }
    let mut newer = config(2, 0.0);
    newer.routes.insert(service_address(77), newer.routes[&service_address(1)].clone());
    fixture.advance(ms(400));
    let operator =
        OperatorState { revision: 2.into(), config: Some(Arc::new(newer)), ..Default::default() };
    fixture.read_operator_state(operator);
    assert!(matches!(fixture.decide(&added), Verdict::Forward(_)));
    assert_eq!(fixture.decide(&removed), Verdict::Reset(Reason::NoRoute));
}

/// Guards against a reset that rests on a response which arrived only after a pause of the process.
#[test]
fn confirmation_from_before_a_pause_proves_nothing() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 0));
    let added = packet(flow(1, 77), Kind::Data, 1);
    assert_eq!(fixture.decide(&added), Verdict::Drop(Cause::StaleView));
    fixture.advance(Duration::from_secs(4));
    fixture.forwarder.record_pause(fixture.now);
    fixture.directory.confirm_config(fixture.now);
    fixture.publish_view();
    assert_eq!(fixture.decide(&added), Verdict::Drop(Cause::StaleView));
}

/// Guards against the reset of a flow whose target started after the last read of the targets.
#[test]
fn unknown_cookie_is_reset_only_after_a_newer_read() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all[..1].to_vec());
    let unread = cookie(&all[1]);
    assert_eq!(fixture.acknowledge(1, unread, 100), Verdict::Drop(Cause::UnknownCookie));
    fixture.advance(ms(500)).read_targets(all.clone());
    assert!(matches!(fixture.acknowledge(1, unread, 100), Verdict::Forward(_)));
    assert_eq!(fixture.acknowledge(2, 12345, 100), Verdict::Drop(Cause::UnknownCookie));
    for _ in 0..3 {
        fixture.advance(ms(500)).read_targets(all.clone());
    }
    assert_eq!(fixture.acknowledge(2, 12345, 100), Verdict::Reset(Reason::UnknownCookie));
}

/// Guards against the reset of a flow by a daemon that has just started. The target's entry expired
/// in an outage of the store before the start, so the daemon has never seen it.
#[test]
fn daemon_that_has_just_started_resets_no_flow_of_a_target_without_an_entry() {
    let all = targets("web", 2, 0);
    let tuning = Tuning::default();
    let start = Instant::now();
    let mut fixture = DaemonFixture {
        now: start,
        directory: Directory::new(tuning.clone()),
        forwarder: Forwarder::new(OWN_ZONE.into(), tuning.clone()),
        tuning,
        revision: 1,
        check_outcome: CheckOutcome::Unanswered,
    };
    let config = Some(Arc::new(config(1, 0.0)));
    fixture.read_operator_state(OperatorState {
        revision: 1.into(),
        config,
        ..OperatorState::default()
    });
    fixture.read_targets(all[..1].to_vec());
    let expired = cookie(&all[1]);
    for _ in 0..4 {
        assert_eq!(fixture.acknowledge(1, expired, 100), Verdict::Drop(Cause::UnknownCookie));
        fixture.advance(ms(500)).read_targets(all[..1].to_vec());
    }
    fixture.read_targets(all);
    assert!(matches!(fixture.acknowledge(1, expired, 100), Verdict::Forward(_)));
}

/// Guards against the loss of all targets when their entries expire during an outage of the store,
/// because the targets could not renew them.
#[test]
fn lapsed_targets_stay_in_use_until_the_store_has_recovered() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let opened = fixture.establish(1);
    fixture.advance(ms(500)).fail_read();
    fixture.advance(Duration::from_secs(4)).read_targets(Vec::new());
    assert!(matches!(fixture.decide(&opening_packet(2)), Verdict::Forward(_)));
    assert_eq!(fixture.acknowledge(1, opened.cookie, 200), Verdict::Forward(opened));
    fixture.advance(ms(1_000)).read_targets(all[..1].to_vec());
    for _ in 0..4 {
        fixture.advance(ms(500)).read_targets(all[..1].to_vec());
    }
    let view = fixture.directory.view(fixture.now);
    assert_eq!(view.target(cookie(&all[0])).map(|entry| entry.presence), Some(Presence::Present));
    assert_eq!(view.target(cookie(&all[1])).map(|entry| entry.presence), Some(Presence::Gone));
}

/// Guards against a lapsed target that stays in use because nothing else changes in the store, so
/// that the targets are only confirmed and not read again.
#[test]
fn lapsed_targets_end_without_a_new_store_revision() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    fixture.advance(ms(500)).fail_read();
    fixture.advance(Duration::from_secs(4)).read_targets(all[..1].to_vec());
    let presence = |fixture: &mut DaemonFixture| {
        let view = fixture.directory.view(fixture.now);
        view.target(cookie(&all[1])).map(|entry| entry.presence)
    };
    assert_eq!(presence(&mut fixture), Some(Presence::Lapsed));
    fixture.advance(Duration::from_secs(3));
    let unchanged = ListingUpdate { revision: fixture.revision.into(), changes: Vec::new() };
    fixture.directory.apply_update(fixture.now, unchanged);
    assert_eq!(presence(&mut fixture), Some(Presence::Gone));
}

/// Guards against a draining target that is kept as lapsed although it has removed its entry
/// itself.
#[test]
fn draining_target_without_entry_is_gone() {
    let mut all = targets("web", 2, 0);
    all[0].availability = Availability::Draining;
    let mut fixture = DaemonFixture::new(all.clone());
    fixture.advance(ms(500)).fail_read();
    fixture.advance(ms(500)).read_targets(all[1..].to_vec());
    let view = fixture.directory.view(fixture.now);
    assert_eq!(view.target(cookie(&all[0])).map(|entry| entry.presence), Some(Presence::Gone));
}

/// Guards against a stale read or a late response of a peer that replaces newer state.
#[test]
fn older_state_is_not_applied() {
    let tuning = Tuning::default();
    let mut directory = Directory::new(tuning);
    let now = std::time::Instant::now();
    let operator = |revision, version| OperatorState {
        revision,
        config: Some(Arc::new(config(version, 0.0))),
        ..OperatorState::default()
    };
    assert_eq!(directory.apply_operator_state(now, &operator(7.into(), 7)), ApplyOutcome::New);
    assert_eq!(directory.apply_operator_state(now, &operator(3.into(), 3)), ApplyOutcome::Ignored);
    let mut changed = config(9, 0.0);
    changed.revision = 2.into();
    directory.apply_change(now, 8.into(), Change::Config(Arc::new(changed)));
    assert_eq!(directory.view(now).version(), Some(7));
    let listing = |revision, targets| Listing { revision, targets, ..Listing::default() };
    directory.apply_listing(now, listing(9.into(), targets("web", 2, 0)));
    assert_eq!(directory.apply_listing(now, listing(8.into(), Vec::new())), ApplyOutcome::Ignored);
    assert_eq!(directory.view(now).entries().len(), 2);
}

/// Guards against targets that count as outdated although the store has confirmed that nothing has
/// changed, and against an older response that counts as a confirmation.
#[test]
fn update_without_changes_confirms_the_targets() {
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    let (read, second) = (fixture.revision, Duration::from_secs(1));
    let unchanged = |revision| ListingUpdate { revision, changes: Vec::new() };
    let apply = |fixture: &mut DaemonFixture, revision| {
        fixture.advance(second);
        fixture.directory.apply_update(fixture.now, unchanged(revision))
    };
    assert_eq!(apply(&mut fixture, read.into()), ApplyOutcome::Same);
    assert_eq!(fixture.directory.age(fixture.now), Some(Duration::ZERO));
    // Something else has changed in the store.
    assert_eq!(apply(&mut fixture, (read + 1).into()), ApplyOutcome::Same);
    assert_eq!(fixture.directory.age(fixture.now), Some(Duration::ZERO));
    assert_eq!(apply(&mut fixture, read.into()), ApplyOutcome::Ignored);
    assert_eq!(fixture.directory.age(fixture.now), Some(second));
    let mut unread = Directory::new(Tuning::default());
    assert_eq!(unread.apply_update(fixture.now, unchanged(read.into())), ApplyOutcome::Ignored);
}

/// Guards against a removed entry that ends a target which has written its entry again since.
#[test]
fn older_changes_of_an_update_are_not_applied() {
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    let mut renewed = target(1, "web", OWN_ZONE);
    renewed.revision = 7.into();
    fixture.revision = 6;
    fixture.read_targets(vec![renewed.clone(), target(2, "web", OWN_ZONE)]);
    let name = renewed.name.clone();
    let removed = |revision| EntryChange::Removed { name: name.clone(), revision };
    let changes = vec![removed(5.into()), EntryChange::Written(renewed.clone())];
    let outcome =
        fixture.directory.apply_update(fixture.now, ListingUpdate { revision: 9.into(), changes });
    assert_eq!(outcome, ApplyOutcome::Same);
    let update = ListingUpdate { revision: 10.into(), changes: vec![removed(10.into())] };
    fixture.directory.apply_update(fixture.now, update);
    let view = fixture.directory.view(fixture.now);
    assert_eq!(view.target(cookie(&renewed)).map(|entry| entry.presence), Some(Presence::Gone));
}

/// Guards against one flow that is open on two targets: a retransmitted opening packet must go to
/// the target of the first one, although other targets have fewer flows by then.
#[test]
fn retransmitted_opening_packet_goes_to_the_same_target() {
    let mut fixture = DaemonFixture::new(targets("web", 6, 0));
    let first = fixture.open(1);
    for number in 2..40 {
        fixture.open(number);
    }
    fixture.advance(ms(200));
    let retransmission = Packet { kind: Kind::Open { attempt: 1 }, ..opening_packet(1) };
    assert_eq!(fixture.decide(&retransmission), Verdict::Forward(first));
}

/// Guards against one flow that is open on two targets because the network has duplicated its opening
/// packet: the first copy is repeated although the caller has not retransmitted it. A duplicate does
/// not show that the target is slow to answer.
#[test]
fn duplicated_opening_packet_goes_to_the_same_target() {
    for placement in [Placement::OpenFlows, Placement::ExpectedWork] {
        let tuning = Tuning { placement, ..Tuning::default() };
        let mut fixture = DaemonFixture::with_tuning(targets("web", 6, 0), 0.0, tuning);
        for number in 0..40 {
            let first = fixture.open(number);
            for other in 0..10 {
                fixture.open(100 + 10 * number + other);
            }
            fixture.advance(ms(20));
            assert_eq!(fixture.open(number), first, "{placement:?}");
        }
        assert_eq!(fixture.forwarder.counters().placed, 440);
        assert_eq!(fixture.forwarder.counters().retransmissions, 0);
    }
}

/// Guards against a duplicate of an opening packet that is held at a target which has ended.
#[test]
fn duplicated_opening_packet_leaves_an_ended_target() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let first = fixture.open(1);
    let remaining: Vec<_> =
        all.into_iter().filter(|target| cookie(target) != first.cookie).collect();
    fixture.advance(ms(500)).read_targets(remaining.clone());
    assert_eq!(fixture.open(1).cookie, cookie(&remaining[0]));
}

/// Guards against a new flow on the target of an earlier flow between the same addresses and ports,
/// although that target is draining or its service is no longer routed to. The first copy of the new
/// flow's opening packet was lost or went through another daemon.
#[test]
fn retransmitted_opening_packet_of_a_later_flow_is_placed_anew() {
    let mut all = targets("web", 2, 0);
    all.push(target(9, "files", OWN_ZONE));
    let mut fixture = DaemonFixture::new(all.clone());
    for number in 0..20 {
        let opened = fixture.establish(number);
        let closing =
            Packet { acknowledged: 200, ..packet(flow(number, 1), Kind::Finish, opened.cookie) };
        assert!(matches!(fixture.decide(&closing), Verdict::Forward(_)));
    }
    all[0].availability = Availability::Draining;
    all[0].revision = 2.into();
    fixture.advance(ms(500)).read_targets(all.clone());
    fixture.advance(Duration::from_secs(4));
    let retransmission =
        |number| Packet { sequence: 77, ..packet(flow(number, 1), Kind::Open { attempt: 1 }, 0) };
    for number in 0..10 {
        assert_eq!(destination(fixture.decide(&retransmission(number))).cookie, cookie(&all[1]));
    }
    let mut moved = config(2, 0.0);
    moved.routes.insert(service_address(1), moved.routes[&service_address(2)].clone());
    let operator =
        OperatorState { revision: 2.into(), config: Some(Arc::new(moved)), ..Default::default() };
    fixture.read_operator_state(operator);
    for number in 10..20 {
        assert_eq!(destination(fixture.decide(&retransmission(number))).cookie, cookie(&all[2]));
    }
}

/// Guards against a new flow on the target of an earlier flow between the same addresses and ports, if
/// the caller also uses the sequence number of the earlier flow again. The earlier flows were closed
/// through this daemon, closed through another one, or never opened.
#[test]
fn opening_packet_with_a_reused_sequence_number_is_placed_anew() {
    let mut all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let opened: Vec<_> = (0..30).map(|number| (number, fixture.open(number).cookie)).collect();
    let is_on_first = |(_, on): &&(u32, Cookie)| *on == cookie(&all[0]);
    for part in [&opened[..10], &opened[10..20], &opened[20..]] {
        assert!(part.iter().any(|flow| is_on_first(&flow)));
    }
    for (number, cookie) in &opened[..20] {
        fixture.acknowledge(*number, *cookie, 100);
    }
    for (number, cookie) in &opened[..10] {
        let closing =
            Packet { acknowledged: 200, ..packet(flow(*number, 1), Kind::Finish, *cookie) };
        fixture.decide(&closing);
    }
    all[0].availability = Availability::Draining;
    all[0].revision = 2.into();
    fixture.advance(ms(500)).read_targets(all.clone());
    fixture.advance(ms(1500)).read_targets(all.clone());
    for (number, _) in opened {
        let repeated = packet(flow(number, 1), Kind::Open { attempt: 1 }, 0);
        assert_eq!(destination(fixture.decide(&repeated)).cookie, cookie(&all[1]));
    }
}

/// Guards against a second target that answers a delayed copy of an opening packet and takes over the
/// cookie of a flow that is open, or whose caller has closed only its own side.
#[test]
fn delayed_copy_of_an_opening_packet_follows_its_flow() {
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    for number in 0..20 {
        let opened = fixture.open(number);
        fixture.acknowledge(number, opened.cookie, 100);
        if number % 2 == 0 {
            let closing = Packet {
                acknowledged: 200,
                ..packet(flow(number, 1), Kind::Finish, opened.cookie)
            };
            fixture.decide(&closing);
        }
        fixture.open(100 + number);
        fixture.advance(ms(1400));
        let copy = packet(flow(number, 1), Kind::Open { attempt: 1 }, 0);
        assert_eq!(destination(fixture.decide(&copy)).cookie, opened.cookie);
    }
}

/// Guards against logs that do not show why an opening packet reached a target: a copy that follows
/// the choice for an earlier copy leaves no other line.
#[test]
fn repeated_opening_packet_is_reported_with_its_delay() {
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    let opened = fixture.open(1);
    fixture.forwarder.take_events();
    fixture.advance(ms(200));
    let repeated = fixture.decide(&packet(flow(1, 1), Kind::Open { attempt: 1 }, 0));
    assert_eq!(destination(repeated).cookie, opened.cookie);
    let target = fixture.forwarder.view().target(opened.cookie).expect("known").target.name.clone();
    let expected = Event::Repeated { flow: flow(1, 1), target, attempt: 1, after_ms: 200 };
    assert!(fixture.forwarder.take_events().contains(&expected));
    assert_eq!(fixture.forwarder.counters().repeated, 1);
}

/// Guards against a reset that reaches a later flow from the same port: its caller has closed the
/// flow whose target has ended.
#[test]
fn closed_flow_of_an_ended_target_is_reset_only_for_a_packet() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let opened: Vec<_> = (0..4).map(|number| (number, fixture.establish(number))).collect();
    let closing = |number, cookie| Packet {
        acknowledged: 200,
        ..packet(flow(number, 1), Kind::Finish, cookie)
    };
    for (number, destination) in &opened[..3] {
        fixture.decide(&closing(*number, destination.cookie));
    }
    fixture.advance(ms(500)).read_targets(Vec::new());
    let lost = fixture.forwarder.take_lost_flows(fixture.now);
    assert_eq!(lost, [(flow(3, 1), 100)]);
    let (number, destination) = opened[0];
    let verdict = fixture.decide(&closing(number, destination.cookie));
    assert_eq!(verdict, Verdict::Reset(Reason::TargetGone));
}

/// Guards against the reset of a flow because an earlier one between the same addresses and ports
/// had an unknown cookie.
#[test]
fn unknown_cookie_of_an_earlier_flow_proves_nothing() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    assert_eq!(fixture.acknowledge(1, 12345, 100), Verdict::Drop(Cause::UnknownCookie));
    for _ in 0..3 {
        fixture.advance(ms(500)).read_targets(all.clone());
    }
    assert_eq!(fixture.acknowledge(1, 54321, 100), Verdict::Drop(Cause::UnknownCookie));
}

/// Guards against callers that wait for a silent target until the store reports its end. One target
/// of four stops answering while callers keep opening flows.
#[test]
fn silent_target_gets_neither_new_flows_nor_retransmitted_opening_packets() {
    let all = targets("web", 4, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let silent = cookie(&all[0]);
    let mut opened: Vec<_> = (0..40).map(|number| (number, fixture.establish(number))).collect();
    opened.retain(|(_, destination)| destination.cookie == silent);
    assert!(opened.len() >= 8);
    fixture.advance(ms(100));
    for (number, _) in &opened {
        fixture.send_data(*number, silent, 1000);
    }
    let waiting = (100..110).find(|number| fixture.open(*number).cookie == silent);
    let waiting = waiting.expect("a new flow goes to the silent target before it is detected");
    fixture.advance(ms(200));
    for (number, _) in &opened[..2] {
        assert!(matches!(fixture.send_data(*number, silent, 1000), Verdict::Forward(_)));
    }
    let events = fixture.forwarder.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::TargetFellSilent { .. })));
    for number in 200..240 {
        assert_ne!(fixture.open(number).cookie, silent);
    }
    let retransmission = Packet { kind: Kind::Open { attempt: 1 }, ..opening_packet(waiting) };
    assert_ne!(destination(fixture.decide(&retransmission)).cookie, silent);
    fixture.advance(ms(400));
    let (number, _) = opened[0];
    assert_eq!(fixture.send_data(number, silent, 1000), Verdict::Reset(Reason::TargetSilent));
    // The answer to a retransmitted packet may have come through another daemon, so it does not end
    // the target's silence.
    let (number, _) = opened[1];
    fixture.acknowledge(number, silent, 500);
    assert_ne!(fixture.open(250).cookie, silent);
    // A new packet of one flow is answered, so the target is reachable again.
    let (number, _) = opened[2];
    fixture.send_data(number, silent, 2000);
    fixture.advance(ms(50)).acknowledge(number, silent, 500);
    let again = (300..400).filter(|number| fixture.open(*number).cookie == silent).count();
    assert!(again > 0);
}

/// Guards against callers that wait until their own timeout, or send a request on a flow that is
/// already lost, after a target has ended without a reset. Some of the flows are idle, others wait
/// for a response.
#[test]
fn flows_of_ended_targets_are_reset_without_a_packet() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let ended = cookie(&all[0]);
    let opened: Vec<_> = (0..20).map(|number| (number, fixture.establish(number))).collect();
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
    let mut held: Vec<_> =
        opened.iter().filter(|(_, to)| to.cookie == ended).map(|(n, _)| flow(*n, 1)).collect();
    fixture.advance(Duration::from_secs(4)).read_targets(all[1..].to_vec());
    let mut lost_flows = fixture.forwarder.take_lost_flows(fixture.now);
    lost_flows.sort();
    held.sort();
    let flows: Vec<_> = lost_flows.iter().map(|(flow, _)| *flow).collect();
    assert_eq!(flows, held);
    assert!(lost_flows.iter().all(|(_, expected)| *expected == 100));
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
}

/// Guards against callers that wait, or send a request on a lost flow, although their target has
/// stopped answering and the store has not reported its end yet. The callers of two flows
/// retransmit for 600 ms.
#[test]
fn flows_of_silent_targets_are_reset_without_a_packet() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let silent = cookie(&all[0]);
    let opened: Vec<_> = (0..20).map(|number| (number, fixture.establish(number))).collect();
    let held: Vec<_> = opened.iter().filter(|(_, to)| to.cookie == silent).collect();
    for wait in [100, 200, 300] {
        fixture.advance(ms(wait));
        assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
        for (number, _) in &held[..2] {
            fixture.send_data(*number, silent, 1000);
        }
    }
    fixture.advance(ms(100));
    assert_eq!(fixture.forwarder.take_lost_flows(fixture.now).len(), held.len());
}

/// Guards against resets of working flows because of old retransmissions. A partition makes targets
/// silent for this daemon, the fabric sends their flows through other daemons, and sends them here
/// again after the partition.
#[test]
fn old_retransmissions_do_not_reset_flows_that_come_back() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let silent = cookie(&all[0]);
    (0..4).for_each(|number| {
        fixture.establish(number);
    });
    fixture.advance(ms(10));
    (0..4).for_each(|number| {
        fixture.send_data(number, silent, 1000);
    });
    for wait in [200, 300] {
        fixture.advance(ms(wait));
        for number in 0..2 {
            fixture.send_data(number, silent, 1000);
        }
    }
    assert!(fixture.forwarder.counters().silences > 0);
    // Meanwhile the flows continued through other daemons. Now arrive packets of a flow that this
    // daemon has never seen, and old acknowledgements of flows that it has seen.
    fixture.advance(Duration::from_secs(8)).read_targets(all);
    for number in [0, 1, 20] {
        assert!(matches!(fixture.acknowledge(number, silent, 90), Verdict::Forward(_)));
    }
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
    // A single lost packet does not reset the flows either.
    fixture.send_data(0, silent, 5000);
    fixture.advance(ms(200));
    assert!(matches!(fixture.send_data(0, silent, 5000), Verdict::Forward(_)));
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
}

/// Guards against targets that are regarded as silent after a pause of the daemon: it then reads at
/// once the packets that callers retransmitted meanwhile.
#[test]
fn retransmissions_during_a_pause_are_ignored() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let own = cookie(&all[0]);
    (0..4).for_each(|number| {
        fixture.establish(number);
    });
    fixture.advance(ms(10));
    (0..4).for_each(|number| {
        fixture.send_data(number, own, 1000);
    });
    fixture.advance(Duration::from_secs(4));
    fixture.forwarder.record_pause(fixture.now);
    for number in 0..4 {
        assert!(matches!(fixture.send_data(number, own, 1000), Verdict::Forward(_)));
    }
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
    assert_eq!(fixture.forwarder.counters().silences, 0);
}

/// Guards against the reset of a flow when a target ends that the flow is not on. The
/// retransmissions of its opening packet went through two daemons to two targets, of which the
/// second answered. Later the fabric sends the flow through the first daemon, which knows only the
/// first target.
#[test]
fn flow_that_another_daemon_moved_is_not_on_the_first_target() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let first = fixture.open(1).cookie;
    let other = all.iter().map(cookie).find(|cookie| *cookie != first).expect("two targets");
    let remaining: Vec<_> = all.iter().filter(|target| cookie(target) == other).cloned().collect();
    fixture.advance(Duration::from_secs(5)).read_targets(all.clone());
    assert!(matches!(fixture.acknowledge(1, other, 500), Verdict::Forward(_)));
    fixture.advance(ms(500)).read_targets(remaining.clone());
    fixture.advance(Duration::from_secs(4)).read_targets(remaining);
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
}

/// Guards against resets of working flows because one flow of the same target gets no answers. The
/// target does not know that flow, and the other flows are idle meanwhile.
#[test]
fn single_flow_without_answers_does_not_reset_the_others() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let own = cookie(&all[0]);
    (0..6).for_each(|number| {
        fixture.establish(number);
    });
    fixture.advance(ms(10)).send_data(0, own, 1000);
    for wait in [200, 400] {
        fixture.advance(ms(wait));
        assert!(matches!(fixture.send_data(0, own, 1000), Verdict::Forward(_)));
    }
    fixture.advance(ms(800));
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
    assert_eq!(fixture.send_data(0, own, 1000), Verdict::Reset(Reason::TargetSilent));
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
}

/// Guards against a target that is regarded as silent because reordered packets are mistaken for
/// retransmissions.
#[test]
fn reordered_packets_are_not_retransmissions() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let own = cookie(&all[0]);
    for number in 0..4 {
        fixture.establish(number);
        fixture.send_data(number, own, 1050);
        fixture.advance(ms(2)).send_data(number, own, 1000);
    }
    assert_eq!(fixture.forwarder.counters().silences, 0);
}

/// Guards against a daemon that keeps its callers although daemons of other zones could serve them.
/// Its own zone is out of service, and the network to the other zones fails.
#[test]
fn daemon_that_reaches_no_target_is_cut_off() {
    let all = targets("web", 0, 3);
    let mut fixture = DaemonFixture::new(all);
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), None, "no flow was opened");
    for number in 0..9 {
        fixture.open(number);
    }
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), Some(false));
    for attempt in 1..=2 {
        fixture.advance(ms(210));
        for number in 0..9 {
            let retransmission = Packet { kind: Kind::Open { attempt }, ..opening_packet(number) };
            fixture.decide(&retransmission);
        }
    }
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), Some(true));
    let opened = fixture.open(20);
    fixture.acknowledge(20, opened.cookie, 100);
    assert_eq!(
        fixture.forwarder.is_every_target_silent(fixture.now),
        Some(false),
        "a target answers"
    );
}

/// Guards against callers that find out separately about each target of an unreachable zone. The
/// own zone is out of service, and one of two other zones with many targets becomes unreachable.
#[test]
fn silent_zone_gets_no_new_flows() {
    let mut all = targets("web", 0, 60);
    for target in all.iter_mut().skip(30) {
        target.zone = "zone-c".into();
    }
    let mut fixture = DaemonFixture::new(all);
    let is_in_silent_zone = |number: u64| number <= 30;
    let waiting: Vec<u32> =
        (0..20).filter(|number| is_in_silent_zone(fixture.open(*number).number)).collect();
    assert!(waiting.len() >= 3);
    fixture.advance(ms(200));
    for number in &waiting {
        fixture.decide(&Packet { kind: Kind::Open { attempt: 1 }, ..opening_packet(*number) });
    }
    for number in 100..200 {
        assert!(!is_in_silent_zone(fixture.open(number).number));
    }
    let retransmission = Packet { kind: Kind::Open { attempt: 2 }, ..opening_packet(waiting[0]) };
    assert!(!is_in_silent_zone(destination(fixture.decide(&retransmission)).number));
}

/// Guards against a daemon that reaches no zone and stays ready: the fabric must soon send its
/// callers to other daemons.
#[test]
fn daemon_that_reaches_no_zone_is_cut_off_at_once() {
    let mut fixture = DaemonFixture::new(targets("web", 0, 60));
    (0..5).for_each(|number| {
        fixture.open(number);
    });
    fixture.advance(ms(200));
    for number in 0..5 {
        fixture.decide(&Packet { kind: Kind::Open { attempt: 1 }, ..opening_packet(number) });
    }
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), Some(true));
}

/// Guards against callers that wait for targets of an unreachable zone. Each target has only one
/// flow, which is not enough to regard the target as silent.
#[test]
fn retransmissions_to_a_silent_zone_are_reset() {
    let mut fixture = DaemonFixture::new(targets("web", 0, 9));
    let opened: Vec<_> = (0..9).map(|number| (number, fixture.establish(number))).collect();
    fixture.advance(ms(50));
    for (number, to) in &opened[..4] {
        fixture.send_data(*number, to.cookie, 1000);
    }
    for wait in [200, 390] {
        fixture.advance(ms(wait));
        for (number, to) in &opened[..4] {
            fixture.send_data(*number, to.cookie, 1000);
        }
    }
    let (number, to) = opened[0];
    fixture.advance(ms(20));
    assert_eq!(fixture.send_data(number, to.cookie, 1000), Verdict::Reset(Reason::TargetSilent));
    // A packet that was not sent before may be answered.
    let (number, to) = opened[5];
    assert!(matches!(fixture.send_data(number, to.cookie, 1000), Verdict::Forward(_)));
    // One answer ends the silence of the zone and of the targets that fell silent with it.
    fixture.acknowledge(number, to.cookie, 900);
    for (number, to) in &opened[1..4] {
        assert!(matches!(fixture.send_data(*number, to.cookie, 3000), Verdict::Forward(_)));
    }
}

/// Guards against the reset of a flow whose target runs. One daemon of many sees the packets of two
/// flows of a target, and the target's answers to them are late; no other flow of the target passes
/// through this daemon and contradicts.
#[test]
fn target_that_accepts_connections_keeps_its_flows() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 0));
    fixture.check_outcome = CheckOutcome::Accepted;
    let opened = [1, 2].map(|number| (number, fixture.establish(number)));
    for wait in [50, 200, 400, 800, 1600, 1600] {
        fixture.advance(ms(wait));
        for (number, to) in &opened {
            assert_eq!(fixture.send_data(*number, to.cookie, 1000), Verdict::Forward(*to));
        }
        assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
    }
    let events = fixture.forwarder.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::TargetFellSilent { .. })));
}

/// Guards against the reset of flows whose targets run, by a daemon that regards a zone as silent
/// although just three of its targets have ended: the daemon sees no flow of the other targets.
#[test]
fn three_ended_targets_do_not_reset_the_flows_of_their_zone() {
    let mut fixture = DaemonFixture::new(targets("web", 0, 9));
    let opened: Vec<_> = (0..9).map(|number| (number, fixture.establish(number))).collect();
    let (lost, running) = opened.split_at(3);
    for wait in [50, 200, 390, 20] {
        fixture.advance(ms(wait));
        for (number, to) in lost {
            fixture.send_data(*number, to.cookie, 1000);
        }
    }
    let events = fixture.forwarder.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::ZoneFellSilent { .. })));
    fixture.check_outcome = CheckOutcome::Accepted;
    for wait in [0, 200, 400] {
        fixture.advance(ms(wait));
        for (number, to) in lost {
            fixture.send_data(*number, to.cookie, 1000);
        }
        let (number, to) = running[0];
        assert_eq!(fixture.send_data(number, to.cookie, 1000), Verdict::Forward(to));
    }
}

/// Guards against a caller whose opening packets all go to a target that does not answer. The target
/// gets no other flow, and the last copy of the opening packet arrives a little early.
#[test]
fn last_copy_of_an_opening_packet_goes_to_another_target() {
    let mut fixture = DaemonFixture::new(targets("web", 3, 0));
    fixture.check_outcome = CheckOutcome::Accepted;
    let first = fixture.open(1);
    for (wait, attempt) in [(199, 1), (398, 2)] {
        fixture.advance(ms(wait));
        let copy = Packet { kind: Kind::Open { attempt }, ..opening_packet(1) };
        let to = destination(fixture.decide(&copy));
        assert_eq!(to != first, attempt == 2);
    }
}

/// Guards against callers that wait for a crashed target until the third copy of their opening
/// packet, and against further flows to it: many daemons see little of the target, and each would
/// have to lose a flow first.
#[test]
fn target_that_refuses_connections_is_avoided_at_once() {
    let all = targets("web", 4, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    fixture.check_outcome = CheckOutcome::Refused;
    let opened: Vec<_> = (0..40).map(|number| (number, fixture.establish(number))).collect();
    let (crashed, others) = opened.split_at(1);
    let crashed = crashed[0].1;
    let waiting = (100..110).find(|number| fixture.open(*number).cookie == crashed.cookie);
    let waiting = waiting.expect("a new flow goes to the crashed target");
    for number in 100..waiting {
        let to = fixture.forwarder.target_of(&flow(number, 1)).expect("the flow is open").cookie;
        if to != crashed.cookie {
            fixture.acknowledge(number, to, 100);
        }
    }
    fixture.advance(ms(100));
    fixture.check_unanswered_opens();
    let copy = Packet { kind: Kind::Open { attempt: 1 }, ..opening_packet(waiting) };
    assert_ne!(destination(fixture.advance(ms(100)).decide(&copy)), crashed);
    for number in 200..240 {
        assert_ne!(fixture.open(number), crashed);
    }
    let lost = fixture.forwarder.take_lost_flows(fixture.now);
    let expected = opened.iter().filter(|(_, to)| *to == crashed).count();
    assert_eq!(lost.len(), expected);
    for (number, to) in others.iter().filter(|(_, to)| *to != crashed) {
        assert_eq!(fixture.acknowledge(*number, to.cookie, 200), Verdict::Forward(*to));
    }
}

/// Guards against flows that wait for a crashed target until its entry expires, while a target of
/// another service already accepts connections at its address. An entry of a service that the
/// configuration lacks proves nothing.
#[test]
fn target_at_the_address_of_a_later_one_has_ended() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let opened: Vec<_> = (0..8).map(|number| (number, fixture.establish(number))).collect();
    let mut later = target(9, "unknown", OWN_ZONE);
    (later.address, later.revision) = (all[0].address, 2.into());
    let with = |later: &Target| [all.clone(), vec![later.clone()]].concat();
    fixture.advance(ms(500)).read_targets(with(&later));
    assert!(fixture.forwarder.take_lost_flows(fixture.now).is_empty());
    later.service = "files".into();
    later.revision = 3.into();
    fixture.advance(ms(500)).read_targets(with(&later));
    let lost = fixture.forwarder.take_lost_flows(fixture.now);
    let expected = opened.iter().filter(|(_, to)| to.cookie == cookie(&all[0])).count();
    assert_eq!(lost.len(), expected);
    for number in 20..40 {
        assert_eq!(fixture.open(number).cookie, cookie(&all[1]));
    }
}

/// Guards against new flows to an ended target after an outage of the store, in which its entry and
/// that of the later target at its address have expired. A connection check would reach the later
/// one.
#[test]
fn target_at_the_address_of_a_lapsed_one_has_ended() {
    let mut all = targets("web", 2, 0);
    let ended = cookie(&all[0]);
    let mut fixture = DaemonFixture::new(all.clone());
    let later = Target { address: all[0].address, born: 9_000, ..target(9, "files", OWN_ZONE) };
    all.push(later);
    fixture.advance(ms(500)).read_targets(all.clone());
    fixture.advance(ms(500)).fail_read();
    fixture.advance(Duration::from_secs(4)).read_targets(vec![all[1].clone()]);
    let view = fixture.directory.view(fixture.now);
    assert_eq!(view.target(cookie(&all[2])).map(|entry| entry.presence), Some(Presence::Lapsed));
    assert_eq!(view.target(ended).map(|entry| entry.presence), Some(Presence::Gone));
    for number in 0..10 {
        assert_ne!(fixture.open(number).cookie, ended);
    }
}

/// Guards against a reset that rests on a check from before a pause of the process, during which
/// the daemon could not receive the answer.
#[test]
fn checks_from_before_a_pause_prove_nothing() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 0));
    let opened = [1, 2].map(|number| (number, fixture.establish(number)));
    let mut checks = Vec::new();
    for wait in [50, 200] {
        fixture.advance(ms(wait));
        for (number, to) in &opened {
            let packet = data_packet(*number, to.cookie, 1000);
            fixture.forwarder.decide(fixture.now, &packet);
            checks.extend(fixture.forwarder.take_checks());
        }
    }
    assert_eq!(checks.len(), 1);
    fixture.advance(ms(500));
    fixture.forwarder.record_pause(fixture.now);
    fixture.forwarder.record_check(fixture.now, &checks[0], CheckOutcome::Unanswered);
    for wait in [200, 400, 800] {
        fixture.advance(ms(wait));
        for (number, to) in &opened {
            let packet = data_packet(*number, to.cookie, 1000);
            assert_eq!(fixture.forwarder.decide(fixture.now, &packet), Verdict::Forward(*to));
        }
    }
}

/// Guards against checks without bound while many targets retransmit, and against a target that is
/// never checked again.
#[test]
fn connection_checks_are_limited() {
    let maximum = Tuning::default().maximum_checks;
    let mut fixture = DaemonFixture::new(targets("web", 200, 0));
    let opened: Vec<_> = (0..200).map(|number| (number, fixture.establish(number))).collect();
    let mut checks = Vec::new();
    for wait in [50, 200, 10, 10] {
        fixture.advance(ms(wait));
        for (number, to) in &opened {
            let packet = data_packet(*number, to.cookie, 1000);
            fixture.forwarder.decide(fixture.now, &packet);
        }
        checks.extend(fixture.forwarder.take_checks());
    }
    assert_eq!(checks.len(), maximum);
    for check in &checks {
        fixture.forwarder.record_check(fixture.now, check, CheckOutcome::Accepted);
    }
    fixture.advance(Tuning::default().check_interval);
    for (number, to) in &opened {
        let packet = data_packet(*number, to.cookie, 1000);
        fixture.forwarder.decide(fixture.now, &packet);
    }
    assert_eq!(fixture.forwarder.take_checks().len(), maximum);
}

/// Guards against a daemon that regards an unreachable zone as reachable again because of answers
/// to packets which another daemon has forwarded. The fabric sends the flows of the zone through
/// this daemon and others in turn.
#[test]
fn answers_through_other_daemons_do_not_end_the_silence_of_a_zone() {
    let mut fixture = DaemonFixture::new(targets("web", 0, 30));
    let opened: Vec<_> = (0..9).map(|number| (number, fixture.establish(number))).collect();
    for wait in [50, 200] {
        fixture.advance(ms(wait));
        for (number, to) in &opened {
            fixture.send_data(*number, to.cookie, 1000);
        }
    }
    fixture.open(20);
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), Some(true));
    // Another daemon forwarded the second retransmission, so the answer says nothing about the path
    // from this daemon to the zone.
    fixture.advance(ms(300));
    for (number, to) in &opened {
        fixture.acknowledge(*number, to.cookie, 500);
    }
    fixture.open(21);
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), Some(true));
    // The target of a half-open probe answers.
    let probe = fixture.advance(ms(1000)).open(22);
    fixture.advance(ms(5)).acknowledge(22, probe.cookie, 100);
    assert_eq!(fixture.forwarder.is_every_target_silent(fixture.now), Some(false));
}

/// Guards against packet losses that are mistaken for an unreachable zone although a target of the
/// zone answers.
#[test]
fn packet_losses_do_not_make_an_answering_zone_silent() {
    let mut fixture = DaemonFixture::new(targets("web", 0, 9));
    let opened: Vec<_> = (0..9).map(|number| (number, fixture.establish(number))).collect();
    for round in 1..40 {
        for (number, to) in &opened[..3] {
            fixture.send_data(*number, to.cookie, 1000 * round);
        }
        fixture.advance(ms(100));
        let (number, to) = opened[4];
        fixture.acknowledge(number, to.cookie, 100 + round);
        fixture.advance(ms(110));
        for (number, to) in &opened[..3] {
            assert!(matches!(
                fixture.send_data(*number, to.cookie, 1000 * round),
                Verdict::Forward(_)
            ));
        }
    }
    assert_eq!(fixture.forwarder.counters().zone_silences, 0);
}

/// Guards against a target that never gets a flow again after it did not answer for a second: its
/// entry in the store does not change when it recovers.
#[test]
fn silent_target_gets_half_open_probes_without_a_new_entry() {
    let all = targets("web", 4, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let silent = cookie(&all[0]);
    let held: Vec<u32> = (0..8).filter(|n| fixture.establish(*n).cookie == silent).collect();
    fixture.advance(ms(50));
    for wait in [0, 210] {
        fixture.advance(ms(wait));
        for number in &held {
            fixture.send_data(*number, silent, 1000);
        }
    }
    assert_eq!(fixture.forwarder.counters().silences, 1);
    let mut probe_count = 0;
    for number in 100..160 {
        fixture.advance(ms(100)).read_targets(all.clone());
        probe_count += u32::from(fixture.open(number).cookie == silent);
    }
    assert_eq!(probe_count, 1, "there is one probe in 6 s, the probe interval being 5 s");
}

/// Guards against a target that is regarded as silent because of single lost packets.
#[test]
fn lost_packets_do_not_make_a_target_silent() {
    let all = targets("web", 1, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    let own = cookie(&all[0]);
    for number in 0..10 {
        fixture.establish(number);
    }
    for round in 0..50 {
        fixture.send_data(0, own, 1000 * (round + 1));
        fixture.advance(ms(100));
        fixture.acknowledge(1, own, 1000 * (round + 1));
        fixture.advance(ms(100));
        // The packet of flow 0 was lost, but flow 1 has got an answer meanwhile.
        assert!(matches!(fixture.send_data(0, own, 1000 * (round + 1)), Verdict::Forward(_)));
    }
    assert_eq!(fixture.forwarder.counters().silences, 0);
}

/// Guards against uneven load of equal targets under a steady number of long flows.
#[test]
fn long_flows_are_placed_evenly() {
    let mut fixture = DaemonFixture::new(targets("web", 4, 0));
    let mut counts: HashMap<u32, u32> = HashMap::new();
    for number in 0..200 {
        *counts.entry(fixture.establish(number).cookie).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 50), "{counts:?}");
}

/// Guards against overload of the own zone's targets while those of other zones are idle. After an
/// outage of all daemons, the first one to return gets the callers of all zones.
#[test]
fn overload_of_the_own_zone_places_flows_in_other_zones() {
    let mut fixture = DaemonFixture::new(targets("web", 3, 11));
    let mut counts: HashMap<u64, u32> = HashMap::new();
    for number in 0..280 {
        fixture.advance(ms(1));
        *counts.entry(fixture.open(number).number).or_default() += 1;
    }
    let most = counts.values().max().copied();
    // 14 targets with 4 slots each: 20 flows on average.
    assert!(most <= Some(22), "{counts:?}");
}

/// Guards against flows that are placed in other zones under an ordinary load of short requests: a
/// partition would break them.
#[test]
fn ordinary_load_stays_in_its_zone() {
    let mut fixture = DaemonFixture::new(targets("web", 3, 11));
    for number in 0..300 {
        fixture.advance(ms(10));
        let opened = fixture.establish(number);
        assert!(opened.number <= 3);
        fixture.send_data(number, opened.cookie, 50);
        fixture.acknowledge(number, opened.cookie, 2_000);
    }
    assert_eq!(fixture.forwarder.counters().placed_in_other_zones, 0);
}

/// Guards against overload of a cold target by the sum of all daemons of its zone.
#[test]
fn new_flows_to_a_cold_target_are_rate_limited() {
    let daemons = 3;
    let cold = Target { cold_for: Duration::from_secs(2), ..target(1, "web", OWN_ZONE) };
    // The rate of 4 a second times 1.5, and 5 more.
    let limit = 11;
    let mut total = 0;
    for daemon in 0..daemons {
        let mut fixture =
            DaemonFixture::with_cold_rate(vec![cold.clone(), target(2, "web", OTHER_ZONE)], 4.0);
        fixture.forwarder.set_cold_sharers(daemons);
        for number in 0..100 {
            fixture.advance(ms(9));
            total += u32::from(fixture.open(daemon as u32 * 1000 + number).number == 1);
        }
    }
    assert!(total > 0 && total <= limit, "{total}");
}

/// Guards against new flows from other zones to a cold target: its rate is divided among the
/// daemons of its own zone only.
#[test]
fn cold_targets_of_other_zones_get_no_new_flows() {
    let mut all = targets("web", 1, 1);
    all[1].cold_for = Duration::from_secs(2);
    let mut fixture = DaemonFixture::with_cold_rate(all[1..].to_vec(), 4.0);
    assert_eq!(fixture.decide(&opening_packet(1)), Verdict::Reset(Reason::NoTarget));
}

/// Guards against a time in an entry or a configuration, read or passed on by another daemon, that
/// stops the directory of every daemon.
#[test]
fn overlong_cold_times_are_limited() {
    let mut all = targets("web", 2, 0);
    all[0].cold_for = Duration::MAX;
    let mut fixture = DaemonFixture::with_cold_rate(all.clone(), 1.0);
    let mut odd = config(2, 1.0);
    odd.services.get_mut("web").expect("a service").cold_for = Duration::MAX;
    let operator = |revision, zones_out| OperatorState {
        revision,
        config: Some(Arc::new(odd.clone())),
        zones_out,
        ..OperatorState::default()
    };
    fixture.read_operator_state(operator(2.into(), vec![OWN_ZONE.into()]));
    fixture.read_operator_state(operator(3.into(), Vec::new()));
    fixture.advance(ms(500)).read_targets(all);
    assert!(fixture.directory.view(fixture.now).entries()[0].is_cold(fixture.now));
}

/// Guards against targets that are regarded as warm by a daemon that starts while the store is
/// down, after a zone has come back into service. The daemon fetches its state from a peer, which
/// has read the targets before the return.
#[test]
fn new_daemon_treats_the_targets_of_a_returned_zone_as_cold() {
    let mut fixture = DaemonFixture::with_cold_rate(targets("web", 2, 0), 4.0);
    let read = fixture.directory.listing();
    let out = Change::ZoneOut(OWN_ZONE.into());
    let back = Change::ZoneBack(OWN_ZONE.into(), 9.into());
    fixture.directory.apply_change(fixture.now, 7.into(), out);
    fixture.advance(Duration::from_secs(8));
    fixture.directory.apply_change(fixture.now, 9.into(), back);
    fixture.advance(ms(500));
    let operator = fixture.directory.operator_state(fixture.now);
    let mut new_directory = Directory::new(Tuning::default());
    new_directory.apply_peer(fixture.now, ms(900), &operator, read, &[]);
    let view = new_directory.view(fixture.now);
    assert!(view.entries().iter().all(|entry| entry.is_cold(fixture.now)));
    fixture.advance(Duration::from_secs(3));
    assert!(fixture.directory.operator_state(fixture.now).zones_back.is_empty());
}

/// Guards against a daemon that forwards queued opening packets after a pause, when the callers
/// have opened the flows through other daemons.
#[test]
fn opening_packets_queued_during_a_pause_are_dropped() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    fixture.advance(Duration::from_secs(4));
    fixture.forwarder.record_pause(fixture.now);
    assert_eq!(fixture.decide(&opening_packet(1)), Verdict::Drop(Cause::Paused));
    fixture.advance(ms(20)).read_targets(all);
    assert!(matches!(fixture.decide(&opening_packet(2)), Verdict::Forward(_)));
}

/// Guards against old state of a peer that replaces newer reads. The peer is in a zone that is cut
/// off.
#[test]
fn state_of_a_peer_is_used_if_it_is_newer() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    fixture.advance(Duration::from_secs(5)).fail_read();
    let operator = fixture.directory.operator_state(fixture.now);
    let older = Listing {
        revision: (fixture.revision - 1).into(),
        targets: Vec::new(),
        ..Listing::default()
    };
    let second = Duration::from_secs(1);
    fixture.directory.apply_peer(fixture.now, second, &operator, older, &[]);
    assert_eq!(fixture.directory.listing().targets.len(), 2);
    let mut drained = all;
    drained[0].availability = Availability::Draining;
    drained[0].revision = 9.into();
    let newer = Listing { revision: 9.into(), targets: drained, ..Listing::default() };
    fixture.directory.apply_peer(fixture.now, second, &operator, newer, &[]);
    assert_eq!(fixture.directory.age(fixture.now), Some(second));
    fixture.publish_view();
    assert_eq!(fixture.open(1).number, 2);
    assert!(
        !fixture.directory.is_absence_conclusive(fixture.now),
        "the state of a peer does not confirm the store"
    );
}

/// Guards against unbounded memory for the flow table, and against flows that break when the table
/// is full.
#[test]
fn flow_table_is_bounded() {
    let tuning = Tuning { maximum_flows: 10, ..Tuning::default() };
    let mut fixture = DaemonFixture::new(targets("web", 2, 0));
    let mut forwarder = banyanwharf::cookie::Forwarder::new(OWN_ZONE.into(), tuning);
    forwarder.set_view(fixture.forwarder.view().clone());
    fixture.forwarder = forwarder;
    for number in 0..100 {
        fixture.establish(number);
    }
    assert_eq!(fixture.forwarder.flow_count(), 10);
    fixture.advance(Duration::from_secs(20));
    fixture.forwarder.sweep(fixture.now);
    assert_eq!(fixture.forwarder.flow_count(), 0);
}

/// Guards against a zone that returns to service, or stays in it, because changes that were published
/// before the zones were read separately are applied later, with a large configuration.
#[test]
fn zones_read_separately_are_not_undone_by_earlier_changes() {
    let mut fixture = DaemonFixture::new(targets("web", 1, 1));
    let now = fixture.now;
    let zone: Arc<str> = OTHER_ZONE.into();
    let read = |number: u64, zones: &[&str]| ZonesOut {
        revision: number.into(),
        zones: zones.iter().map(|zone| Arc::from(*zone)).collect(),
    };
    let directory = &mut fixture.directory;
    let zones_out = |directory: &Directory| directory.operator_state(now).zones_out;
    let own_revision = directory.operator_revision();
    // Taken out at 8, read at 9; an earlier return at 6 arrives only now.
    assert_eq!(directory.apply_zones_out(now, &read(9, &[OTHER_ZONE])), ApplyOutcome::New);
    assert_eq!(directory.operator_revision(), own_revision, "other changes may be missing");
    directory.apply_change(now, 6.into(), Change::ZoneBack(zone.clone(), 6.into()));
    let state = OperatorState { revision: 7.into(), ..OperatorState::default() };
    directory.apply_operator_state(now, &state);
    assert_eq!(zones_out(directory), std::slice::from_ref(&zone));
    // A response that was sent earlier and one of another era are ignored.
    assert_eq!(directory.apply_zones_out(now, &read(8, &[])), ApplyOutcome::Ignored);
    let later_era = ZonesOut { revision: Revision { era: 1, number: 20 }, zones: Vec::new() };
    assert_eq!(directory.apply_zones_out(now, &later_era), ApplyOutcome::Ignored);
    assert_eq!(zones_out(directory), std::slice::from_ref(&zone));
    // Returned at 11; the earlier change at 8 arrives afterwards.
    assert_eq!(directory.apply_zones_out(now, &read(12, &[])), ApplyOutcome::New);
    directory.apply_change(now, 8.into(), Change::ZoneOut(zone.clone()));
    assert!(zones_out(directory).is_empty());
    directory.apply_change(now, 13.into(), Change::ZoneOut(zone.clone()));
    assert_eq!(zones_out(directory), [zone]);
}

/// Guards against the reset of the open flows of a running target whose entry another writer has
/// overwritten, and against new flows by such an entry.
#[test]
fn open_flows_outlast_an_unreadable_entry() {
    let all = targets("web", 2, 0);
    let mut fixture = DaemonFixture::new(all.clone());
    for _ in 0..6 {
        fixture.advance(ms(500)).read_targets(all.clone());
    }
    let opened = fixture.establish(1);
    let (overwritten, others): (Vec<Target>, Vec<Target>) =
        all.into_iter().partition(|target| target.number == opened.number);
    let name = overwritten[0].name.clone();
    let mut follower = DaemonFixture::new(Vec::new());
    let mut peer = DaemonFixture::new(Vec::new());
    for step in 0..20 {
        fixture.advance(ms(500));
        fixture.revision += 1;
        // Both kinds of reads show that the entry cannot be decoded.
        if step % 2 == 0 {
            let listing = Listing {
                revision: fixture.revision.into(),
                targets: others.clone(),
                unreadable: vec![name.clone()],
            };
            fixture.directory.apply_listing(fixture.now, listing);
        } else {
            let revision = fixture.revision.into();
            let change = EntryChange::Unreadable { name: name.clone(), revision };
            let update = ListingUpdate { revision, changes: vec![change] };
            fixture.directory.apply_update(fixture.now, update);
        }
        fixture.publish_view();
        assert_eq!(fixture.forwarder.take_lost_flows(fixture.now), []);
        assert_ne!(fixture.open(100 + step).number, opened.number);
    }
    assert!(fixture.directory.is_absence_conclusive(fixture.now));
    assert_eq!(fixture.acknowledge(1, opened.cookie, 200), Verdict::Forward(opened));
    // Daemons that learn of it from this one keep the flow as well.
    let now = fixture.now;
    let delta = fixture.directory.delta(now, Position::Read(Revision::default()));
    follower.now = now;
    assert_eq!(follower.directory.apply_delta(now, delta), ApplyOutcome::New);
    peer.now = now;
    let (operator, listing) = (OperatorState::default(), fixture.directory.listing());
    peer.directory.apply_peer(now, ms(10), &operator, listing, &[]);
    for daemon in [&mut follower, &mut peer] {
        daemon.publish_view();
        assert_eq!(daemon.acknowledge(1, opened.cookie, 200), Verdict::Forward(opened));
        assert_ne!(daemon.open(2).number, opened.number);
    }
    // Without the item the target has ended, and with a new entry it gets new flows.
    fixture.advance(ms(500)).read_targets(others.clone());
    assert_eq!(fixture.acknowledge(1, opened.cookie, 300), Verdict::Reset(Reason::TargetGone));
    follower.advance(ms(500));
    follower.revision = fixture.revision;
    let written = Target { revision: (fixture.revision + 1).into(), ..overwritten[0].clone() };
    follower.read_targets(others.into_iter().chain([written]).collect());
    let numbers: Vec<u64> = (10..20).map(|number| follower.open(number).number).collect();
    assert!(numbers.contains(&opened.number), "{numbers:?}");
}
