use std::time::{Duration, Instant};

use rand::{
    RngExt,
    seq::{IteratorRandom, SliceRandom},
};

use super::{Detector, Peer, Suspicion};
use crate::member::{Id, Message, Output, Status, Update};

/// The maximum number of pending pings on behalf of other members.
const MAX_RELAYS: usize = 64;

/// The time between two pings that verify failure claims.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// The delay before a failure claim is verified, in which the member can refute it.
const CLAIM_DELAY: Duration = Duration::from_secs(5);

/// The time between two pings of failed members after one of them has come back.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of further members of a zone that are pinged after one of its members did
/// not answer. This detects the loss of a zone sooner.
const MAX_ZONE_PINGS: usize = 2;

/// The number of pending pings from which on no further members of a zone are pinged.
const MAX_PENDING_PINGS: usize = 8;

/// An update that was sent less often than this counts towards the backlog.
const BACKLOG_SENDS: u32 = 4;

/// The time between two additional pings while there is a backlog of updates.
const BACKLOG_PING_INTERVAL: Duration = Duration::from_millis(200);

/// The time between two pings that tell a suspect of the suspicion.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);

/// A ping without an acknowledgement so far.
#[derive(Debug)]
pub(super) struct PendingPing {
    /// The pinged member.
    target: Peer,
    sequence: u32,
    sent_at: Instant,
    /// The members that were asked for an indirect ping, or `None` before the request.
    helpers: Option<Vec<Id>>,
}

/// A pending ping on behalf of another member.
#[derive(Debug)]
pub(super) struct Relay {
    /// The sequence number of the ping.
    sequence: u32,
    /// The pinged member.
    target: Id,
    /// The member that requested the ping.
    requester: Peer,
    /// The sequence number of the ping request.
    requester_sequence: u32,
    sent_at: Instant,
}

impl Detector {
    /// Sends the pings that are due and handles those that have timed out.
    pub(super) fn tick_pings(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.check_ping_timeouts(now, out);
        if now >= self.next_ping {
            self.next_ping = (self.next_ping + self.config.period).max(now);
            if let Some(target) = self.next_peer() {
                self.counters.pings += 1;
                self.ping_with_timeout(now, target, Vec::new(), out);
            }
        }
        self.verify_claim(now, out);
        if now >= self.next_failed_ping {
            self.ping_failed(now, out);
        }
        self.ping_next_reconnect(now, out);
        self.ping_for_backlog(now, out);
    }

    /// Pings a random member if there is a backlog of updates, as after the loss of a zone.
    fn ping_for_backlog(&mut self, now: Instant, out: &mut Vec<Output>) {
        let bytes = self.config.max_message_bytes as f64;
        if now >= self.next_backlog_ping
            && self.update_queue.has_backlog(self.config.max_updates, BACKLOG_SENDS)
            && self.backlog_ping_limiter.take(now, bytes)
            && let Some(peer) = self.random_peers(1, self.own).pop()
        {
            self.next_backlog_ping = now + BACKLOG_PING_INTERVAL;
            let sequence = self.next_sequence();
            self.ping(peer, sequence, Vec::new(), out);
        }
    }

    /// Verifies the next failure claim by a ping of the member that is claimed to have failed,
    /// unless the claim was refuted meanwhile.
    fn verify_claim(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_claim {
            return;
        }
        while let Some((at, claim)) = self.claims.pop_front() {
            if now < at + CLAIM_DELAY {
                self.claims.push_front((at, claim));
                return;
            }
            let is_unrefuted = self.view.get(claim.id).is_some_and(|member| {
                matches!(member.status, Status::Alive | Status::Leaving)
                    && member.incarnation <= claim.incarnation
            });
            if is_unrefuted && let Some(peer) = self.peer(claim.id) {
                self.next_claim = now + CLAIM_INTERVAL;
                self.ping_with_timeout(now, peer, vec![claim], out);
                return;
            }
        }
    }

    /// Requests indirect pings of members that have not answered a ping within the acknowledgement
    /// timeout, and suspects members that have not answered within a protocol period.
    fn check_ping_timeouts(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut index = 0;
        while index < self.pending_pings.len() {
            let pending_ping = &self.pending_pings[index];
            let elapsed = now.saturating_duration_since(pending_ping.sent_at);
            if elapsed >= self.config.period {
                let target = self.pending_pings.swap_remove(index).target;
                self.counters.unanswered += 1;
                self.suspect(now, target.id);
                self.ping_zone_members(now, target.id, out);
                continue;
            }
            if elapsed >= self.config.ack_timeout && pending_ping.helpers.is_none() {
                let (target, sequence) = (pending_ping.target, pending_ping.sequence);
                let helpers = self.random_peers(self.config.indirect_peers, target.id);
                for helper in &helpers {
                    let updates = self.update_about(target.id, false).into_iter().collect();
                    let message = Message::PingRequest {
                        sequence,
                        target: target.id,
                        updates: self.piggyback(updates),
                    };
                    self.send(*helper, message, out);
                }
                self.ping(target, sequence, Vec::new(), out);
                self.pending_pings[index].helpers =
                    Some(helpers.iter().map(|helper| helper.id).collect());
            }
            index += 1;
        }
    }

