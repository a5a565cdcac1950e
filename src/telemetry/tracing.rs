use std::{
    fmt,
    fs::File,
    io::{self, BufWriter, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use opentelemetry::{
    Context,
    trace::{
        SpanContext, SpanId, TraceContextExt as _, TraceFlags, TraceId, TraceState, Tracer as _,
        TracerProvider as _,
    },
};
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, Sampler, SdkTracer, SdkTracerProvider,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::{
    settings::{Output, Trace},
    telemetry::{Error, Operation, Result, Span, exporter::Exporter},
    wire,
};

/// The largest trace output of one run of a daemon. VMs have no disk, so a trace file occupies
/// memory.
const MAX_TRACE_BYTES: usize = 16 * 1024 * 1024;

/// The largest number of spans that are queued for writing. Further spans are dropped.
const MAX_QUEUED_SPANS: usize = 2048;

/// The longest time until a finished span is written.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Samples packets and makes the spans of one daemon.
pub struct Tracing {
    ratio: f64,
    random: Pcg64,
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    dropped: Arc<AtomicU64>,
}

impl Tracing {
    /// Opens the trace output. `seed` seeds the choice of the sampled packets.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Open`] if the trace file cannot be created.
    pub fn new(settings: &Trace, daemon: Arc<str>, seed: u64) -> Result<Tracing> {
        let writer: Box<dyn Write + Send> = match &settings.output {
            Output::Stderr => Box::new(io::stderr()),
            Output::File(path) => {
                let file = File::create(path)
                    .map_err(|source| Error::Open { path: path.clone(), source })?;
                Box::new(BufWriter::new(file))
            }
        };
        let dropped = Arc::new(AtomicU64::new(0));
        let exporter = Exporter::new(daemon, writer, MAX_TRACE_BYTES, Arc::clone(&dropped));
        let config = BatchConfigBuilder::default()
            .with_max_queue_size(MAX_QUEUED_SPANS)
            .with_scheduled_delay(EXPORT_INTERVAL)
            .build();
        let processor = BatchSpanProcessor::builder(exporter).with_batch_config(config).build();
        // `Tracing::sample` has already decided which packets are sampled.
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::AlwaysOn)
            .with_span_processor(processor)
            .build();
        Ok(Tracing {
            ratio: settings.ratio,
            random: Pcg64::seed_from_u64(seed),
            tracer: provider.tracer("banyanwharf"),
            provider,
            dropped,
        })
    }

    /// Decides whether to sample a packet and, if so, starts the first span of its trace.
    pub fn sample(&mut self, operation: Operation) -> Option<Span> {
        if self.ratio <= 0.0 || !self.random.random_bool(self.ratio.min(1.0)) {
            return None;
        }
        Some(self.start(operation, &Context::new()))
    }

    /// Starts a span with the parent `parent`; returns `None` if the packet is not sampled.
    pub fn continue_from(
        &self,
        operation: Operation,
        parent: Option<wire::TraceContext>,
    ) -> Option<Span> {
        let parent = parent?;
        let parent = SpanContext::new(
            TraceId::from(parent.trace_id),
            SpanId::from(parent.span_id),
            TraceFlags::SAMPLED,
            true,
            TraceState::NONE,
        );
        Some(self.start(operation, &Context::new().with_remote_span_context(parent)))
    }

    /// Returns the number of spans that were dropped because the output has reached its limit.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes all finished spans.
    pub fn flush(&self) {
        if let Err(error) = self.provider.force_flush() {
            log::warn!("spans could not be written: {error}");
        }
    }

    fn start(&self, operation: Operation, parent: &Context) -> Span {
        Span::new(self.tracer.start_with_context(operation.name(), parent))
    }
}

impl Drop for Tracing {
    fn drop(&mut self) {
        self.flush();
    }
}

impl fmt::Debug for Tracing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Tracing").field("ratio", &self.ratio).finish_non_exhaustive()
    }
}
