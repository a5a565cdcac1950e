//! Anti-entropy: comparison of the state with that of a random member.
//!
//! Anti-entropy repairs what announcements missed. Members with equal states exchange one digest
//! only. Members with different states compare the hashes of buckets and then the digests of the
//! objects in buckets that differ, so the cost depends on the differences and not on the size of
//! the state.

use std::{collections::BTreeMap, time::Instant};

use rand::RngExt as _;

use crate::{
    member,
    spread::{
        Action, Blob, Message,
        disseminator::{Disseminator, whole_blob_request},
        message::PART_BYTES,
        queue::TrafficClass,
    },
    ticket::{BUCKET_COUNT, Digest, History, Item, ObjectId, Range, RangeSet, State, Summary},
};

/// The maximum number of digests in one listing. With 25 bytes each they fit in a message.
const MAX_DIGESTS: usize = 40;

/// The maximum number of ranges in one part of the history. With 20 bytes each they fit in a
/// message.
const MAX_RANGES: usize = 40;

/// The maximum number of buckets whose objects one exchange lists. With more, two members with many
/// differences would use up their bursts at once. The next exchange follows after a second.
const MAX_COMPARED: usize = 8;

impl Disseminator {
    /// Moves the next exchange forward after a difference was found, because there may be more.
    pub(super) fn schedule_comparison(&mut self, now: Instant) {
        let soon = now + self.config.gossip_interval;
        self.next_anti_entropy = self.next_anti_entropy.min(soon);
    }

    /// Answers a digest that differs with bucket hashes or, if only the history differs, with a
    /// part of the history.
    pub(super) fn on_digest(&mut self, from: member::Id, summary: Summary, state: &State) {
        let own = state.summary();
        if summary.root != own.root {
            self.queue.push(TrafficClass::Background, from, buckets(state));
        } else if summary.history != own.history {
            self.send_history(from, false, state);
        }
    }

    /// Answers bucket hashes with listings of some buckets that differ.
    pub(super) fn on_buckets(&mut self, from: member::Id, hashes: &[u32], state: &State) {
        if hashes.len() != BUCKET_COUNT {
            self.counters.malformed += 1;
            return;
        }
        let own = state.buckets();
        let first = self.rng.random_range(0..BUCKET_COUNT);
        let different: Vec<usize> = (0..BUCKET_COUNT)
            .map(|index| (first + index) % BUCKET_COUNT)
            .filter(|index| own[*index] as u32 != hashes[*index])
            .take(MAX_COMPARED)
            .collect();
        for bucket in different {
            for message in listings(bucket, state) {
                self.queue.push(TrafficClass::Background, from, message);
            }
        }
    }

    /// Requests listed objects that are missing here or differ without a lower ticket number, and
    /// offers objects that are missing at the sender or have a lower number there.
    pub(super) fn on_listing(
        &mut self,
        from: member::Id,
        first: ObjectId,
        last: ObjectId,
        digests: &[Digest],
        state: &State,
    ) {
        let peer_digests: BTreeMap<ObjectId, Digest> = digests.iter().map(|d| (d.id, *d)).collect();
        let own = state.digests_between(first, last);
        let mut wanted = Vec::new();
        for digest in &own {
            let other = peer_digests.get(&digest.id);
            if other == Some(digest) {
                continue;
            }
            let number = other.map_or(0, |other| other.number);
            if number >= digest.number {
                wanted.push(digest.id);
            }
            // A listing of one object may be an offer. If an offer of the same number answered it,
            // the two members would exchange offers forever.
            if number < digest.number || (number == digest.number && first < last) {
                self.offer(from, *digest, state);
            }
        }
        wanted.extend(peer_digests.keys().filter(|id| state.get(**id).is_none()));
        let blob_requests = wanted
            .into_iter()
            .filter(|id| !self.is_being_fetched(*id))
            .map(|id| whole_blob_request(Blob::Object(id)));
        let blob_requests = blob_requests.collect();
        self.request(from, blob_requests);
    }

