//! What was disturbed when, and what was seen that must not be.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

/// How long something must have been undisturbed before promises with a time bound hold for it.
pub(crate) const RECOVERY_PERIOD: Duration = Duration::from_secs(4);

/// Something that can be disturbed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Component {
    /// The machine that runs the soak.
    Host,
    /// The links between zones.
    ZoneLinks,
    Store,
    /// A daemon, its links or its path to the store.
    Daemon(u8),
    /// A target or its links.
    Target(u64),
    /// A target that has left for good.
    RemovedTarget(u64),
}

#[derive(Debug, Clone)]
struct Disturbance {
    component: Component,
    from: Instant,
    until: Option<Instant>,
}

/// What a run has done and found.
#[derive(Debug)]
pub(crate) struct Recorder {
    start: Instant,
    disturbances: Mutex<Vec<Disturbance>>,
    violations: Mutex<Vec<String>>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    history: Mutex<Vec<String>>,
    /// The requests that ran, to find those that run twice.
    executed: Mutex<HashSet<u64>>,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            disturbances: Mutex::default(),
            violations: Mutex::default(),
            counts: Mutex::default(),
            history: Mutex::default(),
            executed: Mutex::default(),
        }
    }

    /// Returns the time since the start in milliseconds.
    pub(crate) fn millis_since_start(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Returns the moment that many milliseconds after the start.
    pub(crate) fn instant_at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Notes what the run does.
    pub(crate) fn record_event(&self, text: String) {
        let line = format!("{:>6} ms  {text}", self.millis_since_start(Instant::now()));
        self.history.lock().expect("no panic").push(line);
    }

    /// Notes that something is disturbed from now on, and returns the number of the disturbance.
    pub(crate) fn begin_disturbance(&self, component: Component) -> usize {
        let mut disturbances = self.disturbances.lock().expect("no panic");
        disturbances.push(Disturbance { component, from: Instant::now(), until: None });
        disturbances.len() - 1
    }

    /// Notes that a disturbance has ended.
    pub(crate) fn end_disturbance(&self, number: usize) {
        self.disturbances.lock().expect("no panic")[number].until = Some(Instant::now());
    }

    /// Notes a disturbance that has ended already.
    pub(crate) fn record_disturbance(&self, component: Component, from: Instant) {
        let until = Some(Instant::now());
        let disturbance = Disturbance { component, from, until };
        self.disturbances.lock().expect("no panic").push(disturbance);
    }

    /// Returns whether nothing that `concerns` selects was disturbed from [`RECOVERY_PERIOD`] before
    /// `from` until `until`.
    pub(crate) fn is_undisturbed(
        &self,
        from: Instant,
        until: Instant,
        concerns: impl Fn(&Component) -> bool,
    ) -> bool {
        let disturbances = self.disturbances.lock().expect("no panic");
        !disturbances.iter().any(|disturbance| {
            concerns(&disturbance.component)
                && disturbance.from <= until
                && disturbance.until.is_none_or(|ended| ended + RECOVERY_PERIOD > from)
        })
    }

    /// Returns the number of targets that were disturbed in that time.
    pub(crate) fn disturbed_targets(&self, from: Instant, until: Instant) -> usize {
        let disturbances = self.disturbances.lock().expect("no panic");
        let is_inside = |disturbance: &&Disturbance| {
            disturbance.from <= until
                && disturbance.until.is_none_or(|ended| ended + RECOVERY_PERIOD > from)
        };
        let targets: HashSet<&Component> = disturbances
            .iter()
            .filter(is_inside)
            .map(|disturbance| &disturbance.component)
            .filter(|component| matches!(component, Component::Target(_)))
            .collect();
        targets.len()
    }

    /// Returns whether a daemon, the store and the host were undisturbed.
    pub(crate) fn is_daemon_undisturbed(&self, daemon: u8, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |component| match component {
            Component::Host | Component::Store => true,
            Component::Daemon(number) => *number == daemon,
            Component::ZoneLinks | Component::Target(_) | Component::RemovedTarget(_) => false,
        })
    }

    /// Notes that a promise was broken.
    pub(crate) fn record_violation(&self, text: String) {
        self.record_event(format!("BROKEN: {text}"));
        self.violations.lock().expect("no panic").push(text);
    }

    /// Notes that a request ran.
    pub(crate) fn record_execution(&self, request: u64, target: u64) {
        if !self.executed.lock().expect("no panic").insert(request) {
            self.record_violation(format!(
                "request {request} ran twice, the second time at {target}"
            ));
        }
    }

    pub(crate) fn increment(&self, what: &'static str) {
        *self.counts.lock().expect("no panic").entry(what).or_default() += 1;
    }

    pub(crate) fn count_of(&self, what: &'static str) -> u64 {
        self.counts.lock().expect("no panic").get(what).copied().unwrap_or_default()
    }

    pub(crate) fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().expect("no panic").clone()
    }

    /// Returns the broken promises.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("no panic").clone()
    }

    /// Returns what the run has done, a line each.
    pub(crate) fn history(&self) -> String {
        self.history.lock().expect("no panic").join("\n")
    }
}
