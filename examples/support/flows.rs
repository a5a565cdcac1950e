//! A forwarder that holds a given number of flows, and packets of these flows.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::HashSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::{Hasher, Key, Protocol},
    forward::{Action, Config, Forwarder},
    member::{self, Info, Member, Ranking, Status, View},
    packet::Flags,
    place::{self, Placer},
    route::{Generation, Service, Table, Target},
    ticket::{Policy, TargetId, TargetState},
    wire::{Body, Frame, Hop, Stage},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[path = "../../tests/forwarders/packets.rs"]
pub mod packets;

const REGION: &str = "region";
const TARGETS: u64 = 14;

/// The maximum number of packets kept for each kind of flow. With more packets, the time to read
/// them from memory would dominate the measurement.
pub const MAX_PACKETS_PER_KIND: usize = 1 << 16;

/// The role of the forwarder for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The forwarder is the primary owner.
    Primary,
    /// The forwarder is the secondary owner.
    Secondary,
    /// Other daemons own the flow.
    Other,
}

/// A forwarder in a region of four daemons in two zones, and packets of its flows.
pub struct Fixture {
    pub forwarder: Forwarder,
    pub now: Instant,
    pub own_id: member::Id,
    pub peers: Vec<member::Id>,
    ranking: Arc<Ranking>,
    hasher: Hasher,
    rng: Pcg64Mcg,
    /// The actions of the last call of the forwarder.
    pub actions: Vec<Action>,
    /// Mid-flow packets of flows that this daemon owns as primary.
    pub owned_packets: Vec<Vec<u8>>,
    /// SYNs of open flows that this daemon owns as primary, which arrive as retransmissions.
    pub syns: Vec<Vec<u8>>,
    /// Mid-flow packets of cached flows.
    pub cached_packets: Vec<Vec<u8>>,
    /// Return packets of cached flows, with the address of the target that sends them.
    pub return_packets: Vec<(SocketAddr, Vec<u8>)>,
}

impl Fixture {
    /// Creates a forwarder without flows.
    pub fn new(seed: u64) -> Fixture {
        let mut now = Instant::now();
        let mut view = View::new();
        let mut ids = Vec::new();
        for at in 0..4 {
            let info = Info {
                name: format!("entry-{at}").into(),
                region: REGION.into(),
                zone: format!("zone-{}", at % 2).into(),
                peer: ([127, 0, 0, 1], 1).into(),
                admin: ([127, 0, 0, 1], 2).into(),
            };
            ids.push(info.id());
            view.insert(Member { info, incarnation: 0, status: Status::Alive, since: now });
        }
        let own_id = ids.remove(0);
        let hasher = Hasher::new(&[7; 16]);
        // No flow may be refused here. The limits of new flows have their own tests.
        let limits = place::Config { new_flows_per_second: u32::MAX, ..Default::default() };
        let placer = Placer::new(limits, own_id, seed, now);
        let config = Config { max_flows: 1 << 22, max_cached_flows: 1 << 22, ..Config::default() };
        let mut forwarder = Forwarder::new(config, own_id, hasher.clone(), placer, seed, now);
        let ranking = Arc::new(Ranking::new(&view, REGION, &HashSet::new()));
        forwarder.set_routes(now, Arc::new(routes()));
        forwarder.placer_mut().set_members(&view, REGION);
        forwarder.set_ranking(now, ranking.clone());
        // After this time no hash slot is unsettled.
        now += Duration::from_secs(20);
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (owned_packets, syns, cached_packets, return_packets) = Default::default();
        let peers = ids;
        Fixture {
            forwarder,
            now,
            own_id,
            peers,
            ranking,
            hasher,
            rng,
            actions: Vec::new(),
            owned_packets,
            syns,
            cached_packets,
            return_packets,
        }
    }

    /// Returns the key of a random flow, and this daemon's role for the flow.
    pub fn random_key(&mut self) -> (Key, Role) {
        let ip = Ipv4Addr::from(0x6440_0000 | (self.rng.random::<u32>() & 0x3f_ffff));
        let caller = SocketAddr::new(IpAddr::V4(ip), self.rng.random_range(1024..=u16::MAX));
        let key = Key { protocol: Protocol::Tcp, caller, service: service_address() };
        let owners = self.ranking.owners(self.hasher.fingerprint(&key).slot());
        let owners = owners.expect("there are members");
        let role = match owners.primary == self.own_id {
            true => Role::Primary,
            false if owners.secondary == Some(self.own_id) => Role::Secondary,
            false => Role::Other,
        };
        (key, role)
    }

