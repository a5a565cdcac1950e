//! Recorder of a run: disturbances of components, broken promises, events and counts.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Mutex,
    time::{Duration, Instant},
};

/// How long a component must have been undisturbed before promises with a time bound hold again.
pub(crate) const RECOVERY_PERIOD: Duration = Duration::from_secs(4);

/// A rule of the users' pages that a run checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    Config,
    Drain,
    Evac,
    Failback,
    Flow,
    Mixed,
    Route,
    /// A promise of this project only, such as that a flow opens.
    Soak,
}

/// A component that can be disturbed.
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
    /// A target that has ended for good.
    RemovedTarget(u64),
}

#[derive(Debug, Clone)]
struct Disturbance {
    component: Component,
    from: Instant,
    until: Option<Instant>,
}

/// What a run has done and observed.
#[derive(Debug)]
pub(crate) struct Recorder {
    start: Instant,
    disturbances: Mutex<Vec<Disturbance>>,
    violations: Mutex<Vec<(Rule, String)>>,
    /// The daemon processes that were started.
    starts: Mutex<Vec<(Instant, u8)>>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
    history: Mutex<Vec<String>>,
    /// The numbers of the executed requests, to detect one that is executed twice.
    executed: Mutex<HashSet<u64>>,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            start: Instant::now(),
            disturbances: Mutex::default(),
            violations: Mutex::default(),
            starts: Mutex::default(),
            counts: Mutex::default(),
            history: Mutex::default(),
            executed: Mutex::default(),
        }
    }

    /// Returns the time from the start of the run to `at` in milliseconds.
    pub(crate) fn millis_since_start(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis() as u64
    }

    /// Returns the time that is `millis` milliseconds after the start of the run.
    pub(crate) fn instant_at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// Appends a line with the current time to the history.
    pub(crate) fn record_event(&self, text: String) {
        let line = format!("{:>6} ms  {text}", self.millis_since_start(Instant::now()));
        self.history.lock().expect("the lock is not poisoned").push(line);
    }

    /// Records that a disturbance begins now. Returns its number for [`Recorder::end_disturbance`].
    pub(crate) fn begin_disturbance(&self, component: Component) -> usize {
        let mut disturbances = self.disturbances.lock().expect("the lock is not poisoned");
        disturbances.push(Disturbance { component, from: Instant::now(), until: None });
        disturbances.len() - 1
    }

    /// Records that the disturbance `number` ends now.
    pub(crate) fn end_disturbance(&self, number: usize) {
        self.disturbances.lock().expect("the lock is not poisoned")[number].until =
            Some(Instant::now());
    }

    /// Records a disturbance that began at `from` and ends now.
    pub(crate) fn record_disturbance(&self, component: Component, from: Instant) {
        let until = Some(Instant::now());
        let disturbance = Disturbance { component, from, until };
        self.disturbances.lock().expect("the lock is not poisoned").push(disturbance);
    }

    /// Returns whether no component selected by `concerns` was disturbed between
    /// [`RECOVERY_PERIOD`] before `from` and `until`.
    pub(crate) fn is_undisturbed(
        &self,
        from: Instant,
        until: Instant,
        concerns: impl Fn(&Component) -> bool,
    ) -> bool {
        let disturbances = self.disturbances.lock().expect("the lock is not poisoned");
        !disturbances.iter().any(|disturbance| {
            concerns(&disturbance.component)
                && disturbance.from <= until
                && disturbance.until.is_none_or(|ended| ended + RECOVERY_PERIOD > from)
        })
    }

    /// Returns the number of targets that were disturbed between [`RECOVERY_PERIOD`] before `from`
    /// and `until`.
    pub(crate) fn disturbed_targets(&self, from: Instant, until: Instant) -> usize {
        let disturbances = self.disturbances.lock().expect("the lock is not poisoned");
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

    /// Returns whether the daemon, the store and the host were undisturbed, as in
    /// [`Recorder::is_undisturbed`].
    pub(crate) fn is_daemon_undisturbed(&self, daemon: u8, from: Instant, until: Instant) -> bool {
        self.is_undisturbed(from, until, |component| match component {
            Component::Host | Component::Store => true,
            Component::Daemon(number) => *number == daemon,
            Component::ZoneLinks | Component::Target(_) | Component::RemovedTarget(_) => false,
        })
    }

    /// Records a broken promise.
    pub(crate) fn record_violation(&self, rule: Rule, text: String) {
        self.record_event(format!("BROKEN {rule:?}: {text}"));
        self.violations.lock().expect("the lock is not poisoned").push((rule, text));
    }

    /// Records that a process of a daemon starts.
    pub(crate) fn record_start(&self, daemon: u8) {
        self.starts.lock().expect("the lock is not poisoned").push((Instant::now(), daemon));
    }

    /// Returns the number of processes of a daemon that were started until `at`.
    pub(crate) fn starts_until(&self, daemon: u8, at: Instant) -> usize {
        let starts = self.starts.lock().expect("the lock is not poisoned");
        starts.iter().filter(|(started, of)| *of == daemon && *started <= at).count()
    }

    /// Returns the disturbances of a daemon, the store, the host and the zone links between `from`
    /// and `until`.
    pub(crate) fn describe_disturbances(
        &self,
        daemon: u8,
        from: Instant,
        until: Instant,
    ) -> String {
        let disturbances = self.disturbances.lock().expect("the lock is not poisoned");
        let is_concerned = |disturbance: &&Disturbance| {
            let of_daemon = match disturbance.component {
                Component::Daemon(number) => number == daemon,
                Component::Target(_) | Component::RemovedTarget(_) => false,
                Component::Host | Component::ZoneLinks | Component::Store => true,
            };
            of_daemon
                && disturbance.from <= until
                && disturbance.until.is_none_or(|ended| ended >= from)
        };
        let describe = |disturbance: &Disturbance| {
            let ended = disturbance.until.map(|until| self.millis_since_start(until));
            let began = self.millis_since_start(disturbance.from);
            format!("{:?} {began}..{}", disturbance.component, ended.unwrap_or_default())
        };
        let described: Vec<_> = disturbances.iter().filter(is_concerned).map(describe).collect();
        described.join(", ")
    }

    /// Records that a target executed a request, and a violation if it is the second execution.
    pub(crate) fn record_execution(&self, request: u64, target: u64) {
        if !self.executed.lock().expect("the lock is not poisoned").insert(request) {
            self.record_violation(
                Rule::Mixed,
                format!("request {request} was executed twice, the second time by target {target}"),
            );
        }
    }

    pub(crate) fn increment(&self, what: &'static str) {
        *self.counts.lock().expect("the lock is not poisoned").entry(what).or_default() += 1;
    }

    pub(crate) fn count_of(&self, what: &'static str) -> u64 {
        self.counts.lock().expect("the lock is not poisoned").get(what).copied().unwrap_or_default()
    }

    pub(crate) fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the broken promises.
    pub(crate) fn violations(&self) -> Vec<(Rule, String)> {
        self.violations.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the events of the run, one a line.
    pub(crate) fn history(&self) -> String {
        self.history.lock().expect("the lock is not poisoned").join("\n")
    }
}
