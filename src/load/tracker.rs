use std::time::Instant;

use crate::{
    load::{Class, Config, Observation, Reading},
    util,
};

/// The readings and observations of one target, reduced to what its class depends on.
#[derive(Debug, Clone, Default)]
pub(super) struct Tracker {
    /// The class from endpoint readings, of this or another daemon, and when it was observed.
    pub(super) reported_class: Option<(Class, Instant)>,
    /// The class from this daemon's packet path, and when it was observed.
    pub(super) observed_class: Option<(Class, Instant)>,
    /// The hash of the last known start identifier; 0 if none is known.
    pub(super) start_hash: u32,
    /// The class in this daemon's last report about the target, and when the report was sent.
    pub(super) last_sent: Option<(Class, Instant)>,
    /// The number of reports that this daemon has sent about the target.
    pub(super) sequence: u32,
    /// Whether the health checks of this daemon have put the target into the class failing.
    is_ejected: bool,
    /// The number of consecutive health checks that contradict `is_ejected`.
    streak: u32,
    /// The number of consecutive SYNs that were not answered with a SYN-ACK.
    failed_syns: u32,
    /// Whether the last SYN without a SYN-ACK was answered with an RST.
    last_syn_refused: bool,
    /// The number of consecutive readings at or above `hot_share` with requests queued.
    busy_readings: u32,
    /// When the target last reset established flows, within `reset_window`.
    reset_times: Vec<Instant>,
}

impl Tracker {
    /// Processes a reading and returns the resulting class.
    pub(super) fn classify(&mut self, config: &Config, reading: &Reading) -> Class {
        let full = f64::from(reading.slots) * config.hot_share;
        let is_busy = reading.slots > 0 && reading.queued > 0 && f64::from(reading.busy) >= full;
        self.busy_readings = if is_busy { self.busy_readings.saturating_add(1) } else { 0 };
        let good = reading.healthy.unwrap_or(true);
        self.streak = if good == self.is_ejected { self.streak + 1 } else { 0 };
        let needed = if self.is_ejected { config.good_to_return } else { config.bad_to_eject };
        if self.streak >= needed {
            self.is_ejected = !self.is_ejected;
            self.streak = 0;
        }
        if self.is_ejected {
            return Class::Failing;
        }
        if self.record_start(reading) {
            return Class::Cold;
        }
        if self.busy_readings >= config.hot_readings.max(1) {
            return Class::Hot;
        }
        Class::Normal
    }

    /// Processes an observation of the packet path.
    pub(super) fn observe(&mut self, now: Instant, config: &Config, observation: Observation) {
        match observation {
            Observation::Accepted => {
                self.failed_syns = 0;
                if matches!(self.observed_class, Some((Class::Failing, _))) {
                    self.observed_class = Some((Class::Normal, now));
                }
            }
            Observation::Refused | Observation::Unanswered => {
                self.failed_syns = self.failed_syns.saturating_add(1);
                self.last_syn_refused = observation == Observation::Refused;
                if self.failed_syns >= config.silent_syns {
                    self.observed_class = Some((Class::Failing, now));
                }
            }
            Observation::FlowReset => {
                self.reset_times.retain(|at| *at + config.reset_window > now);
                self.reset_times.push(now);
                if self.reset_times.len() >= config.flow_resets as usize {
                    self.reset_times.clear();
                    self.observed_class = Some((Class::Cold, now));
                }
            }
        }
    }

    /// Returns the newer one of the reported and the observed class, with the time of its
    /// observation. The class is normal if both have expired.
    pub(super) fn class(&self, now: Instant, config: &Config) -> (Class, Instant) {
        let is_refusing = |class| class == Class::Failing && self.last_syn_refused;
        let observed = self.observed_class.filter(|(class, at)| {
            !is_refusing(*class) || now.saturating_duration_since(*at) < config.refused_hold
        });
        let newest = [self.reported_class, observed]
            .into_iter()
            .flatten()
            .filter(|(_, at)| now.saturating_duration_since(*at) < config.fade)
            .max_by_key(|(_, at)| *at);
        newest.unwrap_or((Class::Normal, now))
    }

    /// Records the start identifier and returns whether the target has restarted since the last
    /// one.
    fn record_start(&mut self, reading: &Reading) -> bool {
        let Some(text) = &reading.start else {
            return false;
        };
        let start = (util::hash_bytes(&[text.as_bytes()]) as u32).max(1);
        let previous = std::mem::replace(&mut self.start_hash, start);
        previous != 0 && previous != start
    }
}
