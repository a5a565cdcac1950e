use serde::{Deserialize, Serialize};

/// The trace context of a sampled packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Trace {
    /// The trace's id.
    pub trace: u128,
    /// The id of the span that caused the hop.
    pub span: u64,
}
