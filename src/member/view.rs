use std::{collections::BTreeMap, time::Instant};

use crate::member::{Id, Incarnation, Info, Status};

/// The local daemon's knowledge of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The member's description of itself.
    pub info: Info,
    /// The highest incarnation received for this member.
    pub incarnation: Incarnation,
    /// The status of the member at that incarnation.
    pub status: Status,
    /// The time at which the local daemon set `status`.
    pub since: Instant,
}

/// The membership list of the local daemon, ordered by id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    members: BTreeMap<Id, Member>,
}

impl View {
    /// Creates an empty view.
    pub fn new() -> View {
        View::default()
    }

    /// Returns the member `id`.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Inserts a member or replaces the one with the same id.
    pub fn insert(&mut self, member: Member) {
        self.members.insert(member.info.id(), member);
    }

    /// Removes and returns the member `id`.
    pub fn remove(&mut self, id: Id) -> Option<Member> {
        self.members.remove(&id)
    }

    /// Returns all members, whatever their status, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the members with ids from `first` to `last`, both included, ordered by id.
    pub(super) fn range(&self, first: Id, last: Id) -> impl Iterator<Item = (Id, &Member)> {
        let range = (first <= last).then(|| self.members.range(first..=last));
        range.into_iter().flatten().map(|(id, member)| (*id, member))
    }

    /// Returns the number of members, whatever their status.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether the list has no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
