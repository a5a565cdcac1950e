use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    ops::RangeInclusive,
    sync::Arc,
    time::Instant,
};

use serde::{Deserialize, Serialize};

use crate::{
    ticket::{
        Address, BUCKETS, Content, Digest, History, Invalid, Item, Number, Object, ObjectId,
        Policy, Refusal, Service, ServiceState, Summary, Ticket, Zone, ZoneState, digest,
    },
    util,
};

/// The number of tickets whose target sets are kept for each service.
pub const GENERATIONS: usize = 4;

/// What a ticket that was not refused has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The ticket is newly in force.
    New {
        /// The objects whose content in force has changed. Objects that a higher number set
        /// before are left out.
        changed: Vec<Object>,
    },
    /// The ticket was in force before.
    Known,
}

/// What merged items have changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Merged {
    /// The objects whose content in force has changed.
    pub changed: Vec<Object>,
    /// Whether anything was new, also an older generation.
    pub new: bool,
    /// The items that did not validate and were left out.
    pub invalid: Vec<Invalid>,
    /// The number of items that repeat a number with other content.
    pub conflicts: usize,
}

/// The whole state, for a member that joins.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Snapshot {
    /// All versions of all objects.
    pub items: Vec<Item>,
    /// The numbers in force and refused.
    pub history: History,
}

/// One version of an object.
#[derive(Debug, Clone)]
pub(super) struct Version {
    pub(super) item: Item,
    /// The hash of the encoded content.
    pub(super) hash: u64,
}

impl Version {
    fn new(item: Item) -> Version {
        // Encoding into a vector fails for no type of a ticket.
        let bytes = postcard::to_stdvec(&*item.content).unwrap_or_default();
        let hash = util::hash_bytes(&[&bytes]);
        Version { item, hash }
    }

    /// The order in which versions win. The hash only decides between two contents under one
    /// number, so that all daemons choose the same one.
    fn rank(&self) -> (Number, u64) {
        (self.item.number, self.hash)
    }
}

/// A resource that at most one active service may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Claim {
    Address(Address),
    Target(SocketAddr),
}

/// The state that results from all tickets, whatever the order in which they arrive.
///
/// # Merging
///
/// Each object is merged on its own: the version with the higher number wins, and services
/// keep their [`GENERATIONS`] highest versions. Both are the greatest elements of a set union,
/// so merging is commutative, associative and idempotent.
///
/// Checks across objects depend on the order of arrival and are therefore no part of merging.
/// [`State::apply`], which only the readers of the platform use, refuses a ticket that claims
/// an address of another active service. If two readers decide differently, the content of the
/// accepted ticket is merged everywhere, and [`route::Compiler`](crate::route::Compiler) leaves
/// the address with the service that has the lower number, which is the same in all daemons.
#[derive(Debug, Clone)]
pub struct State {
    zones: Option<Arc<[Arc<str>]>>,
    objects: BTreeMap<ObjectId, Vec<Version>>,
    /// The services that claim a resource, once for each kept version that does.
    claims: HashMap<Claim, Vec<ObjectId>>,
    buckets: [u64; BUCKETS],
    history: History,
    history_digest: u64,
    changed_at: Option<Instant>,
}

impl State {
    /// Creates an empty state. With `zones`, tickets that name other zones are refused.
    pub fn new(zones: Option<Arc<[Arc<str>]>>) -> State {
        State {
            zones,
            objects: BTreeMap::new(),
            claims: HashMap::new(),
            buckets: [0; BUCKETS],
            history: History::default(),
            history_digest: History::default().digest(),
            changed_at: None,
        }
    }

    /// Applies a ticket from the platform.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the ticket does not validate, repeats a number with other
    /// content, was refused before, or claims an address of another service. The state in force
    /// has not changed then. The number of a ticket that claims an address of another service
    /// is kept as refused; the other refusals depend on the ticket alone or on its number.
    pub fn apply(&mut self, now: Instant, ticket: Ticket) -> Result<Applied, Refusal> {
        let number = ticket.number;
        let items = self.check(ticket).inspect_err(|refusal| {
            if matches!(refusal, Refusal::Address { .. } | Refusal::Target { .. }) {
                self.history.refused.insert(number);
                self.history_digest = self.history.digest();
            }
        })?;
        let merged = self.merge(now, items);
        if !self.mark_applied(number) && !merged.new {
            return Ok(Applied::Known);
        }
        let changed = merged.changed;
        Ok(Applied::New { changed })
    }

