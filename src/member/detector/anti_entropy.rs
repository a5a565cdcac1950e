//! Anti-entropy: comparison of the view with that of another member.
//!
//! Piggybacked updates can be lost. A member therefore sends the hashes of its view to a random
//! member, which answers with its member states in the ranges that differ. After a pause the same
//! exchange with several members confirms the view.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rand::seq::SliceRandom;

use super::{
    Detector, Peer,
    apply::ApplyOutcome,
    piggyback::{MESSAGE_HEADER_BYTES, size},
};
use crate::member::{
    Entry, Id, Message, Output, Status, Update,
    buckets::{BUCKET_COUNT, Buckets},
};

/// The maximum number of summaries that answer a digest.
const MAX_PARTS: usize = 2;

/// The maximum number of summaries that answer a digest of a daemon that was paused.
const MAX_URGENT_PARTS: usize = 64;

/// The maximum number of members in a summary. Each takes 17 bytes.
const MAX_ENTRIES: usize = 20;

/// The maximum number of [`Message::Updates`] that answer one message. If the updates need more
/// messages, one less than the maximum is sent.
const MAX_UPDATE_MESSAGES: usize = 4;

/// The maximum number of members whose state is requested at once.
const MAX_WANTED: usize = 32;

/// The time until the next exchange if many members differed.
const ANTI_ENTROPY_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The number of members that a daemon exchanges its view with after a pause.
const CONFIRM_PEERS: usize = 3;

/// The time without a complete answer after which a daemon asks as many further members.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum time for the confirmation of the view after a pause.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// The confirmation of the view after a pause.
#[derive(Debug)]
pub(super) struct Confirmation {
    deadline: Instant,
    /// The time at which further members are asked, because the members asked so far may have
    /// stopped during the pause.
    next_requests_at: Instant,
    requests: Vec<Request>,
}

/// The anti-entropy exchange with one member after a pause.
#[derive(Debug)]
struct Request {
    sequence: u32,
    peer: Id,
    /// The number of summaries received.
    received: u8,
    /// The number of summaries that the member sends; `None` before the first one arrives.
    parts: Option<u8>,
    /// The members whose descriptions were requested and have not arrived.
    missing: BTreeSet<Id>,
}

impl Request {
    /// Returns whether all summaries and requested descriptions have arrived.
    fn is_done(&self) -> bool {
        self.parts.is_some_and(|parts| self.received >= parts) && self.missing.is_empty()
    }
}

