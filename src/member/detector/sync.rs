use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rand::seq::SliceRandom;

use super::{
    Detector, Peer,
    apply::UpdateOutcome,
    piggyback::{MESSAGE_HEADER_BYTES, size},
};
use crate::member::{
    Entry, Id, Message, Output, Status, Update,
    buckets::{BUCKETS, Buckets},
};

/// How many messages answer a digest.
const MAX_PARTS: usize = 2;

/// How many messages answer a digest of a daemon that has paused.
const MAX_URGENT_PARTS: usize = 64;

/// Members in one summary: each takes 17 bytes.
const MAX_ENTRIES: usize = 20;

/// How many messages of updates answer one message.
const MAX_UPDATE_MESSAGES: usize = 4;

/// How many ids may be requested at once.
const MAX_WANTED: usize = 32;

/// A view is compared again this soon if many members differed.
const SYNC_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How many members a daemon asks after a pause.
const CONFIRM_PEERS: usize = 3;

/// How long a daemon waits for answers before it asks as many others.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(500);

/// How long a daemon waits for their answers.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// A comparison of the view after a pause.
#[derive(Debug)]
pub(super) struct Confirmation {
    deadline: Instant,
    /// When to ask further members, because those asked may have stopped during the pause.
    next_requests_at: Instant,
    requests: Vec<Request>,
}

/// The comparison with one member.
#[derive(Debug)]
struct Request {
    sequence: u32,
    peer: Id,
    received: u8,
    parts: Option<u8>,
    missing: BTreeSet<Id>,
}

impl Request {
    fn is_done(&self) -> bool {
        self.parts.is_some_and(|parts| self.received >= parts) && self.missing.is_empty()
    }
}

impl Detector {
    /// Begins to compare the view with three members after a pause.
    ///
    /// The next tick sends the requests. [`Output::Confirmed`] follows when one member has
    /// answered and the differences are fetched, or after 2 s. A daemon that knows no other
    /// member gets it at once.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmation = Some(Confirmation {
            deadline: now + CONFIRM_TIMEOUT,
            next_requests_at: now,
            requests: Vec::new(),
        });
    }

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

    /// Compares the view with members that came back, and with a random one now and then.
    pub(super) fn tick_sync(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(id) = self.sync_queue.pop()
            && let Some(peer) = self.peer(id)
        {
            self.sync(now, peer, out);
        }
        if now >= self.next_sync {
            self.next_sync = now + self.config.sync_interval;
            if let Some(peer) = self.random_peers(1, self.own).pop() {
                self.sync(now, peer, out);
            }
        }
    }

    fn sync(&mut self, now: Instant, peer: Peer, out: &mut Vec<Output>) {
        if self.sync_budget.take(now, self.config.max_message_bytes as f64) {
            self.counters.syncs += 1;
            self.send_digest(peer, false, out);
        }
    }

    fn send_digest(&mut self, peer: Peer, urgent: bool, out: &mut Vec<Output>) -> u32 {
        let sequence = self.next_sequence();
        let count = (self.probe_order.len() / 16).next_power_of_two().min(BUCKETS);
        let buckets = self.buckets.folded(count);
        let message = Message::Digest { sequence, urgent, buckets };
        self.send(peer, message, out);
        sequence
    }

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
        if !count.is_power_of_two() || count > BUCKETS {
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
            // The range with the sender goes first: it may have to refute that it has failed.
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
                self.sync_budget.force(now, cost);
            } else if !self.sync_budget.take(now, cost) {
                return;
            }
            let message = Message::Summary { sequence, parts, from, to, entries };
            self.send(peer, message, out);
        }
    }

    /// Divides a range of ids into ranges whose members fit into one message.
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
            // After a pause the local view is the one that is out of date.
            match self.apply(now, &update, !confirming) {
                UpdateOutcome::Outdated => {
                    let known = self.view.get(entry.id);
                    let differs =
                        known.is_some_and(|known| known.info.checksum() != entry.checksum);
                    updates.extend(self.update_about(entry.id, differs));
                }
                UpdateOutcome::Incomplete => wanted.push(entry.id),
                UpdateOutcome::Adopted => differences += 1,
                UpdateOutcome::Known | UpdateOutcome::Refused => {}
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
            self.next_sync = self.next_sync.min(now + SYNC_REPEAT_INTERVAL);
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

    /// Counts a summary that answers a comparison after a pause.
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

    /// Sends updates and requests in messages that keep to the size limit.
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
