//! Requests for tickets and objects, and the parts that answer them.
//!
//! An object may be larger than a message, so it is sent in parts. Answers to announcements go
//! before those to comparisons, because a new ticket must not wait for a repair.

use std::time::Instant;

use crate::{
    member,
    spread::{
        Action, Blob, Message, Part, Want, assembly,
        message::PART_BYTES,
        queue::Lane,
        spreader::{Spreader, comparing::buckets},
    },
    ticket::{Item, MergeOutcome, ObjectId, State},
};

/// The requests in one message; with 13 bytes each they fit.
const MAX_WANTS: usize = 64;

/// Objects of more parts wait behind other tickets. Services of 14 targets have 2 parts.
const LARGE_PARTS: usize = 4;

impl Spreader {
    /// Sends requests; those about new tickets go before those of a comparison.
    pub(super) fn request(&mut self, to: member::Id, wants: Vec<Want>) {
        for chunk in wants.chunks(MAX_WANTS) {
            let message = Message::Request(chunk.to_vec());
            if chunk.iter().all(|want| matches!(want.blob, Blob::Object(_))) {
                self.queue.push(Lane::Background, to, message);
            } else {
                self.queue.push(Lane::Urgent, to, message);
            }
        }
    }

    pub(super) fn on_request(&mut self, from: member::Id, wants: Vec<Want>, state: &State) {
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

    pub(super) fn send_object(&mut self, to: member::Id, blob: Blob, parts: &[u16], state: &State) {
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

    pub(super) fn on_part(
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
                    if merged.state_changed && matches!(blob, Blob::Object(_)) {
                        self.compare_soon(now);
                    }
                    self.report(merged, out);
                }
                Err(_) => self.counters.malformed += 1,
            },
        }
        self.complete(now, state, out);
    }

    fn report(&mut self, merged: MergeOutcome, out: &mut Vec<Action>) {
        self.counters.conflicts += merged.conflicts as u64;
        self.counters.invalid += merged.invalid.len() as u64;
        if merged.state_changed {
            let objects = merged.changed;
            out.push(Action::Changed { objects });
        }
        if !merged.invalid.is_empty() {
            out.push(Action::Invalid(merged.invalid));
        }
    }
}

pub(super) fn want(blob: Blob) -> Want {
    let parts = Vec::new();
    Want { blob, parts }
}
