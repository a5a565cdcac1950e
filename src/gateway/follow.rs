//! Following of a zone reader: one daemon of each zone, the *zone reader*, reads the targets from
//! the store, and the other daemons of the zone, its *followers*, fetch the changes from the zone
//! reader.
//!
//! The load on the store then grows with the number of zones and changes, but not with the number
//! of daemons. The zone reader also announces the revision of the operators' last change, and each
//! follower reads that change from the store itself. A daemon that cannot follow a zone reader
//! reads and watches the store.

use std::{
    net::SocketAddr,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use log::{debug, info};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{
    admin::{self, ApiClient as _, Client, Cursor, call_actor},
    cookie::Delta,
    gateway::{
        directory_actor,
        follow_response::FollowResponse,
        peer_client::{self, PeerClient},
    },
    member::{Id, Status},
    util::score,
};

/// The time between two requests to the zone reader. A change of a target must be known within 3 s,
/// and the zone reader learns of it within 0.5 s.
const PERIOD: Duration = Duration::from_millis(500);

/// How long the zone reader may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The largest accepted time since the store last confirmed the zone reader's targets, which it does
/// every second. A failed call takes longer, so a zone reader whose calls fail is not followed.
const MAXIMUM_TARGETS_AGE: Duration = Duration::from_millis(1500);

/// The largest accepted time since the store last confirmed the zone reader's configuration: the
/// sum of the longest wait of the zone reader's watch, 2 s, and the time in which the zone reader must
/// detect that the watch is broken.
const MAXIMUM_CONFIG_AGE: Duration = Duration::from_millis(3000);

/// How long this daemon may take to read an operators' change from the store after the zone reader
/// has announced it, if its calls fail.
const MAXIMUM_OPERATOR_LAG: Duration = Duration::from_millis(1000);

/// The maximum number of daemons that are tried as the zone reader, one after the other.
const MAXIMUM_CANDIDATES: usize = 2;

/// The reason why a candidate is not followed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Peer(#[from] peer_client::Error),
    #[error("data of the zone reader is too old: targets {age:?}, configuration {operator_age:?}")]
    Outdated { age: Option<Duration>, operator_age: Option<Duration> },
    #[error(
        "changes of the zone reader cannot be applied: they are older than the known targets \
         or not complete"
    )]
    Inapplicable,
    #[error(
        "this daemon cannot read the operators' changes that the zone reader announced from the store"
    )]
    Lagging,
    #[error("directory actor has stopped")]
    Stopped,
    #[error("no other daemon of the zone ranks before it, so it is the zone reader")]
    NoCandidate,
}

/// The daemon of the own zone that this daemon follows.
struct ZoneReader {
    address: SocketAddr,
    client: Client,
    /// The position up to which this daemon has applied the changes of the zone reader.
    cursor: Cursor,
    /// When the zone reader first announced an operators' change that this daemon has not read yet;
    /// `None` if this daemon has read all announced changes.
    lagging_since: Option<Instant>,
}

impl ZoneReader {
    async fn fetch_changes(&self) -> Result<FollowResponse, peer_client::Error> {
        let response = timeout(ANSWER_TIMEOUT, self.client.follow(self.cursor)).await??;
        Ok(serde_json::from_str(response.get())?)
    }
}