    /// Merges items from another member. Items that do not validate are left out.
    pub fn merge(&mut self, now: Instant, items: Vec<Item>) -> Merged {
        let mut merged = Merged::default();
        for item in items {
            match item.validate() {
                Ok(()) => self.insert(Version::new(item), &mut merged),
                Err(invalid) => merged.invalid.push(invalid),
            }
        }
        if merged.new {
            self.changed_at = Some(now);
        }
        merged
    }

    /// Merges the whole state of another member.
    pub fn merge_snapshot(&mut self, now: Instant, snapshot: Snapshot) -> Merged {
        let merged = self.merge(now, snapshot.items);
        // Without all items, a number of the other member may not be in force here.
        if merged.invalid.is_empty() {
            self.merge_history(&snapshot.history);
        }
        merged
    }

    /// Returns the whole state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { items: self.items().cloned().collect(), history: self.history.clone() }
    }

    /// Notes that the ticket `number` is in force, because all its objects have this or a
    /// higher number. Returns whether that was new.
    pub fn mark_applied(&mut self, number: Number) -> bool {
        let new = self.history.applied.insert(number);
        if new {
            self.history_digest = self.history.digest();
        }
        new
    }

    /// Adds the history of a member that has the same items.
    pub fn merge_history(&mut self, history: &History) {
        self.history.merge(history);
        self.history_digest = self.history.digest();
    }

    /// Returns which ticket numbers are in force and which were refused.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns when an item last changed the state.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Returns the versions of an object, newest first.
    pub fn versions(&self, id: ObjectId) -> impl Iterator<Item = &Item> {
        let versions = self.objects.get(&id).map_or(&[][..], Vec::as_slice);
        versions.iter().map(|version| &version.item)
    }

    /// Returns the item in force of an object.
    pub fn get(&self, id: ObjectId) -> Option<&Item> {
        self.versions(id).next()
    }

    /// Returns all versions of all objects.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.objects.values().flatten().map(|version| &version.item)
    }

    /// Returns the items in force.
    pub fn newest(&self) -> impl Iterator<Item = &Item> {
        self.objects.values().filter_map(|versions| versions.first()).map(|version| &version.item)
    }

    /// Returns the services in force, also removed ones, with their numbers.
    pub fn services(&self) -> impl Iterator<Item = (Number, &Service)> {
        self.newest().filter_map(|item| match &*item.content {
            Content::Service(service) => Some((item.number, service)),
            Content::Zone(_) | Content::Policy(_) => None,
        })
    }

    /// Returns the zones that tickets have set.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.newest().filter_map(|item| match &*item.content {
            Content::Zone(zone) => Some(zone),
            Content::Service(_) | Content::Policy(_) => None,
        })
    }

    /// Returns the names of the zones that are out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones().filter(|zone| zone.state == ZoneState::Out).map(|zone| &zone.name)
    }

    /// Returns the policy `name`.
    pub fn policy(&self, name: &Arc<str>) -> Option<&Policy> {
        match &*self.get(Object::Policy(name.clone()).id())?.content {
            Content::Policy(policy) => Some(policy),
            Content::Service(_) | Content::Zone(_) => None,
        }
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns whether no ticket has been merged.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns the hashes that show whether two states are equal.
    pub fn summary(&self) -> Summary {
        Summary { root: digest::root(&self.buckets), history: self.history_digest }
    }

    /// Returns the hash of each bucket of objects.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the ids that belong to a bucket.
    pub fn bucket_ids(bucket: usize) -> RangeInclusive<ObjectId> {
        digest::range(bucket)
    }

    /// Returns the digests of the objects with ids from `first` to `last`, in their order.
    pub fn digests_between(&self, first: ObjectId, last: ObjectId) -> Vec<Digest> {
        if first > last {
            return Vec::new();
        }
        self.objects
            .range(first..=last)
            .filter_map(|(id, versions)| digest::of(*id, versions))
            .collect()
    }

    /// Returns the digest of an object.
    pub fn digest(&self, id: ObjectId) -> Option<Digest> {
        digest::of(id, self.objects.get(&id)?)
    }

    /// Checks a ticket against the state and splits it into items.
    fn check(&self, ticket: Ticket) -> Result<Vec<Item>, Refusal> {
        let number = ticket.number;
        ticket.validate(self.zones.as_deref()).map_err(|invalid| {
            let invalid = Box::new(invalid);
            Refusal::Invalid { number, invalid }
        })?;
        let services = ticket.services.into_iter().map(Content::Service);
        let zones = ticket.zones.into_iter().map(Content::Zone);
        let policies = ticket.policies.into_iter().map(Content::Policy);
        let items: Vec<Item> = services
            .chain(zones)
            .chain(policies)
            .map(|content| Item { number, content: Arc::new(content) })
            .collect();
        self.check_repetition(number, &items)?;
        if self.history.is_refused(number) {
            return Err(Refusal::Again { number });
        }
        if !self.history.is_applied(number) {
            self.check_claims(number, &items)?;
        }
        Ok(items)
    }

    fn check_repetition(&self, number: Number, items: &[Item]) -> Result<(), Refusal> {
        let applied = self.history.is_applied(number);
        for item in items {
            let object = item.object();
            let mut versions = self.versions(object.id());
            let same = versions.find(|version| version.number <= number);
            let repeated = match same {
                Some(version) if version.number == number => version.content != item.content,
                // The ticket in force under this number did not set the object.
                _ => {
                    let newest = self.get(object.id());
                    applied && newest.is_none_or(|newest| newest.number < number)
                }
            };
            if repeated {
                return Err(Refusal::Repeated { number, object });
            }
        }
        Ok(())
    }

    /// Checks that no other service has an address that the items claim.
    ///
    /// The other services count as they were under the highest number below the ticket's. A
    /// reader that starts again reads old tickets after newer state came from its peers, and
    /// must decide as the first reader did.
    fn check_claims(&self, number: Number, items: &[Item]) -> Result<(), Refusal> {
        let replaced: Vec<ObjectId> = items.iter().map(|item| item.object().id()).collect();
        for item in items {
            for claim in claims(item) {
                let owners = self.claims.get(&claim).map_or(&[][..], Vec::as_slice);
                let owner = owners
                    .iter()
                    .filter(|owner| !replaced.contains(owner))
                    .filter_map(|owner| self.versions(*owner).find(|v| v.number < number))
                    .find(|owner| claims(owner).contains(&claim));
                if let Some(owner) = owner {
                    return Err(clash(claim, item, owner));
                }
            }
        }
        Ok(())
    }

    fn insert(&mut self, version: Version, merged: &mut Merged) {
        let object = version.item.object();
        let id = object.id();
        let limit = match object {
            Object::Service(_) => GENERATIONS,
            Object::Zone(_) | Object::Policy(_) => 1,
        };
        let versions = self.objects.entry(id).or_default();
        let before = digest::of(id, versions);
        let same = versions.iter().position(|other| other.item.number == version.item.number);
        match same {
            Some(index) if versions[index].hash == version.hash => return,
            Some(index) => {
                merged.conflicts += 1;
                if versions[index].hash > version.hash {
                    return;
                }
                unclaim(&mut self.claims, id, &versions[index].item);
                claim(&mut self.claims, id, &version.item);
                if index == 0 {
                    merged.changed.push(object);
                }
                versions[index] = version;
            }
            None => {
                let index = versions.partition_point(|other| other.rank() > version.rank());
                if index >= limit {
                    return;
                }
                if index == 0 {
                    merged.changed.push(object);
                }
                claim(&mut self.claims, id, &version.item);
                versions.insert(index, version);
                for forgotten in versions.drain(limit.min(versions.len())..) {
                    unclaim(&mut self.claims, id, &forgotten.item);
                }
            }
        }
        merged.new = true;
        let after = digest::of(id, versions);
        let bucket = &mut self.buckets[digest::bucket(id)];
        for digest in [before, after].into_iter().flatten() {
            *bucket ^= digest.mixed();
        }
    }
}

