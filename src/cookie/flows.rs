use std::time::{Duration, Instant};

use hashbrown::HashMap;

use crate::cookie::{Cookie, Flow, Packet};

/// What a daemon has seen of one flow.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    /// The cookie of the flow's target.
    pub(super) cookie: Cookie,
    /// Whether a packet after the opening one was seen.
    is_open: bool,
    /// Whether the caller has closed its side. The flow is then no longer counted.
    is_closing: bool,
    /// When the last packet came.
    last: Instant,
    /// The sequence number after the last new data.
    next_sequence: u32,
    /// The highest acknowledgement number.
    acknowledged: u32,
    /// When the oldest packet without an answer was sent for the first time.
    sent: Instant,
    /// Whether a packet has been repeated since `sent`.
    is_repeating: bool,
}

/// What a packet says about its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sign {
    /// The target answered.
    Progress,
    /// The caller repeats a packet that it sent first at this moment.
    Repeat(Instant),
    /// Nothing.
    Neutral,
}

/// A bounded table of the flows that passed through this daemon.
///
/// Losing it costs precision of the load and nothing else.
#[derive(Debug, Clone)]
pub(super) struct Flows {
    seen: HashMap<Flow, Seen>,
    maximum: usize,
}

impl Flows {
    /// Creates an empty table of up to `maximum` flows.
    pub(super) fn new(maximum: usize) -> Flows {
        Flows { seen: HashMap::new(), maximum }
    }

    /// Returns a flow.
    pub(super) fn get(&self, flow: &Flow) -> Option<&Seen> {
        self.seen.get(flow)
    }

    /// Returns the number of flows.
    pub(super) fn len(&self) -> usize {
        self.seen.len()
    }

    /// Removes a flow and returns the cookie of its target if it was counted.
    pub(super) fn remove(&mut self, flow: &Flow) -> Option<Cookie> {
        self.seen.remove(flow).and_then(|seen| seen.counted())
    }

    /// Notes that the caller closes its side. Returns the cookie of the target if the flow was
    /// counted until now.
    pub(super) fn close(&mut self, flow: &Flow) -> Option<Cookie> {
        let seen = self.seen.get_mut(flow)?;
        let counted = seen.counted();
        seen.is_closing = true;
        counted
    }

    /// Notes that an opening packet was sent to a target. Returns the former target if there was
    /// one, and whether the table took the flow.
    pub(super) fn open(
        &mut self,
        now: Instant,
        packet: &Packet,
        cookie: Cookie,
    ) -> (Option<Cookie>, bool) {
        if self.seen.len() >= self.maximum && !self.seen.contains_key(&packet.flow) {
            return (None, false);
        }
        let former = self.seen.insert(packet.flow, Seen::new(now, packet, cookie, false));
        (former.and_then(|seen| seen.counted()), true)
    }

    /// Notes a copy of an opening packet.
    pub(super) fn repeat_open(&mut self, now: Instant, flow: &Flow) -> Sign {
        let Some(seen) = self.seen.get_mut(flow) else {
            return Sign::Neutral;
        };
        seen.last = now;
        seen.is_repeating = true;
        Sign::Repeat(seen.sent)
    }

    /// Notes a later packet of a flow. Returns what it says, and whether the flow is new here.
    pub(super) fn note(
        &mut self,
        now: Instant,
        packet: &Packet,
        retransmission: Duration,
    ) -> (Sign, bool) {
        let Some(seen) = self.seen.get_mut(&packet.flow) else {
            if self.seen.len() >= self.maximum {
                return (Sign::Neutral, false);
            }
            self.seen.insert(packet.flow, Seen::new(now, packet, packet.cookie, true));
            return (Sign::Neutral, true);
        };
        (seen.note(now, packet, retransmission), false)
    }

    /// Removes up to `limit` flows whose target `is_lost`, and returns them with the acknowledgement
    /// number that their callers sent last.
    pub(super) fn give_up(
        &mut self,
        limit: usize,
        is_lost: impl Fn(Cookie) -> bool,
    ) -> Vec<(Flow, u32, Seen)> {
        self.seen
            .extract_if(|_, seen| seen.is_open && is_lost(seen.cookie))
            .take(limit)
            .map(|(flow, seen)| (flow, seen.acknowledged, seen))
            .collect()
    }

    /// Removes the flows without packets for `idle`, and returns the cookies of the targets of
    /// those that were counted.
    pub(super) fn sweep(&mut self, now: Instant, idle: Duration) -> Vec<Cookie> {
        self.seen
            .extract_if(|_, seen| now.saturating_duration_since(seen.last) >= idle)
            .filter_map(|(_, seen)| seen.counted())
            .collect()
    }
}

impl Seen {
    pub(super) fn counted(&self) -> Option<Cookie> {
        (!self.is_closing).then_some(self.cookie)
    }

    fn new(now: Instant, packet: &Packet, cookie: Cookie, is_open: bool) -> Seen {
        Seen {
            cookie,
            is_open,
            is_closing: false,
            last: now,
            next_sequence: packet.sequence.wrapping_add(u32::from(packet.length)),
            acknowledged: if is_open { packet.acknowledged } else { 0 },
            sent: now,
            is_repeating: false,
        }
    }

    fn note(&mut self, now: Instant, packet: &Packet, retransmission: Duration) -> Sign {
        self.last = now;
        let end = packet.sequence.wrapping_add(u32::from(packet.length));
        let is_advancing = !self.is_open || is_after(packet.acknowledged, self.acknowledged);
        let is_new = !self.is_open || is_after(end, self.next_sequence);
        if is_new {
            self.next_sequence = end;
        }
        if is_advancing {
            self.is_open = true;
            self.acknowledged = packet.acknowledged;
            self.sent = now;
            self.is_repeating = false;
            return Sign::Progress;
        }
        if packet.length == 0 {
            return Sign::Neutral;
        }
        if is_new {
            if !self.is_repeating {
                self.sent = now;
            }
            return Sign::Neutral;
        }
        if now.saturating_duration_since(self.sent) < retransmission {
            return Sign::Neutral;
        }
        self.is_repeating = true;
        Sign::Repeat(self.sent)
    }
}

/// Returns whether the sequence number `a` comes after `b`.
fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b) as i32 > 0
}
