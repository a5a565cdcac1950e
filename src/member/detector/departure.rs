//! The announcement that the local member has left.
//!
//! A member that exits before others know of its departure would be declared failed. It therefore
//! repeats the announcement until enough members have acknowledged it.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom as _;

use crate::member::{Detector, Id, Message, Output, detector::Peer};

/// The maximum time for which the announcement is repeated.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of members that must acknowledge the announcement, and that each repetition is
/// sent to.
const DEPARTURE_ACKS: usize = 3;

/// The state of the announcement.
#[derive(Debug)]
pub(super) struct Departure {
    deadline: Instant,
    next_ping_at: Instant,
    /// The sequence numbers of the pings that carry the announcement.
    pub(super) sequences: Vec<u32>,
    /// The members that have acknowledged one of these pings.
    pub(super) acks: HashSet<Id>,
}

impl Departure {
    pub(super) fn new(now: Instant) -> Departure {
        Departure {
            deadline: now + DEPARTURE_TIMEOUT,
            next_ping_at: now,
            sequences: Vec::new(),
            acks: HashSet::new(),
        }
    }
}

impl Detector {
    /// Repeats the announcement of the departure until it is acknowledged or times out.
    pub(super) fn tick_departure(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(departure) = &self.departure else {
            return;
        };
        let enough = DEPARTURE_ACKS.min(self.ping_order.len());
        if departure.acks.len() >= enough || now >= departure.deadline {
            self.departure = None;
            return;
        }
        if now < departure.next_ping_at {
            return;
        }
        let mut peers = self.random_peers(DEPARTURE_ACKS, self.own);
        if peers.len() < DEPARTURE_ACKS {
            // A suspect may only be paused and can read this message afterwards.
            let others = self.ping_order.iter().filter_map(|id| {
                let address = self.view.get(*id)?.info.peer;
                Some(Peer { id: *id, address })
            });
            peers.extend(others.sample(&mut self.rng, DEPARTURE_ACKS));
        }
        for peer in peers {
            let sequence = self.next_sequence();
            let updates = self.update_about(self.own, false).into_iter().collect();
            let updates = self.piggyback(updates);
            self.send(peer, Message::Ping { sequence, updates }, out);
            if let Some(departure) = &mut self.departure {
                departure.sequences.push(sequence);
                departure.next_ping_at = now + Duration::from_millis(200);
            }
        }
    }
}
