use std::{
    collections::{HashMap, btree_map::Entry as Vacancy},
    time::{Duration, Instant},
};

use crate::{
    flow::{Entry, Fingerprint, Mark, Slot, State},
    forward::{
        Action, Cause, Forwarder,
        deciding::is_unconfirmed,
        inquiry::{Held, Inquiry, Kind},
        packet::Packet,
    },
    member::{self, Owners},
    ticket::TargetId,
    wire::{Body, Record, RecordState, Stage},
};

/// The number of times a query is sent again.
const RESENDS: u8 = 2;

/// The largest number of leaving members that are asked. Those that owned the flow are asked
/// as former owners; the others are only asked in case this daemon missed a change.
const MAX_LEAVING: usize = 8;

/// How an inquiry ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// A record was found and stored.
    Found,
    /// It is certain that no member holds a record.
    Unknown,
    /// A member that may hold a record did not answer.
    Inconclusive,
}

/// Unknown flows: queries to the members that may hold the record.
impl Forwarder {
    /// Returns the other members that may hold records of a hash slot.
    pub(super) fn holders(&self, slot: Slot) -> Vec<member::Id> {
        let mut holders = Vec::new();
        let present = self.ranking.owners(slot);
        let pairs = self.history.former(slot).iter().rev();
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

    /// Returns whether one member of each pair that may have placed a flow holds no record.
    ///
    /// `unknown` has the members that said so, with the time since which they know all flows.
    pub(super) fn is_certain(
        &self,
        slot: Slot,
        unknown: Option<&HashMap<member::Id, Instant>>,
    ) -> bool {
        let said = |id: member::Id, formed: Option<Instant>| {
            self.ranking.has_left(id)
                || unknown.is_some_and(|unknown| {
                    let since = unknown.get(&id);
                    since.is_some_and(|since| formed.is_none_or(|formed| *since <= formed))
                })
        };
        // A pair from before this daemon's start may have followed another pair a moment
        // before, so one member alone may lack the other's records.
        let all_said = |owners: &Owners| {
            owners
                .iter()
                .filter(|id| *id != self.id)
                .all(|id| said(id, None) || !self.ranking.is_present(id))
        };
        let present = self.ranking.owners(slot);
        let present = present.map(|owners| (owners, self.history.formed(slot)));
        let former = self.history.former(slot).iter();
        let pairs = former.map(|former| (former.owners, former.formed));
        present.into_iter().chain(pairs).all(|(owners, formed)| {
            let one = owners.contains(self.id)
                || owners.iter().any(|id| id != self.id && said(id, formed));
            one && (formed.is_some() || all_said(&owners))
        })
    }

    /// Holds a packet and asks the members that may hold the record of its flow.
    pub(super) fn ask(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        kind: Kind,
        from: Option<TargetId>,
        out: &mut Vec<Action>,
    ) {
        let fingerprint = packet.fingerprint;
        let deadline = match kind {
            Kind::Opening => self.config.syn_deadline,
            Kind::Datagram | Kind::Stream | Kind::Return => self.config.deadline,
        };
        if self.pending >= self.config.pending {
            return self.drop(Cause::PendingFull, out);
        }
        let asked = match self.inquiries.contains_key(&fingerprint) {
            true => Vec::new(),
            false => self.holders(fingerprint.slot()),
        };
        let inquiry = match self.inquiries.entry(fingerprint) {
            Vacancy::Occupied(inquiry) => inquiry.into_mut(),
            Vacancy::Vacant(vacancy) => vacancy.insert(Inquiry {
                kind,
                asked: asked.clone(),
                unknown: HashMap::new(),
                packets: Vec::new(),
                deadline: now + deadline,
                next_resend: now + self.config.resend,
                resends: 0,
            }),
        };
        if inquiry.packets.len() >= self.config.pending_per_flow {
            return self.drop(Cause::PendingFull, out);
        }
        let first = inquiry.packets.is_empty();
        inquiry.packets.push(Held::new(packet, from));
        self.pending += 1;
        if !first {
            return;
        }
        for member in &asked {
            self.counters.queries += 1;
            self.tell(*member, Body::Query { fingerprint }, out);
        }
        if asked.is_empty() {
            self.judge(now, fingerprint, true, out);
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
        let uptime = now.saturating_duration_since(self.started).as_secs() as u32 + 1;
        let body = Body::Answer { fingerprint, record: record.map(|entry| entry.record()), uptime };
        self.tell(sender, body, out);
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
        let Some(inquiry) = self.inquiries.get_mut(&fingerprint) else {
            return;
        };
        let held = self.table.get(now, fingerprint);
        // Another opening record says nothing about a flow that is open.
        let useful = |record: &Record| {
            record.fingerprint == fingerprint
                && (held.is_none() || record.state != RecordState::Opening)
        };
        let Some(record) = record.filter(useful) else {
            let age = Duration::from_secs(u64::from(uptime));
            let since = now.checked_sub(age).unwrap_or(now);
            inquiry.unknown.insert(sender, since);
            return self.judge(now, fingerprint, false, out);
        };
        self.counters.found += 1;
        if held.as_ref().is_none_or(is_unconfirmed) {
            let mut entry = Entry::from_record(&record);
            entry.set(Mark::Datagram, inquiry.kind == Kind::Datagram);
            self.store(now, &entry);
        }
        self.conclude(now, fingerprint, Verdict::Found, out);
    }

    /// Ends an inquiry if its outcome is clear, or in any case if it is `due`.
    fn judge(&mut self, now: Instant, fingerprint: Fingerprint, due: bool, out: &mut Vec<Action>) {
        let Some(inquiry) = self.inquiries.get(&fingerprint) else {
            return;
        };
        let complete = inquiry.asked.iter().all(|id| inquiry.unknown.contains_key(id));
        let certain = self.is_certain(fingerprint.slot(), Some(&inquiry.unknown));
        if certain && (complete || due) {
            self.conclude(now, fingerprint, Verdict::Unknown, out);
        } else if due {
            self.counters.inconclusive += 1;
            self.conclude(now, fingerprint, Verdict::Inconclusive, out);
        }
    }

    /// Sends the packets of an inquiry on their way.
    fn conclude(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let Some(inquiry) = self.inquiries.remove(&fingerprint) else {
            return;
        };
        self.pending -= inquiry.packets.len();
        // The owners may have changed while the packets waited. Two daemons would place the flow
        // if this one still decided.
        let owners = self.ranking.owners(fingerprint.slot());
        let other = owners.map(|owners| owners.primary).filter(|primary| *primary != self.id);
        for held in &inquiry.packets {
            let packet = held.packet();
            if let Some(primary) = other {
                let stage = held.from.map_or(Stage::Decide, |target| Stage::Return { target });
                self.hop(primary, &packet, stage, out);
                continue;
            }
            let request = held.from.is_none() && !packet.summary.opens();
            let mut entry = self.table.get(now, fingerprint);
            if let Some(entry) = entry.as_mut().filter(|entry| request && is_unconfirmed(entry)) {
                if verdict == Verdict::Inconclusive {
                    self.drop(Cause::Inconclusive, out);
                    continue;
                }
                entry.state = State::Open;
                self.store(now, &entry.with(Mark::Relayed));
            }
            if entry.is_some() {
                match held.from {
                    Some(target) => self.decide_return(now, &packet, target, out),
                    None => self.decide(now, &packet, out),
                }
            } else {
                self.handle_unfound(now, &packet, held.from, verdict, out);
            }
        }
    }

    fn handle_unfound(
        &mut self,
        now: Instant,
        packet: &Packet<'_>,
        from: Option<TargetId>,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let certain = verdict == Verdict::Unknown;
        if from.is_some() {
            return self.drop(Cause::ResetFilter, out);
        }
        if packet.summary.opens() {
            return self.place(now, packet, certain, out);
        }
        match (certain, packet.is_datagram()) {
            (false, _) => self.drop(Cause::Inconclusive, out),
            (true, true) => self.place(now, packet, true, out),
            (true, false) => self.probe(now, packet, out),
        }
    }

    /// Sends queries again and ends the inquiries whose deadline has passed.
    pub(super) fn continue_inquiries(&mut self, now: Instant, out: &mut Vec<Action>) {
        let resend = self.config.resend;
        let mut due = Vec::new();
        let mut again = Vec::new();
        for (fingerprint, inquiry) in &mut self.inquiries {
            if now >= inquiry.deadline {
                due.push(*fingerprint);
            } else if now >= inquiry.next_resend && inquiry.resends < RESENDS {
                inquiry.resends += 1;
                inquiry.next_resend = now + resend;
                let silent = |id: &&member::Id| !inquiry.unknown.contains_key(id);
                let silent = inquiry.asked.iter().filter(silent);
                again.extend(silent.map(|member| (*member, *fingerprint)));
            }
        }
        for (member, fingerprint) in again {
            self.tell(member, Body::Query { fingerprint }, out);
        }
        for fingerprint in due {
            self.judge(now, fingerprint, true, out);
        }
    }
}
