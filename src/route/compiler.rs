use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    flow::Protocol,
    route::{Generation, Issue, Service, Table, Target},
    ticket::{
        self, Content, MAX_GENERATIONS, Number, ObjectKey, Policy, ServiceState, State, TargetId,
        TargetState,
    },
};

/// How long a target address is not used for another service after this daemon learned that its
/// former service no longer has it.
///
/// A ticket is in force in all daemons within 19 s. The rest of the 60 s covers daemons that were
/// paused or unreachable for a while and still send packets of the former service.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(60);

/// A target address that another service must not use yet, because daemons may still send packets
/// of the former service to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quarantine {
    /// The address.
    pub address: SocketAddr,
    /// The service that had the address.
    pub former_service: Arc<str>,
    /// The time from which another service may use the address.
    pub until: Instant,
}

/// The result of a compilation.
#[derive(Debug, Clone)]
pub struct Compilation {
    /// The table.
    pub table: Arc<Table>,
    /// The problems in the state that were resolved.
    pub issues: Vec<Issue>,
    /// When the next quarantine ends and the state must be compiled again; `None` without one.
    pub recompile_at: Option<Instant>,
}

/// Compiles the ticket state into the lookup tables of the packet path.
///
/// Each change compiles the whole state. At the design size this takes a few ms, and there is a
/// new ticket every 66 s. The compiler remembers which service had which target address, because
/// an address is quarantined from the time at which this daemon learns that its service changes.
#[derive(Debug, Clone, Default)]
pub struct Compiler {
    /// The service that each target address belongs to under the last compiled state.
    address_owners: HashMap<SocketAddr, Arc<str>>,
    /// The target addresses that a service has lost, with that service and the time at which this
    /// daemon learned of the loss.
    released_addresses: HashMap<SocketAddr, (Arc<str>, Instant)>,
}

impl Compiler {
    /// Creates a compiler without a previous state.
    pub fn new() -> Compiler {
        Compiler::default()
    }

    /// Returns the addresses in quarantine, sorted by address, to send to a member that joins.
    pub fn quarantines(&self, now: Instant) -> Vec<Quarantine> {
        let mut quarantines: Vec<Quarantine> = self
            .released_addresses
            .iter()
            .map(|(address, (former_service, since))| Quarantine {
                address: *address,
                former_service: former_service.clone(),
                until: *since + QUARANTINE_PERIOD,
            })
            .filter(|quarantine| quarantine.until > now)
            .collect();
        quarantines.sort_unstable_by_key(|quarantine| quarantine.address);
        quarantines
    }

    /// Adds the quarantines that another member knows. A daemon that has just started has no
    /// previous state from which to derive them.
    pub fn merge_quarantines(&mut self, quarantines: Vec<Quarantine>) {
        for quarantine in quarantines {
            let Some(since) = quarantine.until.checked_sub(QUARANTINE_PERIOD) else {
                continue;
            };
            let entry = self
                .released_addresses
                .entry(quarantine.address)
                .or_insert((quarantine.former_service, since));
            entry.1 = entry.1.max(since);
        }
    }

    /// Compiles `state` and starts a quarantine for each target address that a service has lost.
    pub fn compile(&mut self, now: Instant, state: &State) -> Compilation {
        let mut issues = Vec::new();
        let mut services: Vec<(Number, &ticket::Service)> =
            state.services().filter(|(_, service)| service.state == ServiceState::Active).collect();
        // If two services use an address, the one with the lower ticket number gets the address.
        services.sort_unstable_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        let address_owners = assign_target_addresses(&services, &mut issues);
        self.record_released(now, &address_owners);
        let zones_out: BTreeSet<&Arc<str>> = state.zones_out().collect();
        let mut addresses = HashMap::new();
        let mut table = Table::new();
        for (_, service) in &services {
            let owned = assign_service_addresses(service, &mut addresses, &mut issues);
            let targets: Vec<Target> = service
                .targets
                .iter()
                .map(|target| {
                    let is_owner = address_owners.get(&target.address) == Some(&service.name);
                    let quarantined =
                        !is_owner || self.is_quarantined(target.address, &service.name);
                    let zone_out = zones_out.contains(&target.zone);
                    compile_target(service, target, zone_out, quarantined)
                })
                .collect();
            let compiled = Service {
                name: service.name.clone(),
                policy: resolve_policy(service, state, &mut issues),
                targets: targets.iter().map(|target| target.id).collect(),
                generations: compile_generations(state, service, &targets),
            };
            table.insert(compiled, &owned, targets);
        }
        self.address_owners = address_owners;
        Compilation {
            table: Arc::new(table),
            issues,
            recompile_at: self.next_quarantine_end(&services),
        }
    }

    /// Records the addresses that their service has lost since the last compiled state.
    fn record_released(&mut self, now: Instant, address_owners: &HashMap<SocketAddr, Arc<str>>) {
        self.released_addresses.retain(|_, (_, since)| *since + QUARANTINE_PERIOD > now);
        for (address, former_service) in &self.address_owners {
            if address_owners.get(address) != Some(former_service) {
                self.released_addresses.insert(*address, (former_service.clone(), now));
            }
        }
    }

