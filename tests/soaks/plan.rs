//! Random generation of the plan of a run.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64Mcg;

use super::fleet::{Fault, Fleet, Habits, Setup};

/// The period in which actions start.
pub(crate) const FAULT_PERIOD: Duration = Duration::from_secs(18);
/// Unused: after the last action a run waits for the settle time of the testbed.
pub(crate) const TAIL: Duration = Duration::from_secs(12);

/// Distinguishes the random numbers of the returns of the store from those of the rest of a plan.
const RETURNS_SEED: u64 = 0x0065_7261;

/// Distinguishes the random numbers of the overwritten entries from those of the rest of a plan.
const OVERWRITES_SEED: u64 = 0x6f64_6479;

/// Something that the run does to the system under test.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    /// Sends SIGTERM, and SIGKILL after the grace period.
    Stop(u8),
    Kill(u8),
    KillAll,
    /// Sends SIGSTOP, and SIGCONT after this time.
    Pause(u8, Duration),
    ReloadSettings(u8),
    /// Makes the settings file of a daemon invalid for a while.
    CorruptSettings(u8, Duration),
    /// Injects a fault into the path from a daemon to the store.
    StorePathFault(u8, PathFault, Duration),
    /// Injects a fault into the paths of all daemons to their contacts.
    ContactPathFault(PathFault, Duration),
    /// Makes the store respond with errors, or not at all if `is_silent`. With `entries_lapse` some
    /// entries of targets are missing after its return.
    StoreDown {
        duration: Duration,
        is_silent: bool,
        entries_lapse: bool,
    },
    CompactStore,
    /// Disconnects a daemon from the targets and the store.
    PartitionDaemon(u8, Duration),
    /// Disconnects the daemons and targets of a zone from those of other zones, and its daemons
    /// from the store.
    PartitionZone(&'static str, Duration),
    /// Stops the answers of a target for a while.
    SilenceTarget(Duration),
    /// Overwrites the entry of a target by one that cannot be decoded, until the target's next
    /// heartbeat.
    OverwriteEntry,
    /// Ends a target without deregistration and starts it again under the same id.
    CrashTarget(Duration),
    /// Ends a target without deregistration for good, and gives its address to a target of the
    /// other service.
    ReuseAddress,
    /// Replaces a target: a new one starts cold, the old one drains and deregisters.
    ReplaceTarget,
    EvacuateZone(&'static str, Duration),
    /// Publishes a configuration that adds or removes the additional route.
    PublishConfig,
    /// Publishes a configuration with a change as the users' operators make it.
    Publish(Edit),
    /// Stops the bytes of all open connections of the daemons to the store and to their contacts.
    SilenceConnections,
    /// Makes the store refuse some daemons while it serves the others.
    RefuseDaemons(Vec<u8>, Refusal, Duration),
    /// Makes each answer of the store take 0.4 s.
    SlowStore(Duration),
    /// Makes the store lose every third answer.
    LoseAnswers(Duration),
    /// Compacts the store. The waiting watches get nothing for 1 s and are then cut.
    CompactAndCutWatches,
    /// Stops the daemons one after the other.
    RestartInTurn,
    /// Lets the store refuse calls for `outage` and return to the state of `age` before.
    ReturnFromCopy {
        age: Duration,
        outage: Duration,
    },
}

/// A change of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Edit {
    /// Drops an idle route and adds another one.
    Routes,
    /// Splits the main route 95 to 5 between two services, or ends the split.
    Weights,
    /// Changes timeouts.
    Limits,
}

/// How the store refuses a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    Status(u16),
    Reset,
    Silence,
}

/// A fault that a proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PathFault {
    DropAll,
    DropRequests,
    DropResponses,
    Delay(u64),
    Reset,
    /// Stops the bytes of connections that are open; new connections work.
    StallOpenConnections,
}

