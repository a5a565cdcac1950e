use std::path::PathBuf;

use serde::Deserialize;

use crate::settings::strict::strict;

/// The destination of trace spans.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// The standard error stream.
    #[default]
    Stderr,
    /// A file.
    File(PathBuf),
}

/// The settings of trace spans.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Trace {
    /// The fraction of packets that are traced, from 0 to 1.
    #[serde(deserialize_with = "strict")]
    pub ratio: f64,
    /// The destination of the spans, which are written as one JSON object per line.
    pub output: Output,
}