    /// Returns the key of a random flow for which this daemon has `role`.
    pub fn random_key_with_role(&mut self, role: Role) -> Key {
        loop {
            let (key, found) = self.random_key();
            if found == role {
                return key;
            }
        }
    }

    /// Opens a flow that this daemon owns as primary, with SYN, SYN-ACK and ACK.
    pub fn open_owned(&mut self, key: Key) {
        let syn = request_packet(key, packets::SYN);
        let (from, ack) = (key.caller, request_packet(key, packets::ACK));
        self.on_datagram(from, &syn);
        let target = self.placed_target_address();
        self.on_datagram(target, &return_packet(key, packets::SYN_ACK));
        self.on_datagram(from, &ack);
        if self.owned_packets.len() < MAX_PACKETS_PER_KIND {
            self.owned_packets.push(ack);
            self.syns.push(syn);
        }
    }

    /// Passes a return packet to the forwarder, which caches the flow's target.
    pub fn open_cached(&mut self, key: Key) {
        let index = self.rng.random_range(0..TARGETS);
        let packet = return_packet(key, packets::ACK);
        self.on_datagram(target_address(index), &packet);
        if self.cached_packets.len() < MAX_PACKETS_PER_KIND {
            self.cached_packets.push(request_packet(key, packets::ACK));
            self.return_packets.push((target_address(index), packet));
        }
    }

    /// Opens `count` flows as primary owner, and caches the targets of `count` other flows.
    pub fn fill(&mut self, count: usize) {
        let (mut owned, mut cached) = (0, 0);
        while owned < count || cached < count {
            match self.random_key() {
                (key, Role::Primary) if owned < count => {
                    self.open_owned(key);
                    owned += 1;
                }
                (key, Role::Other) if cached < count => {
                    self.open_cached(key);
                    cached += 1;
                }
                _ => {}
            }
        }
    }

    /// Passes a datagram to the forwarder and stores the forwarder's actions in `actions`.
    pub fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        self.actions.clear();
        self.forwarder.on_datagram(self.now, from, bytes, None, &mut self.actions);
    }

    /// Passes a packet of another daemon to the forwarder and stores the forwarder's actions in
    /// `actions`.
    pub fn on_hop(&mut self, stage: Stage, packet: &[u8]) {
        self.actions.clear();
        let body = Body::Hop(Hop { stage, hops_left: 3, trace: None });
        let frame = Frame { sender: self.peers[0], body, packet };
        self.forwarder.on_frame(self.now, &frame, &mut self.actions);
    }

    /// Returns the address of the target on which the last call has placed a flow.
    fn placed_target_address(&self) -> SocketAddr {
        let target = self.actions.iter().find_map(|action| match action {
            Action::Peer {
                body: Body::Hop(Hop { stage: Stage::Store { target, .. }, .. }),
                ..
            } => Some(*target),
            _ => None,
        });
        target_address(target.expect("the flow was placed") - 1)
    }
}

fn service_address() -> SocketAddr {
    ([198, 51, 100, 1], 80).into()
}

fn target_address(index: u64) -> SocketAddr {
    ([10, 1, 0, index as u8 + 1], 6080).into()
}

pub fn request_packet(key: Key, flags: Flags) -> Vec<u8> {
    packets::build(key.protocol, (key.caller, key.service), flags, (1, 1), Some(1))
}

fn return_packet(key: Key, flags: Flags) -> Vec<u8> {
    packets::build(key.protocol, (key.service, key.caller), flags, (1, 1), Some(1))
}

fn routes() -> Table {
    let target = |index: u64| Target {
        id: index + 1,
        name: format!("target-{index}").into(),
        service: 0,
        address: target_address(index),
        zone: format!("zone-{}", index % 2).into(),
        zone_out: false,
        state: TargetState::Active,
        weight: 100,
        slots: 4,
        connections: u32::MAX,
        cold_slots: 1,
        ramp: Duration::ZERO,
        drain: None,
        health: None,
        load: None,
        quarantined: false,
    };
    let ids: Vec<TargetId> = (1..=TARGETS).collect();
    let targets = ids.iter().map(|id| (*id, 100)).collect();
    let service_entry = Service {
        name: "turnos".into(),
        policy: Policy { name: "default".into(), priority: Default::default(), bound: None },
        targets: ids.clone(),
        generations: vec![Generation { number: 1, targets }],
    };
    let mut table = Table::new();
    let targets = (0..TARGETS).map(target).collect();
    table.insert(service_entry, &[(Protocol::Tcp, service_address())], targets);
    table
}
