use std::time::Duration;

/// The limits on the connections to the admin API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of open connections; further ones wait. All daemons of a zone, up to 85,
    /// may be followers of this one.
    pub max_connections: usize,
    /// The age from which a connection is closed as soon as its current request is answered.
    pub close_after: Duration,
    /// The age at which a connection is closed even during a request.
    pub abort_after: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 128,
            close_after: Duration::from_secs(10),
            abort_after: Duration::from_secs(30),
        }
    }
}
