use std::time::Duration;

/// How long an HTTP call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The time to open a connection.
    pub connect: Duration,
    /// The time from the start of the call to the last byte of the response, on top of the time
    /// that the server was asked to wait.
    pub read: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts { connect: Duration::from_secs(1), read: Duration::from_secs(5) }
    }
}
