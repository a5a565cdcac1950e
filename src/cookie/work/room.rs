use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
};

use hashbrown::HashMap;

use crate::{
    cookie::{
        Config, Cookie, Entry, Flow,
        work::{
            Answer, Evidence, Refusal,
            admission::Admission,
            exclusion::Exclusion,
            profile::{Outcome, Profile},
            window::Window,
        },
    },
    util,
};

/// The maximum number of routes, targets, callers, zones of a service and refused flows that are
/// remembered.
const MAXIMUM_RECORDS: usize = 10_000;

/// How long a caller's next flows avoid the targets that rejected it.
const CALLER_MEMORY: Duration = Duration::from_secs(1);

/// The number of targets that a caller's next flows avoid. Callers try again twice.
const AVOIDED_TARGETS: usize = 4;

/// The number of requests of a full queue that a target serves before it gets new flows again: half
/// of the eight that targets queue.
const DRAINED_REQUESTS: u32 = 4;

/// The share of rejections of a zone from which on a part of the flows goes to other zones.
const SPILL_SHARE: f64 = 0.25;

/// Separates the draw for admission from the draw of a service, which uses the same hash.
const ADMISSION_SALT: u64 = 0x61_646d_6974;
const SPILL_SALT: u64 = 0x73_7069_6c6c;

/// How much a target is to be avoided for a new flow; the lowest standing is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Nothing shows that the target is full.
    Usable,
    /// Many targets of its zone are full, and this flow is among the part that avoids the zone.
    FullZone,
    /// The target has rejected a request and not had the time to work off part of its queue.
    Full,
    /// The target has just rejected a request of this caller.
    RejectedCaller,
}

/// Which targets and zones are full, learned from the rejections among the answers.
///
/// Evidence older than 1 s does not count. Without evidence, every target has room and every flow is
/// admitted.
#[derive(Debug, Clone, Default)]
pub struct Room {
    profiles: HashMap<SocketAddrV4, Profile>,
    exclusions: HashMap<Cookie, Exclusion>,
    /// The targets that have rejected requests of a caller, newest last.
    rejected_callers: HashMap<(Ipv4Addr, SocketAddrV4), Vec<(Instant, Cookie)>>,
    /// The answers of each service by zone.
    windows: HashMap<Arc<str>, HashMap<Arc<str>, Window>>,
    admissions: HashMap<Arc<str>, Admission>,
    refused_flows: HashMap<Flow, RefusedFlow>,
    /// The priorities of the routes of each service in ascending order, each once.
    priorities: HashMap<Arc<str>, Vec<u32>>,
}

/// A flow whose opening packet was refused.
#[derive(Debug, Clone, Copy)]
struct RefusedFlow {
    /// The sequence number of the opening packet.
    sequence: u32,
    /// When the first copy was refused.
    refused_at: Instant,
    /// The latest copy of which this daemon has refused all earlier ones too.
    last_attempt: u32,
}

impl RefusedFlow {
    fn is_recent(&self, now: Instant, lifetime: Duration) -> bool {
        now.saturating_duration_since(self.refused_at) < lifetime
    }
}

/// Which targets a new flow avoids.
pub(in crate::cookie) struct Avoidance<'a> {
    now: Instant,
    room: &'a Room,
    /// Whether flows are refused because all zones are full. Then most targets have rejected a
    /// request, and without them all flows would go to the few that have not.
    is_refusing: bool,
    rejecting_targets: Vec<Cookie>,
    full_zones: Vec<Arc<str>>,
}

impl Avoidance<'_> {
    /// Returns the standing of a target.
    pub(in crate::cookie) fn standing(&self, entry: &Entry) -> Standing {
        if self.rejecting_targets.contains(&entry.cookie) {
            return Standing::RejectedCaller;
        }
        if !self.is_refusing && self.room.is_full(self.now, entry.cookie) {
            return Standing::Full;
        }
        match self.full_zones.contains(&entry.target.zone) {
            true => Standing::FullZone,
            false => Standing::Usable,
        }
    }
}

impl Room {
    /// Sets the configuration, which determines the priority classes of each service.
    pub fn set_config(&mut self, config: &Config) {
        self.priorities = priorities_by_service(config);
    }

    /// Records the answer of the target `entry` to a request of `flow`, and returns whether it is a
    /// rejection. `zone_daemons` is the number of daemons in the own zone.
    pub fn record(
        &mut self,
        now: Instant,
        flow: &Flow,
        answer: &Answer,
        entry: &Entry,
        zone_daemons: usize,
    ) -> bool {
        let Some(profile) = entry_within_limit(&mut self.profiles, answer.service) else {
            return false;
        };
        let Some(outcome) = profile.record(answer) else {
            return false;
        };
        let work = profile.unloaded_work().unwrap_or_default();
        if let Some(zones) = entry_within_limit(&mut self.windows, entry.target.service.clone())
            && let Some(window) = entry_within_limit(zones, entry.target.zone.clone())
        {
            window.record(now, outcome);
        }
        if let Some(admission) = self.admissions.get_mut(&entry.target.service) {
            admission.record(outcome);
        }
        match outcome {
            Outcome::Rejected => {
                // The daemons of a zone notice the full target one after the other, and each stops
                // only its own part of the flows.
                let requests = DRAINED_REQUESTS * zone_daemons.clamp(1, 1_000) as u32;
                self.exclude(now, entry.cookie, work * requests / entry.target.slots.max(1));
                self.record_rejected_caller(now, flow, entry.cookie);
                return true;
            }
            Outcome::Prompt => {
                let sent_at = now.checked_sub(answer.elapsed).unwrap_or(now);
                let exclusion = self.exclusions.get(&entry.cookie);
                if exclusion.is_some_and(|exclusion| exclusion.is_before(sent_at)) {
                    self.exclusions.remove(&entry.cookie);
                }
            }
            Outcome::Queued => {}
        }
        false
    }

