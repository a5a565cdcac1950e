use std::time::Instant;

use crate::{forward::Forwarder, route::ServiceIndex, ticket::TargetId};

/// Whether a forwarder may send packets to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetStatus {
    /// The target can receive packets of the service.
    Usable,
    /// A ticket removed the target from the service or took its zone out, or its drain deadline has
    /// passed.
    Gone,
    /// No ticket with the target has arrived yet, or its address is in quarantine.
    NotYetUsable,
}

/// The status of targets.
///
/// A target that is not in the routes was either removed or is in a ticket that has not arrived
/// yet. Flows on a removed target are reset. Packets for a target that is not usable yet are sent
/// to the other owner or dropped.
impl Forwarder {
    /// Returns the status of a target of a service.
    pub(super) fn target_status(
        &self,
        now: Instant,
        service: ServiceIndex,
        id: TargetId,
    ) -> TargetStatus {
        let Some(target) = self.routes.target(id) else {
            let removed = self.removed_at.contains_key(&id) || self.was_in_generation(service, id);
            return match removed {
                true => TargetStatus::Gone,
                false => TargetStatus::NotYetUsable,
            };
        };
        let overdue = target.drain.is_some_and(|drain| {
            self.draining_since
                .get(&id)
                .is_some_and(|since| now.saturating_duration_since(*since) > drain)
        });
        if target.service != service || target.zone_out || overdue {
            return TargetStatus::Gone;
        }
        // Quarantines end at different times in different daemons, so another daemon may already
        // have placed the flow on this target.
        if target.quarantined {
            return TargetStatus::NotYetUsable;
        }
        TargetStatus::Usable
    }

    fn was_in_generation(&self, service: ServiceIndex, id: TargetId) -> bool {
        self.routes.service(service).is_some_and(|service| {
            service
                .generations
                .iter()
                .any(|generation| generation.targets.iter().any(|(target, _)| *target == id))
        })
    }

    pub(super) fn is_placeable(&self, id: TargetId) -> bool {
        self.routes.target(id).is_some_and(|target| target.is_placeable())
    }
}
