use std::time::Instant;

use crate::{
    load::{Class, Config, Observation, Reading},
    util,
};

/// What the monitor keeps of one target.
#[derive(Debug, Clone, Default)]
pub(super) struct Track {
    /// The class from reports, with the time of the observation.
    pub(super) reported: Option<(Class, Instant)>,
    /// The class from the packet path of this daemon, with its time.
    pub(super) observed: Option<(Class, Instant)>,
    /// The start identity last heard of; 0 if none.
    pub(super) start: u32,
    /// When this daemon last sent a report about the target.
    pub(super) sent: Option<(Class, Instant)>,
    /// The number of reports sent.
    pub(super) sequence: u32,
    /// Whether this daemon's readings have ejected the target.
    failing: bool,
    /// Failed (while in service) or good (while failing) readings in a row.
    streak: u32,
    /// SYNs without a SYN-ACK in a row.
    misses: u32,
    /// Whether the last of them was answered with a reset.
    refused: bool,
    /// Readings in a row that found all slots busy and requests queued.
    busy: u32,
    /// The times of the last resets of established flows.
    resets: Vec<Instant>,
}

impl Track {
    /// Takes a reading and returns the class that follows from it.
    pub(super) fn read(&mut self, config: &Config, reading: &Reading) -> Class {
        let full = f64::from(reading.slots) * config.hot_share;
        let is_busy = reading.slots > 0 && reading.queued > 0 && f64::from(reading.busy) >= full;
        self.busy = if is_busy { self.busy.saturating_add(1) } else { 0 };
        let good = reading.healthy.unwrap_or(true);
        self.streak = if good == self.failing { self.streak + 1 } else { 0 };
        let needed = if self.failing { config.good_to_return } else { config.bad_to_eject };
        if self.streak >= needed {
            self.failing = !self.failing;
            self.streak = 0;
        }
        if self.failing {
            return Class::Failing;
        }
        if self.has_new_start(reading) {
            return Class::Cold;
        }
        if self.busy >= config.hot_readings.max(1) {
            return Class::Hot;
        }
        Class::Normal
    }

    /// Takes an observation of the packet path.
    pub(super) fn observe(&mut self, now: Instant, config: &Config, observation: Observation) {
        match observation {
            Observation::Accepted => {
                self.misses = 0;
                if matches!(self.observed, Some((Class::Failing, _))) {
                    self.observed = Some((Class::Normal, now));
                }
            }
            Observation::Refused | Observation::Unanswered => {
                self.misses = self.misses.saturating_add(1);
                self.refused = observation == Observation::Refused;
                if self.misses >= config.silent_syns {
                    self.observed = Some((Class::Failing, now));
                }
            }
            Observation::FlowReset => {
                self.resets.retain(|at| *at + config.reset_window > now);
                self.resets.push(now);
                if self.resets.len() >= config.flow_resets as usize {
                    self.resets.clear();
                    self.observed = Some((Class::Cold, now));
                }
            }
        }
    }

    /// Returns the class in force: the newer of the reported and the observed one.
    pub(super) fn class(&self, now: Instant, config: &Config) -> (Class, Instant) {
        let is_refusing = |class| class == Class::Failing && self.refused;
        let observed = self.observed.filter(|(class, at)| {
            !is_refusing(*class) || now.saturating_duration_since(*at) < config.refused_hold
        });
        let newest = [self.reported, observed]
            .into_iter()
            .flatten()
            .filter(|(_, at)| now.saturating_duration_since(*at) < config.fade)
            .max_by_key(|(_, at)| *at);
        newest.unwrap_or((Class::Normal, now))
    }

    /// Notes the start identity and returns whether the target has started anew.
    fn has_new_start(&mut self, reading: &Reading) -> bool {
        let Some(text) = &reading.start else {
            return false;
        };
        let start = (util::hash_bytes(&[text.as_bytes()]) as u32).max(1);
        let previous = std::mem::replace(&mut self.start, start);
        previous != 0 && previous != start
    }
}