impl PeerClient {
    /// Follows the zone reader periodically until the task is aborted. While this daemon is the
    /// zone reader or cannot follow it, this daemon reads the store itself, and each period only
    /// checks whether another daemon can be followed.
    pub(super) async fn follow(self) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut zone_reader: Option<ZoneReader> = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // After a pause of the process, the known state may be outdated and must be
                // confirmed at once.
                () = self.shared.reader_wakeup.notified() => {}
            }
            let result = self.follow_first_candidate(zone_reader.take()).await;
            let is_following = result.is_ok();
            // The readers start when the flag is cleared, and their reads must arrive after this.
            if !is_following
                && self.shared.is_following.load(Ordering::Relaxed)
                && self.directory_actor.cast(directory_actor::Request::FollowingEnded).is_err()
            {
                return;
            }
            let was_following = self.shared.is_following.swap(is_following, Ordering::Relaxed);
            match &result {
                Ok(zone_reader) if !was_following => {
                    info!(daemon:% = zone_reader.address; "store is read by another daemon");
                }
                Err(error) if was_following => {
                    info!("this daemon reads the store: {error}");
                    self.shared.reader_wakeup.notify_waiters();
                }
                Ok(_) | Err(_) => {}
            }
            zone_reader = result.ok();
        }
    }

    /// Applies the changes of the first candidate that can be followed, and returns this candidate.
    async fn follow_first_candidate(
        &self,
        mut previous: Option<ZoneReader>,
    ) -> Result<ZoneReader, Error> {
        let mut result = Err(Error::NoCandidate);
        for address in self.reader_candidates() {
            let current = previous.take_if(|previous| previous.address == address);
            result = self.follow_candidate(address, current).await;
            match &result {
                Ok(_) => break,
                Err(error) => debug!("daemon at {address} cannot be followed: {error}"),
            }
        }
        result
    }

    /// Returns the admin addresses of the daemons of the own zone that rank before this daemon, at
    /// most [`MAXIMUM_CANDIDATES`]. The order depends only on the ids, so all daemons with the same
    /// view of the members agree on the zone reader.
    fn reader_candidates(&self) -> Vec<SocketAddr> {
        let view = self.shared.members.load();
        let mut ranked: Vec<(u64, Id, SocketAddr)> = view
            .iter()
            .filter(|(_, member)| {
                member.info.zone == self.info.zone && member.status == Status::Alive
            })
            .map(|(id, member)| (score(id, 0), id, member.info.admin))
            .collect();
        ranked.sort_unstable();
        let before_own = ranked.into_iter().take_while(|(_, id, _)| *id != self.info.id());
        before_own.map(|(_, _, admin)| admin).take(MAXIMUM_CANDIDATES).collect()
    }

    /// Fetches and applies the changes of the daemon at `address`.
    async fn follow_candidate(
        &self,
        address: SocketAddr,
        previous: Option<ZoneReader>,
    ) -> Result<ZoneReader, Error> {
        let mut zone_reader = match previous {
            Some(previous) => previous,
            None => {
                let client =
                    admin::connect(address, ANSWER_TIMEOUT).map_err(peer_client::Error::from)?;
                let revision = self.shared.view.load().revision;
                let cursor = Cursor { revision, ..Cursor::default() };
                ZoneReader { address, client, cursor, lagging_since: None }
            }
        };
        let FollowResponse { incarnation, delta } = zone_reader.fetch_changes().await?;
        let Delta { age, operator_age, sequence, revision, operator_change_revision, .. } = delta;
        let is_fresh = age.is_some_and(|age| age <= MAXIMUM_TARGETS_AGE)
            && operator_age.is_some_and(|age| age <= MAXIMUM_CONFIG_AGE);
        if !is_fresh {
            return Err(Error::Outdated { age, operator_age });
        }
        let request = |reply| directory_actor::Request::ApplyDelta(delta, reply);
        let applied = call_actor(&self.directory_actor, request).await.ok_or(Error::Stopped)?;
        let read_up_to = applied.ok_or(Error::Inapplicable)?;
        if read_up_to < operator_change_revision {
            let lagging_since = *zone_reader.lagging_since.get_or_insert_with(Instant::now);
            // A large configuration may take longer while its call makes progress.
            let is_failing = self.shared.is_operator_read_failing.load(Ordering::Relaxed);
            if is_failing && lagging_since.elapsed() > MAXIMUM_OPERATOR_LAG {
                return Err(Error::Lagging);
            }
            self.shared.announce_operator_change(operator_change_revision);
            self.shared.operator_announcement.notify_one();
        } else {
            zone_reader.lagging_since = None;
        }
        zone_reader.cursor = Cursor { incarnation: Some(incarnation), sequence, revision };
        Ok(zone_reader)
    }
}
