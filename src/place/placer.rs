use std::time::Instant;

use crate::{
    flow::{Fingerprint, Key},
    place::Refusal,
    route::{Service, Table},
    ticket::TargetId,
};

/// Places new flows and counts the open flows that it has placed.
#[derive(Debug, Clone, Default)]
pub struct Placer {}

impl Placer {
    /// Creates a placer without flows.
    pub fn new() -> Placer {
        Placer::default()
    }

    /// Chooses the target of a new flow, leaving out the targets in `excluded`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no target can take the flow.
    pub fn place(
        &mut self,
        _now: Instant,
        _table: &Table,
        service: &Service,
        _key: &Key,
        fingerprint: Fingerprint,
        excluded: &[TargetId],
    ) -> Result<TargetId, Refusal> {
        let mut generation = service
            .generations
            .first()
            .cloned()
            .ok_or(Refusal::NoTarget)?;
        generation.targets.retain(|(id, _)| !excluded.contains(id));
        generation.base(fingerprint).ok_or(Refusal::NoTarget)
    }

    /// Notes that a flow placed by this placer or taken over by it is open on `target`.
    pub fn opened(&mut self, _now: Instant, _target: TargetId) {}

    /// Notes that an open flow on `target` has ended or moved away.
    pub fn closed(&mut self, _now: Instant, _target: TargetId) {}
}
