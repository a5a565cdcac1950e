use crate::member::Id;

/// The two owners of a hash slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Owners {
    /// The member that decides for the hash slot's flows.
    pub primary: Id,
    /// The member that holds the second copy, in another zone if there is one.
    pub secondary: Option<Id>,
}

impl Owners {
    /// Returns whether `id` is one of the two owners.
    pub fn contains(&self, id: Id) -> bool {
        self.primary == id || self.secondary == Some(id)
    }

    /// Returns the owners, the primary one first.
    pub fn iter(&self) -> impl Iterator<Item = Id> + use<> {
        [Some(self.primary), self.secondary].into_iter().flatten()
    }
}
