use std::collections::{BTreeSet, HashMap};

use crate::member::Id;

/// A queued update about one member.
#[derive(Debug, Clone, Copy)]
struct QueuedUpdate {
    /// The number of messages that have carried the update.
    sent: u32,
    /// The position among updates that were sent equally often.
    order: u64,
    /// Whether the update includes the description of the member.
    with_info: bool,
}

/// The updates to piggyback on messages, the least often sent ones first.
///
/// Only the id of the member is queued. The state is looked up when a message is built, so a
/// newer state replaces an older one that is still in the queue.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    updates: HashMap<Id, QueuedUpdate>,
    queue: BTreeSet<(u32, u64, Id)>,
    next_order: u64,
}

impl UpdateQueue {
    /// Queues an update about `id` as if it had been sent `sent` times already.
    pub(super) fn push(&mut self, id: Id, with_info: bool, sent: u32) {
        let with_info = with_info | self.remove(id);
        let order = self.next_order;
        self.next_order += 1;
        self.updates.insert(id, QueuedUpdate { sent, order, with_info });
        self.queue.insert((sent, order, id));
    }

    /// Removes the update about `id` and returns whether it included the description.
    pub(super) fn remove(&mut self, id: Id) -> bool {
        let Some(update) = self.updates.remove(&id) else {
            return false;
        };
        self.queue.remove(&(update.sent, update.order, id));
        update.with_info
    }

    /// Returns the queued ids and whether the description is included, least often sent first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Id, bool)> {
        self.queue
            .iter()
            .map(|(_, _, id)| (*id, self.updates.get(id).is_some_and(|update| update.with_info)))
    }

    /// Returns whether more than `count` updates were sent fewer than `sent` times.
    pub(super) fn has_backlog(&self, count: usize, sent: u32) -> bool {
        self.queue.iter().nth(count).is_some_and(|(done, _, _)| *done < sent)
    }

    /// Counts a message that carries the update about `id`, and removes the update after `limit`
    /// messages.
    pub(super) fn count_sent(&mut self, id: Id, limit: u32) {
        let Some(update) = self.updates.get_mut(&id) else {
            return;
        };
        self.queue.remove(&(update.sent, update.order, id));
        update.sent += 1;
        if update.sent >= limit {
            self.updates.remove(&id);
        } else {
            self.queue.insert((update.sent, update.order, id));
        }
    }
}
