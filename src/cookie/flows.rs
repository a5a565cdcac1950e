use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use hashbrown::HashMap;

use crate::cookie::{
    Cookie, Flow, Packet, Tuning,
    work::{Answer, Pending, Stage},
};

/// The state of one flow, derived from the packets that this daemon saw.
#[derive(Debug, Clone)]
pub(super) struct FlowState {
    /// The service address of the flow.
    service: SocketAddrV4,
    /// The cookie of the flow's target.
    pub(super) cookie: Cookie,
    /// The sequence number of the opening packet, if this daemon saw it. A later flow between the
    /// same addresses and ports has another one.
    opening_sequence: Option<u32>,
    /// Whether a packet after the opening packet was seen.
    is_established: bool,
    /// Whether the caller has closed its side. The flow then no longer adds to the load of its
    /// target.
    is_closing: bool,
    /// Whether the caller waits for an answer.
    is_waiting: bool,
    /// When the first packet to this target arrived.
    first_packet_at: Instant,
    /// When the last packet arrived.
    last_packet_at: Instant,
    /// The sequence number after the last byte of data.
    next_sequence: u32,
    /// The caller's highest acknowledgement number: the sequence number of the next byte that it
    /// expects from the target; 0 until a packet after the opening packet was seen.
    acknowledged: u32,
    /// The start of the time without an answer: when this daemon last saw an answer of the target
    /// or, while no packet is being retransmitted, new data of the caller. A gap in the flow's
    /// packets and [`Flows::restart_timers`] also restart it.
    unanswered_since: Instant,
    /// Whether the caller has retransmitted a packet since `unanswered_since`.
    is_retransmitting: bool,
    /// Whether the process was paused before the opening packet was answered, so that the time until
    /// the answer is not known.
    was_opening_paused: bool,
    /// The round-trip time between caller and target at the opening of the flow.
    round_trip: Option<Duration>,
    /// The request that is not answered yet, if this daemon saw its first packet.
    request: Option<Request>,
}

/// A request that its target has not answered yet.
#[derive(Debug, Clone, Copy)]
struct Request {
    /// When the first packet of the request arrived.
    sent_at: Instant,
    /// Whether the caller retransmitted a packet of the request.
    is_retransmitted: bool,
}

/// Which daemon forwarded the packet that the target has now answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SentBy {
    /// This daemon: the target answered before the caller could retransmit the packet.
    ThisDaemon,
    /// It is not known which daemon forwarded the packet: the fabric may have sent a retransmission
    /// to another daemon.
    Unknown,
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
    /// The number of flows that their callers have not closed.
    pub(super) open: u32,
    /// The number of these flows whose callers wait for an answer.
    pub(super) waiting: u32,
}

/// The load of one target and its pending requests.
#[derive(Debug, Clone, Default)]
struct TargetLoad {
    load: Load,
    pending: Vec<Pending>,
}

/// A bounded table of the flows that passed through this daemon, with the load of each target.
///
/// The loss of the table only makes the loads less accurate; packets are still forwarded by their
/// cookies.
#[derive(Debug, Clone)]
pub(super) struct Flows {
    states: HashMap<Flow, FlowState>,
    loads: HashMap<Cookie, TargetLoad>,
    maximum: usize,
    /// The number of requests that began.
    requests: u64,
}

impl Flows {
    /// Creates an empty table of up to `maximum` flows.
    pub(super) fn new(maximum: usize) -> Flows {
        Flows { states: HashMap::new(), loads: HashMap::new(), maximum, requests: 0 }
    }

    /// Returns the cookie of a flow's target.
    pub(super) fn cookie(&self, flow: &Flow) -> Option<Cookie> {
        self.states.get(flow).map(|state| state.cookie)
    }

    /// Returns the cookie of the target that got the previous copy of the opening packet `packet`.
    pub(super) fn opening_cookie(
        &self,
        now: Instant,
        packet: &Packet,
        tuning: &Tuning,
    ) -> Option<Cookie> {
        let state = self.states.get(&packet.flow)?;
        state.is_opened_by(now, packet, tuning).then_some(state.cookie)
    }

    /// Returns the cookie of a flow's target if no packet after the opening packet was seen.
    pub(super) fn unanswered_cookie(&self, flow: &Flow) -> Option<Cookie> {
        self.states.get(flow).filter(|state| !state.is_established).map(|state| state.cookie)
    }

    /// Returns when this daemon saw the first packet of a flow to its target.
    pub(super) fn first_packet_at(&self, flow: &Flow) -> Option<Instant> {
        self.states.get(flow).map(|state| state.first_packet_at)
    }

    /// Returns the number of flows in the table.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns the number of requests that began since the start.
    pub(super) fn request_count(&self) -> u64 {
        self.requests
    }

    /// Returns the load of a target.
    pub(super) fn load(&self, cookie: Cookie) -> Load {
        self.loads.get(&cookie).map(|target| target.load).unwrap_or_default()
    }

