//! The departure of the local member.
//!
//! A member that exits before others know of its departure would be taken for failed. It
//! therefore repeats the departure until enough members have acknowledged it.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom as _;

use crate::member::{Detector, Id, Message, Output, detector::Peer};

/// How long the departure of the local member is repeated at most.
const FAREWELL: Duration = Duration::from_secs(2);

/// How many members must have acknowledged the departure.
const FAREWELL_ACKS: usize = 3;

/// The departure of the local member.
#[derive(Debug)]
pub(super) struct Farewell {
    until: Instant,
    next: Instant,
    pub(super) sequences: Vec<u32>,
    pub(super) acks: HashSet<Id>,
}

impl Farewell {
    pub(super) fn new(now: Instant) -> Farewell {
        Farewell { until: now + FAREWELL, next: now, sequences: Vec::new(), acks: HashSet::new() }
    }
}

impl Detector {
    pub(super) fn tick_farewell(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(farewell) = &self.farewell else {
            return;
        };
        let enough = FAREWELL_ACKS.min(self.order.len());
        if farewell.acks.len() >= enough || now >= farewell.until {
            self.farewell = None;
            return;
        }
        if now < farewell.next {
            return;
        }
        let mut peers = self.random_peers(FAREWELL_ACKS, self.own);
        if peers.len() < FAREWELL_ACKS {
            // A suspect may only have paused and then reads this message.
            let others = self.order.iter().filter_map(|id| {
                let address = self.view.get(*id)?.info.peer;
                Some(Peer { id: *id, address })
            });
            peers.extend(others.sample(&mut self.rng, FAREWELL_ACKS));
        }
        for peer in peers {
            let sequence = self.next_sequence();
            let updates = self.update_about(self.own, false).into_iter().collect();
            let updates = self.piggyback(updates);
            self.send(peer, Message::Ping { sequence, updates }, out);
            if let Some(farewell) = &mut self.farewell {
                farewell.sequences.push(sequence);
                farewell.next = now + Duration::from_millis(200);
            }
        }
    }
}
