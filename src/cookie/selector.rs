use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::cookie::{
    Basis, Cookie, Entry, Flow, Placement, Tuning, View,
    flows::{Flows, Load},
    observer::Observer,
    work::{Estimator, ReportTable, Room, Standing},
};

/// The sort key of a candidate target for a new flow; the lowest rank wins.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    is_silent: bool,
    /// Whether the target is full.
    standing: Standing,
    /// The preference by zone and free slots.
    tier: Tier,
    load: f64,
    /// A hash of target and flow, which breaks ties in a different order for each flow.
    tie_breaker: u64,
}

/// The preference of a target by its zone and free slots; the lower tier is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// In the own zone, with a free slot according to the flows that this daemon sees.
    OwnZoneFree,
    /// In the own zone without a free slot, or in another zone.
    Overflow,
}

/// The target selected for a new flow.
pub(super) struct Choice {
    pub(super) cookie: Cookie,
    /// The number of targets among which this one was selected.
    pub(super) choices: usize,
    /// Whether the target is in another zone than this daemon.
    pub(super) is_other_zone: bool,
    /// Whether the flow is a half-open probe of a silent target.
    pub(super) is_half_open_probe: bool,
    /// The expected time until the answer; `None` if the target was selected by its open flows.
    pub(super) expected: Option<Duration>,
}

impl Choice {
    /// Returns what the selection was based on.
    pub(super) fn basis(&self) -> Basis {
        match (self.is_half_open_probe, self.expected) {
            (true, _) => Basis::HalfOpenProbe,
            (false, Some(_)) => Basis::ExpectedWork,
            (false, None) => Basis::OpenFlows,
        }
    }
}

/// Selects targets for new flows from a view.
pub(super) struct Selector<'a> {
    pub(super) now: Instant,
    pub(super) view: &'a View,
    pub(super) tuning: &'a Tuning,
    pub(super) zone: &'a str,
    /// The number of daemons among which the limit of a cold target is divided.
    pub(super) cold_sharers: usize,
    /// The number of daemons in the own zone, including this one.
    pub(super) zone_daemons: usize,
    pub(super) estimator: &'a Estimator,
    /// The reports of other daemons of the zone.
    pub(super) report_table: &'a ReportTable,
    /// Which targets are full; `None` if load shedding is disabled.
    pub(super) room: Option<&'a Room>,
}

