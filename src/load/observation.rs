/// An event on the packet path that tells something about the load or health of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The target answered a SYN with a SYN-ACK.
    Accepted,
    /// The target answered a SYN with an RST.
    Refused,
    /// The caller retransmitted a SYN that the target had not answered.
    Unanswered,
    /// The target sent an RST for an established flow.
    FlowReset,
}
