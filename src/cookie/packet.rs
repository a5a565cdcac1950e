use crate::cookie::{Cookie, Flow};

/// The kind of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Opens a flow (SYN).
    Open {
        /// How many copies of the packet the caller had already sent; 0 for the first one.
        attempt: u32,
    },
    /// Carries data or an acknowledgement.
    Data,
    /// Closes the caller's side (FIN).
    Finish,
    /// Ends the flow (RST).
    Reset,
    /// Not a packet of a caller: a kind that only targets send, for example SYN+ACK. Such a packet
    /// is forged if it arrives here.
    Foreign,
}

/// The header of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The flow.
    pub flow: Flow,
    /// The kind of the packet.
    pub kind: Kind,
    /// The sequence number of the first byte of data.
    pub sequence: u32,
    /// The acknowledgement number: the sequence number of the next byte that the caller expects
    /// from the target.
    pub acknowledged: u32,
    /// The cookie that the caller echoes.
    pub cookie: Cookie,
    /// The length of the data in bytes.
    pub length: u16,
}
