use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::{Key, Protocol},
    packet,
};
use rand::RngExt;

use super::{
    Event, Fleet,
    packets::{ACK, FIN, SYN, build, number},
};

/// How long a caller retransmits a request before the flow counts as broken.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Opening,
    Open,
    Closing,
    Done,
}

/// A caller's connection.
#[derive(Debug, Clone)]
pub struct Flow {
    pub key: Key,
    pub service: usize,
    pub phase: Phase,
    /// The number of the first target that has answered.
    pub target: Option<u32>,
    request: u32,
    request_sent_at: Option<Instant>,
    /// How often the current packet was sent.
    attempts: u32,
    remaining_requests: u32,
    /// The number of the current step. A scheduled step with a lower number is ignored.
    progress: u32,
}

pub enum Outcome {
    Finished,
    Unopened,
    Terminated,
    Broken(String),
}

impl Fleet {
    /// Opens a flow with the given number of requests.
    pub fn open(&mut self, requests: u32) {
        let index = self.flows.len();
        let service = usize::from(self.rng.random_bool(0.2));
        let protocol = match self.rng.random_bool(0.1) {
            true => Protocol::Udp,
            false => Protocol::Tcp,
        };
        let service_address = self.services[service].address;
        let (host, port) = ((index / 50_000) as u16, 1024 + (index % 50_000) as u16);
        let caller: SocketAddr = match service_address.is_ipv4() {
            true => ([192, 0, 2, host as u8], port).into(),
            false => ([0x2001, 0xdb8, 1, 0, 0, 0, 0, host], port).into(),
        };
        let key = Key { protocol, caller, service: service_address };
        let phase = match protocol {
            Protocol::Tcp => Phase::Opening,
            Protocol::Udp => Phase::Open,
        };
        self.index.insert(key, index);
        self.flows.push(Flow {
            key,
            service,
            phase,
            target: None,
            request: 0,
            request_sent_at: None,
            attempts: 0,
            remaining_requests: requests.max(1),
            progress: 0,
        });
        self.schedule(Duration::ZERO, Event::Step(index, 0));
    }

    /// Opens flows at a steady rate, each with a random number of requests.
    pub fn open_many(&mut self, count: usize, over: Duration, requests: u32) {
        for _ in 0..count {
            let requests = self.rng.random_range(1..=requests);
            self.open(requests);
            self.run(over / count as u32);
        }
    }

    pub fn count_open(&self) -> usize {
        self.flows.iter().filter(|flow| flow.phase == Phase::Open).count()
    }

    /// Takes the next step of a flow: a request, a retransmission or the end.
    pub(super) fn step(&mut self, index: usize, progress: u32) {
        let now = self.now;
        let flow = &mut self.flows[index];
        let (flags, payload) = match flow.phase {
            _ if flow.progress != progress => return,
            Phase::Done => return,
            Phase::Opening if flow.attempts > 6 => return self.end(index, Outcome::Unopened),
            Phase::Closing if flow.attempts > 4 => return self.end(index, Outcome::Finished),
            Phase::Opening => (SYN, None),
            Phase::Closing => (FIN, None),
            Phase::Open => {
                let since = *flow.request_sent_at.get_or_insert_with(|| {
                    flow.request += 1;
                    now
                });
                if now - since > REQUEST_TIMEOUT && flow.target.is_none() {
                    return self.end(index, Outcome::Unopened);
                }
                if now - since > REQUEST_TIMEOUT {
                    let what = format!(
                        "{:?} at {:?} had no response to request {}",
                        flow.key, flow.target, flow.request
                    );
                    return self.end(index, Outcome::Broken(what));
                }
                (ACK, Some(flow.request))
            }
        };
        let base = if flow.phase == Phase::Opening { 1000 } else { 300 };
        let wait = Duration::from_millis((base << flow.attempts.min(6)).min(8000));
        flow.attempts += 1;
        let key = flow.key;
        let packet = build(key.protocol, (key.caller, key.service), flags, (0, 1), payload);
        self.send_to_fabric(key.caller, packet);
        self.schedule(wait, Event::Step(index, progress));
    }

