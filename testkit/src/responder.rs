use std::{
    collections::HashSet,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};

use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::net::UdpSocket;

use crate::{
    Daemons, Segment,
    util::{AbortOnDrop, MAX_DATAGRAM_BYTES, bind, lock, send},
};

/// What a responder has observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponderRecord {
    /// Packets received.
    pub packets: u64,
    /// Packets that are addressed to another service or that could not be parsed.
    pub misdelivered: u64,
    /// Flows accepted.
    pub accepted: u64,
    /// Segments of unknown flows, answered with RST.
    pub unknown: u64,
    /// Data segments that were echoed.
    pub echoed: u64,
    /// Flows open now.
    pub open: usize,
}

/// A target without a TCP stack. It replies to SYN with SYN-ACK, to data with its tag followed by
/// the data, to FIN with FIN, and to any segment of an unknown flow with RST.
#[derive(Debug)]
pub struct Responder {
    address: SocketAddr,
    record: Arc<Mutex<ResponderRecord>>,
    _task: AbortOnDrop,
}

impl Responder {
    /// Starts a responder for the service addresses `services`. `tag` identifies the responder in
    /// its replies.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the socket.
    pub fn start(tag: u32, services: Vec<SocketAddr>, daemons: Daemons) -> io::Result<Self> {
        let socket = bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = socket.local_addr()?;
        let record = Arc::default();
        let engine = Engine {
            tag,
            services,
            daemons,
            random: Pcg64::seed_from_u64(tag.into()),
            socket,
            flows: HashSet::new(),
            closed: HashSet::new(),
            record: Arc::clone(&record),
        };
        let task = tokio::spawn(engine.run());
        Ok(Self { address, record, _task: AbortOnDrop(task.abort_handle()) })
    }

    /// Returns the address that receives encapsulated packets.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the responder has observed so far.
    pub fn record(&self) -> ResponderRecord {
        *lock(&self.record)
    }
}

struct Engine {
    tag: u32,
    services: Vec<SocketAddr>,
    daemons: Daemons,
    random: Pcg64,
    socket: UdpSocket,
    /// The open flows.
    flows: HashSet<(SocketAddr, SocketAddr)>,
    /// The flows that were closed by FIN. A retransmitted FIN gets the same reply as the first.
    closed: HashSet<(SocketAddr, SocketAddr)>,
    record: Arc<Mutex<ResponderRecord>>,
}

impl Engine {
    async fn run(mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(reply) = self.reply(&buffer[..length]) else {
                continue;
            };
            if let Some(daemon) = self.daemons.pick(&mut self.random) {
                send(&self.socket, &reply.build(), daemon);
            }
        }
    }

    fn reply(&mut self, packet: &[u8]) -> Option<Segment> {
        let record = &mut lock(&self.record);
        record.packets += 1;
        let Some(segment) =
            Segment::parse(packet).filter(|segment| self.services.contains(&segment.destination))
        else {
            record.misdelivered += 1;
            return None;
        };
        let key = (segment.source, segment.destination);
        if segment.rst {
            self.flows.remove(&key);
            return None;
        }
        if segment.syn && self.flows.insert(key) {
            record.accepted += 1;
        }
        record.open = self.flows.len();
        let is_retransmission = segment.fin && self.closed.contains(&key);
        if !is_retransmission && !self.flows.contains(&key) {
            record.unknown += 1;
            return Some(segment.reset());
        }
        if segment.length() == 0 {
            return None;
        }
        // The reply takes its sequence number from the segment's acknowledgment, so that a
        // retransmitted segment gets the same reply and no send state is needed.
        let sequence = if segment.syn { 0 } else { segment.acknowledgment? };
        let mut reply = Segment::new(segment.destination, segment.source, sequence);
        reply.acknowledgment = Some(segment.sequence.wrapping_add(segment.length()));
        reply.syn = segment.syn;
        reply.fin = segment.fin;
        if !segment.payload.is_empty() {
            record.echoed += 1;
            reply.payload = [&self.tag.to_be_bytes(), &segment.payload[..]].concat();
        }
        if segment.fin {
            self.flows.remove(&key);
            self.closed.insert(key);
        }
        Some(reply)
    }
}
