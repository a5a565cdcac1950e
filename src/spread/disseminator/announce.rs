//! Announcements of new tickets (gossip).
//!
//! A ticket must be in force at all members within seconds. Anti-entropy with one random member
//! at a time is too slow for that. A member at which a ticket comes into force therefore announces
//! the ticket to random members, which fetch it from a member that announced it.

use std::time::{Duration, Instant};

use crate::{
    member,
    spread::{
        Action, Blob, BlobRequest, Message,
        disseminator::{Disseminator, whole_blob_request},
        queue::TrafficClass,
        reassembly::Reassembler,
    },
    ticket::{Number, ObjectId, State},
};

/// The maximum number of ticket numbers in one announcement. With 10 bytes each they fit in a
/// message.
const MAX_ANNOUNCED: usize = 64;

/// The maximum number of announced tickets that are fetched at the same time.
const MAX_PENDING: usize = 256;

/// The maximum number of objects that one retry requests.
const MAX_RETRIED: usize = 32;

/// The number of attempts without progress after which a ticket is left to anti-entropy.
const MAX_ATTEMPTS: u32 = 8;

/// The longest time between two retries, in retry intervals.
const MAX_BACKOFF: u32 = 8;

/// The maximum number of members that are remembered as sources of a ticket.
const MAX_SOURCES: usize = 3;

/// The maximum number of tickets whose lists of objects are kept to answer requests.
///
/// A ticket is announced for a few seconds only, while 512 tickets are published in half a day.
const MAX_MANIFESTS: usize = 512;

/// An announced ticket that is not in force at this daemon yet.
#[derive(Debug)]
pub(super) struct PendingTicket {
    /// The members that announced the ticket.
    sources: Vec<member::Id>,
    /// The time of the last request.
    requested_at: Instant,
    attempts: u32,
    /// The objects that the ticket changed, once they are known.
    pub(super) manifest: Option<Vec<ObjectId>>,
}

impl PendingTicket {
    /// Returns whether the exponential backoff since the last request is over.
    fn is_due(&self, now: Instant, retry: Duration) -> bool {
        self.requested_at + retry * MAX_BACKOFF.min(1 << self.attempts) <= now
    }

    /// Returns the next member to send requests to, and the requests.
    fn next_request(
        &mut self,
        now: Instant,
        number: Number,
        reassembler: &Reassembler,
        state: &State,
    ) -> (member::Id, Vec<BlobRequest>) {
        self.requested_at = now;
        // While a large object is arriving, the attempt does not count as one without progress.
        let arriving = |manifest: &Vec<_>| manifest.iter().any(|id| reassembler.contains(*id));
        if !self.manifest.as_ref().is_some_and(arriving) {
            self.attempts += 1;
        }
        let source = self.sources[self.attempts as usize % self.sources.len()];
        let blob_requests = match &self.manifest {
            None => vec![whole_blob_request(Blob::Ticket(number))],
            Some(manifest) => missing_objects(number, manifest, state)
                .filter(|id| !reassembler.contains(*id))
                .map(Blob::Newest)
                .take(MAX_RETRIED)
                .map(whole_blob_request)
                .collect(),
        };
        (source, blob_requests)
    }
}

impl Disseminator {
    /// Announces the new tickets once in each gossip interval.
    pub(super) fn gossip(&mut self, now: Instant) {
        if now < self.next_gossip || self.remaining_announcements.is_empty() {
            return;
        }
        self.next_gossip = now + self.config.gossip_interval;
        let numbers: Vec<Number> =
            self.remaining_announcements.keys().rev().take(MAX_ANNOUNCED).copied().collect();
        let fanout = self.announce(&numbers);
        for number in numbers {
            if let Some(left) = self.remaining_announcements.get_mut(&number) {
                *left = left.saturating_sub(fanout.max(1));
            }
        }
        self.remaining_announcements.retain(|_, left| *left > 0);
    }

    /// Announces `numbers` to random members and returns how many there were.
    fn announce(&mut self, numbers: &[Number]) -> usize {
        let chosen = self.peers.choose(&mut self.rng, self.config.fanout);
        for to in &chosen {
            self.queue.push(TrafficClass::Urgent, *to, Message::Announce(numbers.to_vec()));
        }
        chosen.len()
    }

