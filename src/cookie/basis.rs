/// What the selection of a target for a new flow was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// The open flows of all targets.
    OpenFlows,
    /// The expected time until the answer of some candidates.
    ExpectedWork,
    /// The flow tests whether a silent target answers again.
    HalfOpenProbe,
}
