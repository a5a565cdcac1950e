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
    /// Updates refused because the name in their description does not have the update's id, or
    /// differs from the name already known for that id.
    pub collisions: u64,
    /// Ticks and messages that followed a gap of more than
    /// [`Config::max_tick_gap`](crate::member::Config::max_tick_gap), so that pending pings were
    /// dropped and suspicions extended.
    pub late_ticks: u64,
    /// Anti-entropy exchanges that this daemon started, without those after a pause.
    pub anti_entropy_rounds: u64,
}
