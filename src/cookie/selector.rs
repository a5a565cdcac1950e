use std::{sync::Arc, time::Instant};

use crate::cookie::{
    Cookie, Entry, Flow, Tuning, View,
    flows::{Flows, Load},
    observer::Observer,
};

/// The order in which targets are preferred for a new flow. The lowest is the best.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    is_silent: bool,
    /// Whether the target is in another zone, or in the own zone without a free slot.
    tier: Tier,
    load: f64,
    /// Breaks ties in another order for each flow.
    tie_breaker: u64,
}

/// The order in which targets are preferred by zone and free slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// In the own zone, with a free slot as far as this daemon sees.
    OwnZoneFree,
    /// In the own zone without a free slot, or in another one.
    Overflow,
}

/// A target that was chosen for a new flow.
pub(super) struct Choice {
    pub(super) cookie: Cookie,
    /// The number of targets to choose from.
    pub(super) choices: usize,
    pub(super) is_other_zone: bool,
    /// Whether the flow tests a silent target.
    pub(super) is_probe: bool,
}

/// What a placement depends on besides the targets.
pub(super) struct Selector<'a> {
    pub(super) now: Instant,
    pub(super) view: &'a View,
    pub(super) tuning: &'a Tuning,
    pub(super) zone: &'a str,
    /// The daemons of the own zone, with this one.
    pub(super) zone_daemons: usize,
}

impl Selector<'_> {
    /// Chooses a target of `service` for a new flow, other than `avoid`.
    pub(super) fn choose(
        &self,
        observer: &mut Observer,
        flows: &Flows,
        service: &Arc<str>,
        flow: &Flow,
        avoid: Option<Cookie>,
    ) -> Option<Choice> {
        let cold_limit = self.cold_limit(service);
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
            let is_probe = observer.may_probe(self.now, entry);
            let is_silent = observer.is_silent(entry) && !is_probe;
            let rank = Rank { is_silent, ..self.rank(entry, flows, flow, is_probe) };
            if best.as_ref().is_none_or(|(found, _)| rank < *found) {
                let (cookie, is_other_zone) = (entry.cookie, *entry.target.zone != *self.zone);
                best = Some((rank, Choice { cookie, choices: 0, is_other_zone, is_probe }));
            }
        }
        best.map(|(_, choice)| Choice { choices, ..choice })
    }

    /// Returns the new flows that this daemon may send to one cold target in a second, or `None`
    /// if no rate is stated.
    fn cold_limit(&self, service: &str) -> Option<usize> {
        let rate = self.view.service(service)?.cold_rate;
        if rate <= 0.0 {
            return None;
        }
        let total = rate * self.tuning.cold_factor + self.tuning.cold_slack;
        Some((total / self.zone_daemons.max(1) as f64) as usize)
    }

    fn is_allowed(&self, entry: &Entry, observer: &mut Observer, limit: Option<usize>) -> bool {
        let (true, Some(limit)) = (entry.is_cold(self.now), limit) else {
            return true;
        };
        // The daemons of other zones would need a part of the allowance for flows that seldom come.
        *entry.target.zone == *self.zone && observer.allows_cold_flow(self.now, entry.cookie, limit)
    }

    /// Returns the rank of a target that is not silent.
    fn rank(&self, entry: &Entry, flows: &Flows, flow: &Flow, is_probe: bool) -> Rank {
        let Load { open, waiting } = flows.load(entry.cookie);
        let is_own_zone = *entry.target.zone == *self.zone;
        let slots = entry.target.slots.max(1);
        let factor = if entry.is_cold(self.now) { self.tuning.cold_load_factor } else { 1.0 };
        let is_free = f64::from(waiting) * factor < f64::from(slots);
        let (tier, count) = match is_own_zone && is_free {
            // Long flows are spread by their number.
            true => (Tier::OwnZoneFree, open),
            // A queue is shortened by what waits now.
            false => (Tier::Overflow, waiting),
        };
        let distance = if is_own_zone { 0.0 } else { self.tuning.other_zone_load };
        let load = f64::from(count + 1) * factor / f64::from(slots) + distance;
        Rank {
            is_silent: false,
            tier: if is_probe { Tier::OwnZoneFree } else { tier },
            load: if is_probe { 0.0 } else { load },
            tie_breaker: tie_breaker(entry.cookie, flow),
        }
    }
}

fn tie_breaker(cookie: Cookie, flow: &Flow) -> u64 {
    let caller = u64::from(flow.caller.ip().to_bits()) << 16 | u64::from(flow.caller.port());
    crate::util::score(u64::from(cookie), caller)
}
