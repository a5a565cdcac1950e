//! State that the tasks of a run share: what operators have published, and what each target may
//! receive.

use std::{
    collections::{BTreeMap, HashSet},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use banyanwharf_testkit::Store;
use serde_json::{Value, json};

use crate::gateways::{
    config::config,
    target::{Event, EventKind, Target, store_key},
};

use super::{
    caller::OPENING_TIMEOUTS,
    delays::{Change, Publication},
    fabric::Fabric,
    fleet::Setup,
    plan::Edit,
    recorder::{Component, Recorder, Rule},
};

pub(crate) const WEB: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 80);
pub(crate) const FILES: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 8080);
/// The additional route, which each new configuration adds or removes.
pub(crate) const EXTRA: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 9000);
/// The port of a route that never exists, the first port of idle routes, and their number.
const UNROUTED_PORT: u16 = 8999;
const FIRST_IDLE_PORT: u16 = 9001;
const IDLE_ROUTES: u16 = 8;

/// The promised times until daemons follow a draining target, a zone taken out of service and a new
/// configuration.
pub(crate) const MAX_DRAIN_DELAY: Duration = Duration::from_millis(3000);
pub(crate) const MAX_EVACUATION_DELAY: Duration = Duration::from_millis(5000);
pub(crate) const MAX_CONFIG_DELAY: Duration = Duration::from_millis(3000);

/// How long after the effect of a configuration a daemon may still follow an older one, and the
/// factor for a disturbed daemon.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
const DISTURBED_ROLLBACK_FACTOR: u32 = 8;

/// The new flows a second that a cold target supports, the factor and the additional flows that
/// daemons may exceed it by, and how long a target stays cold. The callers of a zone open about
/// four flows a second.
const COLD_RATE: f64 = 2.0;
pub(crate) const COLD_FACTOR: f64 = 1.0;
pub(crate) const COLD_SLACK: f64 = 0.0;
pub(crate) const COLD_PERIOD: Duration = Duration::from_millis(2000);

/// The step between configuration versions. It is more than 1, since versions may skip numbers.
const VERSION_STEP: u64 = 3;

/// What a target may receive.
#[derive(Debug, Clone)]
struct ExpectedTarget {
    service: String,
    zone: String,
    draining_since: Option<Instant>,
    cold_until: Instant,
    /// When the opening packets that arrived while the target was cold were sent, by caller.
    cold_openings: BTreeMap<(Ipv4Addr, u16), Instant>,
}

/// A configuration.
#[derive(Debug, Clone)]
struct Config {
    version: u64,
    /// The services with their weights by the port of a route.
    routes: BTreeMap<u16, Vec<(&'static str, f64)>>,
    idle_timeout_ms: u64,
    published_at: Instant,
}

impl Config {
    fn allows(&self, port: u16, service: &str) -> bool {
        self.routes.get(&port).is_some_and(|shares| shares.iter().any(|(name, _)| *name == service))
    }
}

#[derive(Debug, Default)]
struct Published {
    /// All configurations, oldest first.
    configs: Vec<Config>,
    zones_out: BTreeMap<String, Instant>,
}

impl Published {
    /// Returns the configurations that an undisturbed daemon may follow from `from` on.
    fn in_force(&self, from: Instant) -> impl Iterator<Item = &Config> {
        let ends = self.configs.iter().skip(1).map(|next| Some(next.published_at));
        self.configs.iter().zip(ends.chain([None])).filter_map(move |(config, end)| {
            end.is_none_or(|end| from <= end + MAX_CONFIG_DELAY).then_some(config)
        })
    }

    fn ever_allows(&self, port: u16, service: &str) -> bool {
        self.configs.iter().any(|config| config.allows(port, service))
    }
}

/// The effect of a configuration that a target has seen: the daemon, the number of its process, the
/// index of the configuration, and when.
type SeenEffect = (u8, usize, usize, Instant);

/// State that the tasks of a run share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) port: u16,
    pub(crate) setup: Setup,
    pub(crate) store: Store,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) fabric: Arc<Fabric>,
    pub(crate) running_targets: Mutex<Vec<Target>>,
    /// The number of outages of the store at the moment.
    pub(crate) active_outages: AtomicU64,
    pub(crate) publications: Mutex<Vec<Publication>>,
    expected_targets: Mutex<BTreeMap<u64, ExpectedTarget>>,
    published: Mutex<Published>,
    seen_effects: Mutex<Vec<SeenEffect>>,
}

