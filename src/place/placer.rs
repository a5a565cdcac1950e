use std::{collections::HashSet, net::IpAddr, sync::Arc, time::Instant};

use crate::{
    flow::Fingerprint,
    load::Class,
    member::{Id, View},
    place::{
        Config, Preference, Refusal, UnitHolders,
        caller::CallerLimiter,
        ramp::Ramp,
        usage::{TargetUsage, UsageMap},
    },
    route::{Service, Table, Target},
    ticket::TargetId,
};

/// The weight of a target that reports more load than it bears, relative to its full weight.
const HOT_WEIGHT_FACTOR: f64 = 0.5;

/// Below this share of connections a decider may exceed its share by three standard
/// deviations. Flows fall on deciders at random, so with small shares an exact limit
/// would refuse flows while the target has room. The target itself refuses what is too much, and
/// the flow is placed again.
const MIN_EXACT_CONNECTIONS: u32 = 100;

/// Places new flows and counts the open flows that this daemon owns as primary.
///
/// ```
/// use std::time::Instant;
///
/// use banyanwharf::{member, place::{Config, Placer}};
///
/// let now = Instant::now();
/// let placer = Placer::new(Config::default(), member::id("entry-1"), 7, now);
/// assert_eq!(placer.open_flow_count(42), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Placer {
    config: Config,
    own: Id,
    started: Instant,
    holders: UnitHolders,
    usages: UsageMap,
    known_targets: HashSet<TargetId>,
    known_services: HashSet<Arc<str>>,
    callers: CallerLimiter,
}

impl Placer {
    /// Creates a placer without flows for the member `own`.
    pub fn new(config: Config, own: Id, seed: u64, now: Instant) -> Placer {
        Placer {
            config,
            own,
            started: now,
            holders: UnitHolders::default(),
            usages: UsageMap::new(),
            known_targets: HashSet::new(),
            known_services: HashSet::new(),
            callers: CallerLimiter::new(seed, now),
        }
    }

    /// Sets the members that share the limits of the targets with this daemon.
    pub fn set_members(&mut self, view: &View, region: &str) {
        self.holders = UnitHolders::new(view, region, self.config.failed_hold);
    }

    /// Takes over a new route table. Targets that join a service that is already known are cold.
    ///
    /// The first targets of a service are not: a daemon that starts, or a new service, would
    /// otherwise refuse most flows for the length of the ramp. If they have just started after
    /// all, their load endpoints or their resets say so.
    pub fn set_routes(&mut self, now: Instant, table: &Table) {
        for target in table.targets() {
            let service = table.service(target.service).map(|service| &service.name);
            let is_known = service.is_some_and(|name| self.known_services.contains(name));
            if is_known && !self.known_targets.contains(&target.id) {
                self.usages.entry(target.id).or_default().ramp = Some(Ramp::new(now));
            }
        }
        let ids: HashSet<TargetId> = table.targets().map(|target| target.id).collect();
        self.known_services = table.services().iter().map(|service| service.name.clone()).collect();
        self.usages.retain(|id, usage| ids.contains(id) || usage.open_flows > 0);
        self.known_targets = ids;
    }

