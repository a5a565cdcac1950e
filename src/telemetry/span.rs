use opentelemetry::{KeyValue, trace::Span as _};
use opentelemetry_sdk::trace;

use crate::wire;

/// An operation of a daemon on a packet, which is recorded as one span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Operation {
    /// The packet arrived from the fabric or from a target.
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

impl Operation {
    /// Returns the name of the spans that record the operation.
    pub fn name(self) -> &'static str {
        match self {
            Operation::Ingress => "ingress",
            Operation::Owner => "owner",
            Operation::SecondaryOwner => "secondary_owner",
            Operation::Delivery => "delivery",
            Operation::Return => "return",
        }
    }
}

/// The span of one operation on a sampled packet, which ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    inner: trace::Span,
}

impl Span {
    pub(super) fn new(inner: trace::Span) -> Span {
        Span { inner }
    }

    /// Returns the trace context, which makes this span the parent of a later one.
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
