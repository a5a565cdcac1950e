use serde::{Deserialize, Serialize};

use crate::{
    flow::Fingerprint,
    load, member, spread,
    ticket::TargetId,
    wire::{TargetReport, TraceContext},
};

/// What a daemon does with a data packet that another daemon forwarded to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// A request packet to the primary owner, which chooses the target.
    Decide,
    /// A request packet to the secondary owner, which stores the flow record and delivers the
    /// packet to the target.
    Store {
        /// The target that the primary owner chose.
        target: TargetId,
        /// The previous target, if the primary owner moved the flow to another one with this
        /// packet.
        replaces: Option<TargetId>,
    },
    /// A request packet back to the primary owner, which delivers it, because the secondary
    /// owner does not have the ticket with the target yet.
    Deliver {
        /// The target.
        target: TargetId,
    },
    /// A return packet to the primary owner, which checks it.
    Return {
        /// The target that sent the packet.
        target: TargetId,
    },
    /// A return packet to the secondary owner, which updates the flow record and forwards the
    /// packet.
    StoreReturn {
        /// The target that sent the packet.
        target: TargetId,
    },
}

/// The header of a data packet that one daemon forwards to another. The IP packet follows the
/// body in the frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hop {
    /// What the receiver does with the packet.
    pub stage: Stage,
    /// The number of further daemons that may forward the packet.
    pub hops_left: u8,
    /// The trace context, if the packet is sampled.
    pub trace: Option<TraceContext>,
}

/// The state of a flow in a flow record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// A SYN was forwarded, and no SYN-ACK was seen yet.
    Opening,
    /// A SYN-ACK, or a packet of the caller without SYN, was seen.
    Open,
    /// A FIN in each direction or an RST was seen.
    Closed,
}

/// The record of a flow, as daemons exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Record {
    /// The flow.
    pub fingerprint: Fingerprint,
    /// The target of the flow.
    pub target: TargetId,
    /// The state of the flow.
    pub state: RecordState,
}

/// The body of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// The header of a forwarded data packet, which follows the body in the frame.
    Hop(Hop),
    /// Informs the receiver of the target of a flow.
    #[serde(rename = "learned")]
    FlowTarget {
        /// The flow.
        fingerprint: Fingerprint,
        /// The target of the flow.
        target: TargetId,
    },
    /// Requests the record of a flow.
    Query {
        /// The flow.
        fingerprint: Fingerprint,
    },
    /// Answers a [`Body::Query`].
    Answer {
        /// The flow.
        fingerprint: Fingerprint,
        /// The record, or `None` if the sender has none.
        record: Option<Record>,
        /// The time for which the sender has been running in seconds. A sender without a record
        /// may lack those of flows that began earlier.
        uptime: u32,
    },
    /// Copies flow records to a new owner.
    Copy {
        /// The number that the acknowledgement repeats.
        sequence: u32,
        /// The records.
        records: Vec<Record>,
    },
    /// Acknowledges that the records of a [`Body::Copy`] were received.
    #[serde(rename = "copied")]
    CopyAck {
        /// The sequence number of the copy.
        sequence: u32,
    },
    /// A message of the failure detector.
    Member(member::Message),
    /// A message for the dissemination of tickets.
    Spread(spread::Message),
    /// Reports of changed target classes.
    Load(Vec<load::Report>),
    /// What the sender has observed of targets of its zone, in gateway mode.
    TargetReports(Vec<TargetReport>),
}
