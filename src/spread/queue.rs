use std::{
    collections::{HashSet, VecDeque},
    time::Instant,
};

use crate::{
    member,
    spread::{Action, Blob, Config, Message},
    util::TokenBucket,
};

/// The bytes around an encoded message: 27 of the frame (26 for its header and authentication tag,
/// one for the type of its body) and 28 of the IPv4 and UDP headers.
const OVERHEAD_BYTES: usize = 55;

/// The priority of a queued message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TrafficClass {
    /// Messages about new tickets, which are sent first.
    Urgent,
    /// Parts of large objects. A service of 1,024 targets takes almost a minute at 2 KB/s, and
    /// other tickets must not wait until the service is sent.
    Bulk,
    /// Messages of anti-entropy.
    Background,
}

/// All traffic classes, the one sent first in front.
const TRAFFIC_CLASSES: [TrafficClass; 3] =
    [TrafficClass::Urgent, TrafficClass::Bulk, TrafficClass::Background];

impl TrafficClass {
    /// Returns the maximum number of queued messages.
    ///
    /// For urgent and background messages the maximum limits the memory, to 2 MB if all messages
    /// have the maximum size. Parts of large objects beyond the maximum are dropped, so that the
    /// members which lack them do not wait for minutes but request the objects from another member
    /// that has received them by then.
    fn limit(self) -> usize {
        match self {
            TrafficClass::Urgent => 1_024,
            TrafficClass::Bulk => 192,
            TrafficClass::Background => 512,
        }
    }

    /// Returns the bytes of the burst that are reserved for more urgent traffic classes.
    fn reserved_bytes(self, config_reserve: f64) -> f64 {
        match self {
            TrafficClass::Urgent => 0.0,
            TrafficClass::Bulk => config_reserve / 2.0,
            TrafficClass::Background => config_reserve,
        }
    }
}

/// The messages that wait until the rate limit of control messages allows sending them.
#[derive(Debug)]
pub(super) struct Queue {
    /// Limits the bytes of control messages per second.
    rate_limiter: TokenBucket,
    /// The bytes of the burst that background messages leave to the other traffic classes. Bulk
    /// messages leave half as many to urgent ones.
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
            rate_limiter: TokenBucket::new(config.rate, config.burst, now),
            reserve: config.reserve,
            queues: [const { VecDeque::new() }; 3],
            parts: HashSet::new(),
            sent_bytes: 0,
            dropped: 0,
        }
    }

    /// Queues a message. The message is dropped if the queue of its traffic class is full, and
    /// ignored if it carries a part that is queued for the same member already.
    pub(super) fn push(&mut self, traffic_class: TrafficClass, to: member::Id, message: Message) {
        let waiting = &mut self.queues[traffic_class as usize];
        if waiting.len() >= traffic_class.limit() {
            self.dropped += 1;
        } else if part_key(to, &message).is_none_or(|part| self.parts.insert(part)) {
            waiting.push_back((to, message));
        }
    }

    /// Sends a message at once, even if that exceeds the rate limit.
    pub(super) fn force(
        &mut self,
        now: Instant,
        to: member::Id,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let size = size(&message);
        self.rate_limiter.debit(now, size as f64);
        self.sent_bytes += size as u64;
        out.push(Action::Send { to, message });
    }

    /// Sends as many messages as the rate limit allows, in the order of the traffic classes.
    pub(super) fn flush(&mut self, now: Instant, out: &mut Vec<Action>) {
        for traffic_class in TRAFFIC_CLASSES {
            let reserve = traffic_class.reserved_bytes(self.reserve);
            while let Some((_, message)) = self.queues[traffic_class as usize].front() {
                let size = size(message);
                let needed = size as f64 + reserve;
                if self.rate_limiter.available(now) < needed
                    || !self.rate_limiter.take(now, size as f64)
                {
                    break;
                }
                self.sent_bytes += size as u64;
                if let Some((to, message)) = self.queues[traffic_class as usize].pop_front() {
                    if let Some(part) = part_key(to, &message) {
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

    /// Returns whether no message is queued.
    pub(super) fn is_idle(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }
}

/// Returns the key by which a queued part is recognized, or `None` for other messages.
fn part_key(to: member::Id, message: &Message) -> Option<(member::Id, Blob, u32, u16)> {
    match message {
        Message::Part(part) => Some((to, part.blob, part.hash, part.index)),
        _ => None,
    }
}

/// Returns the bytes that a message takes on the network.
fn size(message: &Message) -> usize {
    // The types of a message can always be encoded, so there is no error to handle.
    let encoded = postcard::experimental::serialized_size(message).unwrap_or(0);
    encoded + OVERHEAD_BYTES
}
