use std::{net::SocketAddrV4, time::Duration};

use crate::cookie::Cookie;

/// The answer to one request, as the packets of its caller show it.
///
/// It is reported when the caller acknowledges the first bytes of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The service address of the flow, which identifies the route.
    pub service: SocketAddrV4,
    /// The cookie of the target.
    pub cookie: Cookie,
    /// The time from the first packet of the request to the acknowledgement of the answer.
    pub elapsed: Duration,
    /// The round-trip time between caller and target that the opening of the flow showed; `None` if
    /// this daemon did not see it or a packet was retransmitted.
    pub round_trip: Option<Duration>,
    /// The bytes of the answer that the caller has acknowledged so far. An answer of one packet is
    /// acknowledged as a whole.
    pub bytes: u32,
    /// Whether the caller retransmitted the request, so that `elapsed` may contain the loss of a
    /// packet.
    pub is_retransmitted: bool,
}
