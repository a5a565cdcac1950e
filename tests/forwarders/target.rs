use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use banyanwharf::{
    flow::{Key, Protocol},
    packet,
    ticket::TargetId,
};

use super::{
    Fleet,
    caller::{Outcome, Phase},
    packets::{ACK, FIN, RST, SYN_ACK, build, number},
};

/// A target that answers each request with its own number and the request's number.
pub struct Target {
    pub number: u32,
    pub service: usize,
    pub zone: Arc<str>,
    pub address: SocketAddr,
    pub removed: bool,
    /// Whether the target answers SYNs with resets.
    pub rejects_syns: bool,
    /// Whether the target answers no packet.
    pub silent: bool,
    pub accepted: u64,
    /// Whether each connection is closed.
    connections: HashMap<Key, bool>,
}

impl Target {
    pub fn new(number: u32, service: usize, zone: Arc<str>, address: SocketAddr) -> Target {
        let connections = HashMap::new();
        let (removed, rejects_syns, silent, accepted) = (false, false, false, 0);
        Target {
            number,
            service,
            zone,
            address,
            removed,
            rejects_syns,
            silent,
            accepted,
            connections,
        }
    }
}

impl Fleet {
    pub(super) fn handle_target_packet(&mut self, id: TargetId, bytes: &[u8]) {
        let summary = packet::parse(bytes).expect("daemons forward only complete packets");
        let key = summary.request_key();
        self.check_target(id, &key, &summary, bytes);
        let target = self.targets.get_mut(&id).expect("the target exists");
        let address = target.address;
        if target.silent {
            return;
        }
        let flags = summary.flags;
        let known = target.connections.get(&key).copied();
        let answer = if summary.protocol == Protocol::Udp {
            Some((ACK, Some(number(bytes))))
        } else if flags.rst {
            target.connections.remove(&key);
            None
        } else if flags.syn && target.rejects_syns {
            Some((RST, None))
        } else if flags.syn {
            target.accepted += u64::from(known != Some(false));
            target.connections.insert(key, false);
            Some((SYN_ACK, None))
        } else if known.is_none() {
            Some((RST, None))
        } else if flags.fin {
            target.connections.insert(key, true);
            Some((FIN, None))
        } else {
            (summary.payload_length > 0).then(|| (ACK, Some(number(bytes))))
        };
        let sequence = target.number;
        if let Some((flags, payload)) = answer {
            let payload = payload.map(|payload| payload << 8 | sequence & 255);
            let endpoints = (key.service, key.caller);
            let packet = build(key.protocol, endpoints, flags, (sequence, 0), payload);
            self.send_to_fabric(address, packet);
        }
    }

    /// Checks that a packet has reached the target of its flow.
    fn check_target(&mut self, id: TargetId, key: &Key, summary: &packet::Summary, bytes: &[u8]) {
        let target = &self.targets[&id];
        let index = self.index[key];
        let flow = &self.flows[index];
        assert_eq!(target.service, flow.service, "a packet reached a target of another service");
        let first = match key.protocol {
            Protocol::Udp => *self.flows[index].target.get_or_insert(target.number),
            Protocol::Tcp if summary.payload_length == 0 => return,
            Protocol::Tcp => flow.target.expect("a payload is sent only after the SYN-ACK"),
        };
        if first != target.number && self.flows[index].phase != Phase::Done {
            self.findings.misdelivered += 1;
            let what = format!(
                "request {} of {key:?} reached target {} instead of {first}",
                number(bytes),
                target.number
            );
            self.end(index, Outcome::Broken(what));
        }
    }
}
