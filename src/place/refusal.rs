use serde::{Deserialize, Serialize};

/// Why a new flow was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No target of the service is placeable.
    #[error("no target of the service accepts new flows")]
    NoTarget,
    /// Every placeable target is at its limit.
    #[error("every target of the service is at its limit")]
    Full,
    /// The daemon has reached its limit of new flows, and the caller its share of them.
    #[error("the caller is over its share of new flows")]
    CallerLimit,
}
