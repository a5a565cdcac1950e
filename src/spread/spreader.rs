use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{
    member::{self, View},
    spread::{
        Action, Blob, Config, Counters, Message, Part, Want,
        assembly::{self, Assemblies},
        confirmation::{ASK_AGAIN, Confirmation},
        message::PART_BYTES,
        peers::{self, Peers},
        queue::{Lane, Queue},
    },
    ticket::{
        Applied, BUCKETS, Digest, History, Item, Merged, Number, ObjectId, Range, Ranges, State,
        Summary, Ticket,
    },
};

/// The ticket numbers in one announcement; with 10 bytes each they fit in a message.
const MAX_ANNOUNCED: usize = 64;

/// The requests in one message; with 13 bytes each they fit.
const MAX_WANTS: usize = 64;

/// The digests in one listing; with 25 bytes each they fit.
const MAX_DIGESTS: usize = 40;

/// The ranges in one part of the history; with 20 bytes each they fit.
const MAX_RANGES: usize = 40;

/// The buckets that one comparison goes into. More would let two members with many differences
/// use up their budgets at once; the next comparison follows after a second.
const MAX_COMPARED: usize = 8;

/// Announced tickets that are being fetched.
const MAX_PENDING: usize = 256;

/// The objects that one retry asks for.
const MAX_RETRIED: usize = 32;

/// After this number of retries a ticket is left to the comparison of states.
const MAX_TRIES: u32 = 8;

/// The longest time between two retries, in retry intervals.
const MAX_BACKOFF: u32 = 8;

/// Members that announced a ticket and can be asked for it.
const MAX_SOURCES: usize = 3;

/// The tickets whose lists of objects are kept for members that ask for them.
///
/// A ticket is announced for a few seconds only; 512 tickets are half a day.
const MAX_MANIFESTS: usize = 512;

/// Objects of more parts wait behind other tickets. Services of 14 targets have 2 parts.
const LARGE_PARTS: usize = 4;

/// The time between two copies of the list of members.
const REFRESH: Duration = Duration::from_secs(1);

/// A ticket that was announced and is not in force here yet.
#[derive(Debug)]
struct Pending {
    sources: Vec<member::Id>,
    asked_at: Instant,
    tries: u32,
    /// The objects that the ticket changed.
    manifest: Option<Vec<ObjectId>>,
}

/// Spreads tickets between the members.
///
/// The caller passes in ticks, messages and tickets from the platform with the daemon's
/// [`State`], and carries out the actions that are appended to `out`.
#[derive(Debug)]
pub struct Spreader {
    config: Config,
    own: member::Id,
    rng: Pcg64Mcg,
    peers: Peers,
    queue: Queue,
    assemblies: Assemblies,
    /// How often each new ticket is still to be announced.
    rumors: BTreeMap<Number, usize>,
    pending: BTreeMap<Number, Pending>,
    manifests: BTreeMap<Number, Vec<ObjectId>>,
    next_gossip: Instant,
    next_entropy: Instant,
    confirmation: Option<Confirmation>,
    sequence: u32,
    counters: Counters,
}

impl Spreader {
    /// Creates a spreader for the member `own`. Random choices come from `seed`.
    pub fn new(config: Config, own: member::Id, seed: u64, now: Instant) -> Spreader {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Spreads the comparisons of daemons that started together.
        let share = rng.random_range(0.0..1.0);
        let next_entropy = now + config.entropy_interval.mul_f64(share);
        Spreader {
            queue: Queue::new(&config, now),
            config,
            own,
            rng,
            peers: Peers::default(),
            assemblies: Assemblies::default(),
            rumors: BTreeMap::new(),
            pending: BTreeMap::new(),
            manifests: BTreeMap::new(),
            next_gossip: now,
            next_entropy,
            confirmation: None,
            sequence: 0,
            counters: Counters::default(),
        }
    }

    /// Returns whether this daemon reads the platform: it is one of the live members of its zone
    /// with the highest rendezvous scores. A daemon whose view has no other member reads.
    pub fn is_reader(&self, view: &View) -> bool {
        peers::is_reader(view, self.own, &self.config.zone, self.config.readers)
    }

