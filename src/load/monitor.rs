use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    load::{Class, Config, Observation, Reading, Report, tracker::Tracker},
    member::{Id, Status, View},
    route::{Table, Target},
    ticket::TargetId,
    util,
};

/// The unit of [`Report::age`].
const AGE_UNIT: Duration = Duration::from_millis(100);

/// A change of a target's class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The target.
    pub target: TargetId,
    /// The new class.
    pub class: Class,
    /// When the class was observed, or the current time if its report has expired.
    pub since: Instant,
}

/// Determines the load classes of all targets.
#[derive(Debug, Clone)]
pub struct Monitor {
    config: Config,
    own: Id,
    trackers: HashMap<TargetId, Tracker>,
    classes: HashMap<TargetId, Class>,
}

impl Monitor {
    /// Creates a monitor for the local member `own`. All targets start in the class normal.
    pub fn new(config: Config, own: Id) -> Monitor {
        Monitor { config, own, trackers: HashMap::new(), classes: HashMap::new() }
    }

    /// Returns whether this daemon reads the endpoints of `target`.
    ///
    /// The endpoint reader is the alive member with the highest rendezvous score among the members
    /// of the target's zone, or among those of the region if the zone has no alive member.
    pub fn is_reader(&self, view: &View, region: &str, target: &Target) -> bool {
        let live = |zone: Option<&str>| {
            view.iter()
                .filter(|(_, member)| member.status == Status::Alive)
                .filter(|(_, member)| &*member.info.region == region)
                .filter(|(_, member)| zone.is_none_or(|zone| &*member.info.zone == zone))
                .map(|(id, _)| id)
                .max_by_key(|id| (util::score(target.id, *id), *id))
        };
        live(Some(&target.zone)).or_else(|| live(None)) == Some(self.own)
    }

    /// Processes a reading of a target's endpoints and returns the report for the other daemons if
    /// one is due.
    pub fn on_reading(
        &mut self,
        now: Instant,
        target: TargetId,
        reading: &Reading,
    ) -> Option<Report> {
        let config = &self.config;
        let tracker = self.trackers.entry(target).or_default();
        let class = tracker.classify(config, reading);
        let is_due = match tracker.last_sent {
            None => class != Class::Normal,
            Some((sent, _)) if sent != class => true,
            Some((Class::Normal, _)) => false,
            Some((_, at)) => now.saturating_duration_since(at) >= config.repeat,
        };
        // A restart is seen in one reading only. The normal readings after it must not replace
        // the class cold, because the ramp runs from the time of the restart.
        if class != Class::Normal || !matches!(tracker.reported_class, Some((Class::Cold, _))) {
            tracker.reported_class = Some((class, now));
        }
        if !is_due {
            return None;
        }
        tracker.last_sent = Some((class, now));
        tracker.sequence += 1;
        Some(Report {
            target,
            class,
            start: tracker.start_hash,
            sequence: tracker.sequence,
            age: 0,
        })
    }

    /// Processes a report of another daemon. Of two reports, the one whose class was determined
    /// later takes precedence.
    pub fn on_report(&mut self, now: Instant, report: &Report) {
        let age = AGE_UNIT * u32::from(report.age);
        let at = now.checked_sub(age).unwrap_or(now);
        let tracker = self.trackers.entry(report.target).or_default();
        if tracker.reported_class.is_none_or(|(_, known)| known <= at) {
            tracker.reported_class = Some((report.class, at));
        }
        if report.start != 0 {
            tracker.start_hash = report.start;
        }
    }

    /// Processes an observation of this daemon's packet path.
    pub fn on_observation(&mut self, now: Instant, target: TargetId, observation: Observation) {
        self.trackers.entry(target).or_default().observe(now, &self.config, observation);
    }

    /// Returns the classes that have changed since the last call.
    ///
    /// At most the share `eject_share` of a service's targets is classed as failing; further
    /// failing targets count as normal. The state of targets that are no longer in `table` is
    /// dropped.
    pub fn take_changes(&mut self, now: Instant, table: &Table) -> Vec<Change> {
        self.trackers.retain(|id, _| table.target(*id).is_some());
        let mut changes = Vec::new();
        for service in table.services() {
            let mut remaining_ejections = self.max_ejections(service.targets.len());
            for target in &service.targets {
                let Some(tracker) = self.trackers.get(target) else {
                    continue;
                };
                let (mut class, since) = tracker.class(now, &self.config);
                if class == Class::Failing {
                    if remaining_ejections == 0 {
                        class = Class::Normal;
                    }
                    remaining_ejections = remaining_ejections.saturating_sub(1);
                }
                let previous = self.classes.insert(*target, class).unwrap_or_default();
                if previous != class {
                    changes.push(Change { target: *target, class, since });
                }
            }
        }
        self.classes.retain(|id, _| self.trackers.contains_key(id));
        changes
    }

    /// Returns how many of `targets` targets may be ejected at the same time. With more than two
    /// targets this is at least one, since the others can take over the load of one.
    fn max_ejections(&self, targets: usize) -> usize {
        let share = (targets as f64 * self.config.eject_share) as usize;
        if targets > 2 { share.max(1) } else { share }
    }

    /// Returns the class of a target as of the last call of [`Monitor::take_changes`].
    pub fn class(&self, target: TargetId) -> Class {
        self.classes.get(&target).copied().unwrap_or_default()
    }
}