    /// Returns whether the object is being reassembled or belongs to an announced ticket that is
    /// being fetched.
    fn is_being_fetched(&self, id: ObjectId) -> bool {
        let mut manifests = self.pending.values().filter_map(|p| p.manifest.as_ref());
        self.reassembler.contains(id) || manifests.any(|manifest| manifest.contains(&id))
    }

    /// Sends an object that a member lacks. Of an object with several parts only the digest is
    /// sent, because the member may be receiving it from another one already.
    fn offer(&mut self, to: member::Id, digest: Digest, state: &State) {
        let versions: Vec<&Item> = state.versions(digest.id).collect();
        let size = postcard::experimental::serialized_size(&versions).unwrap_or(0);
        if size <= PART_BYTES {
            self.send_object(to, Blob::Object(digest.id), &[], state);
            return;
        }
        let message = Message::Listing { from: digest.id, to: digest.id, digests: vec![digest] };
        self.queue.push(TrafficClass::Background, to, message);
    }

    /// Sends a part of the history.
    fn send_history(&mut self, to: member::Id, reply: bool, state: &State) {
        let history = state.history();
        let applied = self.sample_ranges(&history.applied, MAX_RANGES);
        let refused = self.sample_ranges(&history.refused, MAX_RANGES / 4);
        let message = Message::History { summary: state.summary(), applied, refused, reply };
        self.queue.push(TrafficClass::Background, to, message);
    }

    /// Returns at most `count` ranges. If there are more, one half are the newest ranges and the
    /// other half are consecutive ranges from a random position.
    fn sample_ranges(&mut self, ranges: &RangeSet, count: usize) -> Vec<Range> {
        if ranges.len() <= count {
            return ranges.iter().collect();
        }
        let skip = self.rng.random_range(0..ranges.len() - count / 2);
        let newest = ranges.iter().rev().take(count / 2);
        newest.chain(ranges.iter().skip(skip).take(count / 2)).collect()
    }

    /// Merges a part of the history. Applied numbers are merged only if the sender has the same
    /// objects.
    pub(super) fn on_history(
        &mut self,
        from: member::Id,
        summary: Summary,
        (applied, refused): (Vec<Range>, Vec<Range>),
        reply: bool,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        let same_items = summary.root == state.summary().root;
        let history = History {
            applied: if same_items { applied } else { Vec::new() }.into(),
            refused: refused.into(),
        };
        let before = state.history().applied.clone();
        state.merge_history(&history);
        // Only the highest number is reported; `State::history` contains all of them.
        if let Some(last) = history.applied.last()
            && !before.contains(last)
        {
            out.push(Action::InForce(last));
        }
        if !reply && same_items && state.summary().history != summary.history {
            self.send_history(from, true, state);
        }
    }
}

/// Returns the message with the bucket hashes of the state.
pub(super) fn buckets(state: &State) -> Message {
    Message::Buckets(state.buckets().iter().map(|hash| *hash as u32).collect())
}

/// Returns messages that together list the objects of a bucket and cover all its ids.
fn listings(bucket: usize, state: &State) -> Vec<Message> {
    let ids = State::bucket_ids(bucket);
    let digests = state.digests_between(*ids.start(), *ids.end());
    let mut messages = Vec::new();
    let mut from = *ids.start();
    let mut chunks = digests.chunks(MAX_DIGESTS).peekable();
    if chunks.peek().is_none() {
        let (to, digests) = (*ids.end(), Vec::new());
        return vec![Message::Listing { from, to, digests }];
    }
    while let Some(chunk) = chunks.next() {
        let last = chunk.last().map_or(*ids.end(), |digest| digest.id);
        let to = if chunks.peek().is_some() { last } else { *ids.end() };
        let digests = chunk.to_vec();
        messages.push(Message::Listing { from, to, digests });
        from = to.saturating_add(1);
    }
    messages
}
