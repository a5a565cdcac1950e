use std::{
    collections::{HashMap, btree_map::Entry as Vacancy},
    time::{Duration, Instant},
};

use crate::{
    flow::{Entry, Fingerprint, Mark, Slot, State},
    forward::{
        Action, Cause, Forwarder,
        lookup::{Kind, Lookup, PendingPacket},
        packet::Packet,
        request::is_unconfirmed,
    },
    member::{self, Owners},
    ticket::TargetId,
    wire::{Body, Record, RecordState, Stage},
};

/// The number of times that a query is sent again.
const MAX_QUERY_RESENDS: u8 = 2;

/// The largest number of leaving members that are queried. Those that owned the flow are queried as
/// former owners in any case; the others are queried in case this daemon missed a change of owners.
const MAX_LEAVING: usize = 8;

/// How a lookup ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A record was found and stored.
    Found,
    /// It is certain that no member holds a record.
    Unknown,
    /// A member that may hold a record did not answer in time.
    Inconclusive,
}

/// Unknown flows: lookups of records at the members that may hold them.
impl Forwarder {
    /// Returns the other members that may hold records of a hash slot.
    pub(super) fn holders(&self, slot: Slot) -> Vec<member::Id> {
        let mut holders = Vec::new();
        let present = self.ranking.owners(slot);
        let pairs = self.history.former_pairs(slot).iter().rev();
        let pairs = present.into_iter().chain(pairs.map(|former| former.owners));
        for id in pairs.flat_map(|owners| owners.iter()) {
            if id != self.id && !holders.contains(&id) && !self.ranking.has_left(id) {
                holders.push(id);
            }
        }
        for &id in self.ranking.leaving().iter().take(MAX_LEAVING) {
            if id != self.id && !holders.contains(&id) {
                holders.push(id);
            }
        }
        holders
    }

    /// Returns whether it is certain that no other member holds a record of a flow: one member of
    /// each pair of owners that may have placed the flow holds none.
    ///
    /// `without_record` has the members that answered that they hold none, with the time since
    /// which each of them knows all flows.
    pub(super) fn is_certainly_unknown(
        &self,
        slot: Slot,
        without_record: Option<&HashMap<member::Id, Instant>>,
    ) -> bool {
        let lacks_record = |id: member::Id, formed_at: Option<Instant>| {
            self.ranking.has_left(id)
                || without_record.is_some_and(|without_record| {
                    let since = without_record.get(&id);
                    since.is_some_and(|since| formed_at.is_none_or(|formed_at| *since <= formed_at))
                })
        };
        // A pair from before this daemon's start may have just replaced another pair, and one of
        // its members may lack records that the other one has. Both must therefore hold no record.
        let all_lack_record = |owners: &Owners| {
            owners
                .iter()
                .filter(|id| *id != self.id)
                .all(|id| lacks_record(id, None) || !self.ranking.is_present(id))
        };
        let present = self.ranking.owners(slot);
        let present = present.map(|owners| (owners, self.history.formed_at(slot)));
        let former = self.history.former_pairs(slot).iter();
        let pairs = former.map(|former| (former.owners, former.formed_at));
        present.into_iter().chain(pairs).all(|(owners, formed_at)| {
            let one_lacks_record = owners.contains(self.id)
                || owners.iter().any(|id| id != self.id && lacks_record(id, formed_at));
            one_lacks_record && (formed_at.is_some() || all_lack_record(&owners))
        })
    }

    /// Queues a packet and queries the members that may hold the record of its flow.
    pub(super) fn start_lookup(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        kind: Kind,
        from: Option<TargetId>,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = packet.fingerprint;
        let timeout = match kind {
            Kind::Syn => self.config.syn_timeout,
            Kind::Udp | Kind::NonSyn | Kind::Return => self.config.packet_timeout,
        };
        if self.pending_packets >= self.config.max_pending {
            return self.drop_packet(Cause::PendingFull, out);
        }
        let queried = match self.lookups.contains_key(&fingerprint) {
            true => Vec::new(),
            false => self.holders(fingerprint.slot()),
        };
        let lookup = match self.lookups.entry(fingerprint) {
            Vacancy::Occupied(lookup) => lookup.into_mut(),
            Vacancy::Vacant(vacancy) => vacancy.insert(Lookup {
                kind,
                queried: queried.clone(),
                without_record: HashMap::new(),
                packets: Vec::new(),
                deadline: now + timeout,
                next_resend: now + self.config.resend_interval,
                resends: 0,
            }),
        };
        if lookup.packets.len() >= self.config.max_pending_per_flow {
            return self.drop_packet(Cause::PendingFull, out);
        }
        let first = lookup.packets.is_empty();
        lookup.packets.push(PendingPacket::new(packet, from));
        self.pending_packets += 1;
        if !first {
            return;
        }
        for member in &queried {
            self.counters.queries += 1;
            self.send_control(*member, Body::Query { fingerprint }, out);
        }
        if queried.is_empty() {
            self.finish_if_decided(now, fingerprint, true, out);
        }
    }

