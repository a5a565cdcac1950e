use std::{cmp::Ordering, sync::Arc, time::Duration};

use crate::cookie::{
    Cookie, Entry, Flow,
    flows::Flows,
    observer::Observer,
    selector::{Choice, Selector, tie_breaker},
    view::ZonePool,
    work::{Avoidance, Standing},
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

/// The share of its route's latency objective up to which a flow stays in the own zone, although
/// another zone may be sooner. A flow in another zone breaks when the zones are cut off from each
/// other, which harms its caller more than an answer that is later but within the objective.
const ACCEPTED_OBJECTIVE_SHARE: f64 = 0.25;

/// The same for a route without a latency objective, in multiples of its cost.
const ACCEPTED_COSTS: f64 = 3.0;

/// A target that may get a new flow.
struct Candidate<'a> {
    entry: &'a Entry,
    /// Whether the target, or its zone, is full.
    standing: Standing,
    is_own_zone: bool,
    /// Its open flows per slot, with the new one.
    open: f64,
    /// How many times the cost of its route a request takes.
    delay: f64,
    /// The pending work per slot, in seconds at usual speed.
    backlog: f64,
}

impl Selector<'_> {
    /// Selects the target with the lowest expected time until the answer among some candidates, which
    /// depend on the flow. Returns `None` if none of them answers.
    pub(super) fn choose_by_expected_work(
        &self,
        observer: &mut Observer,
        flows: &Flows,
        service: &Arc<str>,
        flow: &Flow,
        avoid: Option<Cookie>,
    ) -> Option<Choice> {
        let cold_limit = self.cold_limit(service);
        let avoidance = self.room.map(|room| room.avoidance(self.now, service, flow));
        let pools = self.view.zone_pools(service);
        let is_own_zone = |pool: &ZonePool| *pool.zone == *self.zone;
        let own_zone = pools.iter().find(|pool| is_own_zone(pool));
        let mut random = tie_breaker(0, flow);
        let first = random as usize % pools.len().max(1);
        let others = pools[first..].iter().chain(&pools[..first]);
        let others = others.filter(|pool| !is_own_zone(pool)).take(OTHER_ZONES);
        let mut candidates = Vec::with_capacity(OWN_CANDIDATES + OTHER_ZONES * OTHER_CANDIDATES);
        for pool in own_zone.into_iter().chain(others) {
            let is_own_zone = is_own_zone(pool);
            let limit = if is_own_zone { OWN_CANDIDATES } else { OTHER_CANDIDATES };
            let usual_delay = self.estimator.zone_delay(self.now, service, &pool.zone);
            for draw in 0..pool.len().min(limit) {
                // Small pools are scanned; from large ones, independent positions are drawn.
                let position = if pool.len() <= limit {
                    draw
                } else {
                    random = crate::util::score(random, draw as u64);
                    random as usize % pool.len()
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
                        is_other_zone: !is_own_zone,
                        is_half_open_probe: true,
                        expected: None,
                    });
                }
                if !observer.is_silent(entry) {
                    let standing = standing(avoidance.as_ref(), entry);
                    let candidate = self.candidate(entry, is_own_zone, flows, usual_delay);
                    candidates.push(Candidate { standing, ..candidate });
                }
            }
        }
        let utilization = own_zone.map_or(0.0, |pool| self.utilization(service, pool));
        self.best_candidate(&candidates, flow, utilization.max(MINIMUM_UTILIZATION))
    }

    fn candidate<'a>(
        &self,
        entry: &'a Entry,
        is_own_zone: bool,
        flows: &Flows,
        usual_delay: f64,
    ) -> Candidate<'a> {
        let (load, pending) = (flows.load(entry.cookie), flows.pending(entry.cookie));
        let slots = f64::from(entry.target.slots.max(1));
        let factor = if entry.is_cold(self.now) { self.tuning.cold_load_factor } else { 1.0 };
        let own_answers = self.estimator.recent_answers(self.now, entry.cookie);
        let reported = self.report_table.factor(self.now, entry.cookie, own_answers);
        let observed = self.estimator.delay_factor(self.now, entry.cookie, usual_delay, pending);
        Candidate {
            entry,
            standing: Standing::Usable,
            is_own_zone,
            open: f64::from(load.open + 1) * factor / slots,
            delay: observed * reported,
            backlog: self.estimator.backlog(self.now, pending) / slots,
        }
    }

    /// Selects among the candidates; `utilization` is that of the own zone's slots.
    fn best_candidate(
        &self,
        candidates: &[Candidate],
        flow: &Flow,
        utilization: f64,
    ) -> Option<Choice> {
        // Other zones are compared with the open flows of the own zone, since this daemon sends
        // few flows there.
        let own = candidates.iter().filter(|candidate| candidate.is_own_zone);
        let (count, sum) = own.fold((0.0, 0.0), |(n, sum), each| (n + 1.0, sum + each.open));
        let mean_open = if count == 0.0 { 1.0 } else { sum / count };
        let cost = self.estimator.cost(flow.service);
        let hysteresis = hysteresis(flow);
        let rank = |candidate: &Candidate| {
            let occupation = utilization * candidate.open / mean_open;
            let time = candidate.delay * (cost * (1.0 + occupation) + candidate.backlog);
            if candidate.is_own_zone {
                return (time, time);
            }
            let distance = self.estimator.zone_distance(self.zone, &candidate.entry.target.zone);
            (time * hysteresis + distance, time + distance)
        };
        let compare = |(a, first): &((f64, f64), &Candidate),
                       (b, other): &((f64, f64), &Candidate)| {
            let tie_breaker = |candidate: &Candidate| tie_breaker(candidate.entry.cookie, flow);
            let order = first.standing.cmp(&other.standing);
            let order = order.then(a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
            order.then_with(|| tie_breaker(first).cmp(&tie_breaker(other)))
        };
        let accepted = self.accepted_time(flow, cost);
        let is_accepted = |candidate: &Candidate| {
            let (time, _) = rank(candidate);
            candidate.is_own_zone && candidate.standing == Standing::Usable && time <= accepted
        };
        let stays_in_zone = candidates.iter().any(is_accepted);
        let eligible =
            candidates.iter().filter(|candidate| candidate.is_own_zone || !stays_in_zone);
        let ranked = eligible.map(|candidate| (rank(candidate), candidate));
        let ((_, seconds), best) = ranked.min_by(compare)?;
        Some(Choice {
            cookie: best.entry.cookie,
            choices: candidates.len(),
            is_other_zone: !best.is_own_zone,
            is_half_open_probe: false,
            expected: Duration::try_from_secs_f64(seconds).ok(),
        })
    }

    /// Returns the expected time up to which a flow stays in the own zone, in seconds. `cost` is that
    /// of its route.
    fn accepted_time(&self, flow: &Flow, cost: f64) -> f64 {
        let objective = self.view.route(flow.service).map(|route| route.latency_objective);
        match objective.filter(|objective| !objective.is_zero()) {
            Some(objective) => ACCEPTED_OBJECTIVE_SHARE * objective.as_secs_f64(),
            None => ACCEPTED_COSTS * cost,
        }
    }

    /// Returns the utilization of the slots of a service's targets in the own zone.
    fn utilization(&self, service: &str, pool: &ZonePool) -> f64 {
        let requests = self.estimator.mean_requests(self.now, service, &pool.zone);
        requests * self.zone_daemons as f64 / pool.slots.max(1) as f64
    }
}

fn standing(avoidance: Option<&Avoidance>, entry: &Entry) -> Standing {
    avoidance.map_or(Standing::Usable, |avoidance| avoidance.standing(entry))
}

/// Returns by which factor another zone must be better for a flow.
fn hysteresis(flow: &Flow) -> f64 {
    let share = tie_breaker(1, flow) as f64 / u64::MAX as f64;
    let [low, high] = HYSTERESIS;
    low + share * (high - low)
}