    /// Sets the class of a target. `since` is when a cold target started.
    pub fn set_class(&mut self, target: TargetId, class: Class, since: Instant) {
        let usage = self.usages.entry(target).or_default();
        usage.class = class;
        if class == Class::Cold {
            usage.ramp = Some(Ramp::new(since));
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
    /// A unit of a cold target is spent at once; [`Placer::record_open`] counts the flow.
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
        let load_bound = match preference {
            Preference::Balance => service.policy.bound() * self.mean_load(now, &targets),
            Preference::Base => f64::INFINITY,
        };
        let base = newest.base_target(fingerprint).and_then(|id| table.target(id)).filter(can_take);
        if let Some(base) = base
            && self.is_within_load_bound(now, base, load_bound)
            && self.take_unit(now, base)
        {
            return Ok(base.id);
        }
        let order =
            newest.ranked_targets(fingerprint).into_iter().filter_map(|id| table.target(id));
        let order = order.filter(can_take).collect();
        self.place_off_base(now, order, load_bound).ok_or(Refusal::Full)
    }

    /// Takes room for a new flow that can go to no other target, and spends a unit if the target
    /// is cold. Returns whether the target takes the flow.
    pub fn reserve(&mut self, now: Instant, target: &Target) -> bool {
        self.is_within_limits(target) && self.take_unit(now, target)
    }

    /// Notes that this daemon owns an open flow on `target` as primary.
    pub fn record_open(&mut self, target: TargetId) {
        self.usages.entry(target).or_default().open_flows += 1;
    }

    /// Notes that a flow counted by [`Placer::record_open`] has ended or has another primary owner.
    pub fn record_close(&mut self, target: TargetId) {
        if let Some(usage) = self.usages.get_mut(&target) {
            usage.open_flows = usage.open_flows.saturating_sub(1);
        }
    }

    /// Sets the counts of open flows to zero, so that they can be taken again.
    pub fn reset_open_flows(&mut self) {
        self.usages.values_mut().for_each(|usage| usage.open_flows = 0);
    }

    /// Returns the open flows on `target` that this daemon owns as primary.
    pub fn open_flow_count(&self, target: TargetId) -> u32 {
        self.usages.get(&target).map_or(0, |usage| usage.open_flows)
    }

    /// Returns the open flows of all targets that this daemon owns as primary.
    pub fn open_flows(&self) -> impl Iterator<Item = (TargetId, u64)> {
        self.usages.iter().map(|(id, usage)| (*id, u64::from(usage.open_flows)))
    }

    /// Returns the mean count of open flows per unit of effective weight.
    fn mean_load(&self, now: Instant, targets: &[&Target]) -> f64 {
        let open: u32 = targets.iter().map(|target| self.open_flow_count(target.id)).sum();
        let weight: f64 = targets.iter().map(|target| self.effective_weight(now, target)).sum();
        f64::from(open + 1) / weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the weight of a target, scaled by its ramp and class.
    fn effective_weight(&self, now: Instant, target: &Target) -> f64 {
        let full = f64::from(target.weight);
        let Some(usage) = self.usages.get(&target.id) else {
            return full;
        };
        let share = usage.ramp.map_or(1.0, |ramp| ramp.share(now, target));
        match usage.class {
            Class::Failing => 0.0,
            Class::Hot => full * share * HOT_WEIGHT_FACTOR,
            Class::Cold | Class::Normal => full * share,
        }
    }

    /// Returns whether a further flow keeps the target within the bound and its limits.
    fn is_within_load_bound(&self, now: Instant, target: &Target, load_bound: f64) -> bool {
        let open = f64::from(self.open_flow_count(target.id));
        // Without the extra flow, small counts would move most flows off their base targets.
        let bound = (load_bound * self.effective_weight(now, target).max(f64::MIN_POSITIVE)) + 1.0;
        open <= bound && self.is_within_limits(target)
    }

    /// Returns whether the target takes a flow at all.
    fn is_within_limits(&self, target: &Target) -> bool {
        let Some(usage) = self.usages.get(&target.id) else {
            return true;
        };
        usage.class != Class::Failing && usage.open_flows < self.connection_share(target)
    }

    /// Returns this daemon's part of the target's connections.
    fn connection_share(&self, target: &Target) -> u32 {
        let share = target.connections / self.holders.placer_count() as u32;
        if share >= MIN_EXACT_CONNECTIONS {
            return share;
        }
        let share = f64::from(target.connections) / self.holders.placer_count() as f64;
        (share + 3.0 * share.sqrt()).ceil() as u32
    }

    /// Places a flow that its base target cannot take on the first target of `order` within the
    /// bound, or else on the least loaded target within the limits.
    fn place_off_base(
        &mut self,
        now: Instant,
        mut order: Vec<&Target>,
        load_bound: f64,
    ) -> Option<TargetId> {
        order.retain(|target| self.is_within_limits(target));
        for target in &order {
            if self.is_within_load_bound(now, target, load_bound) && self.take_unit(now, target) {
                return Some(target.id);
            }
        }
        let load = |target: &Target| {
            let weight = self.effective_weight(now, target).max(f64::MIN_POSITIVE);
            f64::from(self.open_flow_count(target.id)) / weight
        };
        order.sort_by(|a, b| load(a).total_cmp(&load(b)));
        order.iter().find(|target| self.take_unit(now, target)).map(|target| target.id)
    }

    /// Spends a unit if the target is cold. Returns whether the flow may be placed.
    fn take_unit(&mut self, now: Instant, target: &Target) -> bool {
        let Some(ramp) = self.ramp(now, target) else {
            return true;
        };
        if now.saturating_duration_since(self.started) < self.config.join_delay {
            return false;
        }
        let units = self.holders.units_held(now, target, ramp.slots(now, target), self.own);
        let period = self.config.unit_period;
        let TargetUsage { units_taken_at, .. } = self.usages.entry(target.id).or_default();
        units_taken_at.retain(|at| now.saturating_duration_since(*at) < period);
        if units_taken_at.len() >= units {
            return false;
        }
        units_taken_at.push(now);
        true
    }

    /// Returns the ramp of a target that is still cold, and forgets one that is over.
    fn ramp(&mut self, now: Instant, target: &Target) -> Option<Ramp> {
        let usage = self.usages.get_mut(&target.id)?;
        usage.ramp = usage.ramp.filter(|ramp| !ramp.is_over(now, target));
        if usage.ramp.is_none() {
            usage.units_taken_at = Vec::new();
        }
        usage.ramp
    }
}