/// Returns the number of the daemon with this address.
pub(crate) fn daemon_number(address: SocketAddr) -> Option<u8> {
    daemon_number_of(address.ip())
}

fn daemon_number_of(ip: IpAddr) -> Option<u8> {
    let IpAddr::V4(ip) = ip else { return None };
    let [_, _, network, number] = ip.octets();
    (network == 8 && number > 0).then_some(number)
}

impl Shared {
    pub(crate) fn new(port: u16, setup: Setup) -> Shared {
        Shared {
            port,
            store: Store::start().expect("the store starts"),
            recorder: Arc::new(Recorder::new()),
            fabric: Arc::new(Fabric::new(port, setup.fleet)),
            setup,
            running_targets: Mutex::default(),
            active_outages: AtomicU64::new(0),
            publications: Mutex::default(),
            expected_targets: Mutex::default(),
            published: Mutex::default(),
            seen_effects: Mutex::default(),
        }
    }

    /// Publishes the first configuration.
    pub(crate) fn publish_first_config(&self) {
        let mut routes =
            BTreeMap::from([(WEB.1, vec![("web", 1.0)]), (FILES.1, vec![("files", 1.0)])]);
        if self.setup.fleet.follows_operators {
            let idle = FIRST_IDLE_PORT..FIRST_IDLE_PORT + IDLE_ROUTES;
            routes.extend(idle.map(|port| (port, vec![("web", 1.0)])));
        } else {
            routes.insert(EXTRA.1, vec![("web", 1.0)]);
        }
        let published_at = Instant::now();
        let config =
            Config { version: VERSION_STEP, routes, idle_timeout_ms: 15_000, published_at };
        self.publish(&mut self.published.lock().expect("the lock is not poisoned"), config);
    }

    /// Publishes a configuration with the additional route if the previous one did not have it.
    pub(crate) fn publish_config(&self) {
        self.publish_change(|config| {
            if config.routes.remove(&EXTRA.1).is_none() {
                config.routes.insert(EXTRA.1, vec![("web", 1.0)]);
            }
        });
    }

    /// Publishes a configuration with a change as the users' operators make it.
    pub(crate) fn publish_edit(&self, edit: Edit) {
        self.publish_change(|config| match edit {
            Edit::Routes => {
                let Some(newest) = config.routes.keys().next_back().copied() else { return };
                config.routes.remove(&(newest + 1 - IDLE_ROUTES));
                config.routes.insert(newest + 1, vec![("web", 1.0)]);
            }
            Edit::Weights => {
                let is_split = config.routes[&WEB.1].len() > 1;
                let split = vec![("web", 0.95), ("files", 0.05)];
                config.routes.insert(WEB.1, if is_split { vec![("web", 1.0)] } else { split });
            }
            Edit::Limits => config.idle_timeout_ms = 29_000 - config.idle_timeout_ms,
        });
    }

    fn publish_change(&self, change: impl FnOnce(&mut Config)) {
        let mut published = self.published.lock().expect("the lock is not poisoned");
        let mut config = published.configs.last().expect("the first is published").clone();
        config.version += VERSION_STEP;
        change(&mut config);
        self.publish(&mut published, config);
    }

    fn publish(&self, published: &mut Published, mut config: Config) {
        self.write_config(&config);
        config.published_at = Instant::now();
        let (version, routes) = (config.version, &config.routes);
        self.recorder.record_event(format!("configuration version {version}: {routes:?}"));
        published.configs.push(config);
        self.record_publication(Change::Config(version));
    }

    fn write_config(&self, config: &Config) {
        let routes: Vec<(u16, &str)> =
            config.routes.iter().map(|(port, shares)| (*port, shares[0].0)).collect();
        let mut document = self::config(config.version, &routes, COLD_RATE);
        for (index, shares) in config.routes.values().enumerate().filter(|(_, s)| s.len() > 1) {
            let shares =
                shares.iter().map(|(name, weight)| json!({ "service": name, "weight": weight }));
            document["routes"][index]["split"] = shares.collect();
        }
        document["limits"]["idleTimeoutMs"] = config.idle_timeout_ms.into();
        self.store.put("op/config", document.to_string().as_bytes());
    }

