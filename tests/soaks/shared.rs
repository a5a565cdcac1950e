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

use crate::gateways::{
    config::config,
    target::{Event, EventKind, Target},
};

use super::{caller::OPENING_TIMEOUTS, fabric::Fabric, plan::DAEMONS, recorder::Recorder};

pub(crate) const WEB: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 80);
pub(crate) const FILES: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 8080);
/// The additional route, which each new configuration adds or removes.
pub(crate) const EXTRA: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 9000);

/// The promised times until daemons follow a draining target, a zone taken out of service and a new
/// configuration.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(3000);
const MAX_EVACUATION_DELAY: Duration = Duration::from_millis(5000);
const MAX_CONFIG_DELAY: Duration = Duration::from_millis(3000);

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

#[derive(Debug, Default)]
struct Published {
    version: u64,
    has_extra_route: bool,
    /// When the additional route was last added or removed.
    extra_changed_at: Option<Instant>,
    zones_out: BTreeMap<String, Instant>,
}

/// State that the tasks of a run share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) port: u16,
    pub(crate) store: Store,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) fabric: Arc<Fabric>,
    pub(crate) running_targets: Mutex<Vec<Target>>,
    /// The number of outages of the store at the moment.
    pub(crate) active_outages: AtomicU64,
    expected_targets: Mutex<BTreeMap<u64, ExpectedTarget>>,
    published: Mutex<Published>,
}

/// Returns the number of the daemon with this address.
pub(crate) fn daemon_number(address: SocketAddr) -> Option<u8> {
    daemon_number_of(address.ip())
}

fn daemon_number_of(ip: IpAddr) -> Option<u8> {
    let IpAddr::V4(ip) = ip else { return None };
    let [_, _, network, number] = ip.octets();
    (network == 8 && DAEMONS.iter().any(|(known, _)| *known == number)).then_some(number)
}

impl Shared {
    pub(crate) fn new(port: u16) -> Shared {
        Shared {
            port,
            store: Store::start().expect("the store starts"),
            recorder: Arc::new(Recorder::new()),
            fabric: Arc::new(Fabric::new(port)),
            running_targets: Mutex::default(),
            active_outages: AtomicU64::new(0),
            expected_targets: Mutex::default(),
            published: Mutex::default(),
        }
    }

    /// Publishes a new configuration, with the additional route if the previous one did not have
    /// it.
    pub(crate) fn publish_config(&self) {
        let mut published = self.published.lock().expect("the lock is not poisoned");
        published.version += VERSION_STEP;
        published.has_extra_route = !published.has_extra_route;
        published.extra_changed_at = Some(Instant::now());
        let mut routes = vec![(WEB.1, "web"), (FILES.1, "files")];
        routes.extend(published.has_extra_route.then_some((EXTRA.1, "web")));
        let document = config(published.version, &routes, COLD_RATE);
        self.store.put("op/config", document.to_string().as_bytes());
        self.recorder.record_event(format!(
            "configuration version {}, additional route {}",
            published.version, published.has_extra_route
        ));
    }

    pub(crate) fn config_version(&self) -> u64 {
        self.published.lock().expect("the lock is not poisoned").version
    }

    /// Takes a zone out of service. Returns false if it already was.
    pub(crate) fn take_zone_out(&self, zone: &str) -> bool {
        let mut published = self.published.lock().expect("the lock is not poisoned");
        if published.zones_out.contains_key(zone) {
            return false;
        }
        self.store.put(&format!("op/evacuate/{zone}"), b"{}");
        published.zones_out.insert(zone.to_owned(), Instant::now());
        true
    }

    pub(crate) fn return_zone(&self, zone: &str) {
        let mut published = self.published.lock().expect("the lock is not poisoned");
        published.zones_out.remove(zone);
        self.store.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns the service that a service address belongs to in every configuration that routes it.
    pub(crate) fn service_at(&self, address: (Ipv4Addr, u16)) -> &'static str {
        if address == FILES { "files" } else { "web" }
    }

    /// Returns whether a service address is routed now and, at every undisturbed daemon, was routed
    /// at `at`.
    pub(crate) fn is_routed(&self, address: (Ipv4Addr, u16), at: Instant) -> bool {
        let published = self.published.lock().expect("the lock is not poisoned");
        address != EXTRA
            || published.has_extra_route
                && published.extra_changed_at.is_some_and(|since| at > since + MAX_CONFIG_DELAY)
    }

    /// Returns whether a target belongs to a service.
    pub(crate) fn belongs_to(&self, target: u64, service: &str) -> bool {
        let expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
        expected_targets.get(&target).is_some_and(|expected| expected.service == service)
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
        self.active_outages.load(Ordering::SeqCst) > 0
            && !DAEMONS.iter().any(|(number, _)| self.fabric.is_in_rotation(*number))
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
        if expected.service != self.service_at(event.service) {
            broken.push("the target belongs to another service".to_owned());
        }
        let is_late =
            |since: Instant, bound| event.at > since + bound && sent > since && sent <= event.at;
        let daemon = daemon_number_of(event.daemon);
        let is_daemon_undisturbed = daemon
            .is_some_and(|daemon| self.recorder.is_daemon_undisturbed(daemon, sent, event.at));
        if is_daemon_undisturbed {
            if expected.draining_since.is_some_and(|since| is_late(since, MAX_DRAIN_DELAY)) {
                broken.push("the target is draining".to_owned());
            }
            let published = self.published.lock().expect("the lock is not poisoned");
            if published
                .zones_out
                .get(&expected.zone)
                .is_some_and(|since| is_late(*since, MAX_EVACUATION_DELAY))
            {
                broken.push("its zone is out of service".to_owned());
            }
            let is_dropped = event.service == EXTRA && !published.has_extra_route;
            if is_dropped
                && published.extra_changed_at.is_some_and(|at| sent > at + MAX_CONFIG_DELAY)
            {
                broken.push("the route was removed".to_owned());
            }
        }
        if event.at < expected.cold_until {
            expected.cold_openings.entry(event.caller).or_insert(sent);
            // It suffices to check windows that end with an arrival, since the last arrival of any
            // overfull window ends such a window.
            let window_start = event.at.checked_sub(Duration::from_secs(1));
            let is_inside = |sent: &&Instant| Some(**sent) > window_start;
            let count = expected.cold_openings.values().filter(is_inside).count();
            if count as f64 > COLD_RATE * COLD_FACTOR + COLD_SLACK {
                broken.push(format!("the target is cold and got {count} of them in a second"));
            }
        }
        for what in broken {
            let (caller, port) = event.caller;
            let by = event.daemon;
            let text = format!(
                "{caller}:{port}: daemon {by} sent an opening packet to target {number}: {what}"
            );
            self.recorder.record_violation(text);
        }
    }

    /// Returns the targets that do not drain.
    pub(crate) fn ready_targets(&self) -> HashSet<u64> {
        let expected_targets = self.expected_targets.lock().expect("the lock is not poisoned");
        let ready =
            expected_targets.iter().filter(|(_, expected)| expected.draining_since.is_none());
        ready.map(|(number, _)| *number).collect()
    }
}
