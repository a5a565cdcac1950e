use std::{collections::HashSet, net::IpAddr, sync::Arc, time::Instant};

use crate::{
    flow::Fingerprint,
    load::Class,
    member::{Id, View},
    place::{
        Config, Holders, Preference, Refusal,
        caller::CallerLimit,
        count::{Count, Counts},
        ramp::Ramp,
    },
    route::{Service, Table, Target},
    ticket::TargetId,
};

/// The weight of a target that reports more load than it bears, relative to its full weight.
const HOT_SHARE: f64 = 0.5;

/// Below this share of connections a decider may exceed its share by three standard
/// deviations. Flows fall on deciders at random, so with small shares an exact limit
/// would refuse flows while the target has room. The target itself refuses what is too much, and
/// the flow is placed again.
const EXACT_SHARE: u32 = 100;

/// Places new flows and counts the open flows that this daemon owns as primary.
///
/// ```
/// use std::time::Instant;
///
/// use banyanwharf::{member, place::{Config, Placer}};
///
/// let now = Instant::now();
/// let placer = Placer::new(Config::default(), member::id("entry-1"), 7, now);
/// assert_eq!(placer.open(42), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Placer {
    config: Config,
    own: Id,
    started: Instant,
    holders: Holders,
    counts: Counts,
    known: HashSet<TargetId>,
    services: HashSet<Arc<str>>,
    callers: CallerLimit,
}

impl Placer {
    /// Creates a placer without flows for the member `own`.
    pub fn new(config: Config, own: Id, seed: u64, now: Instant) -> Placer {
        Placer {
            config,
            own,
            started: now,
            holders: Holders::default(),
            counts: Counts::new(),
            known: HashSet::new(),
            services: HashSet::new(),
            callers: CallerLimit::new(seed, now),
        }
    }

    /// Sets the members that share the limits of the targets with this daemon.
    pub fn set_members(&mut self, view: &View, region: &str) {
        self.holders = Holders::new(view, region, self.config.failed_hold);
    }

    /// Takes over a new route table. Targets that join a service that is already known are cold.
    ///
    /// The first targets of a service are not: a daemon that starts, or a new service, would
    /// otherwise refuse most flows for the length of the ramp. If they have just started after
    /// all, their load endpoints or their resets say so.
    pub fn set_routes(&mut self, now: Instant, table: &Table) {
        for target in table.targets() {
            let service = table.service(target.service).map(|service| &service.name);
            let is_known = service.is_some_and(|name| self.services.contains(name));
            if is_known && !self.known.contains(&target.id) {
                self.counts.entry(target.id).or_default().ramp = Some(Ramp::new(now));
            }
        }
        let ids: HashSet<TargetId> = table.targets().map(|target| target.id).collect();
        self.services = table.services().iter().map(|service| service.name.clone()).collect();
        self.counts.retain(|id, count| ids.contains(id) || count.open > 0);
        self.known = ids;
    }

    /// Sets the class of a target. `since` is when a cold target started.
    pub fn set_class(&mut self, target: TargetId, class: Class, since: Instant) {
        let count = self.counts.entry(target).or_default();
        count.class = class;
        if class == Class::Cold {
            count.ramp = Some(Ramp::new(since));
        }
    }

    /// Counts a new flow of `caller` against its share.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::CallerLimit`] if the daemon is over its limit and the caller over its
    /// share.
    pub fn admit(&mut self, now: Instant, caller: IpAddr) -> Result<(), Refusal> {
        let Config { new_flows_per_second: limit, caller_share: share, .. } = self.config;
        if self.callers.admit(now, caller, limit, share) {
            Ok(())
        } else {
            Err(Refusal::CallerLimit)
        }
    }

    /// Chooses the target of a new flow, leaving out the targets in `excluded`.
    ///
    /// A unit of a cold target is spent at once; [`Placer::opened`] counts the flow.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target can take the flow.
    pub fn place(
        &mut self,
        now: Instant,
        table: &Table,
        service: &Service,
        fingerprint: Fingerprint,
        preference: Preference,
        excluded: &[TargetId],
    ) -> Result<TargetId, Refusal> {
        let can_take = |target: &&Target| target.is_placeable() && !excluded.contains(&target.id);
        let targets = service.targets.iter().filter_map(|id| table.target(*id));
        let targets: Vec<&Target> = targets.filter(can_take).collect();
        let newest = service.generations.first().filter(|_| !targets.is_empty());
        let newest = newest.ok_or(Refusal::NoTarget)?;
        let level = match preference {
            Preference::Balance => service.policy.bound() * self.level(now, &targets),
            Preference::Base => f64::INFINITY,
        };
        let base = newest.base(fingerprint).and_then(|id| table.target(id)).filter(can_take);
        if let Some(base) = base
            && self.is_below(now, base, level)
            && self.spend(now, base)
        {
            return Ok(base.id);
        }
        let order = newest.ranked(fingerprint).into_iter().filter_map(|id| table.target(id));
        let order = order.filter(can_take).collect();
        self.place_elsewhere(now, order, level).ok_or(Refusal::Full)
    }

