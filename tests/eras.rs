//! The return of the store from a copy of an earlier state, in directories of several daemons.

#![allow(dead_code)]

mod cookies;
mod era;

use std::{sync::Arc, time::Duration};

use banyanwharf::cookie::{
    ApplyOutcome, Availability, Change, Config, Delta, EntryChange, Listing, ListingUpdate,
    OperatorState, Position, Presence, Revision, Target,
};
use banyanwharf::platform::{Backoff, Error, Schedule};
use cookies::*;
use era::fleet::Fleet;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const READY: Availability = Availability::Ready;
const DRAINING: Availability = Availability::Draining;

fn at(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

/// Returns the entry of the target `number` as it was written at `revision`.
fn entry(number: u64, revision: Revision, availability: Availability) -> Target {
    Target { revision, availability, ..target(number, "web", OWN_ZONE) }
}

/// Returns a daemon that read these targets at the revision 90 of the era 0, and whose store has
/// been available for long.
fn daemon(targets: Vec<Target>) -> DaemonFixture {
    let mut fixture = DaemonFixture::new(Vec::new());
    fixture.advance(Duration::from_secs(10));
    read(&mut fixture, at(0, 90), targets);
    fixture
}

/// Applies a list of the targets after `revision`.
fn read(fixture: &mut DaemonFixture, revision: Revision, targets: Vec<Target>) -> ApplyOutcome {
    let outcome = fixture
        .directory
        .apply_listing(fixture.now, Listing { revision, targets, ..Listing::default() });
    fixture.publish_view();
    outcome
}

/// Applies an update of the targets.
fn update(fixture: &mut DaemonFixture, revision: Revision, changes: Vec<EntryChange>) {
    fixture.directory.apply_update(fixture.now, ListingUpdate { revision, changes });
    fixture.publish_view();
}

/// Returns the presence and the availability of the last start of a target.
fn state(fixture: &mut DaemonFixture, number: u64) -> Option<(Presence, Availability)> {
    let view = fixture.directory.view(fixture.now);
    let starts = view.entries().iter().filter(|entry| entry.target.number == number);
    let last = starts.max_by_key(|entry| entry.target.born)?;
    Some((last.presence, last.target.availability))
}

fn operator(revision: Revision, version: u64, zones_out: &[&str]) -> OperatorState {
    let config = Config { revision, ..config(version, 0.0) };
    OperatorState {
        revision,
        config: Some(Arc::new(config)),
        zones_out: zones_out.iter().map(|zone| (*zone).into()).collect(),
        ..OperatorState::default()
    }
}

fn removed(number: u64, revision: Revision) -> EntryChange {
    EntryChange::Removed { name: target(number, "web", OWN_ZONE).name, revision }
}

/// Guards against a daemon that keeps the former state after a return of the store, since the
/// numbers of the new revisions are lower.
#[test]
fn lower_number_of_a_later_era_is_newer() {
    assert!(at(1, 5) > at(0, 90) && at(1, 5) < at(1, 6));
    assert!(!at(1, 95).follows(at(0, 90)) && at(1, 6).follows(at(1, 5)));
    let mut fixture = daemon(vec![entry(1, at(0, 80), READY)]);
    let new = vec![entry(1, at(1, 70), READY), entry(2, at(1, 71), READY)];
    assert_eq!(read(&mut fixture, at(1, 71), new), ApplyOutcome::New);
    assert_eq!(state(&mut fixture, 2), Some((Presence::Present, READY)));
    assert_eq!(read(&mut fixture, at(0, 99), Vec::new()), ApplyOutcome::Ignored);
}

/// Guards against a state that mixes two eras: a watch of one era that continues the other.
#[test]
fn update_of_another_era_is_ignored() {
    let mut fixture = daemon(vec![entry(1, at(0, 80), READY)]);
    update(&mut fixture, at(1, 95), vec![removed(1, at(1, 94))]);
    assert_eq!(state(&mut fixture, 1), Some((Presence::Present, READY)));
    assert_eq!(fixture.directory.revision(), at(0, 90));
    read(&mut fixture, at(1, 70), vec![entry(1, at(1, 70), READY)]);
    update(&mut fixture, at(0, 95), vec![removed(1, at(0, 94))]);
    assert_eq!(state(&mut fixture, 1), Some((Presence::Present, READY)));
    let out = Change::ZoneOut(OWN_ZONE.into());
    fixture.read_operator_state(operator(at(1, 60), 1, &[]));
    let outcome = fixture.directory.apply_change(fixture.now, at(2, 61), out);
    assert_eq!(outcome, ApplyOutcome::Ignored);
}

/// Guards against running targets, also draining ones, that count as ended because the copy lacks
/// their entries.
#[test]
fn targets_that_the_copy_lacks_lapse_before_they_end() {
    for availability in [READY, DRAINING] {
        let mut fixture = daemon(vec![entry(1, at(0, 80), availability)]);
        read(&mut fixture, at(1, 70), Vec::new());
        assert_eq!(state(&mut fixture, 1), Some((Presence::Lapsed, availability)));
        fixture.advance(ms(2400));
        update(&mut fixture, at(1, 70), Vec::new());
        assert_eq!(state(&mut fixture, 1), Some((Presence::Lapsed, availability)));
        fixture.advance(ms(200));
        update(&mut fixture, at(1, 70), Vec::new());
        assert_eq!(state(&mut fixture, 1), Some((Presence::Gone, availability)));
    }
}

/// Guards against a draining target that gets new flows because the copy shows its former entry.
#[test]
fn target_that_drained_does_not_become_ready() {
    let mut fixture = daemon(vec![entry(1, at(0, 80), DRAINING)]);
    for millis in [0, 500, 6000] {
        fixture.advance(ms(millis));
        read(&mut fixture, at(1, 70), vec![entry(1, at(1, 60), READY)]);
        assert_eq!(state(&mut fixture, 1), Some((Presence::Present, DRAINING)));
    }
}

/// Guards against an ended target that gets flows because the copy shows its entry again, and
/// against a running one that never gets flows because it was once regarded as ended.
#[test]
fn ended_target_stays_ended_until_its_entry_proves_the_contrary() {
    let ended = || {
        let mut fixture = daemon(vec![entry(1, at(0, 80), READY)]);
        fixture.advance(ms(500));
        update(&mut fixture, at(0, 95), vec![removed(1, at(0, 95))]);
        assert_eq!(state(&mut fixture, 1), Some((Presence::Gone, READY)));
        fixture.advance(ms(500));
        read(&mut fixture, at(1, 85), vec![entry(1, at(1, 80), READY)]);
        assert_eq!(state(&mut fixture, 1), Some((Presence::Gone, READY)));
        fixture
    };
    let mut expired = ended();
    expired.advance(ms(3600));
    update(&mut expired, at(1, 86), vec![removed(1, at(1, 86))]);
    expired.advance(ms(2000));
    update(&mut expired, at(1, 86), Vec::new());
    assert_eq!(state(&mut expired, 1), Some((Presence::Gone, READY)));
    let mut renewed = ended();
    renewed.advance(ms(500));
    update(&mut renewed, at(1, 86), vec![EntryChange::Written(entry(1, at(1, 86), READY))]);
    assert_eq!(state(&mut renewed, 1), Some((Presence::Present, READY)));
    let mut lasting = ended();
    lasting.advance(ms(4900));
    update(&mut lasting, at(1, 85), Vec::new());
    assert_eq!(state(&mut lasting, 1), Some((Presence::Gone, READY)));
    lasting.advance(ms(100));
    update(&mut lasting, at(1, 85), Vec::new());
    assert_eq!(state(&mut lasting, 1), Some((Presence::Present, READY)));
}

/// Guards against a running target that stays ended for good, because the daemon that has read its
/// restored entry is no longer the zone reader, or has taken the state of a peer instead.
#[test]
fn restored_entries_are_listed_after_a_change_of_the_reader() {
    for is_peer in [false, true] {
        for (lasted, expected) in [(1000, true), (5000, false)] {
            let mut fixture = daemon(vec![entry(1, at(0, 80), READY)]);
            fixture.advance(ms(500));
            update(&mut fixture, at(0, 95), vec![removed(1, at(0, 95))]);
            read(&mut fixture, at(1, 85), vec![entry(1, at(1, 80), READY)]);
            fixture.advance(ms(lasted));
            if is_peer {
                let operator = fixture.directory.operator_state(fixture.now);
                let listing =
                    Listing { revision: at(1, 86), targets: Vec::new(), ..Listing::default() };
                fixture.directory.apply_peer(fixture.now, ms(0), &operator, listing, &[]);
            } else {
                fixture.directory.record_following_ended(fixture.now);
            }
            let is_due = fixture.directory.view(fixture.now).is_listing_due;
            assert_eq!(is_due, expected, "peer {is_peer}, {lasted} ms");
            read(&mut fixture, at(1, 86), vec![entry(1, at(1, 80), READY)]);
            assert!(!fixture.directory.view(fixture.now).is_listing_due);
            fixture.advance(ms(5000));
            update(&mut fixture, at(1, 86), Vec::new());
            assert_eq!(state(&mut fixture, 1), Some((Presence::Present, READY)));
        }
    }
}

/// Guards against the present start of a target that counts as ended, and a former one that gets
/// flows, because the copy shows the entry of the former one.
#[test]
fn former_start_in_the_copy_does_not_replace_the_present_one() {
    let former = entry(1, at(0, 80), READY);
    let present = Target { born: former.born + 50, ..entry(1, at(0, 88), READY) };
    let mut fixture = daemon(vec![present.clone()]);
    read(&mut fixture, at(1, 85), vec![Target { revision: at(1, 80), ..former }]);
    assert_eq!(state(&mut fixture, 1), Some((Presence::Lapsed, READY)));
    fixture.advance(ms(1500));
    let renewed = Target { revision: at(1, 86), ..present };
    update(&mut fixture, at(1, 86), vec![EntryChange::Written(renewed)]);
    assert_eq!(state(&mut fixture, 1), Some((Presence::Present, READY)));
    fixture.advance(ms(6000));
    update(&mut fixture, at(1, 86), Vec::new());
    assert_eq!(state(&mut fixture, 1), Some((Presence::Present, READY)));
}

/// Guards against targets that get few flows after each return of the store, because an entry that
/// is the same in both eras counts as a new one, and against deltas with all targets.
#[test]
fn entry_that_survives_a_return_is_no_change() {
    let cold = |number, revision| Target {
        cold_for: Duration::from_secs(3),
        ..entry(number, revision, READY)
    };
    let targets = |era| (1..50).map(|number| cold(number, at(era, number))).collect::<Vec<_>>();
    let mut reader = daemon(targets(0));
    let mut follower = daemon(targets(0));
    for fixture in [&mut reader, &mut follower] {
        fixture.advance(Duration::from_secs(4));
    }
    let position = Position::Read(follower.directory.revision());
    let sequence = reader.directory.delta(reader.now, position).sequence;
    read(&mut reader, at(1, 80), targets(1));
    let view = reader.directory.view(reader.now);
    assert!(view.entries().iter().all(|entry| !entry.is_cold(reader.now)));
    for position in [position, Position::Followed(sequence)] {
        let delta = reader.directory.delta(reader.now, position);
        assert!(delta.written.is_empty() && delta.lapsed.is_empty(), "{position:?}");
    }
    let delta = reader.directory.delta(reader.now, Position::Followed(sequence));
    assert_ne!(follower.directory.apply_delta(follower.now, delta), ApplyOutcome::Ignored);
    assert_eq!(follower.directory.revision(), at(1, 80));
}

/// Guards against a cold target that gets more than its limit because the copy shows an older entry
/// of it, and against a warm one that gets too little.
#[test]
fn older_entry_of_the_copy_does_not_change_when_a_target_is_warm() {
    let entry = |revision, cold| Target { cold_for: ms(cold), ..entry(1, revision, READY) };
    for (former, copied, cold) in [(9000, 0, true), (0, 9000, false)] {
        let mut fixture = daemon(vec![entry(at(0, 80), former)]);
        fixture.advance(ms(1000));
        read(&mut fixture, at(1, 70), vec![entry(at(1, 60), copied)]);
        let view = fixture.directory.view(fixture.now);
        assert_eq!(view.entries()[0].is_cold(fixture.now), cold, "{former} ms, {copied} ms");
        // What is written in the new era counts, although its number is lower.
        let changes = vec![EntryChange::Written(entry(at(1, 71), copied))];
        update(&mut fixture, at(1, 71), changes);
        let view = fixture.directory.view(fixture.now);
        assert_ne!(view.entries()[0].is_cold(fixture.now), cold, "{former} ms, {copied} ms");
    }
}

/// Guards against an ended target that gets flows again because a peer, to which it is lapsed, passes
/// it on as present, and then stays since the store has no further event for it.
#[test]
fn lapsed_target_of_a_peer_is_not_present() {
    let mut peer = daemon(vec![entry(1, at(0, 80), READY)]);
    let mut ended = daemon(vec![entry(1, at(0, 80), READY)]);
    let mut unread = DaemonFixture::new(Vec::new());
    peer.directory.record_failure(peer.now);
    for fixture in [&mut peer, &mut ended] {
        fixture.advance(ms(500));
        update(fixture, at(0, 91), vec![removed(1, at(0, 91))]);
    }
    assert_eq!(state(&mut peer, 1), Some((Presence::Lapsed, READY)));
    assert_eq!(state(&mut ended, 1), Some((Presence::Gone, READY)));
    let (operator, lapsed) = (peer.directory.operator_state(peer.now), peer.directory.lapsed());
    for (fixture, expected) in [(&mut ended, Presence::Gone), (&mut unread, Presence::Lapsed)] {
        let (now, listing) = (fixture.now, peer.directory.listing());
        fixture.directory.apply_peer(now, Duration::ZERO, &operator, listing, &lapsed);
        assert_eq!(state(fixture, 1), Some((expected, READY)));
    }
}

/// Guards against a running target that counts as ended at once, because the copy lacks its entry and
/// the followed daemon was started in the new era and has never known it.
#[test]
fn inventory_of_a_daemon_started_in_the_new_era_does_not_end_targets() {
    let targets = || vec![entry(1, at(0, 80), READY), entry(2, at(0, 81), READY)];
    let mut follower = daemon(targets());
    let mut reader = DaemonFixture::new(Vec::new());
    reader.advance(Duration::from_secs(20));
    read(&mut reader, at(1, 70), vec![entry(1, at(1, 60), READY)]);
    for fixture in [&mut follower, &mut reader] {
        fixture.advance(Duration::from_secs(10));
    }
    update(&mut follower, at(0, 90), Vec::new());
    update(&mut reader, at(1, 75), vec![EntryChange::Written(entry(1, at(1, 75), READY))]);
    reader.directory.confirm_config(reader.now);
    let position = Position::Read(follower.directory.revision());
    let delta = reader.directory.delta(reader.now, position);
    assert!(delta.is_absence_conclusive && follower.directory.is_absence_conclusive(follower.now));
    assert_eq!(follower.directory.apply_delta(follower.now, delta), ApplyOutcome::Ignored);
    assert_eq!(state(&mut follower, 2), Some((Presence::Present, READY)));
    // The follower reads the store itself.
    read(&mut follower, at(1, 75), vec![entry(1, at(1, 75), READY)]);
    assert_eq!(state(&mut follower, 2), Some((Presence::Lapsed, READY)));
}

/// Guards against a delta of the former era that replaces the state of the new one.
#[test]
fn delta_of_an_earlier_era_is_ignored() {
    let mut reader = daemon(vec![entry(1, at(0, 80), READY)]);
    let mut follower = daemon(vec![entry(1, at(0, 80), READY)]);
    reader.directory.confirm_config(reader.now);
    read(&mut follower, at(1, 10), vec![entry(1, at(1, 5), READY)]);
    let delta = reader.directory.delta(reader.now, Position::Followed(0));
    assert_eq!(follower.directory.apply_delta(follower.now, delta), ApplyOutcome::Ignored);
    assert_eq!(follower.directory.revision(), at(1, 10));
}

/// Guards against a zone that gets flows although operators took it out of service, because the copy
/// lacks the item, and against one that never returns.
#[test]
fn zone_out_of_service_that_the_copy_lacks_stays_out_for_some_time() {
    let zones_out =
        |fixture: &DaemonFixture| fixture.directory.operator_state(fixture.now).zones_out;
    let mut fixture = daemon(vec![entry(1, at(0, 80), READY)]);
    fixture.read_operator_state(operator(at(0, 90), 1, &[OWN_ZONE]));
    fixture.read_operator_state(operator(at(1, 70), 1, &[]));
    fixture.advance(ms(3000));
    fixture.read_operator_state(operator(at(1, 70), 1, &[]));
    assert_eq!(zones_out(&fixture).len(), 1);
    // A second return starts the time again.
    fixture.read_operator_state(operator(at(2, 60), 1, &[]));
    fixture.advance(ms(4900));
    fixture.read_operator_state(operator(at(2, 60), 1, &[]));
    assert_eq!(zones_out(&fixture).len(), 1);
    fixture.advance(ms(100));
    assert_eq!(zones_out(&fixture).len(), 1, "the store has not confirmed the missing item");
    fixture.directory.confirm_config(fixture.now);
    fixture.directory.advance_operator_revision(at(2, 60));
    assert!(zones_out(&fixture).is_empty());
    let mut renewed = daemon(Vec::new());
    renewed.read_operator_state(operator(at(0, 90), 1, &[OWN_ZONE]));
    renewed.read_operator_state(operator(at(1, 70), 1, &[]));
    renewed.advance(ms(1000));
    let out = Change::ZoneOut(OWN_ZONE.into());
    renewed.directory.apply_change(renewed.now, at(1, 71), out);
    renewed.advance(ms(9000));
    renewed.directory.confirm_config(renewed.now);
    renewed.directory.advance_operator_revision(at(1, 72));
    assert_eq!(zones_out(&renewed).len(), 1);
}

/// Guards against a zone that returns to service too early or never, because a daemon takes a zone
/// that a peer keeps out for the grace only for an item of the store.
#[test]
fn zone_that_a_peer_keeps_out_for_the_grace_is_no_item_of_the_store() {
    let zones_out =
        |fixture: &DaemonFixture| fixture.directory.operator_state(fixture.now).zones_out.len();
    // The receiver has the state of the former era, that of the new one, or none.
    for (read_eras, confirmed) in [(1, false), (1, true), (2, true), (0, true)] {
        let mut peer = daemon(Vec::new());
        let mut receiver = daemon(Vec::new());
        for era in 0..2 {
            let zones: &[&str] = if era == 0 { &[OWN_ZONE] } else { &[] };
            peer.read_operator_state(operator(at(era, 70), 1, zones));
            if era < read_eras {
                receiver.read_operator_state(operator(at(era, 70), 1, zones));
            }
        }
        let state = peer.directory.operator_state(peer.now);
        receiver.read_operator_state(state);
        if confirmed {
            // A read of the store lists only its items.
            receiver.read_operator_state(operator(at(1, 71), 1, &[]));
        }
        receiver.advance(ms(4900));
        receiver.directory.confirm_config(receiver.now);
        receiver.directory.advance_operator_revision(at(1, 72));
        assert_eq!(zones_out(&receiver), 1, "{read_eras} {confirmed}: the zone returned too early");
        receiver.advance(ms(200));
        receiver.directory.confirm_config(receiver.now);
        receiver.directory.advance_operator_revision(at(1, 72));
        assert_eq!(zones_out(&receiver), 0, "{read_eras} {confirmed}: the zone stays out");
        // The state of a peer that has not noticed the return yet does not take the zone out again.
        let mut late = peer.directory.operator_state(peer.now);
        late.revision = at(1, 73);
        receiver.read_operator_state(late);
        assert_eq!(zones_out(&receiver), 0, "{read_eras} {confirmed}: the zone is out again");
    }
}

/// Guards against callers of an added route that are refused because the copy holds a lower version
/// of the configuration.
#[test]
fn version_of_the_configuration_does_not_go_back() {
    let mut fixture = daemon(Vec::new());
    let version = |fixture: &mut DaemonFixture| {
        let view = fixture.directory.view(fixture.now);
        (view.version(), fixture.directory.withheld_version())
    };
    fixture.read_operator_state(operator(at(0, 90), 5, &[]));
    fixture.read_operator_state(operator(at(1, 70), 3, &[]));
    assert_eq!(version(&mut fixture), (Some(5), Some(3)));
    fixture.read_operator_state(operator(at(2, 60), 2, &[]));
    assert_eq!(version(&mut fixture), (Some(5), Some(2)));
    let change =
        |revision, version| Change::Config(Arc::new(Config { revision, ..config(version, 0.0) }));
    fixture.directory.apply_change(fixture.now, at(2, 61), change(at(2, 61), 4));
    assert_eq!(version(&mut fixture), (Some(5), Some(4)));
    fixture.directory.apply_change(fixture.now, at(2, 62), change(at(2, 62), 5));
    assert_eq!(version(&mut fixture), (Some(5), None));
    fixture.directory.apply_change(fixture.now, at(2, 63), change(at(2, 63), 6));
    assert_eq!(version(&mut fixture), (Some(6), None));
}

/// Guards against a daemon that keeps the former state for the delay of a failed call, although the
/// store responds.
#[test]
fn read_after_a_change_of_era_has_no_retry_delay() {
    let now = std::time::Instant::now();
    let backoff = Backoff::default();
    let mut schedule = Schedule::new(backoff, 1, now);
    schedule.record_start(now);
    let url = "http://127.0.0.1/".to_owned();
    schedule.record_failure(now, &Error::EraChanged { url, found: 1, expected: 0 });
    assert!(schedule.may_start(now + backoff.minimum_interval));
    assert_eq!(schedule.failures(), 0);
}

/// Guards against followers that never read the operators' items of a new era, since none of them
/// has changed.
#[test]
fn new_era_counts_as_a_change_of_operators() {
    let mut reader = daemon(Vec::new());
    reader.read_operator_state(operator(at(0, 90), 5, &[]));
    reader.read_operator_state(operator(at(1, 70), 5, &[]));
    let delta: Delta = reader.directory.delta(reader.now, Position::Followed(0));
    assert_eq!(delta.operator_change_revision, at(1, 70));
}

/// Guards against flows to targets that have left, against reset flows of running ones and against
/// daemons that keep an old state, in random orders of drills, changes, reads, watches, deltas,
/// states of peers and late responses.
#[test]
fn directories_follow_the_store_through_random_drills() {
    for seed in 0..400 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = Fleet::new(seed);
        for _ in 0..random.random_range(100..400) {
            fleet.step(&mut random);
        }
        fleet.settle(&mut random);
    }
}

/// Guards against deltas that grow by a third, which delayed packets on the link of the zone reader
/// after a restart of all daemons, and against daemons that cannot decode those of earlier versions.
#[test]
fn revision_of_the_first_era_is_encoded_as_its_number() {
    let encode = |revision: Revision| serde_json::to_string(&revision).expect("encodes");
    assert_eq!(encode(70.into()), "70");
    for revision in [Revision::from(70), Revision { era: 2, number: 70 }] {
        let decoded: Revision = serde_json::from_str(&encode(revision)).expect("decodes");
        assert_eq!(decoded, revision);
    }
}