    /// Handles a packet that has reached its caller.
    pub(super) fn handle_caller_packet(&mut self, bytes: &[u8]) {
        let Ok(summary) = packet::parse(bytes) else {
            // An ICMP error quotes the packet after the IP and ICMP headers.
            let headers = if bytes[0] >> 4 == 4 { 28 } else { 48 };
            let quote = packet::parse(&bytes[headers..]).expect("the quoted packet is complete");
            return self.handle_reset(self.index[&quote.request_key()]);
        };
        let index = self.index[&summary.return_key()];
        let flow = &mut self.flows[index];
        let flags = summary.flags;
        if flow.phase == Phase::Done {
            return;
        }
        if flags.rst {
            return self.handle_reset(index);
        }
        if flags.syn {
            if flow.phase != Phase::Opening {
                return;
            }
            flow.phase = Phase::Open;
            flow.target = Some(summary.sequence);
            let key = flow.key;
            self.send_to_fabric(
                key.caller,
                build(key.protocol, (key.caller, key.service), ACK, (0, 1), None),
            );
        } else if flags.fin {
            return match flow.phase {
                Phase::Closing => {
                    let key = flow.key;
                    self.send_to_fabric(
                        key.caller,
                        build(key.protocol, (key.caller, key.service), ACK, (0, 1), None),
                    );
                    self.end(index, Outcome::Finished)
                }
                _ => self.end(index, Outcome::Broken("the target closed the flow".into())),
            };
        } else {
            let response = number(bytes);
            assert!(response >> 8 <= flow.request, "a response arrived before its request");
            assert_eq!(
                Some(response & 255),
                flow.target.map(|target| target & 255),
                "the response is from another target"
            );
            if flow.request_sent_at.is_none() || response >> 8 != flow.request {
                return;
            }
            flow.request_sent_at = None;
            flow.remaining_requests -= 1;
            if flow.remaining_requests == 0 {
                flow.phase = Phase::Closing;
            }
        }
        self.schedule_next_step(index);
    }

    /// Schedules the next step of a flow after an idle time. Steps that were scheduled before are
    /// ignored.
    fn schedule_next_step(&mut self, index: usize) {
        let idle_time = match self.rng.random_bool(0.5) {
            true => self.max_idle_time,
            false => self.max_idle_time / 20,
        };
        let idle_time = self.random_millis(1..idle_time.as_millis() as u64 + 2);
        let flow = &mut self.flows[index];
        flow.attempts = 0;
        flow.progress += 1;
        let progress = flow.progress;
        if flow.key.protocol == Protocol::Udp && flow.phase == Phase::Closing {
            return self.end(index, Outcome::Finished);
        }
        self.schedule(idle_time, Event::Step(index, progress));
    }

    fn handle_reset(&mut self, index: usize) {
        let flow = &self.flows[index];
        let target = flow
            .target
            .and_then(|number| self.targets.values().find(|target| target.number == number));
        let gone =
            target.is_some_and(|target| target.removed || self.zones_out.contains(&target.zone));
        let outcome = match flow.phase {
            Phase::Done => return,
            Phase::Opening => Outcome::Unopened,
            Phase::Open if flow.target.is_none() => Outcome::Unopened,
            Phase::Closing => Outcome::Finished,
            Phase::Open if gone => Outcome::Terminated,
            Phase::Open => {
                Outcome::Broken(format!("{:?} at {:?} was reset", flow.key, flow.target))
            }
        };
        self.end(index, outcome);
    }

    pub(super) fn end(&mut self, index: usize, outcome: Outcome) {
        self.flows[index].phase = Phase::Done;
        let findings = &mut self.findings;
        match outcome {
            Outcome::Finished => findings.finished += 1,
            Outcome::Unopened => findings.unopened += 1,
            Outcome::Terminated => findings.terminated += 1,
            Outcome::Broken(what) => {
                findings.broken += 1;
                findings
                    .details
                    .push(format!("{:.3} s: {what}", (self.now - self.start).as_secs_f64()));
            }
        }
    }
}