    /// Writes again what operators and running targets have written and the store does not hold.
    pub(crate) fn write_lost_again(&self) {
        let published = self.published.lock().expect("the lock is not poisoned");
        let stored = self.store.content("op/config").unwrap_or_default();
        let stored: Value = serde_json::from_slice(&stored).unwrap_or_default();
        if let Some(config) = published.configs.last()
            && stored["version"] != config.version
        {
            self.write_config(config);
        }
        for zone in self.setup.fleet.zones {
            let key = format!("op/evacuate/{zone}");
            let is_stored = self.store.content(&key).is_some();
            match (published.zones_out.contains_key(*zone), is_stored) {
                (true, false) => self.store.put(&key, b"{}"),
                (false, true) => self.store.remove(&key),
                (true, true) | (false, false) => {}
            }
        }
        drop(published);
        let ready = self.ready_targets();
        for target in self.running_targets.lock().expect("the lock is not poisoned").iter() {
            let state = if ready.contains(&target.number) { "ready" } else { "draining" };
            if target.is_entry_stored(&self.store) {
                continue;
            }
            match state {
                "ready" => self.renew_entry(target),
                _ => target.register(&self.store, state),
            }
        }
    }

    /// Removes the entries of targets below the number `end` that do not run.
    pub(crate) fn remove_expired_entries(&self, end: u64) {
        let running = self.running_targets.lock().expect("the lock is not poisoned");
        let running: HashSet<String> = running.iter().map(Target::store_key).collect();
        for key in (1..end).map(store_key).filter(|key| !running.contains(key)) {
            if self.store.content(&key).is_some() {
                self.store.remove(&key);
            }
        }
    }

    fn record_publication(&self, change: Change) {
        let publication = Publication::new((self.store.era(), self.store.revision()), change);
        self.publications.lock().expect("the lock is not poisoned").push(publication);
    }

    pub(crate) fn config_version(&self) -> u64 {
        let published = self.published.lock().expect("the lock is not poisoned");
        published.configs.last().map_or(0, |config| config.version)
    }

    /// Returns the service addresses of the two routes added last, of the two dropped last and of one
    /// that never exists.
    pub(crate) fn direct_routes(&self) -> Vec<(Ipv4Addr, u16)> {
        let published = self.published.lock().expect("the lock is not poisoned");
        let Some(config) = published.configs.last() else { return Vec::new() };
        let newest = config.routes.keys().next_back().copied().unwrap_or_default();
        let oldest = newest + 1 - IDLE_ROUTES;
        let ports = [newest, newest - 1, oldest - 1, oldest - 2, UNROUTED_PORT];
        ports.into_iter().map(|port| (WEB.0, port)).collect()
    }

    /// Takes a zone out of service. Returns false if it already was.
    pub(crate) fn take_zone_out(&self, zone: &str) -> bool {
        let mut published = self.published.lock().expect("the lock is not poisoned");
        if published.zones_out.contains_key(zone) {
            return false;
        }
        self.store.put(&format!("op/evacuate/{zone}"), b"{}");
        published.zones_out.insert(zone.to_owned(), Instant::now());
        self.record_publication(Change::Evacuation(zone.to_owned()));
        true
    }

