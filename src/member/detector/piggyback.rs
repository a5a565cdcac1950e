//! Updates piggybacked on the messages of the detector.
//!
//! Updates need no messages of their own, so the message rate does not grow with the number of
//! changes. The size of a message is limited; updates that were sent least often go first.

use std::sync::Arc;

use postcard::ser_flavors::Size;

use crate::member::{Detector, Id, Status, Update};

/// The maximum number of bytes in a message besides its updates.
pub(super) const MESSAGE_HEADER_BYTES: usize = 16;

impl Detector {
    /// Returns the number of messages that carry an update: 3·log2(n) for n members, at least 6.
    pub(super) fn send_limit(&self) -> u32 {
        let members = (self.ping_order.len() + 1).max(4) as f64;
        (3.0 * members.log2()).ceil() as u32
    }

    /// Returns an update with the state of the member `id`, and with its description if
    /// `with_info` is set.
    pub(super) fn update_about(&self, id: Id, with_info: bool) -> Option<Update> {
        let member = self.view.get(id)?;
        Some(Update {
            id,
            incarnation: member.incarnation,
            status: member.status,
            checksum: member.info.checksum(),
            info: with_info.then(|| Arc::new(member.info.clone())),
        })
    }

    /// Returns an update that the next message to the member `id` must carry, if there is one.
    ///
    /// It tells a member that is suspected or taken for failed or left of that state, so that the
    /// member can refute it, and a member that is not known the description of the local member.
    pub(super) fn correction_for(&self, id: Id) -> Option<Update> {
        match self.view.get(id).map(|member| member.status) {
            Some(Status::Alive | Status::Leaving) => None,
            Some(_) => self.update_about(id, false),
            None => self.update_about(self.own, true),
        }
    }

    /// Adds queued updates to `updates` up to the limits of a message.
    pub(super) fn piggyback(&mut self, mut updates: Vec<Update>) -> Vec<Update> {
        updates.truncate(self.config.max_updates);
        let limit = self.config.max_message_bytes - MESSAGE_HEADER_BYTES;
        let mut bytes: usize = updates.iter().map(size).sum();
        let mut sent = Vec::new();
        // Looks at twice as many updates as fit, because a smaller one may fit after one that does
        // not.
        for (id, with_info) in self.update_queue.iter().take(2 * self.config.max_updates) {
            if updates.len() >= self.config.max_updates {
                break;
            }
            if updates.iter().any(|update| update.id == id) {
                continue;
            }
            let Some(update) = self.update_about(id, with_info) else {
                sent.push((id, 0));
                continue;
            };
            let size = size(&update);
            if bytes + size <= limit {
                bytes += size;
                sent.push((id, self.send_limit()));
                updates.push(update);
            }
        }
        for (id, limit) in sent {
            self.update_queue.count_sent(id, limit);
        }
        updates
    }
}

/// Returns the encoded size of `update` in bytes.
pub(super) fn size(update: &Update) -> usize {
    postcard::serialize_with_flavor(update, Size::default()).unwrap_or(usize::MAX / 16)
}
