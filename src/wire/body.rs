use serde::{Deserialize, Serialize};

use crate::{flow::Fingerprint, load, member, spread, ticket::TargetId, wire::TraceContext};

/// What a data packet's hop is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A request packet for the primary owner to decide on.
    Decide,
    /// A request packet for the secondary owner, which stores the record and delivers.
    Store {
        /// The target that the primary owner chose.
        target: TargetId,
        /// The target that the primary owner moved the flow away from with this packet.
        replaces: Option<TargetId>,
    },
    /// A request packet that goes back to the primary owner, because the secondary owner has
    /// no ticket with the target yet.
    Deliver {
        /// The target.
        target: TargetId,
    },
    /// A return packet for the primary owner to check.
    Return {
        /// The target that sent the packet.
        target: TargetId,
    },
    /// A return packet for the secondary owner, which updates the record and passes it on.
    StoreReturn {
        /// The target that sent the packet.
        target: TargetId,
    },
}

/// A data packet that hops between daemons. The IP packet follows the body in the frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hop {
    /// What the hop is for.
    pub stage: Stage,
    /// How many further hops the packet may take.
    pub hops_left: u8,
    /// The trace context, if the packet is sampled.
    pub trace: Option<TraceContext>,
}

/// The state of a flow in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// A SYN was passed on; no SYN-ACK has been seen.
    Opening,
    /// A SYN-ACK or a packet without SYN has been seen.
    Open,
    /// A FIN or RST has been seen.
    Closed,
}

/// A flow's record as it is copied between owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Record {
    /// The flow.
    pub fingerprint: Fingerprint,
    /// The target that the flow is on.
    pub target: TargetId,
    /// The flow's state.
    pub state: RecordState,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A data packet.
    Hop(Hop),
    /// Tells the receiver which target a flow is on.
    Learned {
        /// The flow.
        fingerprint: Fingerprint,
        /// The target that the flow is on.
        target: TargetId,
    },
    /// Asks whether the receiver holds a record of a flow.
    Query {
        /// The flow.
        fingerprint: Fingerprint,
    },
    /// Answers a query.
    Answer {
        /// The flow.
        fingerprint: Fingerprint,
        /// The record, or `None` if the sender holds none.
        record: Option<Record>,
        /// How long the sender has been running, in seconds. It cannot know flows that are
        /// older.
        uptime: u32,
    },
    /// Copies records to a new owner.
    Copy {
        /// Matches the acknowledgement.
        sequence: u32,
        /// The records.
        records: Vec<Record>,
    },
    /// Acknowledges a copy.
    Copied {
        /// The sequence number of the copy.
        sequence: u32,
    },
    /// A message of the failure detector.
    Member(member::Message),
    /// A message of the dissemination of tickets.
    Spread(spread::Message),
    /// Changes of target classes.
    Load(Vec<load::Report>),
}
