use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    member::{Id, Status, View},
    route::Target,
    util,
};

/// The index of a slow-start unit of a cold target, starting at 0. A unit is the permission to
/// place one new flow on the target in each
/// [`Config::unit_period`](crate::place::Config::unit_period); one member at a time holds it.
pub type Unit = u16;

/// A member that can hold slow-start units.
#[derive(Debug, Clone)]
struct UnitHolder {
    id: Id,
    /// The member's availability zone.
    zone: Arc<str>,
    /// When a failed member loses its units; `None` for a member that has not failed.
    expires_at: Option<Instant>,
}

/// The members that share the slow-start units of cold targets.
///
/// Rendezvous hashing assigns each unit to one of the members in the target's zone, or in the
/// region if the zone has no member. Because units stay in the zone, a network partition between
/// zones does not assign a unit twice.
#[derive(Debug, Clone, Default)]
pub struct UnitHolders {
    holders: Vec<UnitHolder>,
    placer_count: usize,
}

impl UnitHolders {
    /// Collects the members of `region` that can hold units. A failed member keeps its units for
    /// `hold` after its failure.
    pub fn new(view: &View, region: &str, hold: Duration) -> UnitHolders {
        let mut holders = Vec::new();
        let mut placer_count = 0;
        for (id, member) in view.iter().filter(|(_, member)| &*member.info.region == region) {
            let expires_at = match member.status {
                Status::Alive | Status::Suspect => None,
                Status::Failed => Some(member.since + hold),
                Status::Leaving | Status::Left => continue,
            };
            placer_count += 1;
            holders.push(UnitHolder { id, zone: member.info.zone.clone(), expires_at });
        }
        UnitHolders { holders, placer_count }
    }

    /// Returns the number of members that may place flows, at least 1. Failed members are counted,
    /// because they may only be unreachable.
    pub fn placer_count(&self) -> usize {
        self.placer_count.max(1)
    }

    /// Returns how many of the first `units` units of `target` the member `id` holds.
    pub fn units_held(&self, now: Instant, target: &Target, units: Unit, id: Id) -> usize {
        let has_zone = self.current(now).any(|holder| holder.zone == target.zone);
        (0..units).filter(|unit| self.holder(now, target, *unit, has_zone) == Some(id)).count()
    }

    fn holder(&self, now: Instant, target: &Target, unit: Unit, has_zone: bool) -> Option<Id> {
        let key = util::score(target.id, u64::from(unit));
        self.current(now)
            .filter(|holder| !has_zone || holder.zone == target.zone)
            .max_by_key(|holder| (util::score(key, holder.id), holder.id))
            .map(|holder| holder.id)
    }

    fn current(&self, now: Instant) -> impl Iterator<Item = &UnitHolder> {
        self.holders
            .iter()
            .filter(move |holder| holder.expires_at.is_none_or(|expires_at| now < expires_at))
    }
}
