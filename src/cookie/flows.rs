use std::time::{Duration, Instant};

use hashbrown::HashMap;

use crate::cookie::{Cookie, Flow, Packet, Tuning};

/// The state of one flow, derived from the packets that this daemon saw.
#[derive(Debug, Clone)]
pub(super) struct FlowState {
    /// The cookie of the flow's target.
    pub(super) cookie: Cookie,
    /// Whether a packet after the opening packet was seen.
    is_open: bool,
    /// Whether the caller has closed its side. The flow then no longer adds to the load of its
    /// target.
    is_closing: bool,
    /// Whether the caller waits for an answer.
    is_waiting: bool,
    /// When the last packet arrived.
    last_packet_at: Instant,
    /// The sequence number after the last byte of data.
    next_sequence: u32,
    /// The caller's highest acknowledgement number: the sequence number of the next byte that it
    /// expects from the target.
    acknowledged: u32,
    /// When the oldest unanswered packet was first sent.
    unanswered_since: Instant,
    /// Whether a packet has been retransmitted since `unanswered_since`.
    is_retransmitting: bool,
}

/// Which daemon sent the packet to the target that the target has now answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SentBy {
    /// This daemon: the target answered before the caller could retransmit the packet.
    ThisDaemon,
    /// This daemon or another one, to which the fabric may have sent a retransmission.
    AnyDaemon,
}

/// What a packet shows about the health of the flow's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Signal {
    /// The target answered the opening packet after this time.
    OpenAnswered(Duration, SentBy),
    /// The target answered a later packet.
    Answered(SentBy),
    /// The caller retransmits a packet that it first sent at this time.
    Retransmitted(Instant),
    /// The packet shows neither an answer nor a retransmission.
    Neutral,
}

/// The number of flows of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Load {
    /// The number of open flows.
    pub(super) open: u32,
    /// The number of open flows whose callers wait for an answer.
    pub(super) waiting: u32,
}

/// A bounded table of the flows that passed through this daemon, with the load of each target.
///
/// The loss of the table only makes the loads less accurate; packets are still forwarded by their
/// cookies.
#[derive(Debug, Clone)]
pub(super) struct Flows {
    states: HashMap<Flow, FlowState>,
    loads: HashMap<Cookie, Load>,
    maximum: usize,
}

impl Flows {
    /// Creates an empty table of up to `maximum` flows.
    pub(super) fn new(maximum: usize) -> Flows {
        Flows { states: HashMap::new(), loads: HashMap::new(), maximum }
    }

    /// Returns the cookie of a flow's target.
    pub(super) fn cookie(&self, flow: &Flow) -> Option<Cookie> {
        self.states.get(flow).map(|state| state.cookie)
    }

    /// Returns the number of flows in the table.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns the load of a target.
    pub(super) fn load(&self, cookie: Cookie) -> Load {
        self.loads.get(&cookie).copied().unwrap_or_default()
    }

    /// Returns the cookies of the targets that have open flows.
    pub(super) fn targets(&self) -> impl Iterator<Item = Cookie> {
        self.loads.keys().copied()
    }

    /// Removes a flow.
    pub(super) fn remove(&mut self, flow: &Flow) {
        if let Some(state) = self.states.remove(flow) {
            replace_share(&mut self.loads, state.load_share(), None);
        }
    }

    /// Records that the caller closes its side of a flow.
    pub(super) fn close(&mut self, flow: &Flow) {
        if let Some(state) = self.states.get_mut(flow) {
            replace_share(&mut self.loads, state.load_share(), None);
            state.is_closing = true;
        }
    }

    /// Records a new flow, whose opening packet was sent to the target with `cookie`.
    pub(super) fn open(&mut self, now: Instant, packet: &Packet, cookie: Cookie) {
        self.remove(&packet.flow);
        self.insert(now, packet, cookie, false);
    }

    /// Records a retransmission of an opening packet.
    pub(super) fn record_repeated_open(&mut self, now: Instant, flow: &Flow) -> Signal {
        let Some(state) = self.states.get_mut(flow) else {
            return Signal::Neutral;
        };
        state.last_packet_at = now;
        state.is_retransmitting = true;
        Signal::Retransmitted(state.unanswered_since)
    }

    /// Records a packet after the opening packet, and returns what it shows about the target.
    pub(super) fn record_packet(
        &mut self,
        now: Instant,
        packet: &Packet,
        tuning: &Tuning,
    ) -> Signal {
        // Another daemon may have sent a retransmission of the opening packet to another target.
        if self.cookie(&packet.flow).is_some_and(|cookie| cookie != packet.cookie) {
            self.remove(&packet.flow);
        }
        let Some(state) = self.states.get_mut(&packet.flow) else {
            self.insert(now, packet, packet.cookie, true);
            return Signal::Neutral;
        };
        let before = state.load_share();
        let signal = state.record_packet(now, packet, tuning);
        replace_share(&mut self.loads, before, state.load_share());
        signal
    }

    /// Treats all unanswered packets as if they were first sent at `now`, so that the time before
    /// `now` does not count as time without an answer.
    pub(super) fn restart_timers(&mut self, now: Instant) {
        for state in self.states.values_mut() {
            state.unanswered_since = now;
            state.is_retransmitting = false;
        }
    }

