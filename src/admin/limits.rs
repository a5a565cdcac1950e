use std::time::Duration;

/// What clients may cost the server of the admin API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest number of open connections; further ones wait. The daemons of a zone, up to 85,
    /// may each follow this one.
    pub max_connections: usize,
    /// The age at which a connection is closed once its request is answered.
    pub close_after: Duration,
    /// The age at which a connection is closed in any case.
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
