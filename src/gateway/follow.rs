//! One daemon of each zone reads the targets, and the others follow it.
//!
//! Calls to the store then grow with the number of zones and of changes, not of daemons. The followed
//! daemon also tells when operators have published a change, which the others then read themselves.
//! A daemon that cannot follow reads and watches the store.

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
        followed::Followed,
        help::{self, Helper},
        keeper,
    },
    member::{Id, Status},
    util::score,
};

/// The time between two questions to the followed daemon. A change of a target must be known within
/// 3 s; the followed daemon reads every 0.5 s, and stale reads lag by up to 1 s.
const PERIOD: Duration = Duration::from_millis(500);

/// How long the followed daemon may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The largest age of the followed daemon's reads of the targets: two of its periods. Each of its
/// reads that fails takes longer.
const MAXIMUM_AGE: Duration = Duration::from_millis(1000);

/// The largest age of the followed daemon's configuration: one wait of its watch, and the time in
/// which a watch must be found broken.
const MAXIMUM_OPERATOR_AGE: Duration = Duration::from_millis(3000);

/// How long operators' changes that the followed daemon knows may be unknown here.
const MAXIMUM_LAG: Duration = Duration::from_millis(1000);

/// The daemons of the zone that are asked in turn.
const CANDIDATES: usize = 2;

/// Why a daemon is not followed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error(transparent)]
    Peer(#[from] help::Error),
    #[error("it has read the targets {age:?} and the configuration {operator_age:?} ago")]
    Old { age: Option<Duration>, operator_age: Option<Duration> },
    #[error("its targets and those of this daemon differ by more than it tells")]
    Apart,
    #[error("operators' changes that it knows could not be read in time")]
    Lagging,
    #[error("keeper has ended")]
    Stopped,
    #[error("it is the first of its zone")]
    First,
}

/// A daemon that is followed.
struct Followee {
    address: SocketAddr,
    client: Client,
    /// What is known of it already.
    cursor: Cursor,
    /// Since when operators' changes that it knows are not known here.
    lagging_since: Option<Instant>,
}

impl Followee {
    async fn changes(&self) -> Result<Followed, help::Error> {
        let answer = timeout(ANSWER_TIMEOUT, self.client.follow(self.cursor)).await??;
        Ok(serde_json::from_str(answer.get())?)
    }
}

impl Helper {
    /// Follows the daemon of the zone that reads the store, unless it is this one.
    pub(super) async fn follow(self) {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut followee: Option<Followee> = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                // After a pause of the process nothing that is known may be used.
                () = self.shared.read_now.notified() => {}
            }
            let result = self.follow_one(followee.take()).await;
            let is_following = result.is_ok();
            let was_following = self.shared.is_following.swap(is_following, Ordering::Relaxed);
            match &result {
                Ok(followee) if !was_following => {
                    info!(daemon:% = followee.address; "store is read by another daemon");
                }
                Err(error) if was_following => {
                    info!("this daemon reads the store: {error}");
                    self.shared.read_now.notify_waiters();
                }
                Ok(_) | Err(_) => {}
            }
            followee = result.ok();
        }
    }

    /// Takes over the changes of the first candidate that can be followed.
    async fn follow_one(&self, mut former: Option<Followee>) -> Result<Followee, Error> {
        let mut result = Err(Error::First);
        for address in self.followees() {
            let known = former.take_if(|former| former.address == address);
            result = self.pull(address, known).await;
            match &result {
                Ok(_) => break,
                Err(error) => debug!("{address} cannot be followed: {error}"),
            }
        }
        result
    }

    /// Returns the daemons of the zone that read the store in the place of this one. All daemons
    /// that know the same members agree on their order.
    fn followees(&self) -> Vec<SocketAddr> {
        let view = self.shared.members.load();
        let mut ranked: Vec<(u64, Id, SocketAddr)> = view
            .iter()
            .filter(|(_, member)| {
                member.info.zone == self.own.zone && member.status == Status::Alive
            })
            .map(|(id, member)| (score(id, 0), id, member.info.admin))
            .collect();
        ranked.sort_unstable();
        let before_own = ranked.into_iter().take_while(|(_, id, _)| *id != self.own.id());
        before_own.map(|(_, _, admin)| admin).take(CANDIDATES).collect()
    }

    async fn pull(&self, address: SocketAddr, known: Option<Followee>) -> Result<Followee, Error> {
        let mut followee = match known {
            Some(known) => known,
            None => {
                let client = admin::connect(address, ANSWER_TIMEOUT).map_err(help::Error::from)?;
                let revision = self.shared.view.load().revision;
                let cursor = Cursor { revision, ..Cursor::default() };
                Followee { address, client, cursor, lagging_since: None }
            }
        };
        let Followed { incarnation, delta } = followee.changes().await?;
        let Delta { age, operator_age, sequence, revision, operator_revision, .. } = delta;
        let is_fresh = age.is_some_and(|age| age <= MAXIMUM_AGE)
            && operator_age.is_some_and(|age| age <= MAXIMUM_OPERATOR_AGE);
        if !is_fresh {
            return Err(Error::Old { age, operator_age });
        }
        let request = |reply| keeper::Request::Follow(delta, reply);
        let known = call_actor(&self.keeper, request).await.ok_or(Error::Stopped)?;
        let known = known.ok_or(Error::Apart)?;
        if known < operator_revision {
            let since = *followee.lagging_since.get_or_insert_with(Instant::now);
            if since.elapsed() > MAXIMUM_LAG {
                return Err(Error::Lagging);
            }
            self.shared.operator_wanted.fetch_max(operator_revision, Ordering::Relaxed);
            self.shared.read_now.notify_waiters();
        } else {
            followee.lagging_since = None;
        }
        followee.cursor = Cursor { incarnation: Some(incarnation), sequence, revision };
        Ok(followee)
    }
}