impl Selector<'_> {
    /// Selects a target of `service` for a new flow, never the target `avoid`. Returns `None` if
    /// there is no candidate.
    pub(super) fn choose(
        &self,
        observer: &mut Observer,
        flows: &Flows,
        service: &Arc<str>,
        flow: &Flow,
        avoid: Option<Cookie>,
    ) -> Option<Choice> {
        match self.tuning.placement {
            Placement::OpenFlows => {
                self.choose_by_open_flows(observer, flows, service, flow, avoid)
            }
            // Without an answering target among the candidates all targets are considered.
            Placement::ExpectedWork => self
                .choose_by_expected_work(observer, flows, service, flow, avoid)
                .or_else(|| self.choose_by_open_flows(observer, flows, service, flow, avoid)),
        }
    }

    fn choose_by_open_flows(
        &self,
        observer: &mut Observer,
        flows: &Flows,
        service: &Arc<str>,
        flow: &Flow,
        avoid: Option<Cookie>,
    ) -> Option<Choice> {
        let cold_limit = self.cold_limit(service);
        let avoidance = self.room.map(|room| room.avoidance(self.now, service, flow));
        let mut choices = 0;
        let mut best: Option<(Rank, Choice)> = None;
        for entry in self.view.pool(service) {
            if Some(entry.cookie) == avoid {
                continue;
            }
            if !self.is_allowed(entry, observer, cold_limit) {
                continue;
            }
            choices += 1;
            let is_half_open_probe = observer.may_start_half_open_probe(self.now, entry);
            let is_silent = observer.is_silent(entry) && !is_half_open_probe;
            let standing = match &avoidance {
                Some(avoidance) if !is_half_open_probe => avoidance.standing(entry),
                _ => Standing::Usable,
            };
            let rank = self.rank(entry, flows, flow, is_half_open_probe);
            let rank = Rank { is_silent, standing, ..rank };
            if best.as_ref().is_none_or(|(found, _)| rank < *found) {
                let (cookie, is_other_zone) = (entry.cookie, *entry.target.zone != *self.zone);
                best = Some((
                    rank,
                    Choice {
                        cookie,
                        choices: 0,
                        is_other_zone,
                        is_half_open_probe,
                        expected: None,
                    },
                ));
            }
        }
        best.map(|(_, choice)| Choice { choices, ..choice })
    }

    /// Returns the zones with a target of `service` that may get a new flow and is not silent.
    pub(super) fn usable_zones(&self, observer: &mut Observer, service: &str) -> Vec<Arc<str>> {
        let cold_limit = self.cold_limit(service);
        let pools = self.view.zone_pools(service).iter();
        pools
            .filter(|pool| {
                // A zone usually has a usable target among its first ones.
                let mut entries =
                    (0..pool.len()).filter_map(|position| self.view.pool_entry(pool, position));
                entries.any(|entry| {
                    !observer.is_silent(entry) && self.is_allowed(entry, observer, cold_limit)
                })
            })
            .map(|pool| pool.zone.clone())
            .collect()
    }

    /// Returns the number of new flows that this daemon may send to one cold target per second, or
    /// `None` if the service has no configured rate.
    pub(super) fn cold_limit(&self, service: &str) -> Option<usize> {
        let rate = self.view.service(service)?.cold_rate;
        if rate <= 0.0 {
            return None;
        }
        let total = rate * self.tuning.cold_factor + self.tuning.cold_slack;
        Some((total / self.cold_sharers.max(1) as f64) as usize)
    }

    pub(super) fn is_allowed(
        &self,
        entry: &Entry,
        observer: &mut Observer,
        limit: Option<usize>,
    ) -> bool {
        let (true, Some(limit)) = (entry.is_cold(self.now), limit) else {
            return true;
        };
        // Daemons of other zones send no flows to cold targets: they would need a share of the
        // limit for flows that they rarely send.
        *entry.target.zone == *self.zone && observer.allows_cold_flow(self.now, entry.cookie, limit)
    }

    /// Returns the rank of a target, without regard to its silence.
    fn rank(&self, entry: &Entry, flows: &Flows, flow: &Flow, is_half_open_probe: bool) -> Rank {
        let Load { open, waiting } = flows.load(entry.cookie);
        let is_own_zone = *entry.target.zone == *self.zone;
        let slots = entry.target.slots.max(1);
        let factor = if entry.is_cold(self.now) { self.tuning.cold_load_factor } else { 1.0 };
        let is_free = f64::from(waiting) * factor < f64::from(slots);
        let (tier, count) = match is_own_zone && is_free {
            // Without a queue, balances the number of open flows, which may be long-lived.
            true => (Tier::OwnZoneFree, open),
            // With a queue, balances the requests that wait for an answer now.
            false => (Tier::Overflow, waiting),
        };
        let zone_penalty = if is_own_zone { 0.0 } else { self.tuning.other_zone_penalty };
        let load = f64::from(count + 1) * factor / f64::from(slots) + zone_penalty;
        Rank {
            is_silent: false,
            standing: Standing::Usable,
            tier: if is_half_open_probe { Tier::OwnZoneFree } else { tier },
            load: if is_half_open_probe { 0.0 } else { load },
            tie_breaker: tie_breaker(entry.cookie, flow),
        }
    }
}

pub(super) fn tie_breaker(cookie: Cookie, flow: &Flow) -> u64 {
    let caller = u64::from(flow.caller.ip().to_bits()) << 16 | u64::from(flow.caller.port());
    crate::util::score(u64::from(cookie), caller)
}
