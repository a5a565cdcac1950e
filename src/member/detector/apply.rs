use std::time::{Duration, Instant};

use super::{Detector, MAX_CLAIMS, Peer, REFUTATION_SENDS, Suspicion};
use crate::member::{
    Id, Incarnation, Info, Member, Message, Output, Snapshot, SnapshotMember, Status, Update,
};

/// An incarnation that exceeds the initial one by more than this belongs to another process with
/// the same name.
///
/// Incarnations start at the time in milliseconds and are incremented by each refutation.
const REPLACED_GAP: u64 = 1000;

/// The result of applying an update to the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// The update changed the view.
    Adopted,
    /// The view already has the same state.
    Known,
    /// The view has a newer state.
    Outdated,
    /// The update cannot be applied without the member's description, which it lacks.
    Incomplete,
    /// The update was refused, or is a failure claim that must be verified first.
    Refused,
}

impl Detector {
    /// Returns a copy of the view for a joining daemon.
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
    ///
    /// A member that is present in the view and suspected or failed in the snapshot is pinged before
    /// its status changes, since the snapshot may come from the other side of a partition.
    pub fn merge_snapshot(&mut self, now: Instant, snapshot: Snapshot) {
        let is_joining = self.view.iter().all(|(id, member)| {
            id == self.own || matches!(member.status, Status::Failed | Status::Left)
        });
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
                // The other members that a joining daemon finds know the member already, so the
                // update is not sent on. Otherwise the snapshot comes from a group that formed
                // separately, and the members of the own group may not know the member.
                let known = self.view.get(id).is_some();
                let is_adopted = self.apply(now, &update, true) == ApplyOutcome::Adopted;
                if is_adopted && !known && is_joining {
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

    /// Applies the updates that a message of `peer` carries.
    ///
    /// Returns newer updates for the sender where its state is out of date, and the refutation
    /// of an update about the local member. Requests descriptions that are missing.
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
                ApplyOutcome::Outdated => corrections.extend(self.update_about(update.id, false)),
                ApplyOutcome::Incomplete => wanted.push(update.id),
                // The refutation is sent with the answer.
                ApplyOutcome::Adopted if update.id == self.own => {
                    corrections.extend(self.update_about(self.own, false));
                }
                ApplyOutcome::Adopted | ApplyOutcome::Known | ApplyOutcome::Refused => {}
            }
        }
        if failed && !self.has_failed(peer.id) {
            // The partition between the two members has ended, and other failed members may be
            // reachable again too.
            self.anti_entropy_queue.push(peer.id);
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

    /// Returns whether failure claims of the member `id` must be verified by a ping, because the
    /// member was unreachable not long ago.
    pub(super) fn must_verify_claims_of(&self, id: Id) -> bool {
        self.recovered_at.contains_key(&id)
            || self
                .view
                .get(id)
                .is_some_and(|member| !matches!(member.status, Status::Alive | Status::Leaving))
    }

    /// Applies one update.
    ///
    /// If `verify_claims` is set, an update that suspects a member or declares it failed is not
    /// applied but queued for verification.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        update: &Update,
        verify_claims: bool,
    ) -> ApplyOutcome {
        if let Some(info) = &update.info {
            let known = self.view.get(update.id);
            if info.id() != update.id || known.is_some_and(|known| known.info.name != info.name) {
                self.counters.collisions += 1;
                return ApplyOutcome::Refused;
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
            return if new == old { ApplyOutcome::Known } else { ApplyOutcome::Outdated };
        }
        // An update without a description must belong to the description that is known.
        if update.info.is_none() && update.checksum != known.info.checksum() {
            return ApplyOutcome::Incomplete;
        }
        let present = matches!(known.status, Status::Alive | Status::Leaving);
        let is_claim = matches!(update.status, Status::Suspect | Status::Failed);
        if verify_claims && present && is_claim {
            self.queue_claim(now, update);
            return ApplyOutcome::Refused;
        }
        let status = match update.status {
            // The preceding suspicion was not received. The member gets the time to refute it.
            Status::Failed if present => Status::Suspect,
            status => status,
        };
        if status == known.status && update.incarnation == known.incarnation {
            return ApplyOutcome::Known;
        }
        let info = update.info.as_deref().unwrap_or(&known.info).clone();
        let described = info != known.info;
        self.update_member(now, info, update.incarnation, status, described);
        ApplyOutcome::Adopted
    }

    /// Applies an update about a member that is not in the view.
    fn apply_unknown(&mut self, now: Instant, update: &Update) -> ApplyOutcome {
        // If daemons added failed members to their views again, such a member would never be
        // removed from all views.
        if matches!(update.status, Status::Failed | Status::Left) {
            return ApplyOutcome::Known;
        }
        let Some(info) = &update.info else {
            return ApplyOutcome::Incomplete;
        };
        let info = Info::clone(info);
        self.update_member(now, info, update.incarnation, update.status, true);
        ApplyOutcome::Adopted
    }

    /// Queues a failure claim for verification by a ping.
    fn queue_claim(&mut self, now: Instant, claim: &Update) {
        let known = self.claims.iter().any(|(_, other)| other.id == claim.id);
        if !known && self.claims.len() < MAX_CLAIMS {
            let info = None;
            let claim = Update { info, ..claim.clone() };
            self.claims.push_back((now, claim));
        }
    }

    /// Refutes an update about the local member by raising the incarnation above that of the
    /// update.
    fn refute(&mut self, now: Instant, update: &Update) -> ApplyOutcome {
        let own = (self.incarnation(), self.status());
        if (update.incarnation, update.status) <= own || own.1 == Status::Left {
            return if update.incarnation < own.0 {
                ApplyOutcome::Outdated
            } else {
                ApplyOutcome::Known
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
            return ApplyOutcome::Refused;
        }
        self.counters.refutations += 1;
        let incarnation = update.incarnation.saturating_add(1);
        // A higher incarnation comes from an earlier process whose clock was ahead. Other members
        // may have the description of that process, so the refutation includes the current one.
        let later = update.incarnation > own.0;
        self.set_own(now, own.1, incarnation, later);
        ApplyOutcome::Adopted
    }

    /// Sets the state of the local member and queues an update about it.
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

    /// Sets the state of another member, begins or ends its suspicion, and queues an update
    /// about it.
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
                // A suspicion that the local daemon began is in the map already.
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
            self.add_to_ping_order(id);
        }
        let since = match before {
            Some((old, since)) if old == status => since,
            _ => now,
        };
        let sent = match before {
            Some((old, _)) if old == status && !with_info => {
                self.send_limit().saturating_sub(REFUTATION_SENDS)
            }
            // The suspicion has removed the member from the ranking already, so updates that
            // change the ranking are sent before this one.
            Some((Status::Suspect, _)) if status == Status::Failed => self.send_limit() / 2,
            _ => 0,
        };
        self.store(Member { info, incarnation, status, since });
        self.update_queue.push(id, with_info, sent);
    }

    /// Returns the time in which a suspicion that another member began can be refuted.
    ///
    /// It is longer than for a suspicion that began here, because a refutation needs up to log2(n)
    /// protocol periods. Usually the member that began the suspicion declares the failure first.
    fn remote_suspicion_timeout(&self, id: Id) -> Duration {
        let rounds = ((self.ping_order.len() + 1) as f64).log2();
        if self.departing.contains(&id) {
            self.config.leaving_suspicion_timeout
        } else {
            self.config.suspicion_timeout + self.config.period.mul_f64(rounds)
        }
    }

    /// Inserts the state of a member into the view and updates the bucket hashes.
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
