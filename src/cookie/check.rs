use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::cookie::Cookie;

/// A request to check whether a target accepts TCP connections at its address.
///
/// The packets that one daemon of many sees are thin evidence: a few lost packets look like a target
/// that has ended. A connection attempt asks the target's host, so its outcome does not depend on
/// how many packets pass through this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Check {
    /// The target's cookie.
    pub cookie: Cookie,
    /// The target's address.
    pub address: SocketAddrV4,
    /// When the check was requested.
    pub requested_at: Instant,
}

/// The outcome of a [`Check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckOutcome {
    /// A process accepted the connection: the target runs, or another one that has its address.
    Accepted,
    /// The host answered that no process listens at the address.
    Refused,
    /// Nothing answered in time: the host or the path to it is down.
    Unanswered,
}

/// The checks of one target.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CheckHistory {
    /// When the last check was requested.
    requested_at: Option<Instant>,
    /// The outcome of the last check and when it was recorded.
    outcome: Option<(CheckOutcome, Instant)>,
}

impl CheckHistory {
    /// Returns whether no check was requested within `interval`.
    pub(super) fn is_due(&self, now: Instant, interval: Duration) -> bool {
        self.requested_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    /// Records that a check is requested.
    pub(super) fn record_request(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// Records the outcome of the check that was requested at `requested_at`. Returns whether it was
    /// recorded, which it is not if it is not the outcome of the last check.
    pub(super) fn record_outcome(
        &mut self,
        now: Instant,
        requested_at: Instant,
        outcome: CheckOutcome,
    ) -> bool {
        let is_last = self.requested_at == Some(requested_at);
        if is_last {
            self.outcome = Some((outcome, now));
        }
        is_last
    }

    /// Discards the last outcome and that of a check that is still running.
    pub(super) fn clear(&mut self) {
        *self = CheckHistory::default();
    }

    /// Returns the last outcome, unless it is older than `maximum_age`.
    pub(super) fn recent_outcome(
        &self,
        now: Instant,
        maximum_age: Duration,
    ) -> Option<CheckOutcome> {
        let (outcome, at) = self.outcome?;
        (now.saturating_duration_since(at) < maximum_age).then_some(outcome)
    }
}