    pub(crate) fn return_zone(&self, zone: &str) {
        let mut published = self.published.lock().expect("the lock is not poisoned");
        published.zones_out.remove(zone);
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns whether a service address is routed now and, at every undisturbed daemon, was routed
    /// at `at`.
    pub(crate) fn is_routed(&self, address: (Ipv4Addr, u16), at: Instant) -> bool {
        let published = self.published.lock().expect("the lock is not poisoned");
        published.in_force(at).all(|config| config.routes.contains_key(&address.1))
    }

    /// Returns whether every configuration so far has routed a service address.
    pub(crate) fn is_lasting_route(&self, address: (Ipv4Addr, u16)) -> bool {
        let published = self.published.lock().expect("the lock is not poisoned");
        published.configs.iter().all(|config| config.routes.contains_key(&address.1))
    }

    /// Returns whether any configuration allows a target to serve a service address.
    pub(crate) fn may_serve(&self, target: u64, address: (Ipv4Addr, u16)) -> bool {
        let expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
        let published = self.published.lock().expect("the lock is not poisoned");
        let service = expected_targets.get(&target).map(|expected| &*expected.service);
        service.is_some_and(|service| published.ever_allows(address.1, service))
    }

    /// Records a started target, cold if `is_cold`, and writes its entry.
    pub(crate) fn register_started(&self, target: &Target, is_cold: bool) {
        let now = Instant::now();
        let expected = ExpectedTarget {
            service: target.service.clone(),
            zone: target.zone.clone(),
            draining_since: None,
            cold_until: if is_cold { now + COLD_PERIOD } else { now },
            cold_openings: BTreeMap::new(),
        };
        self.expected_targets
            .lock()
            .expect("the lock is not poisoned")
            .insert(target.number, expected);
        let (state, cold) = ("ready", if is_cold { COLD_PERIOD } else { Duration::ZERO });
        target.register_cold(&self.store, state, cold.as_millis() as u64);
    }

    /// Writes the entry of a ready target again.
    pub(crate) fn renew_entry(&self, target: &Target) {
        let expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
        let cold_until = expected_targets.get(&target.number).map(|expected| expected.cold_until);
        let cold = cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        let cold = cold.unwrap_or_default().as_millis() as u64;
        target.register_cold(&self.store, "ready", cold);
    }

    pub(crate) fn start_draining(&self, target: &Target) {
        target.register(&self.store, "draining");
        if let Some(expected) =
            self.expected_targets.lock().expect("the lock is not poisoned").get_mut(&target.number)
        {
            expected.draining_since = Some(Instant::now());
        }
        let published = self.published.lock().expect("the lock is not poisoned");
        // Daemons log no change of a target that its zone already makes unusable.
        if !published.zones_out.contains_key(&target.zone) {
            self.record_publication(Change::Draining(target.id.clone()));
        }
    }

    /// Removes the entry of a target that has drained.
    pub(crate) fn deregister(&self, target: &Target) {
        target.deregister(&self.store);
        self.record_publication(Change::Removed(target.id.clone()));
    }

    /// Makes the ready targets of a zone cold.
    pub(crate) fn mark_zone_cold(&self, zone: &str) {
        let running_targets = self.running_targets.lock().expect("the lock is not poisoned");
        let is_ready = |number| {
            let expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
            expected_targets.get(&number).is_some_and(|expected| expected.draining_since.is_none())
        };
        for target in
            running_targets.iter().filter(|target| target.zone == zone && is_ready(target.number))
        {
            self.register_started(target, true);
        }
    }

    /// Returns whether no daemon can know the state: the store is down and no daemon is in
    /// rotation.
    pub(crate) fn is_state_unavailable(&self) -> bool {
        self.active_outages.load(Ordering::SeqCst) > 0 && self.fabric.ready_daemons().is_empty()
    }

    /// Checks the events of all running targets.
    pub(crate) fn check_targets(&self) {
        for target in self.running_targets.lock().expect("the lock is not poisoned").iter() {
            self.check_target(target);
        }
    }

    /// Checks the events of a target since the last check.
    pub(crate) fn check_target(&self, target: &Target) {
        let events =
            std::mem::take(&mut *target.record.events.lock().expect("the lock is not poisoned"));
        for event in events {
            match &event.kind {
                EventKind::Executed(data) => {
                    let request = String::from_utf8_lossy(data).parse().unwrap_or_default();
                    self.recorder.record_execution(request, target.number);
                }
                EventKind::Opening { retransmissions, sequence } => {
                    let timeouts: Duration =
                        OPENING_TIMEOUTS.iter().take(*retransmissions as usize).sum();
                    let sent = self.recorder.instant_at(u64::from(*sequence)) + timeouts;
                    self.check_opening(target.number, &event, sent);
                }
            }
        }
    }

    fn check_opening(&self, number: u64, event: &Event, sent: Instant) {
        let mut expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
        let Some(expected) = expected_targets.get_mut(&number) else {
            return;
        };
        let mut broken = Vec::new();
        let published = self.published.lock().expect("the lock is not poisoned");
        if !published.ever_allows(event.service.1, &expected.service) {
            broken.push((Rule::Route, "the target belongs to another service".to_owned()));
        }
        let is_late =
            |since: Instant, bound| event.at > since + bound && sent > since && sent <= event.at;
        let daemon = daemon_number_of(event.daemon);
        let is_daemon_undisturbed = daemon
            .is_some_and(|daemon| self.recorder.is_daemon_undisturbed(daemon, sent, event.at));
        if is_daemon_undisturbed {
            if expected.draining_since.is_some_and(|since| is_late(since, MAX_DRAIN_DELAY)) {
                broken.push((Rule::Drain, "the target is draining".to_owned()));
            }
            if published
                .zones_out
                .get(&expected.zone)
                .is_some_and(|since| is_late(*since, MAX_EVACUATION_DELAY))
            {
                broken.push((Rule::Evac, "its zone is out of service".to_owned()));
            }
        }
        let allows = |config: &Config| config.allows(event.service.1, &expected.service);
        let allowing: Vec<usize> = (0..published.configs.len())
            .filter(|index| allows(&published.configs[*index]))
            .collect();
        if let (Some(daemon), [first, .., last] | [first @ last]) = (daemon, &allowing[..]) {
            let version = published.configs[*last].version;
            if is_daemon_undisturbed && !published.in_force(sent).any(allows) {
                let text = format!("only version {version} or older allows it");
                broken.push((Rule::Config, text));
            }
            if self.went_back(daemon, event.at, sent, *first, *last) {
                let text = format!("back to version {version} or older");
                broken.push((Rule::Config, text));
            }
        }
        drop(published);
        if event.at < expected.cold_until {
            expected.cold_openings.entry(event.caller).or_insert(sent);
            // It suffices to check windows that end with an arrival, since the last arrival of any
            // overfull window ends such a window.
            let window_start = event.at.checked_sub(Duration::from_secs(1));
            let is_inside = |sent: &&Instant| Some(**sent) > window_start;
            let count = expected.cold_openings.values().filter(is_inside).count();
            if count as f64 > COLD_RATE * COLD_FACTOR + COLD_SLACK {
                let text = format!("the target is cold and got {count} of them in a second");
                broken.push((Rule::Failback, text));
            }
        }
        for (rule, what) in broken {
            let ((caller, port), (_, service)) = (event.caller, event.service);
            let (by, sent) = (event.daemon, self.recorder.millis_since_start(sent));
            let EventKind::Opening { retransmissions, .. } = event.kind else { continue };
            let text = format!(
                "{caller}:{port}>{service}: daemon {by} sent opening packet {retransmissions} of \
                 {sent} ms to target {number}: {what}"
            );
            self.recorder.record_violation(rule, text);
        }
    }

    /// Records that a target has seen the effect of the configuration with the index `first` by a
    /// packet that is handled as no configuration after `last` allows. Returns whether the process
    /// of the daemon had followed a later one before.
    fn went_back(&self, daemon: u8, at: Instant, sent: Instant, first: usize, last: usize) -> bool {
        let process = self.recorder.starts_until(daemon, at);
        let is_undisturbed = self.recorder.is_undisturbed(
            sent,
            at,
            |component| matches!(component, Component::Daemon(number) if *number == daemon),
        );
        let factor = if is_undisturbed { 1 } else { DISTURBED_ROLLBACK_FACTOR };
        let mut seen_effects = self.seen_effects.lock().expect("the lock is not poisoned");
        let went_back = seen_effects.iter().any(|(by, of, index, seen)| {
            (*by, *of) == (daemon, process)
                && *index > last
                && sent > *seen + ROLLBACK_SLACK * factor
        });
        if first > 0 {
            seen_effects.push((daemon, process, first, at));
        }
        went_back
    }

    /// Returns the targets that do not drain.
    pub(crate) fn ready_targets(&self) -> HashSet<u64> {
        let expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
        let ready =
            expected_targets.iter().filter(|(_, expected)| expected.draining_since.is_none());
        ready.map(|(number, _)| *number).collect()
    }
}
