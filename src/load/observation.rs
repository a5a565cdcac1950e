/// What the packet path sees of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The target answered a SYN with a SYN-ACK.
    Accepted,
    /// The target answered a SYN with an RST.
    Refused,
    /// A SYN was repeated by the caller without an answer of the target.
    Unanswered,
    /// The target reset an established flow.
    FlowReset,
}
