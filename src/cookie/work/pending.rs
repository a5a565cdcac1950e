use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// A request that a target has not answered yet, or that a new flow is about to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pending {
    /// The service address of the flow, which identifies the route.
    pub service: SocketAddrV4,
    /// When the first packet of the request arrived, or the opening packet of the flow.
    pub since: Instant,
    /// How far the request is.
    pub stage: Stage,
}

/// How far a [`Pending`] request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The flow is being opened; its caller sends the request directly afterwards.
    Opening,
    /// The target has the request. The round-trip time is that of the flow's opening, if known.
    Sent(Option<Duration>),
    /// The caller retransmitted the request, so its age may be due to a lost packet.
    Retransmitted,
}