impl Detector {
    /// Starts the confirmation of the view after a pause, by anti-entropy with three other members.
    ///
    /// The next tick sends the requests. [`Output::Confirmed`] is emitted when one member has
    /// answered and the differences are fetched, or after 2 s. If the daemon knows no other
    /// member, the next tick emits it.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmation = Some(Confirmation {
            deadline: now + CONFIRM_TIMEOUT,
            next_requests_at: now,
            requests: Vec::new(),
        });
    }

    /// Sends digests to further members, and ends the confirmation of the view when it is complete
    /// or times out.
    pub(super) fn tick_confirmation(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(confirmation) = &self.confirmation else {
            return;
        };
        let complete = confirmation.requests.iter().any(Request::is_done);
        if complete || now >= confirmation.deadline {
            self.confirmation = None;
            out.push(Output::Confirmed { complete });
            return;
        }
        if now < confirmation.next_requests_at {
            return;
        }
        let mut requests = Vec::new();
        for peer in self.random_peers(CONFIRM_PEERS, self.own) {
            let sequence = self.send_digest(peer, true, out);
            requests.push(Request {
                sequence,
                peer: peer.id,
                received: 0,
                parts: None,
                missing: BTreeSet::new(),
            });
        }
        if let Some(confirmation) = &mut self.confirmation {
            confirmation.next_requests_at = now + CONFIRM_INTERVAL;
            confirmation.requests.extend(requests);
            if confirmation.requests.is_empty() {
                self.confirmation = None;
                out.push(Output::Confirmed { complete: false });
            }
        }
    }

    /// Starts an anti-entropy exchange with a member that has come back, and periodically one with
    /// a random member.
    pub(super) fn tick_anti_entropy(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(id) = self.anti_entropy_queue.pop()
            && let Some(peer) = self.peer(id)
        {
            self.start_anti_entropy(now, peer, out);
        }
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + self.config.anti_entropy_interval;
            if let Some(peer) = self.random_peers(1, self.own).pop() {
                self.start_anti_entropy(now, peer, out);
            }
        }
    }

    /// Starts an anti-entropy exchange with `peer` if the rate limit allows it.
    fn start_anti_entropy(&mut self, now: Instant, peer: Peer, out: &mut Vec<Output>) {
        if self.anti_entropy_limiter.take(now, self.config.max_message_bytes as f64) {
            self.counters.anti_entropy_rounds += 1;
            self.send_digest(peer, false, out);
        }
    }

    /// Sends the hashes of the view and returns the sequence number of the message.
    fn send_digest(&mut self, peer: Peer, urgent: bool, out: &mut Vec<Output>) -> u32 {
        let sequence = self.next_sequence();
        let count = (self.ping_order.len() / 16).next_power_of_two().min(BUCKET_COUNT);
        let buckets = self.buckets.folded(count);
        let message = Message::Digest { sequence, urgent, buckets };
        self.send(peer, message, out);
        sequence
    }

    /// Answers a digest with the states of the members in the ranges of ids that differ.
    pub(super) fn on_digest(
        &mut self,
        now: Instant,
        peer: Peer,
        sequence: u32,
        urgent: bool,
        peer_buckets: &[[u8; 4]],
        out: &mut Vec<Output>,
    ) {
        let count = peer_buckets.len();
        if !count.is_power_of_two() || count > BUCKET_COUNT {
            return;
        }
        let own = self.buckets.folded(count);
        let mut ranges = Vec::new();
        for index in 0..count {
            if own[index] != peer_buckets[index] {
                let (from, to) = Buckets::range(index, count);
                self.split(from, to, &mut ranges);
            }
        }
        let limit = if urgent { MAX_URGENT_PARTS } else { MAX_PARTS };
        if ranges.len() > limit {
            ranges.shuffle(&mut self.rng);
            // The range that contains the sender goes first, because the sender may have to refute
            // that it has failed.
            ranges.sort_by_key(|(from, to, _)| !(*from..=*to).contains(&peer.id));
            ranges.truncate(limit);
        }
        if ranges.is_empty() {
            ranges.push((1, 0, Vec::new()));
        }
        let parts = ranges.len() as u8;
        for (from, to, entries) in ranges {
            let cost = 40.0 + 17.0 * entries.len() as f64;
            if urgent {
                self.anti_entropy_limiter.debit(now, cost);
            } else if !self.anti_entropy_limiter.take(now, cost) {
                return;
            }
            let message = Message::Summary { sequence, parts, from, to, entries };
            self.send(peer, message, out);
        }
    }

    /// Splits a range of ids into ranges whose members fit into one message.
    fn split(&self, from: Id, to: Id, ranges: &mut Vec<(Id, Id, Vec<Entry>)>) {
        let mut first = from;
        let mut entries = Vec::new();
        for (id, member) in self.view.range(from, to) {
            if entries.len() == MAX_ENTRIES {
                ranges.push((first, id - 1, std::mem::take(&mut entries)));
                first = id;
            }
            entries.push(Entry {
                id,
                incarnation: member.incarnation,
                status: member.status,
                checksum: member.info.checksum(),
            });
        }
        ranges.push((first, to, entries));
    }

    /// Applies the states in a summary, sends back newer ones and requests missing descriptions.
    pub(super) fn on_summary(
        &mut self,
        now: Instant,
        peer: Peer,
        (first, last): (Id, Id),
        entries: &[Entry],
        out: &mut Vec<Output>,
    ) {
        let confirming = self
            .confirmation
            .as_ref()
            .is_some_and(|confirmation| confirmation.requests.iter().any(|r| r.peer == peer.id));
        let mut updates = Vec::new();
        let mut wanted = Vec::new();
        let mut differences = 0;
        for entry in entries {
            let update = Update {
                id: entry.id,
                incarnation: entry.incarnation,
                status: entry.status,
                checksum: entry.checksum,
                info: None,
            };
            // After a pause the local view is out of date, so the sender's failure claims are
            // applied without verification.
            match self.apply(now, &update, !confirming) {
                ApplyOutcome::Outdated => {
                    let known = self.view.get(entry.id);
                    let differs =
                        known.is_some_and(|known| known.info.checksum() != entry.checksum);
                    updates.extend(self.update_about(entry.id, differs));
                }
                ApplyOutcome::Incomplete => wanted.push(entry.id),
                ApplyOutcome::Adopted => differences += 1,
                ApplyOutcome::Known | ApplyOutcome::Refused => {}
            }
        }
        let listed: BTreeSet<Id> = entries.iter().map(|entry| entry.id).collect();
        for (id, member) in self.view.range(first, last) {
            let present = !matches!(member.status, Status::Failed | Status::Left);
            if present && !listed.contains(&id) {
                updates.extend(self.update_about(id, true));
            }
        }
        differences += updates.len() + wanted.len();
        wanted.truncate(MAX_WANTED);
        if differences >= 8 {
            self.next_anti_entropy = self.next_anti_entropy.min(now + ANTI_ENTROPY_REPEAT_INTERVAL);
        }
        if let Some(confirmation) = &mut self.confirmation {
            for request in &mut confirmation.requests {
                if request.peer == peer.id {
                    request.missing.extend(&wanted);
                }
            }
        }
        self.send_updates(peer, updates, wanted, out);
    }

    /// Counts a summary that answers a digest sent after a pause.
    pub(super) fn count_summary(&mut self, peer: Peer, sequence: u32, parts: u8) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        for request in &mut confirmation.requests {
            if request.sequence == sequence && request.peer == peer.id {
                request.received += 1;
                request.parts = Some(parts);
            }
        }
    }

    /// Applies updates and answers with the requested ones.
    pub(super) fn on_updates(
        &mut self,
        now: Instant,
        peer: Peer,
        updates: &[Update],
        wanted: &[Id],
        out: &mut Vec<Output>,
    ) {
        self.apply_updates(now, peer, updates, out);
        if let Some(confirmation) = &mut self.confirmation {
            for request in &mut confirmation.requests {
                for update in updates {
                    request.missing.remove(&update.id);
                }
            }
        }
        let mut answer: Vec<Update> =
            wanted.iter().take(MAX_WANTED).filter_map(|id| self.update_about(*id, true)).collect();
        answer.dedup();
        self.send_updates(peer, answer, Vec::new(), out);
    }

    /// Sends updates and requests in at most [`MAX_UPDATE_MESSAGES`] messages that keep to the size
    /// limit. Updates that do not fit are left to the next exchange.
    fn send_updates(
        &mut self,
        peer: Peer,
        updates: Vec<Update>,
        mut wanted: Vec<Id>,
        out: &mut Vec<Output>,
    ) {
        let limit = self.config.max_message_bytes - MESSAGE_HEADER_BYTES;
        let mut bytes = 10 * wanted.len();
        let mut messages = 0;
        let mut batch = Vec::new();
        for update in updates {
            let size = size(&update);
            if bytes + size > limit {
                messages += 1;
                if messages == MAX_UPDATE_MESSAGES {
                    return;
                }
                let message = Message::Updates {
                    updates: std::mem::take(&mut batch),
                    wanted: std::mem::take(&mut wanted),
                };
                self.send(peer, message, out);
                bytes = 0;
            }
            bytes += size;
            batch.push(update);
        }
        if !batch.is_empty() || !wanted.is_empty() {
            let message = Message::Updates { updates: batch, wanted };
            self.send(peer, message, out);
        }
    }
}