/// Returns the actions of the run with a seed, ordered by their start times.
pub(crate) fn plan(seed: u64, setup: &Setup) -> Vec<(Duration, Action)> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut plan = if setup.fleet.follows_operators {
        operators_plan(&mut random, &setup.fleet, &setup.habits)
    } else {
        random_plan(&mut random, &setup.fleet)
    };
    if setup.habits.returns_from_copy {
        plan.extend(returns_from_copy(seed));
    }
    if setup.habits.overwrites_entries {
        plan.extend(overwritten_entries(seed));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Returns up to three overwritten entries. They have their own random numbers, like the returns of
/// the store from a copy.
fn overwritten_entries(seed: u64) -> Vec<(Duration, Action)> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ OVERWRITES_SEED);
    let count = random.random_range(0..=3);
    (0..count).map(|_| (random_start(&mut random), Action::OverwriteEntry)).collect()
}

/// Returns up to two returns of the store from a copy, for half of the seeds. They have their own
/// random numbers, so that they do not change the rest of the plan.
fn returns_from_copy(seed: u64) -> Vec<(Duration, Action)> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ RETURNS_SEED);
    let count = if random.random_bool(0.5) { random.random_range(1..=2) } else { 0 };
    let mut at = random_start(&mut random);
    let mut returns = Vec::new();
    for _ in 0..count {
        let age = Duration::from_millis(random.random_range(200..6000));
        let outage = Duration::from_millis(random.random_range(0..1000));
        returns.push((at, Action::ReturnFromCopy { age, outage }));
        at += outage + Duration::from_millis(random.random_range(300..4000));
    }
    returns
}

fn random_plan(random: &mut Pcg64Mcg, fleet: &Fleet) -> Vec<(Duration, Action)> {
    let mut plan = Vec::new();
    // Planned operations go on during failures.
    let zone = *fleet.zones.choose(random).expect("not empty");
    let evacuation = Action::EvacuateZone(zone, random_evacuation_duration(random));
    let stop = Action::Stop(random.random_range(1..=fleet.daemons.len() as u8));
    for action in
        [Action::ReplaceTarget, Action::PublishConfig, Action::PublishConfig, evacuation, stop]
    {
        plan.push((random_start(random), action));
    }
    for _ in 0..random.random_range(5..10) {
        let mut at = random_start(random);
        // Faults in series and at the same time find more failures than single faults.
        let repeats = *[1, 1, 2, 3].choose(random).expect("not empty");
        let first = random_action(random, fleet);
        for _ in 0..repeats {
            let action =
                if random.random_bool(0.5) { first.clone() } else { random_action(random, fleet) };
            if at < FAULT_PERIOD {
                plan.push((at, action));
            }
            at += Duration::from_millis(random.random_range(50..2500));
        }
    }
    plan
}

/// Returns planned operations as those of the users' operators, and faults. Habits and faults that
/// are switched off do not change the rest of the plan.
fn operators_plan(
    random: &mut Pcg64Mcg,
    fleet: &Fleet,
    habits: &Habits,
) -> Vec<(Duration, Action)> {
    let mut plan = Vec::new();
    for _ in 0..4 {
        plan.push((random_start(random), Action::ReplaceTarget));
        plan.push((random_start(random), Action::Publish(random_edit(random))));
    }
    // Changes in quick succession.
    let mut at = random_start(random);
    for _ in 0..random.random_range(3..7) {
        plan.push((at, Action::Publish(random_edit(random))));
        at += Duration::from_millis(random.random_range(60..300));
    }
    let zone = *fleet.zones.choose(random).expect("not empty");
    let evacuation = Action::EvacuateZone(zone, random_evacuation_duration(random));
    plan.push((random_start(random), evacuation));
    let at = random_start(random);
    plan.extend(habits.silences_connections.then_some((at, Action::SilenceConnections)));
    let at = at + Duration::from_millis(random.random_range(0..1500));
    plan.push((at, Action::Publish(random_edit(random))));
    let default = Habits::default().faults;
    let faults = if habits.faults.is_empty() { &default } else { &habits.faults };
    for _ in 0..random.random_range(1..3) {
        let mut at = random_start(random);
        for _ in 0..*[1, 1, 2, 3].choose(random).expect("not empty") {
            let fault = *faults.choose(random).expect("not empty");
            let action = fault_action(random, fleet, fault);
            if at < FAULT_PERIOD && !habits.faults.is_empty() {
                plan.push((at, action));
            }
            at += Duration::from_millis(random.random_range(50..2500));
        }
    }
    plan
}

