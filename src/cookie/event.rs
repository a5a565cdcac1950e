use std::sync::Arc;

use crate::cookie::{Basis, Cause, CheckOutcome, Flow, Reason, work::Refusal};

/// A decision about a flow, or a change in the health of a target or zone, for the operator's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A new flow was placed on a target.
    Placed {
        /// The flow.
        flow: Flow,
        /// The target.
        target: Arc<str>,
        /// The target's availability zone.
        zone: Arc<str>,
        /// How many copies of the opening packet the caller had already sent; 0 for the first
        /// packet.
        attempt: u32,
        /// The number of the target's flows through this daemon that their callers have not closed,
        /// without the new flow.
        open: u32,
        /// The number of targets among which the target was selected.
        choices: usize,
        /// What the selection was based on.
        basis: Basis,
        /// The expected time until the answer in milliseconds, if it was estimated.
        expected_ms: Option<u64>,
    },
    /// A retransmitted or duplicated opening packet was forwarded to the target of the previous copy,
    /// without a new selection.
    Repeated {
        /// The flow.
        flow: Flow,
        /// The target.
        target: Arc<str>,
        /// How many copies of the opening packet the caller had already sent.
        attempt: u32,
        /// The time since the first copy, in milliseconds.
        after_ms: u64,
    },
    /// A retransmitted opening packet was forwarded to another target than the previous copy.
    Moved {
        /// The flow.
        flow: Flow,
        /// The previous target, which does not answer.
        previous_target: Arc<str>,
        /// The new target.
        target: Arc<str>,
    },
    /// A flow with the cookie of a former start of a target, which this daemon has not seen, was
    /// forwarded to the target's present start.
    FormerStart {
        /// The flow.
        flow: Flow,
        /// The target.
        target: Arc<str>,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: Flow,
        /// The target, if known.
        target: Option<Arc<str>>,
        /// The reason of the reset.
        reason: Reason,
    },
    /// A new flow was reset because no zone has room for it. It takes the place of
    /// [`Event::Reset`].
    Refused {
        /// The flow.
        flow: Flow,
        /// The service.
        service: Arc<str>,
        /// The evidence.
        refusal: Refusal,
    },
    /// A copy of the opening packet of a refused flow was reset too.
    RefusedAgain {
        /// The flow.
        flow: Flow,
        /// How many copies of the opening packet the caller had already sent.
        attempt: u32,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: Flow,
        /// The cause of the drop.
        cause: Cause,
    },
    /// A target became silent: it no longer answers the packets of its flows.
    TargetFellSilent {
        /// The target.
        target: Arc<str>,
        /// The number of flows with retransmissions. Only a limited number is recorded.
        flows: usize,
        /// The time since the oldest retransmitted packet was first sent, in milliseconds.
        for_ms: u64,
    },
    /// A connection check did not reach a target.
    TargetUnreachable {
        /// The target.
        target: Arc<str>,
        /// The outcome of the check.
        outcome: CheckOutcome,
    },
    /// A silent target answered again.
    TargetAnswered {
        /// The target.
        target: Arc<str>,
        /// How long the target was silent, in milliseconds.
        after_ms: u64,
    },
    /// An availability zone became silent: none of its targets answers.
    ZoneFellSilent {
        /// The zone.
        zone: Arc<str>,
        /// The number of targets with retransmissions. Only a limited number is recorded.
        targets: usize,
        /// The time since the oldest retransmitted packet was first sent, in milliseconds.
        for_ms: u64,
    },
    /// A target of a silent zone answered again.
    ZoneAnswered {
        /// The zone.
        zone: Arc<str>,
        /// How long the zone was silent, in milliseconds.
        after_ms: u64,
    },
}
