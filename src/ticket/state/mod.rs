//! The merged state of all tickets. A ticket is a numbered configuration change from the platform.
//!
//! A ticket is in force when the items of all its objects are merged: of each object the state has
//! the version with the number of the ticket or a higher one. The ticket stays in force when later
//! tickets replace its items. An item is in force while it is the newest version of its object.

mod check;
mod claims;

use std::{collections::BTreeMap, ops::RangeInclusive, sync::Arc, time::Instant};

use crate::ticket::{
    ApplyOutcome, BUCKET_COUNT, Content, Digest, History, Item, MergeOutcome, Number, ObjectId,
    ObjectKey, Policy, Refusal, Service, Snapshot, Summary, Ticket, Zone, ZoneState, digest,
    state::claims::ClaimIndex, version::Version,
};

/// The maximum number of versions, and thus target sets, that are kept of each service.
///
/// Older versions are kept because targets of an earlier set can still have flows.
pub const MAX_GENERATIONS: usize = 4;

/// The state that results from all tickets, independent of the order in which they arrive.
///
/// # Merging
///
/// Objects are merged independently of each other. Of each object the version with the highest
/// number is kept, and of each service the [`MAX_GENERATIONS`] highest versions. If two versions of
/// an object have the same number but other content, only the one with the higher hash is kept. The
/// kept versions are the greatest ones of a set union, so merging is commutative, associative and
/// idempotent.
///
/// Checks across objects depend on the order of arrival and are therefore not part of merging.
/// [`State::apply`] refuses a ticket that uses an address of another active service. Only the zone
/// readers call it: the daemons that read the tickets from the platform for their zone. Two zone
/// readers may decide differently, because they may have received the tickets in different orders.
/// The content of the accepted ticket is then merged in all daemons, and
/// [`route::Compiler`](crate::route::Compiler) assigns the address to the service with the lower
/// ticket number, which is the same service in all daemons.
///
/// ```
/// use std::time::Instant;
/// use banyanwharf::ticket::{ApplyOutcome, State, parse};
///
/// let now = Instant::now();
/// let mut state = State::new(None);
/// for (number, zone) in [(8, "in"), (7, "out")] {
///     let text = format!(
///         r#"{{ "number": {number}, "zones": [{{ "name": "prado", "state": "{zone}" }}] }}"#
///     );
///     let applied = state.apply(now, parse("ticket", &text)?).expect("no ticket clashes");
///     assert!(matches!(applied, ApplyOutcome::New { .. }));
/// }
/// assert_eq!(state.zones_out().count(), 0, "the higher number wins");
/// # Ok::<(), banyanwharf::ticket::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct State {
    known_zones: Option<Arc<[Arc<str>]>>,
    /// The kept versions of each object, newest first.
    objects: BTreeMap<ObjectId, Vec<Version>>,
    /// The services that use each address.
    claims: ClaimIndex,
    /// The hash of each bucket, which is a range of object ids.
    buckets: [u64; BUCKET_COUNT],
    history: History,
    history_digest: u64,
    changed_at: Option<Instant>,
}

impl State {
    /// Creates an empty state. If `known_zones` is given, tickets that name other zones are
    /// refused.
    pub fn new(known_zones: Option<Arc<[Arc<str>]>>) -> State {
        State {
            known_zones,
            objects: BTreeMap::new(),
            claims: ClaimIndex::default(),
            buckets: [0; BUCKET_COUNT],
            history: History::default(),
            history_digest: History::default().digest(),
            changed_at: None,
        }
    }

    /// Applies a ticket from the platform.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the ticket does not validate, has the number of an earlier ticket
    /// but other content, was refused before, or uses an address of another service. The objects in
    /// force do not change then. If the ticket uses an address of another service, its number is
    /// recorded as refused. The other refusals need no record: if the same ticket is applied again,
    /// the same check fails again.
    pub fn apply(&mut self, now: Instant, ticket: Ticket) -> Result<ApplyOutcome, Refusal> {
        let number = ticket.number;
        let items = self.check_ticket(ticket).inspect_err(|refusal| {
            if matches!(refusal, Refusal::AddressInUse { .. } | Refusal::TargetAddressInUse { .. })
            {
                self.history.refused.insert(number);
                self.history_digest = self.history.digest();
            }
        })?;
        let merged = self.merge(now, items);
        if !self.mark_applied(number) && !merged.state_changed {
            return Ok(ApplyOutcome::AlreadyInForce);
        }
        let changed = merged.changed;
        Ok(ApplyOutcome::New { changed })
    }

    /// Merges items from another daemon. Items that do not validate are skipped and reported in the
    /// outcome.
    pub fn merge(&mut self, now: Instant, items: Vec<Item>) -> MergeOutcome {
        let mut merged = MergeOutcome::default();
        for item in items {
            match item.validate() {
                Ok(()) => self.insert(Version::new(item), &mut merged),
                Err(invalid) => merged.invalid.push(invalid),
            }
        }
        if merged.state_changed {
            self.changed_at = Some(now);
        }
        merged
    }

