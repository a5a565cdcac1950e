//! Requests for tickets and objects, and the parts that answer them.
//!
//! An object may be larger than a message, so it is sent in parts. Requests and parts for announced
//! tickets are sent before those of anti-entropy, because a new ticket must not wait for a repair.

use std::time::Instant;

use crate::{
    member,
    spread::{
        Action, Blob, BlobRequest, Message, Part,
        disseminator::{Disseminator, anti_entropy::buckets},
        message::PART_BYTES,
        queue::TrafficClass,
        reassembly,
    },
    ticket::{Item, MergeOutcome, ObjectId, State},
};

/// The maximum number of requests in one message. With 13 bytes each they fit in a message.
const MAX_BLOB_REQUESTS: usize = 64;

/// The number of parts above which an object is sent after other new tickets. A service of 14
/// targets has 2 parts.
const LARGE_PARTS: usize = 4;

impl Disseminator {
    /// Sends requests. Those for new tickets are urgent, those of anti-entropy are not.
    pub(super) fn request(&mut self, to: member::Id, blob_requests: Vec<BlobRequest>) {
        for chunk in blob_requests.chunks(MAX_BLOB_REQUESTS) {
            let message = Message::Request(chunk.to_vec());
            if chunk.iter().all(|blob_request| matches!(blob_request.blob, Blob::Object(_))) {
                self.queue.push(TrafficClass::Background, to, message);
            } else {
                self.queue.push(TrafficClass::Urgent, to, message);
            }
        }
    }

    /// Sends the requested blobs.
    pub(super) fn on_request(
        &mut self,
        from: member::Id,
        blob_requests: Vec<BlobRequest>,
        state: &State,
    ) {
        for blob_request in blob_requests.into_iter().take(MAX_BLOB_REQUESTS) {
            match blob_request.blob {
                Blob::Ticket(number) => {
                    let Some(manifest) = self.manifests.get(&number).cloned() else {
                        if state.history().is_applied(number) {
                            self.queue.push(TrafficClass::Background, from, buckets(state));
                        }
                        continue;
                    };
                    self.send(from, blob_request.blob, &manifest, &blob_request.parts);
                    // The objects are sent without a request, which saves a round trip.
                    if blob_request.parts.is_empty() {
                        for id in manifest {
                            self.send_object(from, Blob::Newest(id), &[], state);
                        }
                    }
                }
                Blob::Newest(_) | Blob::Object(_) => {
                    self.send_object(from, blob_request.blob, &blob_request.parts, state);
                }
            }
        }
    }

    /// Sends the parts with indices in `parts`, or all parts, of an object.
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

    /// Encodes a value as a blob and sends its parts.
    fn send<T: serde::Serialize>(&mut self, to: member::Id, blob: Blob, value: &T, parts: &[u16]) {
        let Ok(bytes) = postcard::to_stdvec(value) else {
            return;
        };
        let traffic_class = match blob {
            Blob::Object(_) => TrafficClass::Background,
            _ if bytes.len() > LARGE_PARTS * PART_BYTES => TrafficClass::Bulk,
            Blob::Ticket(_) | Blob::Newest(_) => TrafficClass::Urgent,
        };
        for part in reassembly::split(blob, &bytes, parts) {
            self.queue.push(traffic_class, to, Message::Part(part));
        }
    }

    /// Adds a part to its blob, and merges the blob into the state if it is complete.
    pub(super) fn on_part(
        &mut self,
        now: Instant,
        from: member::Id,
        part: Part,
        state: &mut State,
        out: &mut Vec<Action>,
    ) {
        let blob = part.blob;
        let Some(bytes) = self.reassembler.insert(now, from, part) else {
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
                        self.schedule_comparison(now);
                    }
                    self.report_merge(merged, out);
                }
                Err(_) => self.counters.malformed += 1,
            },
        }
        self.apply_complete_tickets(now, state, out);
    }

    /// Counts and reports the changes of the state and the items that failed validation.
    fn report_merge(&mut self, merged: MergeOutcome, out: &mut Vec<Action>) {
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

/// Returns a request for all parts of a blob.
pub(super) fn whole_blob_request(blob: Blob) -> BlobRequest {
    let parts = Vec::new();
    BlobRequest { blob, parts }
}
