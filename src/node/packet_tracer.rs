use crate::{
    forward::Action,
    telemetry::{Operation, Span, Tracing},
    wire::{Body, Frame, Stage, TraceContext},
};

/// Makes the spans of the packet that is being handled, if the packet is sampled.
#[derive(Debug)]
pub(super) struct PacketTracer {
    tracing: Tracing,
    span: Option<Span>,
}

impl PacketTracer {
    /// Creates a tracer whose spans go to `tracing`.
    pub(super) fn new(tracing: Tracing) -> PacketTracer {
        PacketTracer { tracing, span: None }
    }

    /// Starts the span of a packet from the fabric or a target and returns the trace context.
    pub(super) fn start_ingress(&mut self) -> Option<TraceContext> {
        self.span = self.tracing.sample(Operation::Ingress);
        self.span.as_ref().map(Span::context)
    }

    /// Starts the span of a packet from another daemon. The trace context in the frame is replaced
    /// by the context of the new span, which becomes the parent of the next hop's span.
    pub(super) fn start_hop(&mut self, frame: &mut Frame<'_>) {
        self.span = None;
        let Body::Hop(hop) = &mut frame.body else {
            return;
        };
        let operation = match hop.stage {
            Stage::Store { .. } => Operation::SecondaryOwner,
            _ => Operation::Owner,
        };
        self.span = self.tracing.continue_from(operation, hop.trace);
        hop.trace = self.span.as_ref().map(Span::context);
    }

    /// Ends the span of the packet and records the actions of the forwarder.
    pub(super) fn finish(&mut self, actions: &[Action]) {
        let Some(mut span) = self.span.take() else {
            return;
        };
        for action in actions {
            match action {
                Action::Deliver { address, .. } => {
                    if let Some(mut delivery) = self.start_child(Operation::Delivery, &span) {
                        delivery.set("address", address.to_string());
                    }
                }
                Action::Return { .. } => drop(self.start_child(Operation::Return, &span)),
                Action::Peer { member, body: Body::Hop(_), .. } => {
                    span.set("next", format!("{member:016x}"));
                }
                Action::Drop(cause) => span.set("dropped", format!("{cause:?}")),
                _ => {}
            }
        }
    }

    fn start_child(&self, operation: Operation, parent: &Span) -> Option<Span> {
        self.tracing.continue_from(operation, Some(parent.context()))
    }
}
