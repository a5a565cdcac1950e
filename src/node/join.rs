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

/// A daemon serves after this time with what it has.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// How long one call to the platform may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The pauses between two attempts; each is twice the one before.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(15);

/// How long one peer may take to send its snapshots.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Peers whose snapshots are fetched. Two, since one may itself have joined a moment ago.
const SNAPSHOT_PEERS: usize = 2;

/// What a joiner needs.
pub(super) struct Joiner<P> {
    pub(super) platform: Arc<P>,
    pub(super) own_info: Info,
    /// Admin addresses from the settings, for when the platform is down.
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) members: ActorRef<request::Members>,
    pub(super) tickets: ActorRef<request::Tickets>,
    pub(super) coordinator: ActorRef<request::Coordinator>,
    pub(super) shared: Arc<Shared>,
}

impl<P: Platform> Joiner<P> {
    /// Fetches the first state and lets the daemon serve.
    ///
    /// The newest of peers and platform counts. Without either, the daemon serves with what it
    /// has after [`JOIN_TIMEOUT`] and goes on trying.
    pub(super) async fn run(self) {
        let start = Instant::now();
        let mut fetch = std::pin::pin!(self.fetch());
        let is_complete = timeout(JOIN_TIMEOUT, &mut fetch).await.is_ok();
        // Requests of one sender arrive in order, so the state is merged before forwarding starts.
        let _ = self.members.cast(request::Members::Joined);
        let _ = self.coordinator.cast(request::Coordinator::Joined);
        if !is_complete {
            warn!("no first state after {} s; serving without", JOIN_TIMEOUT.as_secs());
            fetch.await;
        }
        info!("first state is complete after {} ms", start.elapsed().as_millis());
    }

    /// Tries until a peer or the platform has answered.
    async fn fetch(&self) {
        let mut delay = FIRST_RETRY_DELAY;
        while !self.try_fetch().await {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        self.wait_for_actors().await;
    }

    /// Asks the contacts, then the daemons on the platform's list, then the platform itself.
    ///
    /// The contacts come first, since a platform that hangs would use up the time to join.
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
                Ok(Err(error)) => warn!("list of VMs could not be read: {error}"),
                Err(_) => warn!("list of VMs could not be read in time"),
            }
        }
        answers > 0 || self.fetch_from_platform().await
    }

    /// Fetches the states of at most `wanted` peers and returns how many answered.
    async fn fetch_from_peers(&self, addresses: &[SocketAddr], wanted: usize) -> usize {
        let mut answers = 0;
        for address in addresses {
            if *address == self.own_info.admin || answers == wanted {
                continue;
            }
            match timeout(PEER_TIMEOUT, self.fetch_from_peer(*address)).await {
                // A peer that has just started itself knows nothing yet.
                Ok(Ok(has_tickets)) => answers += usize::from(has_tickets),
                Ok(Err(error)) => warn!("{address} did not send its state: {error}"),
                Err(_) => warn!("{address} did not send its state in time"),
            }
        }
        answers
    }

    /// Returns the admin addresses of other daemons, those of the own zone and region first.
    fn nearest_first(&self, infos: &[Info]) -> Vec<SocketAddr> {
        let mut others: Vec<&Info> =
            infos.iter().filter(|info| info.name != self.own_info.name).collect();
        others.sort_by_key(|info| {
            (info.region != self.own_info.region, info.zone != self.own_info.zone, info.id())
        });
        others.iter().map(|info| info.admin).collect()
    }

    /// Fetches the state of a peer and returns whether the peer has any ticket.
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

    /// Reads all tickets and returns whether the platform has answered.
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
                    warn!("tickets could not be read: {error}");
                    return false;
                }
                Err(_) => {
                    warn!("tickets could not be read in time");
                    return false;
                }
            }
        }
    }

    /// Waits until the actors have taken over what was fetched.
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
