//! Confirmation of the state after a pause.
//!
//! The state of a daemon that was paused may be out of date. Before it forwards again, the daemon
//! requests summaries of the states of three members, fetches the differences, and repeats the
//! requests until its state equals that of a member that has answered.

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
    /// Starts the confirmation after a pause by requesting the state summaries of three members.
    pub fn confirm(&mut self, now: Instant, state: &State, out: &mut Vec<Action>) {
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let mut confirmation = Confirmation::new(now, sequence);
        let summary = state.summary();
        let asked = self.peers.choose(&mut self.rng, 3);
        // If the daemon knows no other member, no member can confirm the state.
        confirmation.done = asked.is_empty();
        for to in asked {
            let message = Message::Confirm { sequence, summary };
            self.queue.force(now, to, message, out);
        }
        self.confirmation = Some(confirmation);
    }

    /// Returns whether the state was confirmed after the last pause, or the time for that has
    /// passed.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        let confirmation = self.confirmation.as_ref();
        confirmation.is_none_or(|confirmation| confirmation.is_over(now))
    }

    /// Answers with a summary of the state and, if the states differ, with the bucket hashes.
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

    /// Ends the confirmation if the sender has the same objects as this daemon.
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

    /// Repeats the requests to the members that have answered, to check whether the differences
    /// were fetched meanwhile.
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
