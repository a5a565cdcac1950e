/// How the daemons find the target of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Mode {
    /// Two owners for each flow, and caches in all daemons.
    #[default]
    Owners,
    /// A table for each daemon over the consistent hash. A baseline for comparisons.
    Local,
    /// Every packet hops to one owner. A baseline for comparisons.
    SingleOwner,
}
