//! Metrics, traces and logs.
//!
//! Metrics must not slow the packet loop down: the loop counts in plain integers and publishes a
//! [`Snapshot`] of them at intervals. [`Metrics`] exposes the snapshots as observable
//! `opentelemetry` instruments at each scrape. Only sampled packets have spans; any other packet
//! costs one random number at the first hop and nothing at later hops.

mod error;
mod exporter;
mod histogram;
mod instrument;
mod json_encoder;
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
