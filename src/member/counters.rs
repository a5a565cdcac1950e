/// Counters of the failure detector since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Pings sent in the round robin.
    pub pings: u64,
    /// Pings without an acknowledgement, neither a direct one nor one through other members.
    pub unanswered: u64,
    /// Members declared failed by this daemon, because they did not refute a suspicion in time.
    pub failures: u64,
    /// Updates about the local member that it refuted.
    pub refutations: u64,
    /// Updates refused because the name in their description does not match the id or the
    /// name already known for the id.
    pub collisions: u64,
    /// Ticks and messages handled so late that no other member was judged, see
    /// [`Config::max_tick_gap`](crate::member::Config::max_tick_gap).
    pub late_ticks: u64,
    /// Comparisons of the view that this daemon started, without those after a pause.
    pub syncs: u64,
}
