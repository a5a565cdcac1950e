use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{route::Quarantine, ticket::Snapshot};

/// The ticket state that a member sends to a joiner.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) struct Handoff {
    /// The objects and the history.
    pub(super) snapshot: Snapshot,
    /// The target addresses in quarantine. They depend on when the member learned of a ticket,
    /// which the joiner cannot tell from the objects.
    pub(super) quarantines: Vec<Remaining>,
}

/// A quarantine with the time that is left, since the clocks of two daemons differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(super) struct Remaining {
    address: SocketAddr,
    former: Arc<str>,
    milliseconds: u64,
}

impl Remaining {
    /// Converts a quarantine for sending.
    pub(super) fn new(now: Instant, quarantine: &Quarantine) -> Remaining {
        let left = quarantine.until.saturating_duration_since(now);
        Remaining {
            address: quarantine.address,
            former: quarantine.former_service.clone(),
            milliseconds: left.as_millis() as u64,
        }
    }

    /// Converts a received quarantine, which ends at the latest after `maximum`.
    pub(super) fn quarantine(self, now: Instant, maximum: Duration) -> Quarantine {
        let left = Duration::from_millis(self.milliseconds).min(maximum);
        Quarantine { address: self.address, former_service: self.former, until: now + left }
    }
}