    /// Returns the pending requests of a target.
    pub(super) fn pending(&self, cookie: Cookie) -> &[Pending] {
        self.loads.get(&cookie).map(|target| target.pending.as_slice()).unwrap_or_default()
    }

    /// Returns the cookies of the targets that have flows that their callers have not closed.
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
    pub(super) fn record_retransmitted_open(&mut self, now: Instant, flow: &Flow) -> Signal {
        let Some(state) = self.states.get_mut(flow) else {
            return Signal::Neutral;
        };
        state.last_packet_at = now;
        state.is_retransmitting = true;
        Signal::Retransmitted(state.unanswered_since)
    }

    /// Records a packet after the opening packet. Returns what it shows about the target, and the
    /// answer of which it acknowledges the first bytes. `usual_time` is how long an answer usually
    /// takes at most, without the round trip.
    pub(super) fn record_packet(
        &mut self,
        now: Instant,
        packet: &Packet,
        usual_time: impl FnOnce() -> Duration,
        tuning: &Tuning,
    ) -> (Signal, Option<Answer>) {
        // Another daemon may have sent a retransmission of the opening packet to another target.
        // The caller echoes the cookie of the target that answered, so the packet's cookie counts.
        if self.cookie(&packet.flow).is_some_and(|cookie| cookie != packet.cookie) {
            self.remove(&packet.flow);
        }
        let Some(state) = self.states.get_mut(&packet.flow) else {
            self.insert(now, packet, packet.cookie, true);
            return (Signal::Neutral, None);
        };
        let before = state.load_share();
        let answer = state.take_answer(now, packet, usual_time, tuning);
        let former_sequence = state.next_sequence;
        let signal = state.record_packet(now, packet, tuning);
        let has_new_data = packet.length > 0 && state.next_sequence != former_sequence;
        self.requests += u64::from(state.record_request(now, has_new_data, signal));
        replace_share(&mut self.loads, before, state.load_share());
        (signal, answer)
    }

    /// Treats all unanswered packets as if they were first sent at `now`, so that the time before
    /// `now` does not count as time without an answer.
    pub(super) fn restart_timers(&mut self, now: Instant) {
        for state in self.states.values_mut() {
            let before = state.load_share();
            state.unanswered_since = now;
            state.is_retransmitting = false;
            state.was_opening_paused = !state.is_established;
            state.request = None;
            replace_share(&mut self.loads, before, state.load_share());
        }
    }

    /// Removes up to `limit` established flows that their callers have not closed and for which
    /// `is_lost` returns true, given the cookie of the target and when the first packet arrived.
    /// Returns each of them with the target's cookie and the caller's last acknowledgement number.
    ///
    /// The caller of a closed flow may have opened another one from the same port.
    pub(super) fn remove_lost(
        &mut self,
        limit: usize,
        is_lost: impl Fn(Cookie, Instant) -> bool,
    ) -> Vec<(Flow, Cookie, u32)> {
        let lost: Vec<(Flow, FlowState)> = self
            .states
            .extract_if(|_, state| {
                state.is_established
                    && !state.is_closing
                    && is_lost(state.cookie, state.first_packet_at)
            })
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

    fn insert(&mut self, now: Instant, packet: &Packet, cookie: Cookie, is_established: bool) {
        if self.states.len() < self.maximum {
            let state = FlowState::new(now, packet, cookie, is_established);
            replace_share(&mut self.loads, None, state.load_share());
            self.states.insert(packet.flow, state);
        }
    }
}

/// The share of a flow in the load of its target; `None` if the flow is closing.
type LoadShare = Option<(Cookie, Load, Option<Pending>)>;

/// Replaces the share `before` of a flow in the load of its target by `after`.
fn replace_share(loads: &mut HashMap<Cookie, TargetLoad>, before: LoadShare, after: LoadShare) {
    if before == after {
        return;
    }
    if let Some((cookie, share, pending)) = after {
        let target = loads.entry(cookie).or_default();
        target.load.open += share.open;
        target.load.waiting += share.waiting;
        target.pending.extend(pending);
    }
    if let Some((cookie, share, pending)) = before
        && let Some(target) = loads.get_mut(&cookie)
    {
        target.load.open -= share.open;
        target.load.waiting -= share.waiting;
        let index = pending.and_then(|request| target.pending.iter().position(|p| *p == request));
        if let Some(index) = index {
            target.pending.swap_remove(index);
        }
        if target.load.open == 0 {
            loads.remove(&cookie);
        }
    }
}

impl FlowState {
    fn new(now: Instant, packet: &Packet, cookie: Cookie, is_established: bool) -> FlowState {
        FlowState {
            service: packet.flow.service,
            cookie,
            opening_sequence: (!is_established).then_some(packet.sequence),
            is_established,
            is_closing: false,
            is_waiting: !is_established || packet.length > 0,
            first_packet_at: now,
            last_packet_at: now,
            next_sequence: packet.sequence.wrapping_add(u32::from(packet.length)),
            acknowledged: if is_established { packet.acknowledged } else { 0 },
            unanswered_since: now,
            is_retransmitting: false,
            was_opening_paused: false,
            round_trip: None,
            request: None,
        }
    }

