use std::{sync::Arc, time::Instant};

use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use crate::{
    member::{self, Status, View},
    util,
};

/// The members that messages are sent to, as of the last refresh.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// The ids of the members; those in the zone of the local member come first.
    ids: Vec<member::Id>,
    /// The number of members in the zone of the local member.
    own_zone_count: usize,
    pub(super) refreshed_at: Option<Instant>,
}

impl Peers {
    /// Replaces the list with the other members of `view` that are alive or leaving.
    pub(super) fn refresh(&mut self, now: Instant, view: &View, own: member::Id, zone: &Arc<str>) {
        self.refreshed_at = Some(now);
        self.ids.clear();
        let reachable = |status| matches!(status, Status::Alive | Status::Leaving);
        let others = || view.iter().filter(|(id, member)| *id != own && reachable(member.status));
        let near = others().filter(|(_, member)| member.info.zone == *zone);
        self.ids.extend(near.map(|(id, _)| id));
        self.own_zone_count = self.ids.len();
        let far = others().filter(|(_, member)| member.info.zone != *zone);
        self.ids.extend(far.map(|(id, _)| id));
    }

    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns up to `count` distinct random members. The first one is in the zone of the local
    /// member if that zone has another member.
    pub(super) fn choose(&self, rng: &mut Pcg64Mcg, count: usize) -> Vec<member::Id> {
        let mut chosen: Vec<member::Id> = Vec::with_capacity(count);
        if self.own_zone_count > 0 && count > 0 {
            chosen.push(self.ids[rng.random_range(0..self.own_zone_count)]);
        }
        let count = count.min(self.ids.len());
        while chosen.len() < count {
            let id = self.ids[rng.random_range(0..self.ids.len())];
            if !chosen.contains(&id) {
                chosen.push(id);
            }
        }
        chosen
    }

    /// Returns a random member, or `None` if no other member is known.
    pub(super) fn random(&self, rng: &mut Pcg64Mcg) -> Option<member::Id> {
        let length = self.ids.len();
        (length > 0).then(|| self.ids[rng.random_range(0..length)])
    }
}

/// Returns whether `own` is one of the `count` alive members of its zone with the highest
/// rendezvous hashing scores.
pub(super) fn is_reader(view: &View, own: member::Id, zone: &Arc<str>, count: usize) -> bool {
    let seed = util::hash_bytes(&[b"reader", zone.as_bytes()]);
    let rank = |id| (util::score(seed, id), id);
    let ahead = view
        .iter()
        .filter(|(id, member)| {
            *id != own && member.status == Status::Alive && member.info.zone == *zone
        })
        .filter(|(id, _)| rank(*id) > rank(own))
        .count();
    ahead < count
}
