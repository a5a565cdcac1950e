use std::{cmp::Ordering, sync::Arc, time::Instant};

use crate::cookie::{
    Cookie, Entry, Flow, Placement, Tuning, View,
    flows::{Flows, Load},
    observer::Observer,
    view::ZonePool,
    work::{Estimator, ReportTable, Room, Standing},
};

/// The maximum number of candidates in the own zone. Up to this number of targets all are
/// candidates, so that open flows are balanced as by a scan.
const OWN_CANDIDATES: usize = 24;

/// The maximum number of other zones with candidates, and of candidates in each.
const OTHER_ZONES: usize = 3;
const OTHER_CANDIDATES: usize = 2;

/// The minimum utilization by which open flows count, so that they decide between targets that
/// otherwise look alike.
const MINIMUM_UTILIZATION: f64 = 0.1;

/// The limits of the factor by which another zone must be better. The factor differs between flows,
/// so that the share of flows that leave the zone grows gradually with the difference.
const HYSTERESIS: [f64; 2] = [1.2, 1.8];

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
                best =
                    Some((rank, Choice { cookie, choices: 0, is_other_zone, is_half_open_probe }));
            }
        }
        best.map(|(_, choice)| Choice { choices, ..choice })
    }

    /// Selects the target with the lowest expected time until the answer among some candidates, which
    /// depend on the flow. Returns `None` if none of them answers.
    fn choose_by_expected_work(
        &self,
        observer: &mut Observer,
        flows: &Flows,
        service: &Arc<str>,
        flow: &Flow,
        avoid: Option<Cookie>,
    ) -> Option<Choice> {
        let cold_limit = self.cold_limit(service);
        let pools = self.view.zone_pools(service);
        let (own, others): (Vec<_>, Vec<_>) =
            pools.iter().partition(|pool| *pool.zone == *self.zone);
        let avoidance = self.room.map(|room| room.avoidance(self.now, service, flow));
        let mut random = tie_breaker(0, flow);
        // One mean for all zones: this daemon sends few flows to each other zone.
        let (mut count, mut open_sum) = (0, 0.0);
        let mut candidates: Vec<(&Entry, f64)> = Vec::with_capacity(64);
        let first = random as usize % others.len().max(1);
        let others = others.iter().cycle().skip(first).take(others.len().min(OTHER_ZONES));
        for pool in own.iter().chain(others) {
            let is_own = *pool.zone == *self.zone;
            let limit = if is_own { OWN_CANDIDATES } else { OTHER_CANDIDATES };
            let start = random as usize % pool.len().max(1);
            for draw in 0..pool.len().min(limit) {
                // Small pools are scanned; from large ones, independent positions are drawn.
                let position = match pool.len() <= limit {
                    true => (start + draw) % pool.len(),
                    false => {
                        random = crate::util::score(random, draw as u64);
                        random as usize % pool.len()
                    }
                };
                let Some(entry) = self.view.pool_entry(pool, position) else {
                    continue;
                };
                if Some(entry.cookie) == avoid || !self.is_allowed(entry, observer, cold_limit) {
                    continue;
                }
                if observer.may_start_half_open_probe(self.now, entry) {
                    return Some(Choice {
                        cookie: entry.cookie,
                        choices: candidates.len() + 1,
                        is_other_zone: !is_own,
                        is_half_open_probe: true,
                    });
                }
                if observer.is_silent(entry) {
                    continue;
                }
                let open = self.open_share(entry, flows);
                if is_own {
                    (count, open_sum) = (count + 1, open_sum + open);
                }
                candidates.push((entry, open));
            }
        }
        let mean_open = if count == 0 { 1.0 } else { open_sum / f64::from(count) };
        let utilization = own
            .first()
            .map_or(0.0, |pool| self.utilization(service, pool))
            .max(MINIMUM_UTILIZATION);
        let hysteresis = hysteresis(flow);
        let rank = |(entry, open): &(&Entry, f64)| {
            let work = self.expected_time(entry, flows, flow, utilization * open / mean_open);
            let time = match *entry.target.zone == *self.zone {
                true => work,
                false => {
                    let distance = self.estimator.zone_distance(self.zone, &entry.target.zone);
                    work * hysteresis + distance
                }
            };
            let standing =
                avoidance.as_ref().map_or(Standing::Usable, |avoidance| avoidance.standing(entry));
            (standing, time, tie_breaker(entry.cookie, flow))
        };
        let best = candidates
            .iter()
            .map(|candidate| (rank(candidate), candidate.0))
            .min_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        best.map(|(_, entry)| Choice {
            cookie: entry.cookie,
            choices: candidates.len(),
            is_other_zone: *entry.target.zone != *self.zone,
            is_half_open_probe: false,
        })
    }

    /// Returns the open flows of a target per slot, with the new one.
    fn open_share(&self, entry: &Entry, flows: &Flows) -> f64 {
        let factor = if entry.is_cold(self.now) { self.tuning.cold_load_factor } else { 1.0 };
        f64::from(flows.load(entry.cookie).open + 1) * factor / f64::from(entry.target.slots.max(1))
    }

    /// Returns the expected time until the answer to the first request of a flow, in seconds.
    /// `occupation` is the share of time for which the open flows use the target, at usual speed.
    fn expected_time(&self, entry: &Entry, flows: &Flows, flow: &Flow, occupation: f64) -> f64 {
        let pending = flows.pending(entry.cookie);
        let backlog = self.estimator.backlog(self.now, pending);
        let cost = self.estimator.cost(flow.service);
        let own_answers = self.estimator.recent_answers(self.now, entry.cookie);
        let factor = self.estimator.delay_factor(self.now, entry, pending)
            * self.report_table.factor(self.now, entry.cookie, own_answers);
        let slots = f64::from(entry.target.slots.max(1));
        factor * (cost * (1.0 + occupation) + backlog / slots)
    }

    /// Returns the utilization of the slots of the own zone's targets of a service.
    fn utilization(&self, service: &str, pool: &ZonePool) -> f64 {
        let requests = self.estimator.mean_requests(self.now, service, &pool.zone);
        requests * self.zone_daemons as f64 / pool.slots.max(1) as f64
    }

    /// Returns the zones with a target of `service` that may get a new flow and is not silent.
    pub(super) fn usable_zones(&self, observer: &mut Observer, service: &str) -> Vec<Arc<str>> {
        let cold_limit = self.cold_limit(service);
        let mut zones: Vec<Arc<str>> = Vec::new();
        for entry in self.view.pool(service) {
            if !zones.contains(&entry.target.zone)
                && !observer.is_silent(entry)
                && self.is_allowed(entry, observer, cold_limit)
            {
                zones.push(entry.target.zone.clone());
            }
        }
        zones
    }

    /// Returns the number of new flows that this daemon may send to one cold target per second, or
    /// `None` if the service has no configured rate.
    fn cold_limit(&self, service: &str) -> Option<usize> {
        let rate = self.view.service(service)?.cold_rate;
        if rate <= 0.0 {
            return None;
        }
        let total = rate * self.tuning.cold_factor + self.tuning.cold_slack;
        Some((total / self.cold_sharers.max(1) as f64) as usize)
    }

    fn is_allowed(&self, entry: &Entry, observer: &mut Observer, limit: Option<usize>) -> bool {
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

/// Returns by which factor another zone must be better for a flow.
fn hysteresis(flow: &Flow) -> f64 {
    let share = tie_breaker(1, flow) as f64 / u64::MAX as f64;
    let [low, high] = HYSTERESIS;
    low + share * (high - low)
}

fn tie_breaker(cookie: Cookie, flow: &Flow) -> u64 {
    let caller = u64::from(flow.caller.ip().to_bits()) << 16 | u64::from(flow.caller.port());
    crate::util::score(u64::from(cookie), caller)
}
