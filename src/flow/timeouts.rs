use std::time::Duration;

/// How long a table keeps the record of a flow without packets, by the flow's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// A flow whose SYN has not been answered.
    pub opening: Duration,
    /// An open TCP flow.
    pub open: Duration,
    /// A TCP flow that one side has closed.
    pub half_closed: Duration,
    /// A UDP flow.
    pub udp: Duration,
    /// A flow that has ended. Late packets and reuses of the caller's port arrive within this time.
    pub closed: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            opening: Duration::from_secs(60),
            open: Duration::from_secs(2 * 3600),
            half_closed: Duration::from_secs(15 * 60),
            udp: Duration::from_secs(30 * 60),
            closed: Duration::from_secs(90),
        }
    }
}
