use opentelemetry::{KeyValue, trace::Span as _};
use opentelemetry_sdk::trace;

use crate::wire;

/// What a daemon does with a packet; each makes one span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Hop {
    /// The packet arrived from the fabric.
    Ingress,
    /// The packet reached the primary owner of its flow.
    Owner,
    /// The packet reached the secondary owner of its flow.
    SecondaryOwner,
    /// The packet is sent to a target.
    Delivery,
    /// The packet is sent back to the caller.
    Return,
}

impl Hop {
    /// Returns the name of the hop's spans.
    pub fn name(self) -> &'static str {
        match self {
            Hop::Ingress => "ingress",
            Hop::Owner => "owner",
            Hop::SecondaryOwner => "secondary_owner",
            Hop::Delivery => "delivery",
            Hop::Return => "return",
        }
    }
}

/// The span of one hop of a sampled packet. It ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    inner: trace::Span,
}

impl Span {
    pub(super) fn new(inner: trace::Span) -> Span {
        Span { inner }
    }

    /// Returns the trace context that the next hop needs.
    pub fn context(&self) -> wire::TraceContext {
        let context = self.inner.span_context();
        wire::TraceContext {
            trace_id: u128::from_be_bytes(context.trace_id().to_bytes()),
            span_id: u64::from_be_bytes(context.span_id().to_bytes()),
        }
    }

    /// Sets an attribute.
    pub fn set(&mut self, name: &'static str, text: impl Into<String>) {
        self.inner.set_attribute(KeyValue::new(name, text.into()));
    }
}
