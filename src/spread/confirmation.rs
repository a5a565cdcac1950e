use std::time::{Duration, Instant};

use crate::member;

/// Without any answer, the daemon resumes with the state that it has.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon whose differences could not be fetched in this time resumes; its peers may be
/// partitioned from the member that answered.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The time between two questions to the member that answered.
pub(super) const CONFIRM_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The confirmation of the state after a pause.
#[derive(Debug)]
pub(super) struct Confirmation {
    pub(super) sequence: u32,
    pub(super) started_at: Instant,
    pub(super) requested_at: Instant,
    /// The members that have answered, with a state that differed.
    pub(super) responders: Vec<member::Id>,
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

    pub(super) fn is_over(&self, now: Instant) -> bool {
        let limit = if self.responders.is_empty() { RESPONSE_TIMEOUT } else { FETCH_TIMEOUT };
        self.done || now.saturating_duration_since(self.started_at) >= limit
    }
}
