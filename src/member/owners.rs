use crate::member::Id;

/// The members that own a hash slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Owners {
    /// The member that chooses the targets of the slot's flows.
    pub primary: Id,
    /// The member that holds the second copy of the slot's flow records. It is in another zone
    /// than the primary owner if that is possible.
    pub secondary: Option<Id>,
}

impl Owners {
    /// Returns whether `id` is the primary or the secondary owner.
    pub fn contains(&self, id: Id) -> bool {
        self.primary == id || self.secondary == Some(id)
    }

    /// Returns the primary owner, then the secondary owner.
    pub fn iter(&self) -> impl Iterator<Item = Id> + use<> {
        [Some(self.primary), self.secondary].into_iter().flatten()
    }
}