    /// Returns the answer to the current request if `packet` acknowledges its first bytes and shows
    /// when the answer arrived.
    fn take_answer(
        &mut self,
        now: Instant,
        packet: &Packet,
        usual_time: impl FnOnce() -> Duration,
        tuning: &Tuning,
    ) -> Option<Answer> {
        if !self.is_established || !is_after(packet.acknowledged, self.acknowledged) {
            return None;
        }
        let Request { sent_at, is_retransmitted } = self.request.take()?;
        // If the acknowledgement was lost or passed through another daemon, the next request
        // acknowledges the answer, after the caller's pause.
        let unseen = now.saturating_duration_since(self.last_packet_at);
        let end = packet.sequence.wrapping_add(u32::from(packet.length));
        let has_new_data = packet.length > 0 && is_after(end, self.next_sequence);
        let is_late = || unseen > self.round_trip.unwrap_or_default() + usual_time();
        if unseen >= tuning.retransmission_window || (has_new_data && is_late()) {
            return None;
        }
        Some(Answer {
            service: packet.flow.service,
            cookie: self.cookie,
            elapsed: now.saturating_duration_since(sent_at),
            round_trip: self.round_trip,
            bytes: packet.acknowledged.wrapping_sub(self.acknowledged),
            is_retransmitted,
        })
    }

    /// Records what a packet shows about the current request. New data while no request is open
    /// begins one. Returns whether it does.
    fn record_request(&mut self, now: Instant, has_new_data: bool, signal: Signal) -> bool {
        if let Signal::OpenAnswered(waited, SentBy::ThisDaemon) = signal {
            self.round_trip = Some(waited);
        }
        match &mut self.request {
            Some(request) => {
                request.is_retransmitted |= matches!(signal, Signal::Retransmitted(_));
            }
            None if has_new_data => {
                self.request = Some(Request { sent_at: now, is_retransmitted: false });
                return true;
            }
            None => {}
        }
        false
    }

    /// Returns whether `packet` is a copy of the opening packet of this flow, and not the opening
    /// packet of a later flow from the same port. Callers may use a sequence number again.
    fn is_opened_by(&self, now: Instant, packet: &Packet, tuning: &Tuning) -> bool {
        // A delayed copy may also arrive after the caller has closed its side.
        let age = now.saturating_duration_since(self.first_packet_at);
        self.opening_sequence == Some(packet.sequence) && age < tuning.opening_copy_lifetime
    }

    fn load_share(&self) -> LoadShare {
        let load = Load { open: 1, waiting: u32::from(self.is_waiting) };
        (!self.is_closing).then(|| (self.cookie, load, self.pending()))
    }

    /// Returns the request that the target has not answered, or that the new flow is about to send.
    fn pending(&self) -> Option<Pending> {
        let service = self.service;
        match self.request {
            Some(Request { sent_at, is_retransmitted }) => {
                let stage = match is_retransmitted {
                    true => Stage::Retransmitted,
                    false => Stage::Sent(self.round_trip),
                };
                Some(Pending { service, since: sent_at, stage })
            }
            None if !self.is_established => {
                Some(Pending { service, since: self.first_packet_at, stage: Stage::Opening })
            }
            None => None,
        }
    }

    fn record_packet(&mut self, now: Instant, packet: &Packet, tuning: &Tuning) -> Signal {
        // No packet of the flow arrived here for the retransmission window.
        let had_gap =
            now.saturating_duration_since(self.last_packet_at) >= tuning.retransmission_window;
        self.last_packet_at = now;
        if had_gap && self.is_established {
            // The flow was idle, or its packets passed through other daemons.
            self.unanswered_since = now;
            self.is_retransmitting = false;
        }
        let end = packet.sequence.wrapping_add(u32::from(packet.length));
        let is_opening = !self.is_established;
        let is_answer = is_opening || is_after(packet.acknowledged, self.acknowledged);
        let has_new_data = is_opening || is_after(end, self.next_sequence);
        if has_new_data {
            self.next_sequence = end;
        }
        if is_answer {
            let waited = now.saturating_duration_since(self.unanswered_since);
            // So soon the caller cannot have retransmitted, so no other daemon forwarded a copy.
            let is_unknown =
                self.is_retransmitting || had_gap || (is_opening && self.was_opening_paused);
            let sent_by_this_daemon = !is_unknown && waited < tuning.minimum_retransmission_delay;
            let sent_by = if sent_by_this_daemon { SentBy::ThisDaemon } else { SentBy::Unknown };
            self.is_established = true;
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
        if has_new_data {
            if !self.is_retransmitting {
                self.unanswered_since = now;
            }
            return Signal::Neutral;
        }
        if now.saturating_duration_since(self.unanswered_since)
            < tuning.minimum_retransmission_delay
        {
            // Too early for a retransmission: the network duplicated or reordered the packet.
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
