use std::time::Duration;

/// The timeouts of an HTTP call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The maximum time for opening a connection.
    pub connect: Duration,
    /// The maximum time from the start of the call to the last byte of the response, in addition to
    /// `connect` and to the time that the server was asked to wait.
    pub response: Duration,
}

impl Timeouts {
    /// Returns the timeouts of a daemon in gateway mode. The store answers in 4 ms, and up to
    /// about 100 times slower when it is impaired. A daemon must detect a dead connection within
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
