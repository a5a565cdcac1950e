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

/// The factor by which the weight of a hot target is reduced.
const HOT_WEIGHT_FACTOR: f64 = 0.5;

/// The smallest share of a target's connections that is enforced exactly.
///
/// Below it a daemon may exceed its share by three standard deviations. Flows are distributed over
/// the daemons at random, so with small shares an exact limit would refuse flows while the target
/// still has room. If the target then refuses a connection, the flow is placed again.
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
    /// Creates a placer without flows for the local member `own`. The `seed` keys the hash of the
    /// limiter for callers.
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

    /// Sets the route table. Targets that are added to a known service are treated as cold.
    ///
    /// The first targets of a service are not treated as cold. Otherwise a daemon that has just
    /// started, or one that learns of a new service, would refuse most flows for the length of
    /// the ramp. If these targets have in fact just started, their load endpoints or resets of
    /// their flows show that.
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

    /// Checks a new flow of `caller` against the rate limits and counts the flow if admitted.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::CallerLimit`] if the daemon has reached its limit and the caller its
    /// share.
    pub fn admit(&mut self, now: Instant, caller: IpAddr) -> Result<(), Refusal> {
        let Config { new_flows_per_second: limit, caller_share: share, .. } = self.config;
        if self.callers.admit(now, caller, limit, share) {
            Ok(())
        } else {
            Err(Refusal::CallerLimit)
        }
    }

    /// Chooses the target of a new flow, without the targets in `excluded`.
    ///
    /// If the target is cold, one of its units is taken immediately. The flow itself is not
    /// counted before [`Placer::record_open`].
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target can accept the flow.
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

    /// Reserves room on `target` for a new flow that cannot be placed on another target, and takes
    /// a unit if the target is cold. Returns whether the target can accept the flow.
    pub fn reserve(&mut self, now: Instant, target: &Target) -> bool {
        self.is_within_limits(target) && self.take_unit(now, target)
    }

    /// Counts an open flow on `target` of which this daemon is the primary owner.
    pub fn record_open(&mut self, target: TargetId) {
        self.usages.entry(target).or_default().open_flows += 1;
    }

    /// Removes a flow from the count because the flow has ended or has another primary owner.
    pub fn record_close(&mut self, target: TargetId) {
        if let Some(usage) = self.usages.get_mut(&target) {
            usage.open_flows = usage.open_flows.saturating_sub(1);
        }
    }

    /// Sets the counts of open flows to zero before a recount.
    pub fn reset_open_flows(&mut self) {
        self.usages.values_mut().for_each(|usage| usage.open_flows = 0);
    }

    /// Returns the number of open flows on `target` of which this daemon is the primary owner.
    pub fn open_flow_count(&self, target: TargetId) -> u32 {
        self.usages.get(&target).map_or(0, |usage| usage.open_flows)
    }

    /// Returns for each target the number of open flows of which this daemon is the primary owner.
    pub fn open_flows(&self) -> impl Iterator<Item = (TargetId, u64)> {
        self.usages.iter().map(|(id, usage)| (*id, u64::from(usage.open_flows)))
    }

    /// Returns the mean number of open flows per effective weight, including the new flow.
    fn mean_load(&self, now: Instant, targets: &[&Target]) -> f64 {
        let open: u32 = targets.iter().map(|target| self.open_flow_count(target.id)).sum();
        let weight: f64 = targets.iter().map(|target| self.effective_weight(now, target)).sum();
        f64::from(open + 1) / weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the weight of a target, scaled by its ramp and its load class.
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

    /// Returns whether the target can accept a further flow within the load bound and its limits.
    fn is_within_load_bound(&self, now: Instant, target: &Target, load_bound: f64) -> bool {
        let open = f64::from(self.open_flow_count(target.id));
        // Without this extra flow, most flows would miss their base target while counts are small.
        let bound = (load_bound * self.effective_weight(now, target).max(f64::MIN_POSITIVE)) + 1.0;
        open <= bound && self.is_within_limits(target)
    }

    /// Returns whether the target is not failing and has connections left for this daemon.
    fn is_within_limits(&self, target: &Target) -> bool {
        let Some(usage) = self.usages.get(&target.id) else {
            return true;
        };
        usage.class != Class::Failing && usage.open_flows < self.connection_share(target)
    }

    /// Returns this daemon's share of the target's connections.
    fn connection_share(&self, target: &Target) -> u32 {
        let share = target.connections / self.holders.placer_count() as u32;
        if share >= MIN_EXACT_CONNECTIONS {
            return share;
        }
        let share = f64::from(target.connections) / self.holders.placer_count() as f64;
        (share + 3.0 * share.sqrt()).ceil() as u32
    }

    /// Places a flow that its base target cannot accept. The flow goes to the first target in
    /// `order` within the load bound, or else to the least loaded target within its limits.
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

    /// Takes a unit if the target is cold. Returns whether the flow may be placed, which for a cold
    /// target is the case only if a unit of this daemon was free.
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

    /// Returns the ramp of a target in slow start, and removes a ramp that has ended.
    fn ramp(&mut self, now: Instant, target: &Target) -> Option<Ramp> {
        let usage = self.usages.get_mut(&target.id)?;
        usage.ramp = usage.ramp.filter(|ramp| !ramp.is_over(now, target));
        if usage.ramp.is_none() {
            usage.units_taken_at = Vec::new();
        }
        usage.ramp
    }
}
