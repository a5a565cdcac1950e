//! Metrics, traces and logs.
//!
//! The packet loop must not pay for its own observation: it counts in plain integers and
//! publishes a [`Snapshot`] of them now and then. [`Metrics`] shows the snapshots as observable
//! `opentelemetry` instruments when it is scraped. Only sampled packets make spans; the others
//! cost one random number at the first hop and nothing at the later ones.

mod error;
mod exporter;
mod histogram;
mod instrument;
mod logs;
mod metrics;
mod server;
mod snapshot;
mod span;
mod span_record;
mod stdout_appender;
mod tracing;

pub use error::{Error, Result};
pub use histogram::Histogram;
pub use instrument::{Instrument, Kind};
pub use logs::Logs;
pub use metrics::Metrics;
pub use server::Server;
pub use snapshot::{Label, Snapshot};
pub use span::{Operation, Span};
pub use span_record::{SpanRecord, parse_trace_file};
pub use tracing::Tracing;
