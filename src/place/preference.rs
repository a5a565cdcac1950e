/// How the target of a new flow is chosen: by load, or by rendezvous hashing alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Preference {
    /// The flow goes to the first target in its rendezvous order that is within the load bound.
    #[default]
    Balance,
    /// The flow goes to the first target in its rendezvous order that can accept it, whatever its
    /// load. Two owners that cannot reach each other thus place a flow on the same target.
    Base,
}