fn random_edit(random: &mut Pcg64Mcg) -> Edit {
    *[Edit::Routes, Edit::Routes, Edit::Weights, Edit::Weights, Edit::Limits]
        .choose(random)
        .expect("not empty")
}

fn fault_action(random: &mut Pcg64Mcg, fleet: &Fleet, fault: Fault) -> Action {
    let daemon = random.random_range(1..=fleet.daemons.len() as u8);
    let duration = Duration::from_millis(random.random_range(1000..6000));
    match fault {
        Fault::SilentConnections => Action::SilenceConnections,
        Fault::Refusals => {
            let daemons = fleet.daemons.iter().map(|(number, _)| *number);
            let refused = daemons.filter(|number| *number == daemon || random.random_bool(0.3));
            let refused = refused.collect();
            let (unavailable, limited) = (Refusal::Status(503), Refusal::Status(429));
            let refusals = [unavailable, limited, Refusal::Reset, Refusal::Silence];
            let refusal = *refusals.choose(random).expect("not empty");
            let duration = Duration::from_millis(random.random_range(5000..10_000));
            Action::RefuseDaemons(refused, refusal, duration)
        }
        Fault::SlowStore => Action::SlowStore(duration),
        Fault::LostAnswers => Action::LoseAnswers(duration),
        Fault::Compaction => Action::CompactAndCutWatches,
        Fault::Freezes => Action::Pause(daemon, duration),
        Fault::Restarts => Action::RestartInTurn,
        Fault::ZoneCut => {
            Action::PartitionZone(fleet.zones.choose(random).expect("not empty"), duration)
        }
    }
}

fn random_start(random: &mut Pcg64Mcg) -> Duration {
    Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64))
}

/// Returns how long a zone is out of service: longer than the bound within which daemons must
/// follow.
fn random_evacuation_duration(random: &mut Pcg64Mcg) -> Duration {
    Duration::from_millis(random.random_range(6500..10_000))
}

fn random_action(random: &mut Pcg64Mcg, fleet: &Fleet) -> Action {
    let daemon = random.random_range(1..=fleet.daemons.len() as u8);
    let zone = *fleet.zones.choose(random).expect("not empty");
    let short = Duration::from_millis(random.random_range(300..2500));
    let long = Duration::from_millis(random.random_range(1000..6000));
    match random.random_range(0..24) {
        0..=2 => Action::Stop(daemon),
        3 | 4 => Action::Kill(daemon),
        5 => Action::KillAll,
        6 | 7 => Action::Pause(daemon, long),
        8 => Action::ReloadSettings(daemon),
        9 => Action::CorruptSettings(daemon, short),
        10 | 11 => Action::StorePathFault(daemon, random_path_fault(random), long),
        12 => Action::ContactPathFault(random_path_fault(random), long),
        13 | 14 => {
            let (is_silent, entries_lapse) = (random.random(), random.random());
            Action::StoreDown { duration: long, is_silent, entries_lapse }
        }
        15 => Action::CompactStore,
        16 => Action::PartitionDaemon(daemon, long),
        17 => Action::PartitionZone(zone, long),
        18 => Action::SilenceTarget(long),
        19 => Action::CrashTarget(short),
        20 => Action::ReuseAddress,
        21 => Action::ReplaceTarget,
        22 => Action::EvacuateZone(zone, random_evacuation_duration(random)),
        _ => Action::PublishConfig,
    }
}

fn random_path_fault(random: &mut Pcg64Mcg) -> PathFault {
    match random.random_range(0..6) {
        0 => PathFault::DropAll,
        1 => PathFault::DropRequests,
        2 => PathFault::DropResponses,
        3 => PathFault::Delay(random.random_range(20..800)),
        4 => PathFault::Reset,
        _ => PathFault::StallOpenConnections,
    }
}
