use std::{fmt, net::SocketAddrV4};

/// A flow, identified by its two endpoints as the caller sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The address and port of the service.
    pub service: SocketAddrV4,
}

impl fmt::Display for Flow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}>{}", self.caller, self.service)
    }
}
