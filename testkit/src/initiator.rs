use std::{
    collections::{HashMap, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use crate::{
    Fabric, Segment,
    util::{AbortOnDrop, flow_address, flow_number, lock},
};

/// The settings of an initiator.
#[derive(Debug, Clone)]
pub struct InitiatorConfig {
    /// The service address.
    pub service: SocketAddr,
    /// The caller addresses. Each serves 60,000 flows.
    pub addresses: Vec<IpAddr>,
    /// The interval at which an unanswered segment is retransmitted.
    pub retransmission_interval: Duration,
    /// How often a segment is sent in all before its flow counts as unanswered.
    pub max_attempts: u32,
}

/// What an initiator has observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct InitiatorRecord {
    /// Flows opened.
    pub opened: u64,
    /// Flows that were reset before they were established.
    pub refused: u64,
    /// Flows that were reset after they were established.
    pub broken: u64,
    /// Flows that were dropped because a segment, possibly the SYN, got no answer.
    pub unanswered: u64,
    /// Changes of the target that answers a flow.
    pub moved: u64,
    /// Answers whose data differ from those sent.
    pub crossed: u64,
    /// Segments that were answered.
    pub answered: u64,
    /// Retransmitted segments.
    pub retransmitted: u64,
    /// Flows closed by FIN.
    pub closed: u64,
    /// Flows open now.
    pub open: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Opening,
    Open,
    Closing,
}

#[derive(Debug, Clone)]
struct Flow {
    phase: Phase,
    target: Option<[u8; 4]>,
    sequence: u32,
    acknowledgment_number: u32,
    /// The segment that has no answer yet, and how often it was sent.
    unanswered_segment: Option<(Segment, u32)>,
}

#[derive(Debug, Default)]
struct State {
    flows: HashMap<usize, Flow>,
    /// The time of each transmission, in order of time, with the number of the flow and the
    /// segment's sequence number.
    retransmission_queue: VecDeque<(Instant, usize, u32)>,
    record: InitiatorRecord,
}

#[derive(Debug)]
struct Shared {
    config: InitiatorConfig,
    fabric: Fabric,
    state: Mutex<State>,
}

/// A caller without a TCP stack, for very many flows. A flow is identified by its number.
#[derive(Debug)]
pub struct Initiator {
    shared: Arc<Shared>,
    _task: AbortOnDrop,
}

impl Initiator {
    /// Starts an initiator without flows.
    pub fn start(config: InitiatorConfig, fabric: &Fabric) -> Self {
        let packets = fabric.register(&config.addresses);
        let shared = Arc::new(Shared { config, fabric: fabric.clone(), state: Mutex::default() });
        let task = tokio::spawn(run(shared.clone(), packets));
        Self { shared, _task: AbortOnDrop(task.abort_handle()) }
    }

    /// Sends a SYN for flow `number`, which must not be in use.
    pub fn open(&self, number: usize) {
        let mut syn = self.shared.segment(number, 0);
        syn.syn = true;
        let flow = Flow {
            phase: Phase::Opening,
            target: None,
            sequence: 0,
            acknowledgment_number: 0,
            unanswered_segment: None,
        };
        lock(&self.shared.state).flows.insert(number, flow);
        self.shared.send(number, syn);
    }

    /// Sends data on flow `number`. Returns `false` and sends nothing if the flow is not
    /// established or waits for an answer.
    pub fn send_data(&self, number: usize) -> bool {
        self.send_if_idle(number, false)
    }

    /// Closes flow `number` with FIN. Returns `false` and sends nothing if the flow is not
    /// established or waits for an answer.
    pub fn close(&self, number: usize) -> bool {
        self.send_if_idle(number, true)
    }

    /// Returns what the initiator has observed so far.
    pub fn record(&self) -> InitiatorRecord {
        let state = lock(&self.shared.state);
        let mut record = state.record;
        let open = |flow: &&Flow| flow.phase == Phase::Open;
        record.open = state.flows.values().filter(open).count() as u64;
        record
    }

    fn send_if_idle(&self, number: usize, fin: bool) -> bool {
        let mut segment = {
            let mut state = lock(&self.shared.state);
            let Some(flow) = state.flows.get_mut(&number) else {
                return false;
            };
            if flow.phase != Phase::Open || flow.unanswered_segment.is_some() {
                return false;
            }
            if fin {
                flow.phase = Phase::Closing;
            }
            let mut segment = self.shared.segment(number, flow.sequence);
            segment.acknowledgment = Some(flow.acknowledgment_number);
            segment
        };
        segment.fin = fin;
        if !fin {
            let id = ((number as u64) << 32) | u64::from(segment.sequence);
            segment.payload = id.to_be_bytes().to_vec();
        }
        self.shared.send(number, segment);
        true
    }
}

impl Shared {
    fn segment(&self, number: usize, sequence: u32) -> Segment {
        let address = flow_address(&self.config.addresses, number);
        Segment::new(address, self.config.service, sequence)
    }

    fn send(&self, number: usize, segment: Segment) {
        let packet = segment.build();
        let mut state = lock(&self.state);
        let sequence = segment.sequence;
        if let Some(flow) = state.flows.get_mut(&number) {
            flow.sequence = sequence.wrapping_add(segment.length());
            flow.unanswered_segment = Some((segment, 1));
        }
        state.retransmission_queue.push_back((Instant::now(), number, sequence));
        drop(state);
        self.fabric.send(packet);
    }

    fn receive(&self, packet: &[u8]) {
        let Some(segment) = Segment::parse(packet) else {
            return;
        };
        let to = segment.destination;
        let Some(number) = flow_number(&self.config.addresses, to) else {
            return;
        };
        let mut state = lock(&self.state);
        let State { flows, record, .. } = &mut *state;
        let Some(flow) = flows.get_mut(&number) else {
            return;
        };
        if segment.rst {
            match flow.phase {
                Phase::Opening => record.refused += 1,
                Phase::Open | Phase::Closing => record.broken += 1,
            }
            flows.remove(&number);
            return;
        }
        let Some((unanswered_segment, _)) =
            flow.unanswered_segment.take_if(|_| segment.acknowledgment == Some(flow.sequence))
        else {
            return;
        };
        record.answered += 1;
        flow.acknowledgment_number = segment.sequence.wrapping_add(segment.length());
        if let Some((tag, data)) = segment.payload.split_first_chunk() {
            record.crossed += u64::from(data != unanswered_segment.payload);
            record.moved += u64::from(flow.target.replace(*tag).is_some_and(|old| old != *tag));
        }
        match flow.phase {
            Phase::Opening if segment.syn => {
                record.opened += 1;
                flow.phase = Phase::Open;
            }
            Phase::Opening | Phase::Open => {}
            Phase::Closing => {
                record.closed += 1;
                flows.remove(&number);
            }
        }
    }

    /// Retransmits the segments that were not answered in time.
    fn retransmit_due(&self, now: Instant) {
        let mut packets = Vec::new();
        let mut state = lock(&self.state);
        let State { flows, retransmission_queue, record } = &mut *state;
        while let Some((at, number, sequence)) = retransmission_queue.front().copied() {
            if at + self.config.retransmission_interval > now {
                break;
            }
            retransmission_queue.pop_front();
            let Some(flow) = flows.get_mut(&number) else {
                continue;
            };
            let Some((segment, attempts)) = flow
                .unanswered_segment
                .as_mut()
                .filter(|(segment, _)| segment.sequence == sequence)
            else {
                continue;
            };
            if *attempts >= self.config.max_attempts {
                record.unanswered += 1;
                flows.remove(&number);
                continue;
            }
            *attempts += 1;
            record.retransmitted += 1;
            packets.push(segment.build());
            retransmission_queue.push_back((now, number, sequence));
        }
        drop(state);
        for packet in packets {
            self.fabric.send(packet);
        }
    }
}

async fn run(shared: Arc<Shared>, mut packets: mpsc::Receiver<Vec<u8>>) {
    let mut tick = tokio::time::interval(Duration::from_millis(20));
    loop {
        tokio::select! {
            packet = packets.recv() => match packet {
                Some(packet) => shared.receive(&packet),
                None => return,
            },
            _ = tick.tick() => shared.retransmit_due(Instant::now()),
        }
    }
}
