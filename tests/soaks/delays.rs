//! Delays from a publication until the log of each daemon shows it.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::Value;

use super::{
    recorder::{Recorder, Rule},
    shared::{MAX_CONFIG_DELAY, MAX_DRAIN_DELAY, MAX_EVACUATION_DELAY},
};

/// The time before a publication whose disturbances are reported with a late daemon.
const REPORTED_PERIOD: Duration = Duration::from_secs(10);

/// The time of a publication is taken after the store has written it, and a daemon may log it
/// before, in milliseconds.
const WRITE_TIME_MS: u64 = 50;

const DAY_MS: u64 = 24 * 60 * 60 * 1000;

/// What a publication changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    Config(u64),
    /// The id of a target that drains.
    Draining(String),
    /// The id of a target whose entry is removed.
    Removed(String),
    Evacuation(String),
}

/// A change in the store, at the time of its acknowledgement.
#[derive(Debug, Clone)]
pub(crate) struct Publication {
    at: Instant,
    time_ms: u64,
    /// The era and the number of the store's revision.
    revision: (u64, u64),
    change: Change,
}

/// A line of a daemon's log.
struct Line {
    time_ms: u64,
    content: Value,
}

impl Publication {
    /// Returns the publication of a change that the store has just acknowledged.
    pub(crate) fn new(revision: (u64, u64), change: Change) -> Publication {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("after the epoch");
        let time_ms = since_epoch.as_millis() as u64 % DAY_MS;
        Publication { at: Instant::now(), time_ms, revision, change }
    }

    fn bound(&self) -> Duration {
        match self.change {
            Change::Config(_) => MAX_CONFIG_DELAY,
            Change::Draining(_) | Change::Removed(_) => MAX_DRAIN_DELAY,
            Change::Evacuation(_) => MAX_EVACUATION_DELAY,
        }
    }

    /// Returns whether the daemon that wrote the line knows the change.
    fn is_shown_by(&self, line: &Line) -> bool {
        let is = |key, value: &str| line.attribute(key) == value;
        // Mass changes have one line, which names only the first targets.
        let is_mass_change = line.message() == "targets have changed"
            && line.revision("read").is_some_and(|read| read >= self.revision);
        let is_target_line = line.message() == "target has changed";
        match &self.change {
            Change::Config(version) => {
                line.message() == "configuration is in force"
                    && line.number("version").is_some_and(|shown| shown >= *version)
            }
            Change::Draining(id) => {
                let is_left = is("availability", "Draining") || !is("standing", "present");
                is_mass_change || is_target_line && is("target_id", id) && is_left
            }
            Change::Removed(id) => {
                let is_left = !is("standing", "present");
                is_mass_change || is_target_line && is("target_id", id) && is_left
            }
            Change::Evacuation(zone) => {
                line.message() == "targets have changed"
                    || is_target_line && is("zone", zone) && is("usable", "false")
            }
        }
    }
}

impl Line {
    /// Returns `None` for a line that is cut short, since its daemon was killed.
    fn parse(text: &str) -> Option<Line> {
        let content: Value = serde_json::from_str(text).ok()?;
        let (_, time) = content["time"].as_str()?.split_once('T')?;
        let mut parts = time.trim_end_matches('Z').split([':', '.']);
        let mut next = || parts.next()?.parse::<u64>().ok();
        let time_ms = ((next()? * 60 + next()?) * 60 + next()?) * 1000 + next()?;
        Some(Line { time_ms, content })
    }

    fn message(&self) -> &str {
        self.content["message"].as_str().unwrap_or_default()
    }

    fn attribute(&self, key: &str) -> &str {
        self.content["attributes"][key].as_str().unwrap_or_default()
    }

    /// Returns the era and the number of a revision, which has no era in the era 0.
    fn revision(&self, key: &str) -> Option<(u64, u64)> {
        let (era, number) =
            self.attribute(key).split_once('/').unwrap_or(("0", self.attribute(key)));
        Some((era.parse().ok()?, number.parse().ok()?))
    }

    fn number(&self, key: &str) -> Option<u64> {
        self.attribute(key).parse().ok()
    }
}

/// Returns a line for each publication that the daemon showed too late in its log, and the largest
/// delay. Records a violation if the daemon went back to an older configuration. A publication that
/// a process did not live to show is not measured.
pub(crate) fn check_log(
    recorder: &Recorder,
    publications: &[Publication],
    daemon: u8,
    log: &Path,
) -> (Vec<String>, u64) {
    let log = fs::read_to_string(log).expect("the log is readable");
    let lines: Vec<Line> = log.lines().filter_map(Line::parse).collect();
    for line in lines.iter().filter(|line| line.message() == "configuration is in force") {
        let versions = (line.number("former"), line.number("version"));
        if versions.1 < versions.0 {
            let text = format!("daemon {daemon} went back to an older version: {}", line.content);
            recorder.record_violation(Rule::Config, text);
        }
    }
    let (mut late, mut largest_ms) = (Vec::new(), 0);
    for publication in publications {
        let earliest_ms = publication.time_ms.saturating_sub(WRITE_TIME_MS);
        let mut after = lines.iter().filter(|line| line.time_ms >= earliest_ms);
        let outcome =
            after.find(|line| line.message() == "daemon started" || publication.is_shown_by(line));
        let delay_ms = match outcome {
            Some(line) if line.message() == "daemon started" => continue,
            Some(line) => line.time_ms.saturating_sub(publication.time_ms),
            None => {
                recorder.millis_since_start(Instant::now())
                    - recorder.millis_since_start(publication.at)
            }
        };
        let (at, bound) = (publication.at, publication.bound());
        let is_undisturbed = recorder.is_daemon_undisturbed(daemon, at, at + bound);
        if is_undisturbed {
            largest_ms = largest_ms.max(delay_ms);
        }
        let delay = Duration::from_millis(delay_ms);
        if delay > bound {
            let from = at.checked_sub(REPORTED_PERIOD).unwrap_or(at);
            late.push(format!(
                "LATE {delay_ms} ms{}: {:?} of {} ms at daemon {daemon}; {}; disturbed: {}",
                if outcome.is_some() { "" } else { " (not shown)" },
                publication.change,
                recorder.millis_since_start(at),
                if is_undisturbed { "in touch" } else { "not in touch" },
                recorder.describe_disturbances(daemon, from, at + delay),
            ));
        }
    }
    (late, largest_ms)
}