    /// Answers a query.
    pub(super) fn on_query(
        &mut self,
        now: Instant,
        sender: member::Id,
        fingerprint: Fingerprint,
        out: &mut Vec<Action>,
    ) {
        let held = self.table.get(now, fingerprint);
        let record = held.filter(|entry| !entry.has(Mark::Probing));
        let uptime = now.saturating_duration_since(self.started_at).as_secs() as u32 + 1;
        let body = Body::Answer { fingerprint, record: record.map(|entry| entry.record()), uptime };
        self.send_control(sender, body, out);
    }

    /// Handles the answer to a query.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        sender: member::Id,
        fingerprint: Fingerprint,
        record: Option<Record>,
        uptime: u32,
        out: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.lookups.get_mut(&fingerprint) else {
            return;
        };
        let held = self.table.get(now, fingerprint);
        // If this daemon holds a record too, the flow is open, and another record in the state
        // `Opening` does not show on which target.
        let is_useful = |record: &Record| {
            record.fingerprint == fingerprint
                && (held.is_none() || record.state != RecordState::Opening)
        };
        let Some(record) = record.filter(is_useful) else {
            let age = Duration::from_secs(u64::from(uptime));
            let since = now.checked_sub(age).unwrap_or(now);
            lookup.without_record.insert(sender, since);
            return self.finish_if_decided(now, fingerprint, false, out);
        };
        self.counters.found += 1;
        if held.as_ref().is_none_or(is_unconfirmed) {
            let mut entry = Entry::from_record(&record);
            entry.set(Mark::Udp, lookup.kind == Kind::Udp);
            self.store(now, &entry);
        }
        self.finish_lookup(now, fingerprint, Outcome::Found, out);
    }

    /// Ends a lookup if its outcome is certain, or in any case if it is `due`.
    fn finish_if_decided(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        due: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.lookups.get(&fingerprint) else {
            return;
        };
        let complete = lookup.queried.iter().all(|id| lookup.without_record.contains_key(id));
        let certain = self.is_certainly_unknown(fingerprint.slot(), Some(&lookup.without_record));
        if certain && (complete || due) {
            self.finish_lookup(now, fingerprint, Outcome::Unknown, out);
        } else if due {
            self.counters.inconclusive += 1;
            self.finish_lookup(now, fingerprint, Outcome::Inconclusive, out);
        }
    }

    /// Ends a lookup and handles the packets that were queued for it.
    fn finish_lookup(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.lookups.remove(&fingerprint) else {
            return;
        };
        self.pending_packets -= lookup.packets.len();
        // The owners may have changed while the packets were queued. If this daemon still handled
        // them as primary owner, two daemons would place the flow.
        let owners = self.ranking.owners(fingerprint.slot());
        let other = owners.map(|owners| owners.primary).filter(|primary| *primary != self.id);
        for held in &lookup.packets {
            let packet = held.packet();
            if let Some(primary) = other {
                let stage = held.from.map_or(Stage::Decide, |target| Stage::Return { target });
                self.hop(primary, &packet, stage, out);
                continue;
            }
            let request = held.from.is_none() && !packet.summary.is_syn();
            let mut entry = self.table.get(now, fingerprint);
            if let Some(entry) = entry.as_mut().filter(|entry| request && is_unconfirmed(entry)) {
                if outcome == Outcome::Inconclusive {
                    self.drop_packet(Cause::Inconclusive, out);
                    continue;
                }
                entry.state = State::Open;
                self.store(now, &entry.with(Mark::Pinned));
            }
            if entry.is_some() {
                match held.from {
                    Some(target) => self.decide_return(now, &packet, target, out),
                    None => self.decide(now, &packet, out),
                }
            } else {
                self.handle_without_record(now, &packet, held.from, outcome, out);
            }
        }
    }

    fn handle_without_record(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        from: Option<TargetId>,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let certain = outcome == Outcome::Unknown;
        if from.is_some() {
            return self.drop_packet(Cause::ResetFilter, out);
        }
        if packet.summary.is_syn() {
            return self.place(now, packet, certain, out);
        }
        match (certain, packet.is_udp()) {
            (false, _) => self.drop_packet(Cause::Inconclusive, out),
            (true, true) => self.place(now, packet, true, out),
            (true, false) => self.probe(now, packet, out),
        }
    }

    /// Resends queries and ends the lookups whose deadline has passed.
    pub(super) fn continue_lookups(&mut self, now: Instant, out: &mut Vec<Action>) {
        let resend = self.config.resend_interval;
        let mut due = Vec::new();
        let mut again = Vec::new();
        for (fingerprint, lookup) in &mut self.lookups {
            if now >= lookup.deadline {
                due.push(*fingerprint);
            } else if now >= lookup.next_resend && lookup.resends < MAX_QUERY_RESENDS {
                lookup.resends += 1;
                lookup.next_resend = now + resend;
                let silent = |id: &&member::Id| !lookup.without_record.contains_key(id);
                let silent = lookup.queried.iter().filter(silent);
                again.extend(silent.map(|member| (*member, *fingerprint)));
            }
        }
        for (member, fingerprint) in again {
            self.send_control(member, Body::Query { fingerprint }, out);
        }
        for fingerprint in due {
            self.finish_if_decided(now, fingerprint, true, out);
        }
    }
}
