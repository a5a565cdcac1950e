use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::telemetry::{Error, Result};

/// A finished span in the format of a line of a trace file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct SpanRecord {
    /// The trace id in hexadecimal digits.
    #[serde(rename = "trace")]
    pub trace_id: Arc<str>,
    /// The span id in hexadecimal digits.
    #[serde(rename = "span")]
    pub span_id: Arc<str>,
    /// The id of the parent span; absent for the first span of a trace.
    #[serde(rename = "parent")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent_span_id: Option<Arc<str>>,
    /// The name of the [`Operation`](crate::telemetry::Operation).
    pub name: Arc<str>,
    /// The name of the daemon that recorded the span.
    pub daemon: Arc<str>,
    /// The start in microseconds since the Unix epoch.
    pub start_us: u64,
    /// The duration in microseconds.
    pub duration_us: u64,
    /// The attributes.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub attributes: BTreeMap<Arc<str>, Arc<str>>,
}

/// Parses the text of a trace file.
///
/// An incomplete last line is ignored, because the daemon may still be writing or was killed.
///
/// # Errors
///
/// Returns [`Error::InvalidSpan`] if a complete line is not a valid span.
pub fn parse_trace_file(text: &str) -> Result<Vec<SpanRecord>> {
    let mut records = Vec::new();
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(line) {
            Ok(record) => records.push(record),
            Err(_) if !line.ends_with('\n') => break,
            Err(source) => {
                let line = index + 1;
                return Err(Error::InvalidSpan { line, source });
            }
        }
    }
    Ok(records)
}
