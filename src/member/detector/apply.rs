use std::time::{Duration, Instant};

use super::{Detector, MAX_CLAIMS, Peer, REFUTATION_SENDS, Suspicion};
use crate::member::{
    Id, Incarnation, Info, Member, Message, Output, Snapshot, SnapshotMember, Status, Update,
};

/// An incarnation this much above the one at the start belongs to another process of the name.
///
/// Incarnations start at the time in ms and rise by one with each refutation.
const REPLACED_GAP: u64 = 1000;

/// What to do about an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateOutcome {
    /// The update changed the view.
    Adopted,
    /// The update is known.
    Known,
    /// The update is older than what is known.
    Outdated,
    /// The update needs the member's description.
    Incomplete,
    /// The update was refused, or is a claim to be verified first.
    Refused,
}

impl Detector {
    /// Returns the view in a form that a joiner can fetch.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let members = self.view.iter().map(|(_, member)| SnapshotMember {
            info: member.info.clone(),
            incarnation: member.incarnation,
            status: member.status,
            age_ms: now.saturating_duration_since(member.since).as_millis() as u64,
        });
        Snapshot { members: members.collect() }
    }

    /// Merges another daemon's snapshot into the view.
    pub fn merge_snapshot(&mut self, now: Instant, snapshot: Snapshot) {
        for member in snapshot.members {
            let id = member.info.id();
            let update = Update {
                id,
                incarnation: member.incarnation,
                status: member.status,
                checksum: member.info.checksum(),
                info: Some(member.info.clone().into()),
            };
            let present = !matches!(member.status, Status::Failed | Status::Left);
            if present || self.view.get(id).is_some() || id == self.own {
                // The other members know it already, so it is not passed on.
                let known = self.view.get(id).is_some();
                if self.apply(now, &update, false) == UpdateOutcome::Adopted && !known {
                    self.update_queue.remove(id);
                }
            } else {
                let age = Duration::from_millis(member.age_ms);
                self.store(Member {
                    since: now.checked_sub(age).unwrap_or(now),
                    info: member.info,
                    incarnation: member.incarnation,
                    status: member.status,
                });
            }
        }
    }

    /// Applies the updates that came with a message and returns corrections for the sender.
    pub(super) fn apply_updates(
        &mut self,
        now: Instant,
        peer: Peer,
        updates: &[Update],
        out: &mut Vec<Output>,
    ) -> Vec<Update> {
        let verify_claims = self.must_verify_claims_of(peer.id);
        let failed = self.has_failed(peer.id);
        let mut corrections = Vec::new();
        let mut wanted = Vec::new();
        for update in updates {
            match self.apply(now, update, verify_claims) {
                UpdateOutcome::Outdated => corrections.extend(self.update_about(update.id, false)),
                UpdateOutcome::Incomplete => wanted.push(update.id),
                // The refutation goes back at once.
                UpdateOutcome::Adopted if update.id == self.own => {
                    corrections.extend(self.update_about(self.own, false));
                }
                UpdateOutcome::Adopted | UpdateOutcome::Known | UpdateOutcome::Refused => {}
            }
        }
        if failed && !self.has_failed(peer.id) {
            // The partition between the two has ended, and others may be back too.
            self.sync_queue.push(peer.id);
            self.queue_reconnects();
        }
        if self.view.get(peer.id).is_none() {
            wanted.push(peer.id);
        }
        if !wanted.is_empty() {
            wanted.dedup();
            let updates = self.correction_for(peer.id).into_iter().collect();
            self.send(peer, Message::Updates { updates, wanted }, out);
        }
        corrections
    }

    pub(super) fn has_failed(&self, id: Id) -> bool {
        let member = self.view.get(id);
        member.is_some_and(|member| member.status == Status::Failed)
    }

    /// Returns whether the member `id` was out of contact lately.
    pub(super) fn must_verify_claims_of(&self, id: Id) -> bool {
        self.recovered_at.contains_key(&id)
            || self
                .view
                .get(id)
                .is_some_and(|member| !matches!(member.status, Status::Alive | Status::Leaving))
    }

    /// Applies one update. Claims of failures are verified first if `verify_claims` is set.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        update: &Update,
        verify_claims: bool,
    ) -> UpdateOutcome {
        if let Some(info) = &update.info {
            let known = self.view.get(update.id);
            if info.id() != update.id || known.is_some_and(|known| known.info.name != info.name) {
                self.counters.collisions += 1;
                return UpdateOutcome::Refused;
            }
        }
        if update.id == self.own {
            return self.refute(now, update);
        }
        let Some(known) = self.view.get(update.id) else {
            return self.apply_unknown(now, update);
        };
        let (new, old) = ((update.incarnation, update.status), (known.incarnation, known.status));
        if new <= old {
            return if new == old { UpdateOutcome::Known } else { UpdateOutcome::Outdated };
        }
        // Without a description, the update must be about the known one.
        if update.info.is_none() && update.checksum != known.info.checksum() {
            return UpdateOutcome::Incomplete;
        }
        let present = matches!(known.status, Status::Alive | Status::Leaving);
        let claim = matches!(update.status, Status::Suspect | Status::Failed);
        if verify_claims && present && claim {
            self.queue_claim(now, update);
            return UpdateOutcome::Refused;
        }
        let status = match update.status {
            // The suspicion was missed. The member gets the chance to refute.
            Status::Failed if present => Status::Suspect,
            status => status,
        };
        if status == known.status && update.incarnation == known.incarnation {
            return UpdateOutcome::Known;
        }
        let info = update.info.as_deref().unwrap_or(&known.info).clone();
        let described = info != known.info;
        self.update_member(now, info, update.incarnation, status, described);
        UpdateOutcome::Adopted
    }

    fn apply_unknown(&mut self, now: Instant, update: &Update) -> UpdateOutcome {
        // Taking over a failed member would keep it from ever being forgotten by all.
        if matches!(update.status, Status::Failed | Status::Left) {
            return UpdateOutcome::Known;
        }
        let Some(info) = &update.info else {
            return UpdateOutcome::Incomplete;
        };
        let info = Info::clone(info);
        self.update_member(now, info, update.incarnation, update.status, true);
        UpdateOutcome::Adopted
    }

    /// Queues a claim that a member has failed, to be verified by a ping.
    fn queue_claim(&mut self, now: Instant, claim: &Update) {
        let known = self.claims.iter().any(|(_, other)| other.id == claim.id);
        if !known && self.claims.len() < MAX_CLAIMS {
            let info = None;
            let claim = Update { info, ..claim.clone() };
            self.claims.push_back((now, claim));
        }
    }

    /// Refutes an update about the local member.
    fn refute(&mut self, now: Instant, update: &Update) -> UpdateOutcome {
        let own = (self.incarnation(), self.status());
        if (update.incarnation, update.status) <= own || own.1 == Status::Left {
            return if update.incarnation < own.0 {
                UpdateOutcome::Outdated
            } else {
                UpdateOutcome::Known
            };
        }
        let other_address = update.info.as_deref().is_some_and(|info| {
            self.own_member().is_some_and(|member| member.info.peer != info.peer)
        });
        let present = matches!(update.status, Status::Alive | Status::Leaving);
        if present
            && other_address
            && update.incarnation > self.initial_incarnation.saturating_add(REPLACED_GAP)
        {
            self.replaced = true;
            return UpdateOutcome::Refused;
        }
        self.counters.refutations += 1;
        let incarnation = update.incarnation.saturating_add(1);
        // An incarnation above the own one is of an earlier process whose clock was ahead. Its
        // description may be another.
        let later = update.incarnation > own.0;
        self.set_own(now, own.1, incarnation, later);
        UpdateOutcome::Adopted
    }

    pub(super) fn set_own(
        &mut self,
        now: Instant,
        status: Status,
        incarnation: Incarnation,
        with_info: bool,
    ) {
        let Some(member) = self.own_member() else {
            return;
        };
        let since = if member.status == status { member.since } else { now };
        let info = member.info.clone();
        self.store(Member { info, incarnation, status, since });
        self.update_queue.push(self.own, with_info, 0);
    }

    /// Sets the state of another member and passes it on.
    pub(super) fn update_member(
        &mut self,
        now: Instant,
        info: Info,
        incarnation: Incarnation,
        status: Status,
        with_info: bool,
    ) {
        let id = info.id();
        let before = self.view.get(id).map(|member| (member.status, member.since));
        match status {
            Status::Alive => {
                self.departing.remove(&id);
            }
            Status::Leaving => {
                self.departing.insert(id);
            }
            Status::Suspect | Status::Failed | Status::Left => {}
        }
        match status {
            Status::Suspect => {
                let deadline = now + self.remote_suspicion_timeout(id);
                let remind_at = None;
                // A suspicion that began here is in the map already.
                let again = before.is_some_and(|(status, _)| status == Status::Suspect);
                if again || !self.suspicions.contains_key(&id) {
                    let suspicion = Suspicion { deadline, remind_at };
                    self.suspicions.insert(id, suspicion);
                }
            }
            _ => {
                self.suspicions.remove(&id);
            }
        }
        let present = matches!(status, Status::Alive | Status::Leaving);
        if present && before.is_some_and(|(status, _)| status == Status::Failed) {
            self.recovered_at.insert(id, now);
        }
        if !matches!(status, Status::Failed | Status::Left) {
            self.add_to_probe_order(id);
        }
        let since = match before {
            Some((old, since)) if old == status => since,
            _ => now,
        };
        let sent = match before {
            Some((old, _)) if old == status && !with_info => {
                self.send_limit().saturating_sub(REFUTATION_SENDS)
            }
            // The suspicion has taken the member out of the ranking already, so the verdict
            // waits for updates that change it.
            Some((Status::Suspect, _)) if status == Status::Failed => self.send_limit() / 2,
            _ => 0,
        };
        self.store(Member { info, incarnation, status, since });
        self.update_queue.push(id, with_info, sent);
    }

    /// Returns how long a suspicion that another member began may be refuted.
    ///
    /// The verdict of the member that began it is usually heard earlier; a refutation needs
    /// up to log2(n) rounds.
    fn remote_suspicion_timeout(&self, id: Id) -> Duration {
        let rounds = ((self.probe_order.len() + 1) as f64).log2();
        if self.departing.contains(&id) {
            self.config.leaving_suspicion_timeout
        } else {
            self.config.suspicion_timeout + self.config.period.mul_f64(rounds)
        }
    }

    /// Puts a member's state into the view.
    pub(super) fn store(&mut self, member: Member) {
        let id = member.info.id();
        if let Some(old) = self.view.get(id) {
            self.buckets.toggle(id, old.incarnation, old.status);
            self.view_changed |= old.status != member.status || old.info != member.info;
        } else {
            self.view_changed = true;
        }
        self.buckets.toggle(id, member.incarnation, member.status);
        self.view.insert(member);
    }
}
