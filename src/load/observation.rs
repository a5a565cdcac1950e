/// An event on the packet path that shows the load or health of a target.
///
/// Each daemon has observations of its own and does not send them to other daemons.
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
