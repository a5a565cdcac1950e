use std::{
    collections::{HashSet, VecDeque},
    time::Instant,
};

use crate::{
    member,
    spread::{Action, Blob, Config, Message},
    util::TokenBucket,
};

/// The bytes around an encoded message: 27 of the frame, 28 of IPv4 and UDP.
const OVERHEAD_BYTES: usize = 55;

/// Bounds the memory at about 2.4 MB of full messages.
const MAX_URGENT: usize = 1_536;
const MAX_BACKGROUND: usize = 512;

/// The messages that wait for the control budget.
#[derive(Debug)]
pub(super) struct Queue {
    bucket: TokenBucket,
    reserve: f64,
    urgent: VecDeque<(member::Id, Message)>,
    background: VecDeque<(member::Id, Message)>,
    /// The parts that wait. A receiver that asks again must not get them twice.
    parts: HashSet<(member::Id, Blob, u32, u16)>,
    sent_bytes: u64,
    dropped: u64,
}

impl Queue {
    pub(super) fn new(config: &Config, now: Instant) -> Queue {
        Queue {
            bucket: TokenBucket::new(config.rate, config.burst, now),
            reserve: config.reserve,
            urgent: VecDeque::new(),
            background: VecDeque::new(),
            parts: HashSet::new(),
            sent_bytes: 0,
            dropped: 0,
        }
    }

    /// Queues a message about a new ticket.
    pub(super) fn urgent(&mut self, to: member::Id, message: Message) {
        if self.urgent.len() >= MAX_URGENT {
            self.dropped += 1;
        } else if part(to, &message).is_none_or(|part| self.parts.insert(part)) {
            self.urgent.push_back((to, message));
        }
    }

    /// Queues a message of the comparison of states, which may wait.
    pub(super) fn background(&mut self, to: member::Id, message: Message) {
        if self.background.len() >= MAX_BACKGROUND {
            self.dropped += 1;
        } else if part(to, &message).is_none_or(|part| self.parts.insert(part)) {
            self.background.push_back((to, message));
        }
    }

    /// Sends a message at once, whatever the budget.
    pub(super) fn force(
        &mut self,
        now: Instant,
        to: member::Id,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let size = size(&message);
        self.bucket.force(now, size as f64);
        self.sent_bytes += size as u64;
        out.push(Action::Send { to, message });
    }

    /// Sends as many messages as the budget allows, new tickets first.
    pub(super) fn flush(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some((_, message)) = self.urgent.front() {
            let size = size(message);
            if !self.bucket.take(now, size as f64) {
                return;
            }
            self.sent_bytes += size as u64;
            if let Some((to, message)) = self.urgent.pop_front() {
                self.forget(to, &message);
                out.push(Action::Send { to, message });
            }
        }
        while let Some((_, message)) = self.background.front() {
            let size = size(message);
            let reserved = self.bucket.available(now) < size as f64 + self.reserve;
            if reserved || !self.bucket.take(now, size as f64) {
                return;
            }
            self.sent_bytes += size as u64;
            if let Some((to, message)) = self.background.pop_front() {
                self.forget(to, &message);
                out.push(Action::Send { to, message });
            }
        }
    }

    fn forget(&mut self, to: member::Id, message: &Message) {
        if let Some(part) = part(to, message) {
            self.parts.remove(&part);
        }
    }

    /// Returns the bytes sent, with frames and headers.
    pub(super) fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns the messages dropped because a queue was full.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether a message waits for the budget.
    pub(super) fn is_idle(&self) -> bool {
        self.urgent.is_empty() && self.background.is_empty()
    }
}

fn part(to: member::Id, message: &Message) -> Option<(member::Id, Blob, u32, u16)> {
    match message {
        Message::Part(part) => Some((to, part.blob, part.hash, part.index)),
        _ => None,
    }
}

fn size(message: &Message) -> usize {
    let encoded = postcard::experimental::serialized_size(message).unwrap_or(0);
    encoded + OVERHEAD_BYTES
}
