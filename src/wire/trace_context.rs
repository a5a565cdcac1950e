use serde::{Deserialize, Serialize};

/// The trace context of a sampled packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TraceContext {
    /// The id of the trace.
    #[serde(rename = "trace")]
    pub trace_id: u128,
    /// The id of the span of the daemon that sent the packet, the parent of the next span.
    #[serde(rename = "span")]
    pub span_id: u64,
}
