use crate::{
    flow::Slot,
    member::{Id, Owners},
    util,
};

/// The index of a zone in [`Ranking::zones`](super::ranking::Ranking).
pub(super) type ZoneIndex = u16;

/// The owners of a hash slot and their zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SlotOwners {
    pub(super) owners: Owners,
    primary_zone: ZoneIndex,
    secondary_zone: ZoneIndex,
}

impl SlotOwners {
    /// Returns the owners of a hash slot by rendezvous hashing over all candidates.
    pub(super) fn best_of(slot: Slot, candidates: &[(Id, ZoneIndex)]) -> Option<SlotOwners> {
        let mut best: Option<((u64, Id), ZoneIndex)> = None;
        // `other` is the best candidate outside of the zone of `best`; `second` is the second best
        // of all zones.
        let mut other: Option<((u64, Id), ZoneIndex)> = None;
        let mut second: Option<((u64, Id), ZoneIndex)> = None;
        for (id, zone) in candidates {
            let new = (rendezvous_score(slot, *id), *zone);
            match best {
                Some(old) if old.0 > new.0 => {
                    if second.is_none_or(|second| second.0 < new.0) {
                        second = Some(new);
                    }
                    if old.1 != new.1 && other.is_none_or(|other| other.0 < new.0) {
                        other = Some(new);
                    }
                }
                _ => {
                    // The previous best candidate scores above all others seen so far, so it is the
                    // best one of its zone.
                    if best.is_some_and(|old| old.1 != new.1) {
                        other = best;
                    }
                    second = best;
                    best = Some(new);
                }
            }
        }
        let (primary, primary_zone) = best?;
        let secondary = other.or(second);
        Some(SlotOwners {
            owners: Owners { primary: primary.1, secondary: secondary.map(|(score, _)| score.1) },
            primary_zone,
            secondary_zone: secondary.map_or(primary_zone, |(_, zone)| zone),
        })
    }

    /// Returns the owners of a hash slot after a candidate was added.
    pub(super) fn with_candidate(
        slot_owners: Option<SlotOwners>,
        slot: Slot,
        id: Id,
        zone: ZoneIndex,
    ) -> SlotOwners {
        let Some(slot_owners) = slot_owners else {
            return SlotOwners {
                owners: Owners { primary: id, secondary: None },
                primary_zone: zone,
                secondary_zone: zone,
            };
        };
        let Owners { primary, secondary } = slot_owners.owners;
        let new = rendezvous_score(slot, id);
        if new > rendezvous_score(slot, primary) {
            // The old primary owner has the highest score of the other candidates, but it may be in
            // the same zone as the new one.
            let keeps_secondary =
                zone == slot_owners.primary_zone && slot_owners.secondary_zone != zone;
            let (secondary, secondary_zone) = match secondary {
                Some(old) if keeps_secondary => (old, slot_owners.secondary_zone),
                _ => (primary, slot_owners.primary_zone),
            };
            return SlotOwners {
                owners: Owners { primary: id, secondary: Some(secondary) },
                primary_zone: zone,
                secondary_zone,
            };
        }
        let replaces_secondary = secondary.is_none_or(|old| {
            let new = (zone != slot_owners.primary_zone, new);
            let old = (
                slot_owners.secondary_zone != slot_owners.primary_zone,
                rendezvous_score(slot, old),
            );
            new > old
        });
        if !replaces_secondary {
            return slot_owners;
        }
        SlotOwners {
            owners: Owners { primary, secondary: Some(id) },
            secondary_zone: zone,
            ..slot_owners
        }
    }
}

/// Returns the rendezvous hashing score of a member for a hash slot.
///
/// The member with the highest score is the primary owner. The id breaks ties.
fn rendezvous_score(slot: Slot, id: Id) -> (u64, Id) {
    (util::score(u64::from(slot), id), id)
}