    /// Merges the complete state of another daemon.
    pub fn merge_snapshot(&mut self, now: Instant, snapshot: Snapshot) -> MergeOutcome {
        let merged = self.merge(now, snapshot.items);
        // The history lists the tickets that are in force at the other daemon. If an item was
        // skipped, its ticket may not be in force here.
        if merged.invalid.is_empty() {
            self.merge_history(&snapshot.history);
        }
        merged
    }

    /// Returns the complete state.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { items: self.items().cloned().collect(), history: self.history.clone() }
    }

    /// Records that the ticket `number` is in force, because each of its objects has this number or
    /// a higher one. Returns whether the number was not recorded before.
    pub fn mark_applied(&mut self, number: Number) -> bool {
        let new = self.history.applied.insert(number);
        if new {
            self.history_digest = self.history.digest();
        }
        new
    }

    /// Adds the history of another daemon. This state must contain all items of that daemon.
    pub fn merge_history(&mut self, history: &History) {
        self.history.merge(history);
        self.history_digest = self.history.digest();
    }

    /// Returns which ticket numbers are in force and which were refused.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns when an item last changed the state, or `None` if none has.
    pub fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Returns the versions of an object, newest first.
    pub fn versions(&self, id: ObjectId) -> impl Iterator<Item = &Item> {
        let versions = self.objects.get(&id).map_or(&[][..], Vec::as_slice);
        versions.iter().map(|version| &version.item)
    }

    /// Returns the item in force of an object, which is the one with the highest number.
    pub fn get(&self, id: ObjectId) -> Option<&Item> {
        self.versions(id).next()
    }

    /// Returns all versions of all objects.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.objects.values().flatten().map(|version| &version.item)
    }

    /// Returns the items in force.
    pub fn items_in_force(&self) -> impl Iterator<Item = &Item> {
        self.objects.values().filter_map(|versions| versions.first()).map(|version| &version.item)
    }

    /// Returns the services in force with their ticket numbers, including removed services.
    pub fn services(&self) -> impl Iterator<Item = (Number, &Service)> {
        self.items_in_force().filter_map(|item| match &*item.content {
            Content::Service(service) => Some((item.number, service)),
            Content::Zone(_) | Content::Policy(_) => None,
        })
    }

    /// Returns the zones in force. Zones that no ticket has set are not included.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.items_in_force().filter_map(|item| match &*item.content {
            Content::Zone(zone) => Some(zone),
            Content::Service(_) | Content::Policy(_) => None,
        })
    }

    /// Returns the names of the zones that tickets have taken out of service.
    pub fn zones_out(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones().filter(|zone| zone.state == ZoneState::Out).map(|zone| &zone.name)
    }

    /// Returns the policy `name` in force.
    pub fn policy(&self, name: &Arc<str>) -> Option<&Policy> {
        match &*self.get(ObjectKey::Policy(name.clone()).id())?.content {
            Content::Policy(policy) => Some(policy),
            Content::Service(_) | Content::Zone(_) => None,
        }
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns whether the state contains no object.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Returns the hashes by which two daemons find out whether their states are equal.
    pub fn summary(&self) -> Summary {
        Summary { root: digest::root(&self.buckets), history: self.history_digest }
    }

    /// Returns the hash of each bucket. A bucket is a range of object ids, and two daemons whose
    /// states differ compare the hashes to find the ranges that differ.
    pub fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// Returns the range of object ids that belong to a bucket.
    pub fn bucket_ids(bucket: usize) -> RangeInclusive<ObjectId> {
        digest::id_range(bucket)
    }

    /// Returns the digests of the objects with ids from `first` to `last`, in ascending order.
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

    fn insert(&mut self, version: Version, merged: &mut MergeOutcome) {
        let object = version.item.object();
        let id = object.id();
        let limit = match object {
            ObjectKey::Service(_) => MAX_GENERATIONS,
            ObjectKey::Zone(_) | ObjectKey::Policy(_) => 1,
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
                self.claims.remove(id, &versions[index].item);
                self.claims.insert(id, &version.item);
                if index == 0 {
                    merged.changed.push(object);
                }
                versions[index] = version;
            }
            None => {
                let index =
                    versions.partition_point(|other| other.precedence() > version.precedence());
                if index >= limit {
                    return;
                }
                if index == 0 {
                    merged.changed.push(object);
                }
                self.claims.insert(id, &version.item);
                versions.insert(index, version);
                for surplus in versions.drain(limit.min(versions.len())..) {
                    self.claims.remove(id, &surplus.item);
                }
            }
        }
        merged.state_changed = true;
        let after = digest::of(id, versions);
        let bucket = &mut self.buckets[digest::bucket_index(id)];
        // The hash of a bucket is the XOR of the contributions of its digests: this removes the
        // contribution of the old digest and adds that of the new one.
        for digest in [before, after].into_iter().flatten() {
            *bucket ^= digest.bucket_contribution();
        }
    }
}

impl Default for State {
    fn default() -> State {
        State::new(None)
    }
}