    /// Does what is due. To be called about every 100 ms.
    pub fn on_tick(&mut self, now: Instant, view: &View, state: &State, out: &mut Vec<Action>) {
        let refreshed_at = self.peers.refreshed_at;
        if refreshed_at.is_none_or(|at| at + REFRESH <= now) {
            let zone = &self.config.zone;
            self.peers.refresh(now, view, self.own, zone);
        }
        self.gossip(now);
        self.retry(now, state);
        if now >= self.next_entropy {
            self.next_entropy = now + self.config.entropy_interval;
            if let Some(to) = self.peers.any(&mut self.rng) {
                self.queue.push(Lane::Background, to, Message::Digest(state.summary()));
            }
        }
        self.ask_again(now, state, out);
        self.queue.flush(now, out);
    }

    /// Handles a message from another member.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: member::Id,
        message: Message,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Announce(numbers) => self.on_announce(now, from, numbers, state),
            Message::Request(wants) => self.on_request(from, wants, state),
            Message::Part(part) => self.on_part(now, from, part, state, out),
            Message::Digest(summary) => self.compare(from, summary, state),
            Message::Buckets(hashes) => self.on_buckets(from, &hashes, state),
            Message::Listing { from: first, to: last, digests } => {
                self.on_listing(from, first, last, &digests, state);
            }
            Message::History { summary, applied, refused, reply } => {
                self.on_history(from, summary, (applied, refused), reply, state, out);
            }
            Message::Confirm { sequence, summary } => {
                self.on_confirm(now, from, sequence, summary, state, out);
            }
            Message::Confirmed { sequence, summary } => {
                self.on_confirmed(from, sequence, summary, state);
            }
        }
        self.queue.flush(now, out);
    }

    /// Applies tickets read from the platform, in the order of their publication.
    pub fn on_published(
        &mut self,
        now: Instant,
        tickets: Vec<Ticket>,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        for ticket in tickets {
            let number = ticket.number;
            let manifest = ticket.objects().map(|object| object.id()).collect();
            match state.apply(now, ticket) {
                Ok(Applied::Known) => self.keep_manifest(number, manifest),
                Ok(Applied::New { changed: objects }) => {
                    out.push(Action::Changed { objects });
                    self.in_force(now, number, manifest, out);
                }
                Err(refusal) => {
                    self.counters.refused += 1;
                    out.push(Action::Refused(refusal));
                }
            }
        }
        self.complete(now, state, out);
        self.queue.flush(now, out);
    }

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

    /// Returns whether nothing is being fetched, announced or queued.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.rumors.is_empty()
            && self.assemblies.is_empty()
            && self.queue.is_idle()
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        Counters {
            sent_bytes: self.queue.sent_bytes(),
            dropped: self.queue.dropped(),
            ..self.counters
        }
    }

    /// Announces new tickets once a round.
    fn gossip(&mut self, now: Instant) {
        if now < self.next_gossip || self.rumors.is_empty() {
            return;
        }
        self.next_gossip = now + self.config.gossip_interval;
        let numbers: Vec<Number> = self.rumors.keys().rev().take(MAX_ANNOUNCED).copied().collect();
        let fanout = self.announce(&numbers);
        for number in numbers {
            if let Some(left) = self.rumors.get_mut(&number) {
                *left = left.saturating_sub(fanout.max(1));
            }
        }
        self.rumors.retain(|_, left| *left > 0);
    }

    /// Sends an announcement to random members and returns their number.
    fn announce(&mut self, numbers: &[Number]) -> usize {
        let chosen = self.peers.choose(&mut self.rng, self.config.fanout);
        for to in &chosen {
            self.queue.push(Lane::Urgent, *to, Message::Announce(numbers.to_vec()));
        }
        chosen.len()
    }

    /// Notes that a ticket is in force and announces it at once.
    fn in_force(
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
        let sent = if self.rumors.len() < MAX_ANNOUNCED { self.announce(&[number]) } else { 0 };
        if self.rumors.is_empty() {
            self.next_gossip = now + self.config.gossip_interval;
        }
        if times > sent {
            self.rumors.insert(number, times - sent);
        }
        while self.rumors.len() > MAX_ANNOUNCED {
            self.rumors.pop_first();
        }
    }

    fn keep_manifest(&mut self, number: Number, manifest: Vec<ObjectId>) {
        self.manifests.insert(number, manifest);
        while self.manifests.len() > MAX_MANIFESTS {
            self.manifests.pop_first();
        }
    }

    fn on_announce(&mut self, now: Instant, from: member::Id, numbers: Vec<Number>, state: &State) {
        let mut wants = Vec::new();
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
            let pending = Pending { sources: vec![from], asked_at: now, tries: 0, manifest: None };
            self.pending.insert(number, pending);
            wants.push(want(Blob::Ticket(number)));
        }
        self.request(from, wants);
    }

    /// Sends requests; those about new tickets go before those of a comparison.
    fn request(&mut self, to: member::Id, wants: Vec<Want>) {
        for chunk in wants.chunks(MAX_WANTS) {
            let message = Message::Request(chunk.to_vec());
            if chunk.iter().all(|want| matches!(want.blob, Blob::Object(_))) {
                self.queue.push(Lane::Background, to, message);
            } else {
                self.queue.push(Lane::Urgent, to, message);
            }
        }
    }

    /// Repeats the requests that got no response.
    fn retry(&mut self, now: Instant, state: &State) {
        let retry = self.config.retry_interval;
        for (from, want) in self.assemblies.tick(now, retry) {
            self.request(from, vec![want]);
        }
        let mut requests = Vec::new();
        for (number, pending) in &mut self.pending {
            if pending.asked_at + retry * MAX_BACKOFF.min(1 << pending.tries) > now {
                continue;
            }
            pending.asked_at = now;
            // A large object that is on its way is no reason to give up.
            let arriving =
                |manifest: &Vec<_>| manifest.iter().any(|id| self.assemblies.contains(*id));
            if !pending.manifest.as_ref().is_some_and(arriving) {
                pending.tries += 1;
            }
            let source = pending.sources[pending.tries as usize % pending.sources.len()];
            let wants: Vec<Want> = match &pending.manifest {
                None => vec![want(Blob::Ticket(*number))],
                Some(manifest) => lacking(*number, manifest, state)
                    .filter(|id| !self.assemblies.contains(*id))
                    .map(Blob::Newest)
                    .take(MAX_RETRIED)
                    .map(want)
                    .collect(),
            };
            requests.push((source, wants));
        }
        for (source, wants) in requests {
            self.request(source, wants);
        }
        self.pending.retain(|_, pending| pending.tries < MAX_TRIES);
    }

    fn on_request(&mut self, from: member::Id, wants: Vec<Want>, state: &State) {
        for want in wants.into_iter().take(MAX_WANTS) {
            match want.blob {
                Blob::Ticket(number) => {
                    let Some(manifest) = self.manifests.get(&number).cloned() else {
                        if state.history().is_applied(number) {
                            self.queue.push(Lane::Background, from, buckets(state));
                        }
                        continue;
                    };
                    self.send(from, want.blob, &manifest, &want.parts);
                    // The objects follow without a request, which saves a round trip.
                    if want.parts.is_empty() {
                        for id in manifest {
                            self.send_object(from, Blob::Newest(id), &[], state);
                        }
                    }
                }
                Blob::Newest(_) | Blob::Object(_) => {
                    self.send_object(from, want.blob, &want.parts, state);
                }
            }
        }
    }

    fn send_object(&mut self, to: member::Id, blob: Blob, parts: &[u16], state: &State) {
        let items: Vec<&Item> = match blob {
            Blob::Newest(id) => state.get(id).into_iter().collect(),
            Blob::Object(id) => state.versions(id).collect(),
            Blob::Ticket(_) => return,
        };
        if !items.is_empty() {
            self.send(to, blob, &items, parts);
        }
    }

    fn send<T: serde::Serialize>(&mut self, to: member::Id, blob: Blob, value: &T, parts: &[u16]) {
        let Ok(bytes) = postcard::to_stdvec(value) else {
            return;
        };
        let lane = match blob {
            Blob::Object(_) => Lane::Background,
            _ if bytes.len() > LARGE_PARTS * PART_BYTES => Lane::Bulk,
            Blob::Ticket(_) | Blob::Newest(_) => Lane::Urgent,
        };
        for part in assembly::split(blob, &bytes, parts) {
            self.queue.push(lane, to, Message::Part(part));
        }
    }

    fn on_part(
        &mut self,
        now: Instant,
        from: member::Id,
        part: Part,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        let blob = part.blob;
        let Some(bytes) = self.assemblies.insert(now, from, part) else {
            return;
        };
        match blob {
            Blob::Ticket(number) => match postcard::from_bytes::<Vec<ObjectId>>(&bytes) {
                Ok(manifest) if !manifest.is_empty() => {
                    if let Some(pending) = self.pending.get_mut(&number) {
                        pending.manifest = Some(manifest);
                    }
                }
                _ => self.counters.malformed += 1,
            },
            Blob::Newest(_) | Blob::Object(_) => match postcard::from_bytes(&bytes) {
                Ok(items) => {
                    let merged = state.merge(now, items);
                    if merged.new && matches!(blob, Blob::Object(_)) {
                        self.compare_soon(now);
                    }
                    self.report(merged, out);
                }
                Err(_) => self.counters.malformed += 1,
            },
        }
        self.complete(now, state, out);
    }

    /// After a difference was found there may be more.
    fn compare_soon(&mut self, now: Instant) {
        let soon = now + self.config.gossip_interval;
        self.next_entropy = self.next_entropy.min(soon);
    }

    fn report(&mut self, merged: Merged, out: &mut Vec<Action>) {
        self.counters.conflicts += merged.conflicts as u64;
        self.counters.invalid += merged.invalid.len() as u64;
        if merged.new {
            let objects = merged.changed;
            out.push(Action::Changed { objects });
        }
        if !merged.invalid.is_empty() {
            out.push(Action::Invalid(merged.invalid));
        }
    }

    /// Brings the pending tickets in force whose objects are all there.
    fn complete(&mut self, now: Instant, state: &mut State, out: &mut Vec<Action>) {
        let complete: Vec<Number> = self
            .pending
            .iter()
            .filter(|(number, pending)| {
                let manifest = pending.manifest.as_ref();
                state.history().is_applied(**number)
                    || manifest.is_some_and(|m| lacking(**number, m, state).next().is_none())
            })
            .map(|(number, _)| *number)
            .collect();
        for number in complete {
            let pending = self.pending.remove(&number);
            if let Some(manifest) = pending.and_then(|pending| pending.manifest)
                && state.mark_applied(number)
            {
                self.in_force(now, number, manifest, out);
            }
        }
    }

    /// Answers a digest that differs.
    fn compare(&mut self, from: member::Id, summary: Summary, state: &State) {
        let own = state.summary();
        if summary.root != own.root {
            self.queue.push(Lane::Background, from, buckets(state));
        } else if summary.history != own.history {
            self.send_history(from, false, state);
        }
    }

    fn on_buckets(&mut self, from: member::Id, hashes: &[u32], state: &State) {
        if hashes.len() != BUCKETS {
            self.counters.malformed += 1;
            return;
        }
        let own = state.buckets();
        let first = self.rng.random_range(0..BUCKETS);
        let different: Vec<usize> = (0..BUCKETS)
            .map(|index| (first + index) % BUCKETS)
            .filter(|index| own[*index] as u32 != hashes[*index])
            .take(MAX_COMPARED)
            .collect();
        for bucket in different {
            for message in listings(bucket, state) {
                self.queue.push(Lane::Background, from, message);
            }
        }
    }

    fn on_listing(
        &mut self,
        from: member::Id,
        first: ObjectId,
        last: ObjectId,
        digests: &[Digest],
        state: &State,
    ) {
        let theirs: BTreeMap<ObjectId, Digest> = digests.iter().map(|d| (d.id, *d)).collect();
        let own = state.digests_between(first, last);
        let mut wanted = Vec::new();
        for digest in &own {
            let other = theirs.get(&digest.id);
            if other == Some(digest) {
                continue;
            }
            let number = other.map_or(0, |other| other.number);
            if number >= digest.number {
                wanted.push(digest.id);
            }
            // A listing of one object may be an offer. Answering it with an offer of the same
            // number would go on without end.
            if number < digest.number || (number == digest.number && first < last) {
                self.offer(from, *digest, state);
            }
        }
        wanted.extend(theirs.keys().filter(|id| state.get(**id).is_none()));
        let wants =
            wanted.into_iter().filter(|id| !self.is_expected(*id)).map(|id| want(Blob::Object(id)));
        let wants = wants.collect();
        self.request(from, wants);
    }

    /// Returns whether the object is being fetched for an announced ticket.
    fn is_expected(&self, id: ObjectId) -> bool {
        let mut manifests = self.pending.values().filter_map(|p| p.manifest.as_ref());
        self.assemblies.contains(id) || manifests.any(|manifest| manifest.contains(&id))
    }

    /// Sends an object that a member lacks, or only its digest if the object is large and the
    /// member may be getting it already.
    fn offer(&mut self, to: member::Id, digest: Digest, state: &State) {
        let versions: Vec<&Item> = state.versions(digest.id).collect();
        let size = postcard::experimental::serialized_size(&versions).unwrap_or(0);
        if size <= PART_BYTES {
            self.send_object(to, Blob::Object(digest.id), &[], state);
            return;
        }
        let message = Message::Listing { from: digest.id, to: digest.id, digests: vec![digest] };
        self.queue.push(Lane::Background, to, message);
    }

    fn send_history(&mut self, to: member::Id, reply: bool, state: &State) {
        let history = state.history();
        let applied = self.some(&history.applied, MAX_RANGES);
        let refused = self.some(&history.refused, MAX_RANGES / 4);
        let message = Message::History { summary: state.summary(), applied, refused, reply };
        self.queue.push(Lane::Background, to, message);
    }

    /// Returns the newest ranges and, if there are more, as many at a random place.
    fn some(&mut self, ranges: &Ranges, count: usize) -> Vec<Range> {
        if ranges.len() <= count {
            return ranges.iter().collect();
        }
        let skip = self.rng.random_range(0..ranges.len() - count / 2);
        let newest = ranges.iter().rev().take(count / 2);
        newest.chain(ranges.iter().skip(skip).take(count / 2)).collect()
    }

    fn on_history(
        &mut self,
        from: member::Id,
        summary: Summary,
        (applied, refused): (Vec<Range>, Vec<Range>),
        reply: bool,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        let same = summary.root == state.summary().root;
        let history = History {
            applied: if same { applied } else { Vec::new() }.into(),
            refused: refused.into(),
        };
        let before = state.history().applied.clone();
        state.merge_history(&history);
        // Only the highest number is reported; `State::history` has all.
        if let Some(last) = history.applied.last()
            && !before.contains(last)
        {
            out.push(Action::InForce(last));
        }
        if !reply && same && state.summary().history != summary.history {
            self.send_history(from, true, state);
        }
    }

    fn on_confirm(
        &mut self,
        now: Instant,
        from: member::Id,
        sequence: u32,
        theirs: Summary,
        state: &State,
        out: &mut Vec<Action>,
    ) {
        let summary = state.summary();
        let message = Message::Confirmed { sequence, summary };
        self.queue.force(now, from, message, out);
        if theirs.root != summary.root {
            self.queue.push(Lane::Urgent, from, buckets(state));
        }
    }

    fn on_confirmed(&mut self, from: member::Id, sequence: u32, summary: Summary, state: &State) {
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
    fn ask_again(&mut self, now: Instant, state: &State, out: &mut Vec<Action>) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        if confirmation.is_over(now) {
            self.confirmation = None;
            return;
        }
        if confirmation.asked_at + ASK_AGAIN > now {
            return;
        }
        confirmation.asked_at = now;
        let summary = state.summary();
        let sequence = confirmation.sequence;
        for to in confirmation.responders.clone() {
            let message = Message::Confirm { sequence, summary };
            self.queue.force(now, to, message, out);
        }
    }
}

fn want(blob: Blob) -> Want {
    let parts = Vec::new();
    Want { blob, parts }
}

/// Returns the objects of a ticket that the state has only with lower numbers.
fn lacking<'a>(
    number: Number,
    manifest: &'a [ObjectId],
    state: &'a State,
) -> impl Iterator<Item = ObjectId> + 'a {
    let lacks = move |id: &ObjectId| state.get(*id).is_none_or(|item| item.number < number);
    manifest.iter().copied().filter(lacks)
}

fn buckets(state: &State) -> Message {
    Message::Buckets(state.buckets().iter().map(|hash| *hash as u32).collect())
}

/// Lists a bucket in messages that together cover all its ids.
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
