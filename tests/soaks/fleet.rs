//! Daemons and targets of a run, and the habits of its callers and its store.

use std::{env, time::Duration};

/// Daemons, targets and callers of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Fleet {
    /// The daemons with their zones.
    pub(crate) daemons: &'static [(u8, &'static str)],
    pub(crate) zones: &'static [&'static str],
    /// The services with the number of their targets at the start, distributed over the zones.
    pub(crate) targets: [(&'static str, usize); 2],
    /// The callers of each zone, and the ports that they use in turn. Daemons still know the
    /// earlier flow of a port when it is used again.
    pub(crate) callers: u64,
    pub(crate) ports: u16,
    /// The most requests of a flow.
    pub(crate) requests: u32,
    /// The longest time that a target still runs after its minimum drain time.
    pub(crate) max_more_drain: Duration,
    /// Whether plan and configurations follow the users' operators instead of random ones.
    pub(crate) follows_operators: bool,
}

pub(crate) const STANDARD: Fleet = Fleet {
    daemons: &[(1, "zone-a"), (2, "zone-a"), (3, "zone-b"), (4, "zone-b"), (5, "zone-c")],
    zones: &["zone-a", "zone-b", "zone-c"],
    targets: [("web", 9), ("files", 6)],
    callers: 5,
    ports: 20,
    requests: 11,
    max_more_drain: Duration::from_millis(2500),
    follows_operators: false,
};

const THREE_ZONES: Fleet = Fleet {
    daemons: &[(1, "zone-a"), (2, "zone-a"), (3, "zone-b"), (4, "zone-c")],
    zones: &["zone-a", "zone-b", "zone-c"],
    targets: [("web", 14), ("files", 4)],
    callers: 16,
    ports: 250,
    requests: 4,
    max_more_drain: Duration::from_millis(6000),
    follows_operators: true,
};

const FOUR_ZONES: Fleet = Fleet {
    daemons: &[(1, "zone-a"), (2, "zone-a"), (3, "zone-b"), (4, "zone-c"), (5, "zone-d")],
    zones: &["zone-a", "zone-b", "zone-c", "zone-d"],
    ..THREE_ZONES
};

impl Fleet {
    /// Returns the fleet that `SOAK_FLEET` names.
    ///
    /// # Panics
    ///
    /// Panics if there is no fleet of this name.
    pub(crate) fn from_env() -> Fleet {
        match env::var("SOAK_FLEET").as_deref().unwrap_or("standard") {
            "standard" => STANDARD,
            "three-zones" => THREE_ZONES,
            "four-zones" => FOUR_ZONES,
            other => panic!("SOAK_FLEET names no fleet: {other}"),
        }
    }

    /// Returns the number of targets of a service in the zone with this index at the start.
    pub(crate) fn targets_in_zone(&self, total: usize, zone: usize) -> usize {
        total / self.zones.len() + usize::from(zone < total % self.zones.len())
    }
}

/// A kind of fault in the plans that follow operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    SilentConnections,
    Refusals,
    SlowStore,
    LostAnswers,
    Compaction,
    Freezes,
    Restarts,
    ZoneCut,
}

const FAULTS: [(&str, Fault); 8] = [
    ("silent-connections", Fault::SilentConnections),
    ("refusals", Fault::Refusals),
    ("slow-store", Fault::SlowStore),
    ("lost-answers", Fault::LostAnswers),
    ("compaction", Fault::Compaction),
    ("freezes", Fault::Freezes),
    ("restarts", Fault::Restarts),
    ("zone-cut", Fault::ZoneCut),
];

/// What callers and store do throughout a run, and the faults of its plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Habits {
    pub(crate) reuses_ports: bool,
    pub(crate) loses_openings: bool,
    /// How old the states are that stale reads show in turn; if empty, they show the latest state.
    pub(crate) stale_reads: Vec<Duration>,
    /// Whether connections to the store go silent, in plans that follow operators.
    pub(crate) silences_connections: bool,
    pub(crate) faults: Vec<Fault>,
    /// Whether the store returns from copies of earlier states.
    pub(crate) returns_from_copy: bool,
    /// Whether another writer overwrites entries of targets.
    pub(crate) overwrites_entries: bool,
}

impl Default for Habits {
    fn default() -> Habits {
        Habits {
            reuses_ports: true,
            loses_openings: true,
            stale_reads: [4000, 50].map(Duration::from_millis).to_vec(),
            silences_connections: true,
            faults: FAULTS.map(|(_, fault)| fault).to_vec(),
            returns_from_copy: true,
            overwrites_entries: true,
        }
    }
}

impl Habits {
    /// Returns the habits without those that `SOAK_WITHOUT` lists, with the faults that
    /// `SOAK_FAULTS` lists and the ages in milliseconds that `SOAK_STALE_READS` lists.
    ///
    /// # Panics
    ///
    /// Panics if a variable has an unknown value.
    pub(crate) fn from_env() -> Habits {
        let mut habits = Habits::default();
        let list = |name| env::var(name).ok().filter(|text| !text.is_empty());
        if let Some(ages) = list("SOAK_STALE_READS") {
            let parse = |age: &str| Duration::from_millis(age.parse().expect("an age is a number"));
            habits.stale_reads = ages.split(',').map(parse).collect();
        }
        if let Some(names) = list("SOAK_FAULTS") {
            let find = |name| FAULTS.iter().find(|(known, _)| *known == name);
            let faults = names.split(',').map(|name| find(name).expect("the fault is known").1);
            habits.faults = faults.collect();
        }
        for name in list("SOAK_WITHOUT").unwrap_or_default().split(',').filter(|n| !n.is_empty()) {
            match name {
                "reused-ports" => habits.reuses_ports = false,
                "lost-openings" => habits.loses_openings = false,
                "stale-reads" => habits.stale_reads.clear(),
                "silent-connections" => habits.silences_connections = false,
                "faults" => habits.faults.clear(),
                "returns-from-copy" => habits.returns_from_copy = false,
                "overwritten-entries" => habits.overwrites_entries = false,
                _ => panic!("SOAK_WITHOUT names no habit: {name}"),
            }
        }
        habits
    }
}

/// What determines the plan of a run besides its seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Setup {
    pub(crate) fleet: Fleet,
    pub(crate) habits: Habits,
}
