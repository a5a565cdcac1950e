use std::time::Duration;

/// How long an HTTP call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The time to open a connection.
    pub connect: Duration,
    /// The time from the start of the call to the last byte of the response, on top of the time
    /// that the server was asked to wait.
    pub response: Duration,
}

impl Timeouts {
    /// Returns the timeouts of a daemon in gateway mode. The store answers in 4 ms, and up to
    /// about 100 times slower in trouble; a daemon whose connection is silent must notice within
    /// the 3 s in which a change must be in force.
    pub fn gateway() -> Timeouts {
        Timeouts { connect: Duration::from_millis(300), response: Duration::from_millis(700) }
    }
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts { connect: Duration::from_secs(1), response: Duration::from_secs(5) }
    }
}