    /// Removes up to `limit` open flows for whose target `is_lost` returns true. Returns each of
    /// them with the target's cookie and the caller's last acknowledgement number.
    pub(super) fn remove_lost(
        &mut self,
        limit: usize,
        is_lost: impl Fn(Cookie) -> bool,
    ) -> Vec<(Flow, Cookie, u32)> {
        let lost: Vec<(Flow, FlowState)> = self
            .states
            .extract_if(|_, state| state.is_open && is_lost(state.cookie))
            .take(limit)
            .collect();
        for (_, state) in &lost {
            replace_share(&mut self.loads, state.load_share(), None);
        }
        lost.into_iter().map(|(flow, state)| (flow, state.cookie, state.acknowledged)).collect()
    }

    /// Removes the flows that had no packet for `idle_timeout`.
    pub(super) fn sweep(&mut self, now: Instant, idle_timeout: Duration) {
        let loads = &mut self.loads;
        self.states.retain(|_, state| {
            let is_kept = now.saturating_duration_since(state.last_packet_at) < idle_timeout;
            if !is_kept {
                replace_share(loads, state.load_share(), None);
            }
            is_kept
        });
    }

    fn insert(&mut self, now: Instant, packet: &Packet, cookie: Cookie, is_open: bool) {
        if self.states.len() < self.maximum {
            let state = FlowState::new(now, packet, cookie, is_open);
            replace_share(&mut self.loads, None, state.load_share());
            self.states.insert(packet.flow, state);
        }
    }
}

/// The contribution of a flow to the load of its target; `None` if the flow is closing.
type LoadShare = Option<(Cookie, Load)>;

/// Replaces the contribution `before` of a flow to the load of its target by `after`.
fn replace_share(loads: &mut HashMap<Cookie, Load>, before: LoadShare, after: LoadShare) {
    if before == after {
        return;
    }
    if let Some((cookie, part)) = after {
        let load = loads.entry(cookie).or_default();
        load.open += part.open;
        load.waiting += part.waiting;
    }
    if let Some((cookie, part)) = before
        && let Some(load) = loads.get_mut(&cookie)
    {
        load.open -= part.open;
        load.waiting -= part.waiting;
        if load.open == 0 {
            loads.remove(&cookie);
        }
    }
}

impl FlowState {
    fn new(now: Instant, packet: &Packet, cookie: Cookie, is_open: bool) -> FlowState {
        FlowState {
            cookie,
            is_open,
            is_closing: false,
            is_waiting: !is_open || packet.length > 0,
            last_packet_at: now,
            next_sequence: packet.sequence.wrapping_add(u32::from(packet.length)),
            acknowledged: if is_open { packet.acknowledged } else { 0 },
            unanswered_since: now,
            is_retransmitting: false,
        }
    }

    fn load_share(&self) -> LoadShare {
        let load = Load { open: 1, waiting: u32::from(self.is_waiting) };
        (!self.is_closing).then_some((self.cookie, load))
    }

    fn record_packet(&mut self, now: Instant, packet: &Packet, tuning: &Tuning) -> Signal {
        let was_unseen =
            now.saturating_duration_since(self.last_packet_at) >= tuning.retransmission_window;
        self.last_packet_at = now;
        if was_unseen && self.is_open {
            // The flow was idle, or its packets passed through other daemons.
            self.unanswered_since = now;
            self.is_retransmitting = false;
        }
        let end = packet.sequence.wrapping_add(u32::from(packet.length));
        let is_opening = !self.is_open;
        let is_advancing = is_opening || is_after(packet.acknowledged, self.acknowledged);
        let is_new = is_opening || is_after(end, self.next_sequence);
        if is_new {
            self.next_sequence = end;
        }
        if is_advancing {
            let waited = now.saturating_duration_since(self.unanswered_since);
            let is_own = !self.is_retransmitting
                && !was_unseen
                && waited < tuning.minimum_retransmission_delay;
            let sent_by = if is_own { SentBy::ThisDaemon } else { SentBy::AnyDaemon };
            self.is_open = true;
            self.acknowledged = packet.acknowledged;
            self.unanswered_since = now;
            self.is_retransmitting = false;
            // The caller sends its request directly after the handshake.
            self.is_waiting = is_opening || packet.length > 0;
            return if is_opening {
                Signal::OpenAnswered(waited, sent_by)
            } else {
                Signal::Answered(sent_by)
            };
        }
        if packet.length == 0 {
            return Signal::Neutral;
        }
        self.is_waiting = true;
        if is_new {
            if !self.is_retransmitting {
                self.unanswered_since = now;
            }
            return Signal::Neutral;
        }
        if now.saturating_duration_since(self.unanswered_since)
            < tuning.minimum_retransmission_delay
        {
            return Signal::Neutral;
        }
        self.is_retransmitting = true;
        Signal::Retransmitted(self.unanswered_since)
    }
}

/// Returns whether the sequence number `a` comes after `b`.
fn is_after(a: u32, b: u32) -> bool {
    a.wrapping_sub(b) as i32 > 0
}
