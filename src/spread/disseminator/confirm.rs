//! Confirmation of the state after a pause.
//!
//! A daemon that was paused may hold a state that others have left behind. It asks three members
//! before it forwards again, and repeats the question until their states have been fetched.

use std::time::Instant;

use crate::{
    member,
    spread::{
        Action, Message,
        confirmation::{CONFIRM_RETRY_INTERVAL, Confirmation},
        disseminator::{Disseminator, anti_entropy::buckets},
        queue::TrafficClass,
    },
    ticket::{State, Summary},
};

impl Disseminator {
    /// Asks three members for their state, because this daemon was paused.
    pub fn confirm(&mut self, now: Instant, state: &State, out: &mut Vec<Action>) {
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let mut confirmation = Confirmation::new(now, sequence);
        let summary = state.summary();
        let asked = self.peers.choose(&mut self.rng, 3);
        // A daemon that knows no other member has nobody to confirm its state.
        confirmation.done = asked.is_empty();
        for to in asked {
            let message = Message::Confirm { sequence, summary };
            self.queue.force(now, to, message, out);
        }
        self.confirmation = Some(confirmation);
    }

    /// Returns whether the state is confirmed since the last pause, or no member responded in
    /// time.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let confirmation = self.confirmation.as_ref();
        confirmation.is_none_or(|confirmation| confirmation.is_over(now))
    }

    pub(super) fn on_confirm(
        &mut self,
        now: Instant,
        from: member::Id,
        sequence: u32,
        peer_summary: Summary,
        state: &State,
        out: &mut Vec<Action>,
    ) {
        let summary = state.summary();
        let message = Message::Confirmed { sequence, summary };
        self.queue.force(now, from, message, out);
        if peer_summary.root != summary.root {
            self.queue.push(TrafficClass::Urgent, from, buckets(state));
        }
    }

    pub(super) fn on_confirmed(
        &mut self,
        from: member::Id,
        sequence: u32,
        summary: Summary,
        state: &State,
    ) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        if confirmation.sequence != sequence {
            return;
        }
        if !confirmation.responders.contains(&from) {
            confirmation.responders.push(from);
        }
        confirmation.done |= summary.root == state.summary().root;
    }

    /// Asks the members that had another state again, to see whether it is fetched.
    pub(super) fn retry_confirmation(
        &mut self,
        now: Instant,
        state: &State,
        out: &mut Vec<Action>,
    ) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        if confirmation.is_over(now) {
            self.confirmation = None;
            return;
        }
        if confirmation.requested_at + CONFIRM_RETRY_INTERVAL > now {
            return;
        }
        confirmation.requested_at = now;
        let summary = state.summary();
        let sequence = confirmation.sequence;
        for to in confirmation.responders.clone() {
            let message = Message::Confirm { sequence, summary };
            self.queue.force(now, to, message, out);
        }
    }
}
