use std::{collections::BTreeMap, time::Instant};

use crate::member::{Id, Incarnation, Info, Status};

/// One member as the local daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What the member says about itself.
    pub info: Info,
    /// The highest incarnation heard of.
    pub incarnation: Incarnation,
    /// The member's state.
    pub status: Status,
    /// When the local daemon set `status`.
    pub since: Instant,
}

/// All members that the local daemon knows, by id.
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

    /// Inserts or replaces a member.
    pub fn insert(&mut self, member: Member) {
        self.members.insert(member.info.id(), member);
    }

    /// Removes the member `id`.
    pub fn remove(&mut self, id: Id) -> Option<Member> {
        self.members.remove(&id)
    }

    /// Returns all members in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (Id, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the members with ids from `first` to `last` in the order of their ids.
    pub(super) fn range(&self, first: Id, last: Id) -> impl Iterator<Item = (Id, &Member)> {
        let range = (first <= last).then(|| self.members.range(first..=last));
        range.into_iter().flatten().map(|(id, member)| (*id, member))
    }

    /// Returns the number of members in any state.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