    fn is_quarantined(&self, address: SocketAddr, service: &Arc<str>) -> bool {
        self.released_addresses
            .get(&address)
            .is_some_and(|(former_service, _)| former_service != service)
    }

    /// Returns the earliest end of the quarantines of addresses that another service claims.
    fn next_quarantine_end(&self, services: &[(Number, &ticket::Service)]) -> Option<Instant> {
        if self.released_addresses.is_empty() {
            return None;
        }
        let targets = services.iter().flat_map(|(_, service)| {
            let targets = service.targets.iter();
            targets.filter(|target| self.is_quarantined(target.address, &service.name))
        });
        targets
            .filter_map(|target| self.released_addresses.get(&target.address))
            .map(|(_, since)| *since + QUARANTINE_PERIOD)
            .min()
    }
}

/// Assigns each target address to the first service in `services` that claims it.
fn assign_target_addresses(
    services: &[(Number, &ticket::Service)],
    issues: &mut Vec<Issue>,
) -> HashMap<SocketAddr, Arc<str>> {
    let mut address_owners: HashMap<SocketAddr, Arc<str>> = HashMap::new();
    for (_, service) in services {
        for target in &service.targets {
            let address_owner =
                address_owners.entry(target.address).or_insert_with(|| service.name.clone());
            if *address_owner != service.name {
                issues.push(Issue::TargetAddressConflict {
                    service: service.name.clone(),
                    target: target.name.clone(),
                    address: target.address,
                    owner: address_owner.clone(),
                });
            }
        }
    }
    address_owners
}

/// Assigns the service its addresses, except those that an earlier service already owns.
fn assign_service_addresses<'a>(
    service: &'a ticket::Service,
    addresses: &mut HashMap<ticket::Address, &'a Arc<str>>,
    issues: &mut Vec<Issue>,
) -> Vec<(Protocol, SocketAddr)> {
    let mut owned = Vec::with_capacity(service.addresses.len());
    for address in &service.addresses {
        let owner = *addresses.entry(*address).or_insert(&service.name);
        if *owner == service.name {
            owned.push((address.protocol, address.address));
        } else {
            issues.push(Issue::AddressConflict {
                service: service.name.clone(),
                address: *address,
                owner: owner.clone(),
            });
        }
    }
    owned
}

fn resolve_policy(service: &ticket::Service, state: &State, issues: &mut Vec<Issue>) -> Policy {
    let name = service.policy.clone();
    let name = name.unwrap_or_else(|| Arc::from("default"));
    if let Some(policy) = state.policy(&name) {
        return policy.clone();
    }
    if service.policy.is_some() {
        issues.push(Issue::UnknownPolicy { service: service.name.clone(), policy: name.clone() });
    }
    Policy { name, priority: ticket::Priority::default(), bound: None }
}

/// Compiles the target sets of the kept versions of a service, newest first.
///
/// Older generations contain only targets that can still have flows: targets of the newest
/// version that packets may be sent to.
fn compile_generations(
    state: &State,
    service: &ticket::Service,
    targets: &[Target],
) -> Vec<Generation> {
    let id = ObjectKey::Service(service.name.clone()).id();
    let reachable: BTreeSet<TargetId> =
        targets.iter().filter(|target| target.is_reachable()).map(|target| target.id).collect();
    let placeable: Vec<(TargetId, u16)> = targets
        .iter()
        .filter(|target| target.is_placeable())
        .map(|target| (target.id, target.weight))
        .collect();
    let mut generations = Vec::with_capacity(MAX_GENERATIONS);
    for (index, item) in state.versions(id).enumerate() {
        let Content::Service(version) = &*item.content else {
            continue;
        };
        let targets = if index == 0 {
            placeable.clone()
        } else if version.state == ServiceState::Removed {
            continue;
        } else {
            version
                .targets
                .iter()
                .filter(|target| target.state == TargetState::Active && target.weight > 0)
                .map(|target| (ticket::target_id(&version.name, target), target.weight))
                .filter(|(id, _)| reachable.contains(id))
                .collect()
        };
        generations.push(Generation { number: item.number, targets });
    }
    generations
}

fn compile_target(
    service: &ticket::Service,
    target: &ticket::Target,
    zone_out: bool,
    quarantined: bool,
) -> Target {
    Target {
        id: ticket::target_id(&service.name, target),
        name: target.name.clone(),
        // Set by `Table::insert`.
        service: 0,
        address: target.address,
        zone: target.zone.clone(),
        zone_out,
        state: target.state,
        weight: target.weight,
        slots: target.slots,
        connections: target.connections,
        cold_slots: target.cold_slots,
        ramp: target.ramp(),
        drain: target.drain(),
        health: target.health.clone(),
        load: target.load.clone(),
        quarantined,
    }
}