    /// Returns whether a target is full.
    pub fn is_full(&self, now: Instant, cookie: Cookie) -> bool {
        self.exclusions.get(&cookie).is_some_and(|exclusion| exclusion.is_active(now))
    }

    /// Returns the full targets, each with the time since its last rejection.
    pub fn full_targets(&self, now: Instant) -> impl Iterator<Item = (Cookie, Duration)> {
        let active = self.exclusions.iter().filter(move |(_, exclusion)| exclusion.is_active(now));
        active.map(move |(cookie, exclusion)| (*cookie, exclusion.age(now)))
    }

    /// Returns which targets the new flow `flow` to `service` avoids.
    pub(in crate::cookie) fn avoidance(
        &self,
        now: Instant,
        service: &str,
        flow: &Flow,
    ) -> Avoidance<'_> {
        let rejections = self.rejected_callers.get(&(*flow.caller.ip(), flow.service));
        let rejecting_targets = rejections
            .into_iter()
            .flatten()
            .filter(|(at, _)| now.saturating_duration_since(*at) < CALLER_MEMORY)
            .map(|(_, cookie)| *cookie)
            .collect();
        // Only a part of the flows avoids a zone, so that it is not left idle.
        let spill_draw = draw(flow, SPILL_SALT);
        let full_zones = self
            .windows
            .get(service)
            .into_iter()
            .flatten()
            .filter(|(_, window)| {
                let share = window.tally(now).rejected_share();
                share >= SPILL_SHARE && spill_draw < share
            })
            .map(|(zone, _)| zone.clone())
            .collect();
        let is_refusing = self.admissions.contains_key(service);
        Avoidance { now, room: self, is_refusing, rejecting_targets, full_zones }
    }

    /// Returns whether the evidence of `zone` shows that it has no room for flows to `service`.
    pub fn is_zone_full(&self, now: Instant, service: &str, zone: &str) -> bool {
        let is_refusing = self.admissions.contains_key(service);
        let window = self.windows.get(service).and_then(|zones| zones.get(zone));
        let tally = window.map(|window| window.tally(now)).unwrap_or_default();
        if is_refusing { tally.remains_full() } else { tally.is_full() }
    }

    /// Decides whether the new flow `flow` to `service` is admitted.
    /// `zones` are all zones that the service may use, `sequence` is the sequence number of the
    /// opening packet.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] with the evidence if the flow is not admitted.
    pub fn admit(
        &mut self,
        now: Instant,
        config: &Config,
        service: &Arc<str>,
        flow: &Flow,
        sequence: u32,
        zones: &[Arc<str>],
    ) -> Result<(), Refusal> {
        if let Some(admission) = self.admissions.get_mut(service) {
            admission.update(now);
            if admission.is_complete() {
                self.admissions.remove(service);
            }
        }
        if zones.is_empty() || !zones.iter().all(|zone| self.is_zone_full(now, service, zone)) {
            return Ok(());
        }
        let rank = self.class_rank(config, service, flow.service);
        if rank == 0 {
            return Ok(());
        }
        let share = match self.admissions.get(service) {
            Some(admission) => admission.share(rank),
            None => {
                let admission = Admission::new(now, self.rejected_share(now, service));
                let share = admission.share(rank);
                self.admissions.insert(service.clone(), admission);
                share
            }
        };
        if draw(flow, ADMISSION_SALT) < share {
            return Ok(());
        }
        if self.refused_flows.len() < MAXIMUM_RECORDS {
            let refused = RefusedFlow { sequence, refused_at: now, last_attempt: 0 };
            self.refused_flows.insert(*flow, refused);
        }
        Err(self.refusal(now, service, zones, share))
    }

    /// Decides whether the copy `attempt` of an opening packet is refused, since this daemon has
    /// refused the packet within `lifetime`.
    ///
    /// Another daemon may have forwarded a copy that did not arrive here, so that a target may have
    /// opened the flow. A copy is therefore refused only if this one or the previous one was, and
    /// all before it.
    pub fn refuse_copy(
        &mut self,
        now: Instant,
        flow: &Flow,
        sequence: u32,
        attempt: u32,
        lifetime: Duration,
    ) -> bool {
        let Some(refused) = self.refused_flows.get_mut(flow) else {
            return false;
        };
        if refused.sequence != sequence || !refused.is_recent(now, lifetime) {
            return false;
        }
        if attempt > refused.last_attempt + 1 {
            // This copy is forwarded, so none that arrives later may be refused.
            self.refused_flows.remove(flow);
            return false;
        }
        refused.last_attempt = refused.last_attempt.max(attempt);
        true
    }

    /// Discards all evidence about targets and zones after a pause of the process. What is usual for
    /// the routes remains known.
    pub fn record_pause(&mut self) {
        self.exclusions.clear();
        self.rejected_callers.clear();
        self.windows.clear();
        self.admissions.clear();
    }

    /// Removes evidence that no longer counts, and the profiles of routes that `config` does not
    /// contain. `lifetime` is how long copies of an opening packet may arrive.
    pub fn sweep(&mut self, now: Instant, config: Option<&Config>, lifetime: Duration) {
        self.exclusions.retain(|_, exclusion| exclusion.is_recent(now));
        self.rejected_callers.retain(|_, rejections| {
            rejections.retain(|(at, _)| now.saturating_duration_since(*at) < CALLER_MEMORY);
            !rejections.is_empty()
        });
        self.windows.retain(|_, zones| {
            zones.retain(|_, window| !window.is_empty(now));
            !zones.is_empty()
        });
        self.admissions.retain(|service, _| self.windows.contains_key(service));
        self.refused_flows.retain(|_, refused| refused.is_recent(now, lifetime));
        if let Some(config) = config {
            self.profiles.retain(|service, _| config.routes.contains_key(service));
        }
    }

    fn exclude(&mut self, now: Instant, cookie: Cookie, drain_time: Duration) {
        let previous = self.exclusions.get(&cookie).copied();
        if previous.is_some() || self.exclusions.len() < MAXIMUM_RECORDS {
            self.exclusions.insert(cookie, Exclusion::new(now, drain_time, previous));
        }
    }

    fn record_rejected_caller(&mut self, now: Instant, flow: &Flow, cookie: Cookie) {
        let key = (*flow.caller.ip(), flow.service);
        let Some(rejections) = entry_within_limit(&mut self.rejected_callers, key) else {
            return;
        };
        rejections.retain(|(_, rejecting)| *rejecting != cookie);
        if rejections.len() >= AVOIDED_TARGETS {
            rejections.remove(0);
        }
        rejections.push((now, cookie));
    }

    /// Returns the number of priority classes of `service` that are higher than that of the route
    /// `address`.
    fn class_rank(&self, config: &Config, service: &str, address: SocketAddrV4) -> u32 {
        let own = config.routes.get(&address).map(|route| route.priority);
        let Some((own, priorities)) = own.zip(self.priorities.get(service)) else {
            return 0;
        };
        priorities.partition_point(|priority| *priority < own) as u32
    }

    /// Returns the share of rejections among the answers of all zones.
    fn rejected_share(&self, now: Instant, service: &str) -> f64 {
        let windows = self.windows.get(service).into_iter().flat_map(HashMap::values);
        let (answers, rejections) =
            windows.map(|window| window.tally(now)).fold((0, 0), |(answers, rejections), tally| {
                (answers + tally.answers, rejections + tally.rejections)
            });
        f64::from(rejections) / f64::from(answers.max(1))
    }

    fn refusal(&self, now: Instant, service: &str, zones: &[Arc<str>], share: f64) -> Refusal {
        let evidence = |zone: &Arc<str>| {
            let window = self.windows.get(service).and_then(|windows| windows.get(zone));
            let tally = window.map(|window| window.tally(now)).unwrap_or_default();
            Evidence { zone: zone.clone(), answers: tally.answers, rejections: tally.rejections }
        };
        Refusal {
            admitted_percent: (share * 100.0).round() as u32,
            zones: zones.iter().map(evidence).collect(),
        }
    }
}