    /// Takes room for a new flow that can go to no other target, and spends a unit if the target
    /// is cold. Returns whether the target takes the flow.
    pub fn take(&mut self, now: Instant, target: &Target) -> bool {
        self.is_within_limits(target) && self.spend(now, target)
    }

    /// Notes that this daemon owns an open flow on `target` as primary.
    pub fn opened(&mut self, target: TargetId) {
        self.counts.entry(target).or_default().open += 1;
    }

    /// Notes that a flow counted by [`Placer::opened`] has ended or has another primary owner.
    pub fn closed(&mut self, target: TargetId) {
        if let Some(count) = self.counts.get_mut(&target) {
            count.open = count.open.saturating_sub(1);
        }
    }

    /// Sets the counts of open flows to zero, so that they can be taken again.
    pub fn clear_open(&mut self) {
        self.counts.values_mut().for_each(|count| count.open = 0);
    }

    /// Returns the open flows on `target` that this daemon owns as primary.
    pub fn open(&self, target: TargetId) -> u32 {
        self.counts.get(&target).map_or(0, |count| count.open)
    }

    /// Returns the open flows of all targets that this daemon owns as primary.
    pub fn open_flows(&self) -> impl Iterator<Item = (TargetId, u64)> {
        self.counts.iter().map(|(id, count)| (*id, u64::from(count.open)))
    }

    /// Returns the mean count of open flows per unit of effective weight.
    fn level(&self, now: Instant, targets: &[&Target]) -> f64 {
        let open: u32 = targets.iter().map(|target| self.open(target.id)).sum();
        let weight: f64 = targets.iter().map(|target| self.weight(now, target)).sum();
        f64::from(open + 1) / weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the weight of a target, scaled by its ramp and class.
    fn weight(&self, now: Instant, target: &Target) -> f64 {
        let full = f64::from(target.weight);
        let Some(count) = self.counts.get(&target.id) else {
            return full;
        };
        let share = count.ramp.map_or(1.0, |ramp| ramp.share(now, target));
        match count.class {
            Class::Failing => 0.0,
            Class::Hot => full * share * HOT_SHARE,
            Class::Cold | Class::Normal => full * share,
        }
    }

    /// Returns whether a further flow keeps the target within the bound and its limits.
    fn is_below(&self, now: Instant, target: &Target, level: f64) -> bool {
        let open = f64::from(self.open(target.id));
        // Without the extra flow, small counts would move most flows off their base targets.
        let bound = (level * self.weight(now, target).max(f64::MIN_POSITIVE)) + 1.0;
        open <= bound && self.is_within_limits(target)
    }

    /// Returns whether the target takes a flow at all.
    fn is_within_limits(&self, target: &Target) -> bool {
        let Some(count) = self.counts.get(&target.id) else {
            return true;
        };
        count.class != Class::Failing && count.open < self.connections(target)
    }

    /// Returns this daemon's part of the target's connections.
    fn connections(&self, target: &Target) -> u32 {
        let share = target.connections / self.holders.deciders() as u32;
        if share >= EXACT_SHARE {
            return share;
        }
        let share = f64::from(target.connections) / self.holders.deciders() as f64;
        (share + 3.0 * share.sqrt()).ceil() as u32
    }

    /// Places a flow that its base target cannot take on the first target of `order` within the
    /// bound, or else on the least loaded target within the limits.
    fn place_elsewhere(
        &mut self,
        now: Instant,
        mut order: Vec<&Target>,
        level: f64,
    ) -> Option<TargetId> {
        order.retain(|target| self.is_within_limits(target));
        for target in &order {
            if self.is_below(now, target, level) && self.spend(now, target) {
                return Some(target.id);
            }
        }
        let load = |target: &Target| {
            let weight = self.weight(now, target).max(f64::MIN_POSITIVE);
            f64::from(self.open(target.id)) / weight
        };
        order.sort_by(|a, b| load(a).total_cmp(&load(b)));
        order.iter().find(|target| self.spend(now, target)).map(|target| target.id)
    }

    /// Spends a unit if the target is cold. Returns whether the flow may be placed.
    fn spend(&mut self, now: Instant, target: &Target) -> bool {
        let Some(ramp) = self.ramp(now, target) else {
            return true;
        };
        if now.saturating_duration_since(self.started) < self.config.join_delay {
            return false;
        }
        let units = self.holders.held(now, target, ramp.slots(now, target), self.own);
        let period = self.config.unit_period;
        let Count { spent, .. } = self.counts.entry(target.id).or_default();
        spent.retain(|at| now.saturating_duration_since(*at) < period);
        if spent.len() >= units {
            return false;
        }
        spent.push(now);
        true
    }

    /// Returns the ramp of a target that is still cold, and forgets one that is over.
    fn ramp(&mut self, now: Instant, target: &Target) -> Option<Ramp> {
        let count = self.counts.get_mut(&target.id)?;
        count.ramp = count.ramp.filter(|ramp| !ramp.is_over(now, target));
        if count.ramp.is_none() {
            count.spent = Vec::new();
        }
        count.ramp
    }
}
