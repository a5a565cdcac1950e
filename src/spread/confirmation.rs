use std::time::{Duration, Instant};

use crate::member;

/// The time without any answer after which the daemon resumes forwarding with the state that it
/// has.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after which the daemon resumes forwarding although the differences were not fetched,
/// because its peers may be partitioned from the member that answered.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The time between two requests to the members that have answered.
pub(super) const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The confirmation of the state after a pause.
#[derive(Debug)]
pub(super) struct Confirmation {
    pub(super) sequence: u32,
    pub(super) started_at: Instant,
    pub(super) requested_at: Instant,
    /// The members that have answered so far.
    pub(super) responders: Vec<member::Id>,
    /// Whether a member has reported the state that this daemon has.
    pub(super) done: bool,
}

impl Confirmation {
    pub(super) fn new(now: Instant, sequence: u32) -> Confirmation {
        Confirmation {
            sequence,
            started_at: now,
            requested_at: now,
            responders: Vec::new(),
            done: false,
        }
    }

    /// Returns whether the state is confirmed or the time for that has passed.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let limit = if self.responders.is_empty() { RESPONSE_TIMEOUT } else { FETCH_TIMEOUT };
        self.done || now.saturating_duration_since(self.started_at) >= limit
    }
}
