use std::time::Duration;

/// The timeouts of an HTTP call. None of them depends on the size of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// The maximum time for opening a connection.
    pub connect: Duration,
    /// The maximum time without any further part of the response. For the first part it is added
    /// to `connect` and to the time that the server was asked to wait.
    pub response: Duration,
    /// The maximum time from the first to the last part of the response.
    pub transfer: Duration,
}

impl Timeouts {
    /// Returns the timeouts of a daemon in gateway mode. The store answers in 4 ms, and up to
    /// about 100 times slower when it is impaired. A daemon must detect a dead connection within
    /// the 3 s in which a change must be in force. The largest response takes 3.4 s on a link of
    /// 10 Mbit/s, which packets share.
    pub fn gateway() -> Timeouts {
        Timeouts {
            connect: Duration::from_millis(300),
            response: Duration::from_millis(700),
            transfer: Duration::from_secs(10),
        }
    }
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            connect: Duration::from_secs(1),
            response: Duration::from_secs(5),
            transfer: Duration::from_secs(30),
        }
    }
}
