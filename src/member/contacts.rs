use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    member::{Info, Status, View},
    util::TokenBucket,
};

/// The first and the largest delay between two rounds of queries. The delay doubles with each
/// round.
const FIRST_DELAY: Duration = Duration::from_millis(500);
const MAXIMUM_DELAY: Duration = Duration::from_secs(8);

/// The mean rate of bytes that queries may cost.
const BYTES_PER_SECOND: f64 = 200.0;

/// The bytes that queries may cost in addition to the mean rate: the member view of a fleet of 1,100
/// daemons, with about 200 bytes for each.
const BURST_BYTES: f64 = 256.0 * 1024.0;

/// The bytes of a query without the member view: the packets of a TCP connection and the HTTP
/// headers.
const QUERY_BYTES: f64 = 1000.0;

/// Decides which contacts are queried for their member view, and when.
///
/// Contacts are the admin addresses in the settings. A contact that is present in the own member
/// view is not queried, since the failure detector already exchanges views with it. Every other one
/// may belong to a group of daemons that formed separately.
#[derive(Debug)]
pub struct Contacts {
    /// The number of queries so far, which selects the next contact.
    queries: usize,
    next_round: Instant,
    delay: Duration,
    /// Limits the bytes of queries.
    limiter: TokenBucket,
}

impl Contacts {
    /// Creates the contacts of a daemon that starts now. The first round is due at once.
    pub fn new(now: Instant) -> Contacts {
        Contacts {
            queries: 0,
            next_round: now,
            delay: FIRST_DELAY,
            limiter: TokenBucket::new(BYTES_PER_SECOND, BURST_BYTES, now),
        }
    }

    /// Returns the contacts to query now: all of them while no other daemon is present in `view`,
    /// then one in turn of those that are not present.
    pub fn due(
        &mut self,
        now: Instant,
        own: &Info,
        addresses: &[SocketAddr],
        view: &View,
    ) -> Vec<SocketAddr> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + self.delay;
        self.delay = (self.delay * 2).min(MAXIMUM_DELAY);
        let is_present = |address: SocketAddr| {
            view.iter().any(|(_, member)| member.info.admin == address && is_present(member.status))
        };
        let mut absent: Vec<SocketAddr> = addresses
            .iter()
            .copied()
            .filter(|address| *address != own.admin && !is_present(*address))
            .collect();
        if absent.is_empty() {
            return absent;
        }
        let turn = self.queries % absent.len();
        absent.rotate_left(turn);
        if !is_alone(own, view) {
            absent.truncate(1);
        }
        absent.retain(|_| self.limiter.take(now, QUERY_BYTES));
        self.queries += absent.len();
        absent
    }

    /// Records the size of the member view in a response.
    pub fn record_response(&mut self, now: Instant, bytes: usize) {
        self.limiter.debit(now, bytes as f64);
    }
}

/// Returns whether no other daemon is present in `view`.
fn is_alone(own: &Info, view: &View) -> bool {
    let own = own.id();
    !view.iter().any(|(id, member)| id != own && is_present(member.status))
}

fn is_present(status: Status) -> bool {
    match status {
        Status::Alive | Status::Leaving | Status::Suspect => true,
        Status::Failed | Status::Left => false,
    }
}
