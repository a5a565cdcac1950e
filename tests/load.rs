//! Load classes: misleading reports, undetected restarts, ejection and its cap.

mod common;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    load::{Class, Config, Monitor, Observation, Reading, Report},
    ticket::Priority,
};

fn reading(healthy: bool, start: &str) -> Reading {
    Reading { healthy: Some(healthy), start: Some(Arc::from(start)), ..Reading::default() }
}

/// Guards against ejecting a target after one bad reading, and against its return after one good
/// reading.
#[test]
fn ejection_has_hysteresis() {
    let now = Instant::now();
    let table =
        common::table((1..=4).map(|id| common::target(id, "a")).collect(), Priority::Balance);
    let mut monitor = Monitor::new(Config::default(), 1);
    let mut classes = Vec::new();
    for healthy in [false, false, true, false, false, false, true, true, true, true, true] {
        monitor.on_reading(now, 1, &reading(healthy, "s"));
        monitor.take_changes(now, &table);
        classes.push(monitor.class(1) == Class::Failing);
    }
    let expected = [false, false, false, false, false, true, true, true, true, true, false];
    assert_eq!(classes, expected);
}

/// Guards against a faulty signal that ejects most targets of a service.
#[test]
fn ejection_is_capped() {
    bolero::check!().with_iterations(200).with_type::<(u8, Vec<(u8, bool)>)>().for_each(
        |(count, reports)| {
            let now = Instant::now();
            let count = u64::from(count % 30) + 1;
            let targets = (1..=count).map(|id| common::target(id, "a")).collect();
            let table = common::table(targets, Priority::Balance);
            let mut monitor = Monitor::new(Config::default(), 1);
            for (target, failing) in reports {
                let class = if *failing { Class::Failing } else { Class::Normal };
                let target = u64::from(*target) % count + 1;
                let report = Report { target, class, start: 0, sequence: 0, age: 0 };
                monitor.on_report(now, &report);
                monitor.take_changes(now, &table);
                let failing = (1..=count).filter(|id| monitor.class(*id) == Class::Failing).count();
                let cap = if count > 2 { (count as usize * 3 / 10).max(1) } else { 0 };
                assert!(failing <= cap, "{failing} of {count} targets are ejected");
            }
        },
    );
}

/// Guards against a missed restart: a new start identity and a burst of resets each make the target
/// cold.
#[test]
fn restarts_are_noticed() {
    let now = Instant::now();
    let table = common::table(vec![common::target(1, "a")], Priority::Balance);
    let mut monitor = Monitor::new(Config::default(), 1);
    assert_eq!(monitor.on_reading(now, 1, &reading(true, "first")), None);
    let report = monitor.on_reading(now, 1, &reading(true, "second")).expect("a start is reported");
    assert_eq!(report.class, Class::Cold);
    assert_eq!(monitor.take_changes(now, &table)[0].class, Class::Cold);

    let mut monitor = Monitor::new(Config::default(), 1);
    for _ in 0..2 {
        monitor.on_observation(now, 1, Observation::FlowReset);
    }
    assert!(monitor.take_changes(now, &table).is_empty());
    monitor.on_observation(now, 1, Observation::FlowReset);
    assert_eq!(monitor.take_changes(now, &table)[0].class, Class::Cold);
}

/// Guards against reports that override what the daemon observes itself, and against classes that
/// never expire.
#[test]
fn observations_outweigh_reports_and_classes_fade() {
    let now = Instant::now();
    let targets = (1..=4).map(|id| common::target(id, "a")).collect();
    let table = common::table(targets, Priority::Balance);
    let mut monitor = Monitor::new(Config::default(), 1);
    let normal = Report { target: 1, class: Class::Normal, start: 0, sequence: 0, age: 50 };
    for _ in 0..5 {
        monitor.on_observation(now, 1, Observation::Unanswered);
    }
    monitor.on_report(now, &normal);
    monitor.take_changes(now, &table);
    assert_eq!(monitor.class(1), Class::Failing);
    monitor.on_observation(now + Duration::from_secs(1), 1, Observation::Accepted);
    monitor.take_changes(now + Duration::from_secs(1), &table);
    assert_eq!(monitor.class(1), Class::Normal);

    let hot = Report { class: Class::Hot, age: 0, ..normal };
    monitor.on_report(now + Duration::from_secs(2), &hot);
    monitor.take_changes(now + Duration::from_secs(2), &table);
    assert_eq!(monitor.class(1), Class::Hot);
    monitor.take_changes(now + Duration::from_secs(40), &table);
    assert_eq!(monitor.class(1), Class::Normal);
}

/// Guards against an ejection that is as long for a target that sheds load as for one that does not
/// answer, which leaves the slots of the former unused in a burst, and against a hot class after
/// one short queue.
#[test]
fn short_overload_has_short_effects() {
    let now = Instant::now();
    let table =
        common::table((1..=4).map(|id| common::target(id, "a")).collect(), Priority::Balance);
    for (seen, hold) in [(Observation::Refused, 2), (Observation::Unanswered, 30)] {
        let mut monitor = Monitor::new(Config::default(), 1);
        (0..5).for_each(|_| monitor.on_observation(now, 1, seen));
        for (after, failing) in [(0, true), (hold - 1, true), (hold, false)] {
            monitor.take_changes(now + Duration::from_secs(after), &table);
            assert_eq!(monitor.class(1) == Class::Failing, failing, "{seen:?}, {after} s");
        }
    }
    let mut monitor = Monitor::new(Config::default(), 1);
    let full = Reading { busy: 4, queued: 1, slots: 4, ..reading(true, "s") };
    let readings = [&full, &full, &reading(true, "s"), &full, &full, &full];
    let hot = readings.map(|reading| {
        monitor.on_reading(now, 1, reading);
        monitor.take_changes(now, &table);
        monitor.class(1) == Class::Hot
    });
    assert_eq!(hot, [false, false, false, false, false, true]);
}
