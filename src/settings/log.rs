use std::path::PathBuf;

use ::log::LevelFilter;
use serde::Deserialize;

/// The least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// Failures that need an operator.
    Error,
    /// Unexpected events that the daemon handles.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for diagnosis.
    Debug,
    /// All details.
    Trace,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> LevelFilter {
        match level {
            Level::Off => LevelFilter::Off,
            Level::Error => LevelFilter::Error,
            Level::Warn => LevelFilter::Warn,
            Level::Info => LevelFilter::Info,
            Level::Debug => LevelFilter::Debug,
            Level::Trace => LevelFilter::Trace,
        }
    }
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The stream that log lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stream {
    /// The standard error stream. The thread that logs a line waits until it is written.
    #[default]
    Stderr,
    /// The standard output stream. Lines are dropped if the stream does not accept them in time.
    Stdout,
}

/// The settings of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is logged.
    pub level: Level,
    /// The format of log lines.
    pub format: Format,
    /// The stream that log lines are written to if `file` is absent.
    pub stream: Stream,
    /// A file to append to, instead of a stream.
    pub file: Option<PathBuf>,
}
