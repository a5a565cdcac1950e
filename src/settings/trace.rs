use std::path::PathBuf;

use serde::Deserialize;

use crate::settings::strict::strict;

/// Where trace spans are written to.
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
    /// The share of packets that are traced, from 0 to 1.
    #[serde(deserialize_with = "strict")]
    pub ratio: f64,
    /// Where spans are written to, one JSON object a line.
    pub output: Output,
}
