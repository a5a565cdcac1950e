/// How the daemons find the target of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Mode {
    /// Each flow has two owners, and all daemons cache targets.
    #[default]
    Owners,
    /// Each daemon uses its own table, and the newest generation's base target for flows that are
    /// not in it. A baseline for comparisons.
    Local,
    /// Each flow has one owner, and every request packet goes through it. A baseline for
    /// comparisons.
    SingleOwner,
}
