use std::{
    collections::{HashSet, VecDeque},
    time::Instant,
};

use crate::{
    member,
    spread::{Action, Blob, Config, Message},
    util::TokenBucket,
};

/// The bytes around an encoded message: 27 of the frame and 28 of the IPv4 and UDP headers.
const OVERHEAD_BYTES: usize = 55;

/// The priority of a queued message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrafficClass {
    /// Messages about new tickets, which are sent first.
    Urgent,
    /// Parts of large objects. A service of 1,024 targets takes almost a minute at 2 KB/s, and
    /// other tickets must not wait for it.
    Bulk,
    /// Messages of the comparison of states.
    Background,
}

/// All traffic classes, the one sent first in front.
const TRAFFIC_CLASSES: [TrafficClass; 3] =
    [TrafficClass::Urgent, TrafficClass::Bulk, TrafficClass::Background];

impl TrafficClass {
    /// Returns the maximum number of queued messages.
    ///
    /// For urgent and background messages it limits the memory, to 2 MB if all messages have the
    /// maximum size. For large objects it makes members request them from another member that has
    /// them by now, instead of waiting for minutes.
    fn limit(self) -> usize {
        match self {
            TrafficClass::Urgent => 1_024,
            TrafficClass::Bulk => 192,
            TrafficClass::Background => 512,
        }
    }

    /// Returns the bytes of the budget that are reserved for more urgent traffic classes.
    fn reserve(self, config_reserve: f64) -> f64 {
        match self {
            TrafficClass::Urgent => 0.0,
            TrafficClass::Bulk => config_reserve / 2.0,
            TrafficClass::Background => config_reserve,
        }
    }
}

/// The messages that wait for the budget of control traffic.
#[derive(Debug)]
pub(super) struct Queue {
    bucket: TokenBucket,
    reserve: f64,
    /// The waiting messages by traffic class.
    queues: [VecDeque<(member::Id, Message)>; 3],
    /// The keys of the queued parts, so that a part that is requested again is not sent twice.
    parts: HashSet<(member::Id, Blob, u32, u16)>,
    sent_bytes: u64,
    dropped: u64,
}

impl Queue {
    pub(super) fn new(config: &Config, now: Instant) -> Queue {
        Queue {
            bucket: TokenBucket::new(config.rate, config.burst, now),
            reserve: config.reserve,
            queues: [const { VecDeque::new() }; 3],
            parts: HashSet::new(),
            sent_bytes: 0,
            dropped: 0,
        }
    }

    /// Queues a message. It is dropped if the queue of its traffic class is full, and ignored if
    /// it is a part that is queued already.
    pub(super) fn push(&mut self, traffic_class: TrafficClass, to: member::Id, message: Message) {
        let waiting = &mut self.queues[traffic_class as usize];
        if waiting.len() >= traffic_class.limit() {
            self.dropped += 1;
        } else if part(to, &message).is_none_or(|part| self.parts.insert(part)) {
            waiting.push_back((to, message));
        }
    }

    /// Sends a message at once, even if that exceeds the budget.
    pub(super) fn force(
        &mut self,
        now: Instant,
        to: member::Id,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let size = size(&message);
        self.bucket.debit(now, size as f64);
        self.sent_bytes += size as u64;
        out.push(Action::Send { to, message });
    }

    /// Sends as many messages as the budget allows, in the order of the traffic classes.
    pub(super) fn flush(&mut self, now: Instant, out: &mut Vec<Action>) {
        for traffic_class in TRAFFIC_CLASSES {
            let reserve = traffic_class.reserve(self.reserve);
            while let Some((_, message)) = self.queues[traffic_class as usize].front() {
                let size = size(message);
                let needed = size as f64 + reserve;
                if self.bucket.available(now) < needed || !self.bucket.take(now, size as f64) {
                    break;
                }
                self.sent_bytes += size as u64;
                if let Some((to, message)) = self.queues[traffic_class as usize].pop_front() {
                    if let Some(part) = part(to, &message) {
                        self.parts.remove(&part);
                    }
                    out.push(Action::Send { to, message });
                }
            }
        }
    }

    /// Returns the bytes sent, including frames and IP and UDP headers.
    pub(super) fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// Returns the number of messages dropped because a queue was full.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether no message waits for the budget.
    pub(super) fn is_idle(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }
}

/// Returns the key of a message that carries a part.
fn part(to: member::Id, message: &Message) -> Option<(member::Id, Blob, u32, u16)> {
    match message {
        Message::Part(part) => Some((to, part.blob, part.hash, part.index)),
        _ => None,
    }
}

/// Returns the bytes that a message takes on the network.
fn size(message: &Message) -> usize {
    let encoded = postcard::experimental::serialized_size(message).unwrap_or(0);
    encoded + OVERHEAD_BYTES
}
