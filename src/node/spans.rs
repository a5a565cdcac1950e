use crate::{
    forward::Action,
    telemetry::{Hop, Span, Tracing},
    wire::{Body, Frame, Stage, TraceContext},
};

/// Makes the spans of the packet that is being handled, if it is sampled.
#[derive(Debug)]
pub(super) struct Sampler {
    tracing: Tracing,
    span: Option<Span>,
}

impl Sampler {
    /// Creates a sampler.
    pub(super) fn new(tracing: Tracing) -> Sampler {
        Sampler { tracing, span: None }
    }

    /// Starts the span of a packet from the fabric or a target and returns its context.
    pub(super) fn ingress(&mut self) -> Option<TraceContext> {
        self.span = self.tracing.sample(Hop::Ingress);
        self.span.as_ref().map(Span::context)
    }

    /// Starts the span of a packet from another daemon. The context in the frame becomes that of
    /// the new span, so that the next hop continues from it.
    pub(super) fn hop(&mut self, frame: &mut Frame<'_>) {
        self.span = None;
        let Body::Hop(hop) = &mut frame.body else {
            return;
        };
        let kind = match hop.stage {
            Stage::Store { .. } => Hop::SecondaryOwner,
            _ => Hop::Owner,
        };
        self.span = self.tracing.continue_from(kind, hop.trace);
        hop.trace = self.span.as_ref().map(Span::context);
    }

    /// Ends the span of the packet with what was decided.
    pub(super) fn decided(&mut self, actions: &[Action]) {
        let Some(mut span) = self.span.take() else {
            return;
        };
        for action in actions {
            match action {
                Action::Deliver { address, .. } => {
                    if let Some(mut delivery) = self.child(Hop::Delivery, &span) {
                        delivery.set("address", address.to_string());
                    }
                }
                Action::Return { .. } => drop(self.child(Hop::Return, &span)),
                Action::Peer { member, body: Body::Hop(_), .. } => {
                    span.set("next", format!("{member:016x}"));
                }
                Action::Drop(cause) => span.set("dropped", format!("{cause:?}")),
                _ => {}
            }
        }
    }

    fn child(&self, hop: Hop, parent: &Span) -> Option<Span> {
        self.tracing.continue_from(hop, Some(parent.context()))
    }
}
