/// What counts more when a new flow is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Preference {
    /// The flow goes to the first target in its rendezvous order that is within the load bound.
    #[default]
    Balance,
    /// The flow goes to the first target in its rendezvous order that can take it. Two owners that
    /// do not see each other then place a flow on the same target.
    Base,
}
