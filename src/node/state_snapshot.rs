use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{route::Quarantine, ticket::Snapshot};

/// The ticket state that a member sends to a joining daemon.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) struct StateSnapshot {
    /// The objects in force and the history of the tickets.
    pub(super) snapshot: Snapshot,
    /// The target addresses in quarantine. The end of a quarantine depends on when the member
    /// received a ticket, which the joining daemon cannot derive from the objects.
    pub(super) quarantines: Vec<RemainingQuarantine>,
}

/// A quarantine with its remaining time. A point in time would not do, since the clocks of two
/// daemons differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) struct RemainingQuarantine {
    address: SocketAddr,
    #[serde(rename = "former")]
    former_service: Arc<str>,
    #[serde(rename = "milliseconds")]
    remaining_ms: u64,
}

impl RemainingQuarantine {
    /// Converts a quarantine to its form on the wire.
    pub(super) fn new(now: Instant, quarantine: &Quarantine) -> RemainingQuarantine {
        let remaining = quarantine.until.saturating_duration_since(now);
        RemainingQuarantine {
            address: quarantine.address,
            former_service: quarantine.former_service.clone(),
            remaining_ms: remaining.as_millis() as u64,
        }
    }

    /// Converts a received quarantine, with its remaining time limited to `maximum`.
    pub(super) fn quarantine(self, now: Instant, maximum: Duration) -> Quarantine {
        let remaining = Duration::from_millis(self.remaining_ms).min(maximum);
        Quarantine {
            address: self.address,
            former_service: self.former_service,
            until: now + remaining,
        }
    }
}