/// Returns the value of `key`, inserted if the map is not full.
fn entry_within_limit<K: Eq + std::hash::Hash, V: Default>(
    map: &mut HashMap<K, V>,
    key: K,
) -> Option<&mut V> {
    if map.len() >= MAXIMUM_RECORDS {
        return map.get_mut(&key);
    }
    Some(map.entry(key).or_default())
}

/// Returns the priorities of the routes of each service in ascending order, each once.
fn priorities_by_service(config: &Config) -> HashMap<Arc<str>, Vec<u32>> {
    let mut priorities: HashMap<Arc<str>, Vec<u32>> = HashMap::new();
    for route in config.routes.values() {
        for share in &route.shares {
            priorities.entry(share.service.clone()).or_default().push(route.priority);
        }
    }
    for priorities in priorities.values_mut() {
        priorities.sort_unstable();
        priorities.dedup();
    }
    priorities
}

/// Returns a number from 0 to 1 that is the same for all copies of a flow's opening packet.
fn draw(flow: &Flow, salt: u64) -> f64 {
    let ends = [flow.caller, flow.service];
    let [caller, service] =
        ends.map(|end| u64::from(end.ip().to_bits()) << 16 | u64::from(end.port()));
    // 53 bits are the precision of the result.
    (util::score(caller ^ salt, service) >> 11) as f64 / (1_u64 << 53) as f64
}