    /// Reports that a ticket is in force, and announces the ticket at once.
    pub(super) fn announce_in_force(
        &mut self,
        now: Instant,
        number: Number,
        manifest: Vec<ObjectId>,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::InForce(number));
        self.pending.remove(&number);
        self.keep_manifest(number, manifest);
        let members = self.peers.len() + 1;
        // 2·log2(n), rounded up.
        let times = 2 * (usize::BITS - members.leading_zeros()) as usize;
        let sent = if self.remaining_announcements.len() < MAX_ANNOUNCED {
            self.announce(&[number])
        } else {
            0
        };
        if self.remaining_announcements.is_empty() {
            self.next_gossip = now + self.config.gossip_interval;
        }
        if times > sent {
            self.remaining_announcements.insert(number, times - sent);
        }
        while self.remaining_announcements.len() > MAX_ANNOUNCED {
            self.remaining_announcements.pop_first();
        }
    }

    /// Stores the list of the objects that a ticket changed.
    pub(super) fn keep_manifest(&mut self, number: Number, manifest: Vec<ObjectId>) {
        self.manifests.insert(number, manifest);
        while self.manifests.len() > MAX_MANIFESTS {
            self.manifests.pop_first();
        }
    }

    /// Requests announced tickets that are neither in force nor being fetched.
    pub(super) fn on_announce(
        &mut self,
        now: Instant,
        from: member::Id,
        numbers: Vec<Number>,
        state: &State,
    ) {
        let mut blob_requests = Vec::new();
        for number in numbers.into_iter().take(MAX_ANNOUNCED) {
            let history = state.history();
            if history.is_applied(number) || number <= history.applied.forgotten() {
                continue;
            }
            if let Some(pending) = self.pending.get_mut(&number) {
                if pending.sources.len() < MAX_SOURCES && !pending.sources.contains(&from) {
                    pending.sources.push(from);
                }
                continue;
            }
            if self.pending.len() >= MAX_PENDING {
                break;
            }
            let pending = PendingTicket {
                sources: vec![from],
                requested_at: now,
                attempts: 0,
                manifest: None,
            };
            self.pending.insert(number, pending);
            blob_requests.push(whole_blob_request(Blob::Ticket(number)));
        }
        self.request(from, blob_requests);
    }

    /// Repeats requests without a response, and gives up tickets after [`MAX_ATTEMPTS`].
    pub(super) fn retry_requests(&mut self, now: Instant, state: &State) {
        let retry = self.config.retry_interval;
        for (from, blob_request) in self.reassembler.tick(now, retry) {
            self.request(from, vec![blob_request]);
        }
        let mut requests = Vec::new();
        for (number, pending) in &mut self.pending {
            if pending.is_due(now, retry) {
                requests.push(pending.next_request(now, *number, &self.reassembler, state));
            }
        }
        for (source, blob_requests) in requests {
            self.request(source, blob_requests);
        }
        self.pending.retain(|_, pending| pending.attempts < MAX_ATTEMPTS);
    }

    /// Brings the pending tickets into force whose objects have all arrived.
    pub(super) fn apply_complete_tickets(
        &mut self,
        now: Instant,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        let complete: Vec<Number> = self
            .pending
            .iter()
            .filter(|(number, pending)| {
                let manifest = pending.manifest.as_ref();
                state.history().is_applied(**number)
                    || manifest
                        .is_some_and(|m| missing_objects(**number, m, state).next().is_none())
            })
            .map(|(number, _)| *number)
            .collect();
        for number in complete {
            let pending = self.pending.remove(&number);
            if let Some(manifest) = pending.and_then(|pending| pending.manifest)
                && state.mark_applied(number)
            {
                self.announce_in_force(now, number, manifest, out);
            }
        }
    }
}

/// Returns the objects of a ticket that the state lacks or has only at a lower ticket number.
fn missing_objects<'a>(
    number: Number,
    manifest: &'a [ObjectId],
    state: &'a State,
) -> impl Iterator<Item = ObjectId> + 'a {
    let lacks = move |id: &ObjectId| state.get(*id).is_none_or(|item| item.number < number);
    manifest.iter().copied().filter(lacks)
}
