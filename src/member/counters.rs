/// Counts of what the failure detector has seen since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Pings of the round robin.
    pub pings: u64,
    /// Pings that no answer came to, neither directly nor through other members.
    pub unanswered: u64,
    /// Members that were taken for failed.
    pub failures: u64,
    /// Refuted claims about the local member.
    pub refutations: u64,
    /// Updates refused because their description does not fit the id or the known name.
    pub collisions: u64,
    /// Ticks that came too late to judge other members.
    pub late_ticks: u64,
    /// Comparisons of the view that this daemon began.
    pub syncs: u64,
}