impl Default for State {
    fn default() -> State {
        State::new(None)
    }
}

fn claims(item: &Item) -> Vec<Claim> {
    let Content::Service(service) = &*item.content else {
        return Vec::new();
    };
    if service.state == ServiceState::Removed {
        return Vec::new();
    }
    let addresses = service.addresses.iter().copied().map(Claim::Address);
    let targets = service.targets.iter().map(|t| Claim::Target(t.address));
    addresses.chain(targets).collect()
}

fn claim(all: &mut HashMap<Claim, Vec<ObjectId>>, id: ObjectId, item: &Item) {
    for claim in claims(item) {
        all.entry(claim).or_default().push(id);
    }
}

fn unclaim(all: &mut HashMap<Claim, Vec<ObjectId>>, id: ObjectId, item: &Item) {
    for claim in claims(item) {
        if let Some(owners) = all.get_mut(&claim) {
            if let Some(index) = owners.iter().position(|owner| *owner == id) {
                owners.swap_remove(index);
            }
            if owners.is_empty() {
                all.remove(&claim);
            }
        }
    }
}

fn clash(claim: Claim, item: &Item, owner: &Item) -> Refusal {
    let number = item.number;
    let object = item.object();
    let since = owner.number;
    let owner = owner.object();
    match claim {
        Claim::Address(address) => Refusal::Address { number, object, address, owner, since },
        Claim::Target(address) => Refusal::Target { number, object, address, owner, since },
    }
}