    /// Pings some other members in the zone of the member `id`, which did not answer.
    fn ping_zone_members(&mut self, now: Instant, id: Id, out: &mut Vec<Output>) {
        let Some(zone) = self.view.get(id).map(|member| member.info.zone.clone()) else {
            return;
        };
        let zone_members = self.view.iter().filter(|(other, member)| {
            *other != self.own
                && member.status == Status::Alive
                && member.info.zone == zone
                && !self.pending_pings.iter().any(|pending_ping| pending_ping.target.id == *other)
        });
        let count = MAX_ZONE_PINGS.min(MAX_PENDING_PINGS.saturating_sub(self.pending_pings.len()));
        let zone_members = zone_members.map(|(id, _)| id).sample(&mut self.rng, count);
        for id in zone_members {
            if let Some(peer) = self.peer(id) {
                self.ping_with_timeout(now, peer, Vec::new(), out);
            }
        }
    }

    /// Returns the next member of the round robin.
    fn next_peer(&mut self) -> Option<Peer> {
        while !self.ping_order.is_empty() {
            if self.ping_cursor >= self.ping_order.len() {
                self.shuffle_ping_order();
            }
            let id = self.ping_order[self.ping_cursor];
            match self.view.get(id) {
                Some(member) if !matches!(member.status, Status::Failed | Status::Left) => {
                    self.ping_cursor += 1;
                    return self.peer(id);
                }
                _ => {
                    self.ping_order.swap_remove(self.ping_cursor);
                }
            }
        }
        None
    }

    /// Pings a member and suspects it unless it acknowledges the ping in time.
    fn ping_with_timeout(
        &mut self,
        now: Instant,
        target: Peer,
        first: Vec<Update>,
        out: &mut Vec<Output>,
    ) {
        let sequence = self.next_sequence();
        self.ping(target, sequence, first, out);
        self.pending_pings.push(PendingPing { target, sequence, sent_at: now, helpers: None });
    }

    /// Sends a ping, which carries the updates `first` and then queued ones.
    fn ping(&mut self, peer: Peer, sequence: u32, mut first: Vec<Update>, out: &mut Vec<Output>) {
        first.extend(self.correction_for(peer.id));
        let updates = self.piggyback(first);
        self.send(peer, Message::Ping { sequence, updates }, out);
    }

    /// Begins the suspicion of a member that did not answer.
    fn suspect(&mut self, now: Instant, id: Id) {
        let Some(member) = self.view.get(id) else {
            return;
        };
        if !matches!(member.status, Status::Alive | Status::Leaving) {
            return;
        }
        let timeout = if member.status == Status::Leaving {
            self.config.leaving_suspicion_timeout
        } else {
            self.config.suspicion_timeout
        };
        let (info, incarnation) = (member.info.clone(), member.incarnation);
        let suspicion = Suspicion { deadline: now + timeout, remind_at: Some(now) };
        self.suspicions.insert(id, suspicion);
        self.update_member(now, info, incarnation, Status::Suspect, false);
    }

    /// Sends reminders to suspects, and declares suspects failed that did not refute in time.
    pub(super) fn tick_suspicions(&mut self, now: Instant, out: &mut Vec<Output>) {
        let mut expired = Vec::new();
        let mut reminded = Vec::new();
        for (id, suspicion) in &mut self.suspicions {
            if now >= suspicion.deadline {
                expired.push(*id);
            } else if suspicion.remind_at.is_some_and(|at| now >= at) {
                suspicion.remind_at = Some(now + REMINDER_INTERVAL);
                reminded.push(*id);
            }
        }
        for id in expired {
            self.suspicions.remove(&id);
            if let Some(member) = self.view.get(id)
                && member.status == Status::Suspect
            {
                self.counters.failures += 1;
                let (info, incarnation) = (member.info.clone(), member.incarnation);
                self.update_member(now, info, incarnation, Status::Failed, false);
            }
        }
        for id in reminded {
            if let Some(peer) = self.peer(id) {
                let sequence = self.next_sequence();
                self.ping(peer, sequence, Vec::new(), out);
            }
        }
    }

