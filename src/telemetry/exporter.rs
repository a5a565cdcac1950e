use std::{
    fmt,
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};

use opentelemetry::trace::SpanId;
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    trace::{SpanData, SpanExporter},
};

use crate::telemetry::SpanRecord;

/// Writes finished spans as JSON lines, up to a limit in bytes.
pub(super) struct Exporter {
    daemon: Arc<str>,
    output: Mutex<Output>,
    dropped: Arc<AtomicU64>,
}

struct Output {
    writer: Box<dyn Write + Send>,
    bytes_left: usize,
}

impl Exporter {
    /// Creates an exporter that writes at most `bytes` bytes and counts the spans that exceed this
    /// limit in `dropped`.
    pub(super) fn new(
        daemon: Arc<str>,
        writer: Box<dyn Write + Send>,
        bytes: usize,
        dropped: Arc<AtomicU64>,
    ) -> Exporter {
        let bytes_left = bytes;
        Exporter { daemon, output: Mutex::new(Output { writer, bytes_left }), dropped }
    }

    fn write(&self, batch: &[SpanData]) -> io::Result<()> {
        let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        for (index, span) in batch.iter().enumerate() {
            let mut line = serde_json::to_vec(&span_record(&self.daemon, span))?;
            line.push(b'\n');
            if line.len() > output.bytes_left {
                // No later span is written either, even a shorter one, so that a trace file is
                // complete up to its end.
                output.bytes_left = 0;
                let left = (batch.len() - index) as u64;
                self.dropped.fetch_add(left, Ordering::Relaxed);
                break;
            }
            output.bytes_left -= line.len();
            output.writer.write_all(&line)?;
        }
        output.writer.flush()
    }
}

impl SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch).map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

impl fmt::Debug for Exporter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Exporter").finish_non_exhaustive()
    }
}

fn span_record(daemon: &Arc<str>, span: &SpanData) -> SpanRecord {
    let parent = span.parent_span_id;
    let attributes = span.attributes.iter();
    SpanRecord {
        trace_id: span.span_context.trace_id().to_string().into(),
        span_id: span.span_context.span_id().to_string().into(),
        parent_span_id: (parent != SpanId::INVALID).then(|| parent.to_string().into()),
        name: span.name.as_ref().into(),
        daemon: Arc::clone(daemon),
        start_us: as_micros(span.start_time.duration_since(SystemTime::UNIX_EPOCH)),
        duration_us: as_micros(span.end_time.duration_since(span.start_time)),
        attributes: attributes
            .map(|pair| (pair.key.as_str().into(), pair.value.as_str().into()))
            .collect(),
    }
}

/// Returns the microseconds of a duration, or 0 if the system clock was set back.
fn as_micros<E>(duration: Result<Duration, E>) -> u64 {
    duration.map_or(0, |duration| duration.as_micros() as u64)
}
