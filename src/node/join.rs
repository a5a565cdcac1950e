use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::ActorRef;
use tokio::time::{sleep, timeout};

use crate::{
    admin::{self, ApiClient as _},
    member::Info,
    node::{request, shared::Shared, state_snapshot::StateSnapshot, watch},
    platform::Platform,
};

/// After this time a daemon without the first state forwards with the state that it has.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The time limit of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The first and the largest delay between two attempts; the delay doubles with each attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// The time limit for one peer to send its snapshots, and for an actor to answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of peers whose snapshots are fetched. One peer is not enough, since it may itself
/// have joined a moment ago.
const SNAPSHOT_PEERS: usize = 2;

/// Fetches the first state of a daemon from its peers and the platform.
pub(super) struct Joiner<P> {
    pub(super) platform: Arc<P>,
    pub(super) own_info: Info,
    /// The admin addresses of peers from the settings, for use while the platform is down.
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) members: ActorRef<request::Members>,
    pub(super) tickets: ActorRef<request::Tickets>,
    pub(super) coordinator: ActorRef<request::Coordinator>,
    pub(super) shared: Arc<Shared>,
}

impl<P: Platform> Joiner<P> {
    /// Fetches the first state and then starts forwarding.
    ///
    /// The states of several peers and of the platform are merged, and the newest version of each
    /// object wins. If neither a peer nor the platform answers within [`JOIN_TIMEOUT`], the daemon
    /// forwards with the state that it has and continues to try.
    pub(super) async fn run(self) {
        let start = Instant::now();
        let mut fetch = std::pin::pin!(self.fetch());
        let is_complete = timeout(JOIN_TIMEOUT, &mut fetch).await.is_ok();
        // An actor handles the requests of one sender in order, so the fetched state is merged
        // before forwarding starts.
        let _ = self.members.cast(request::Members::Joined);
        let _ = self.coordinator.cast(request::Coordinator::Joined);
        if !is_complete {
            warn!(
                "no first state after {} s; forwarding starts without it",
                JOIN_TIMEOUT.as_secs()
            );
            fetch.await;
        }
        info!("first state is complete after {} ms", start.elapsed().as_millis());
    }

    /// Retries until a peer or the platform has sent its state.
    async fn fetch(&self) {
        let mut delay = FIRST_RETRY_DELAY;
        while !self.try_fetch().await {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        self.wait_for_actors().await;
    }

    /// Fetches the state from the contacts, then from the daemons in the platform's list of VMs,
    /// then from the platform itself, and returns whether one of them has sent its state.
    ///
    /// The contacts come first, since a platform that hangs would use up [`JOIN_TIMEOUT`].
    async fn try_fetch(&self) -> bool {
        let mut answers = self.fetch_from_peers(&self.contacts, SNAPSHOT_PEERS).await;
        if answers < SNAPSHOT_PEERS {
            match timeout(PLATFORM_TIMEOUT, self.platform.vms(0, Duration::ZERO)).await {
                Ok(Ok(vms)) => {
                    let infos: Vec<Info> = vms.vms.iter().map(watch::member_info).collect();
                    let addresses = self.nearest_first(&infos);
                    let _ = self.members.cast(request::Members::Contacts(infos));
                    answers += self.fetch_from_peers(&addresses, SNAPSHOT_PEERS - answers).await;
                }
                Ok(Err(error)) => warn!("list of VMs could not be read from the platform: {error}"),
                Err(_) => warn!("list of VMs could not be read from the platform in time"),
            }
        }
        answers > 0 || self.fetch_from_platform().await
    }

    /// Fetches the states of peers until `wanted` of them have sent one with tickets, and returns
    /// how many did.
    async fn fetch_from_peers(&self, addresses: &[SocketAddr], wanted: usize) -> usize {
        let mut answers = 0;
        for address in addresses {
            if *address == self.own_info.admin || answers == wanted {
                continue;
            }
            match timeout(PEER_TIMEOUT, self.fetch_from_peer(*address)).await {
                // A peer that has just started itself has no tickets yet and does not count.
                Ok(Ok(has_tickets)) => answers += usize::from(has_tickets),
                Ok(Err(error)) => warn!("peer {address} did not send its state: {error}"),
                Err(_) => warn!("peer {address} did not send its state in time"),
            }
        }
        answers
    }

    /// Returns the admin addresses of other daemons, those of the own region and zone first.
    fn nearest_first(&self, infos: &[Info]) -> Vec<SocketAddr> {
        let mut others: Vec<&Info> =
            infos.iter().filter(|info| info.name != self.own_info.name).collect();
        others.sort_by_key(|info| {
            (info.region != self.own_info.region, info.zone != self.own_info.zone, info.id())
        });
        others.iter().map(|info| info.admin).collect()
    }

    /// Fetches the state of a peer and returns whether the peer has any tickets.
    async fn fetch_from_peer(&self, address: SocketAddr) -> admin::Result<bool> {
        let peer = admin::connect(address, PEER_TIMEOUT)?;
        let call_error = |source| admin::Error::Call { address, source };
        let snapshot_error = |source| admin::Error::Snapshot { address, source };
        let members = peer.member_snapshot().await.map_err(call_error)?;
        let tickets = peer.state_snapshot().await.map_err(call_error)?;
        let members = serde_json::from_str(members.get()).map_err(snapshot_error)?;
        let tickets: StateSnapshot = serde_json::from_str(tickets.get()).map_err(snapshot_error)?;
        let has_tickets = !tickets.snapshot.items.is_empty();
        let _ = self.members.cast(request::Members::Merge(members));
        let _ = self.tickets.cast(request::Tickets::Merge(tickets));
        Ok(has_tickets)
    }

    /// Reads all tickets from the platform and returns whether that succeeded.
    async fn fetch_from_platform(&self) -> bool {
        let mut index = 0;
        loop {
            match timeout(PLATFORM_TIMEOUT, self.platform.tickets(index, Duration::ZERO)).await {
                Ok(Ok(tickets)) => {
                    index = tickets.index;
                    let _ = self.tickets.cast(request::Tickets::Published(tickets.tickets));
                    if !tickets.more {
                        return true;
                    }
                }
                Ok(Err(error)) => {
                    warn!("tickets could not be read from the platform: {error}");
                    return false;
                }
                Err(_) => {
                    warn!("tickets could not be read from the platform in time");
                    return false;
                }
            }
        }
    }

    /// Waits until the actors have merged the fetched state.
    async fn wait_for_actors(&self) {
        let _ = self.tickets.call(request::Tickets::Summary, Some(PEER_TIMEOUT)).await;
        let _ = self.members.call(request::Members::IsDeparted, Some(PEER_TIMEOUT)).await;
        info!(
            "{} members and {} services are known",
            self.shared.view.load().len(),
            self.shared.routes.load().services().len()
        );
    }
}