    /// Pings a random failed member, so that the sides of a partition merge after it has ended.
    fn ping_failed(&mut self, now: Instant, out: &mut Vec<Output>) {
        // If the local member suspects all others, it is probably partitioned itself, so it sends
        // these pings more often.
        let suspects_all = self.suspicions.len() >= self.ping_order.len();
        let interval =
            if suspects_all { self.config.period } else { self.config.failed_ping_interval };
        self.next_failed_ping = now + interval.mul_f64(self.rng.random_range(0.75..1.25));
        let failed = self
            .view
            .iter()
            .filter(|(_, member)| member.status == Status::Failed)
            .map(|(id, _)| id)
            .choose(&mut self.rng);
        if let Some(peer) = failed.and_then(|id| self.peer(id)) {
            let sequence = self.next_sequence();
            self.ping(peer, sequence, Vec::new(), out);
        }
    }

    /// Queues pings of all failed members, because one of them has come back.
    pub(super) fn queue_reconnects(&mut self) {
        if self.reconnect_queue.is_empty() {
            let failed = self.view.iter().filter(|(_, m)| m.status == Status::Failed);
            self.reconnect_queue = failed.map(|(id, _)| id).collect();
            self.reconnect_queue.shuffle(&mut self.rng);
        }
    }

    /// Pings the next failed member in the queue.
    fn ping_next_reconnect(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_reconnect {
            return;
        }
        while let Some(id) = self.reconnect_queue.pop() {
            if self.has_failed(id)
                && let Some(peer) = self.peer(id)
            {
                self.next_reconnect = now + RECONNECT_INTERVAL;
                let sequence = self.next_sequence();
                self.ping(peer, sequence, Vec::new(), out);
                return;
            }
        }
    }

    /// Pings the next contacts that are unknown or have failed.
    pub(super) fn tick_contacts(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now < self.next_contact || self.contacts.is_empty() {
            return;
        }
        // A member that knows no other one pings several contacts at a time.
        let count = if self.ping_order.is_empty() { 3 } else { 1 };
        let mut chosen = Vec::new();
        while chosen.len() < count
            && let Some(id) = self.untried_contacts.pop()
        {
            if self.is_unknown_or_failed(id) {
                chosen.push(id);
            }
        }
        let use_short_interval = self.ping_order.is_empty() || self.first_contact_round;
        let interval =
            if use_short_interval { self.config.period } else { self.config.failed_ping_interval };
        self.next_contact = now + interval;
        if self.untried_contacts.is_empty() {
            self.first_contact_round = false;
            self.untried_contacts = self.contacts.keys().copied().collect();
            self.untried_contacts.shuffle(&mut self.rng);
        }
        for id in chosen {
            let Some(address) = self.contacts.get(&id).copied() else {
                continue;
            };
            let sequence = self.next_sequence();
            self.ping(Peer { id, address }, sequence, Vec::new(), out);
        }
    }

    /// Returns whether a contact is unknown or has failed.
    fn is_unknown_or_failed(&self, id: Id) -> bool {
        self.view.get(id).is_none_or(|member| member.status == Status::Failed)
    }

    /// Handles an acknowledgement of a ping or of an indirect ping.
    pub(super) fn on_ack(&mut self, peer: Peer, sequence: u32, out: &mut Vec<Output>) {
        self.pending_pings.retain(|pending_ping| {
            let helpers = pending_ping.helpers.as_ref();
            let answered = pending_ping.sequence == sequence
                && (pending_ping.target.id == peer.id
                    || helpers.is_some_and(|helpers| helpers.contains(&peer.id)));
            !answered
        });
        if let Some(departure) = &mut self.departure
            && departure.sequences.contains(&sequence)
        {
            departure.acks.insert(peer.id);
        }
        let relay = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence && relay.target == peer.id);
        if let Some(relay) = relay.and_then(|index| self.relays.remove(index)) {
            // The state of the pinged member, which may be a refutation, takes precedence over
            // queued updates.
            let updates = self.update_about(relay.target, false).into_iter().collect();
            let message = Message::Ack {
                sequence: relay.requester_sequence,
                updates: self.piggyback(updates),
            };
            self.send(relay.requester, message, out);
        }
    }

    /// Pings the member `target` on behalf of `requester`.
    ///
    /// If the member has left or is the local member, the requester gets the member's state
    /// instead.
    pub(super) fn on_ping_request(
        &mut self,
        now: Instant,
        requester: Peer,
        requester_sequence: u32,
        target: Id,
        out: &mut Vec<Output>,
    ) {
        let Some(member) = self.view.get(target) else {
            return;
        };
        if member.status == Status::Left || target == self.own {
            let updates = self.update_about(target, false).into_iter().collect();
            let wanted = Vec::new();
            self.send(requester, Message::Updates { updates, wanted }, out);
            return;
        }
        let period = self.config.period;
        self.relays.retain(|relay| now.saturating_duration_since(relay.sent_at) < period);
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let Some(peer) = self.peer(target) else {
            return;
        };
        let sequence = self.next_sequence();
        self.relays.push_back(Relay {
            sequence,
            target,
            requester,
            requester_sequence,
            sent_at: now,
        });
        self.ping(peer, sequence, Vec::new(), out);
    }
}
