use std::time::Instant;

use crate::{
    forward::{Action, Cause, Forwarder, packet::Packet},
    member, packet,
    wire::{Body, Frame, Hop, Stage},
};

/// Handling of frames from other members.
impl Forwarder {
    /// Handles a frame from another member. Messages of the failure detector, tickets and load
    /// reports are ignored, since other modules handle them.
    pub fn on_frame(&mut self, now: Instant, frame: &Frame<'_>, actions: &mut Vec<Action>) {
        if self.is_suspended() {
            if matches!(frame.body, Body::Hop(_)) {
                self.drop_packet(Cause::Suspended, actions);
            }
            return;
        }
        let sender = frame.sender;
        match &frame.body {
            Body::Hop(hop) => self.on_hop(now, sender, hop, frame.packet, actions),
            Body::FlowTarget { fingerprint, target } => {
                self.on_flow_target(now, *fingerprint, *target)
            }
            Body::Query { fingerprint } => self.on_query(now, sender, *fingerprint, actions),
            Body::Answer { fingerprint, record, uptime } => {
                self.on_answer(now, sender, *fingerprint, *record, *uptime, actions)
            }
            Body::Copy { sequence, records } => {
                self.on_copy(now, sender, *sequence, records, actions);
            }
            Body::CopyAck { sequence } => self.on_copy_acknowledged(sender, *sequence),
            Body::Member(_) | Body::Spread(_) | Body::Load(_) | Body::TargetReports(_) => {}
        }
    }

    fn on_hop(
        &mut self,
        now: Instant,
        sender: member::Id,
        hop: &Hop,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let summary = match packet::parse(bytes) {
            Ok(summary) => summary,
            Err(error) => return self.drop_packet(error.into(), out),
        };
        let (address, key) = match hop.stage {
            Stage::Decide | Stage::Store { .. } | Stage::Deliver { .. } => {
                (summary.destination, summary.request_key())
            }
            Stage::Return { .. } | Stage::StoreReturn { .. } => {
                (summary.source, summary.return_key())
            }
        };
        let Some(service) = self.routes.service_at(summary.protocol, address) else {
            return self.drop_packet(Cause::UnknownDestination, out);
        };
        let packet = Packet {
            bytes,
            summary,
            fingerprint: self.hasher.fingerprint(&key),
            service,
            sender: Some(sender),
            hops_left: Some(hop.hops_left),
            trace: hop.trace,
            was_pending: false,
        };
        match hop.stage {
            Stage::Decide => self.send_to_primary(now, &packet, out),
            Stage::Store { target, replaces } => {
                self.store_request(now, sender, &packet, (target, replaces), out);
            }
            Stage::Deliver { target } => self.deliver_for_secondary(now, &packet, target, out),
            Stage::Return { target } => self.return_to_primary(now, &packet, target, out),
            Stage::StoreReturn { target } => self.store_return(now, sender, &packet, target, out),
        }
    }
}
