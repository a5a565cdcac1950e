use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{debug, info};
use ractor::ActorRef;
use rand::seq::SliceRandom as _;
use tokio::time::{sleep, timeout};

use crate::{
    admin::{self, ApiClient as _},
    gateway::{directory_actor, members, peer_state::PeerState, shared::Shared},
    member::{Contacts, Info, Snapshot, Status},
};

/// How often the client checks whether the daemon needs the state of a peer, and whether a contact
/// is to be queried.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// The time between two fetches of the state of a peer. Changes must be in force within 3 s.
const FETCH_PERIOD: Duration = Duration::from_millis(1000);

/// How long one peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// The largest number of peers that are asked in one attempt.
const PEERS_PER_ATTEMPT: usize = 3;

/// Calls the admin APIs of other daemons.
#[derive(Clone)]
pub(super) struct PeerClient {
    pub(super) info: Info,
    pub(super) shared: Arc<Shared>,
    pub(super) directory_actor: ActorRef<directory_actor::Request>,
    pub(super) members: ActorRef<members::Request>,
}

/// An error in a call to the admin API of a peer.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error(transparent)]
    Client(#[from] admin::Error),
    #[error("call to the peer failed")]
    Call(#[from] jsonrpsee::core::ClientError),
    #[error("response of the peer cannot be decoded")]
    Malformed(#[from] serde_json::Error),
    #[error("peer did not answer in time")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

impl PeerClient {
    /// Requests the member view from contacts in the settings that the daemon does not know, so that
    /// groups of daemons that formed separately discover each other.
    pub(super) async fn join(self) {
        let mut contacts = Contacts::new(Instant::now());
        loop {
            let due = contacts.due(
                Instant::now(),
                &self.info,
                &self.shared.contacts.load(),
                &self.shared.members.load(),
            );
            for contact in due {
                let response = match self.fetch_member_snapshot(contact).await {
                    Ok(response) => response,
                    Err(error) => {
                        debug!("members could not be fetched from {contact}: {error}");
                        self.shared.contact_failures.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                };
                let (snapshot, bytes) = response;
                contacts.record_response(Instant::now(), bytes);
                self.shared.contact_answers.fetch_add(1, Ordering::Relaxed);
                info!(contact:% = contact, members = snapshot.members.len(); "contact has sent its members");
                if self.members.cast(members::Request::Merge(snapshot)).is_err() {
                    return;
                }
            }
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Fetches the state of a peer periodically while the store does not answer this daemon or its
    /// view is not complete.
    pub(super) async fn run_state_fallback(self) {
        let mut is_peer_state_in_use = false;
        // The store may reject all daemons of the own zone, which would then pass old states to each
        // other. Every other attempt therefore begins with the other zones.
        let mut is_own_zone_first = true;
        loop {
            sleep(CHECK_PERIOD).await;
            if !self.shared.needs_peer_state() {
                is_peer_state_in_use = false;
                continue;
            }
            let candidates = self.candidates(is_own_zone_first);
            is_own_zone_first = !is_own_zone_first;
            for peer in candidates.into_iter().take(PEERS_PER_ATTEMPT) {
                match self.fetch_peer_state(peer).await {
                    Ok(state) if state.age_ms.is_some() => {
                        if !is_peer_state_in_use {
                            info!(
                                peer:% = peer, age_ms = state.age_ms,
                                revision:% = state.listing.revision,
                                operator_revision:% = state.operator.revision;
                                "state is fetched from a peer, since the store does not answer"
                            );
                            is_peer_state_in_use = true;
                        }
                        if self
                            .directory_actor
                            .cast(directory_actor::Request::PeerStateFetched(state))
                            .is_err()
                        {
                            return;
                        }
                        break;
                    }
                    Ok(_) => debug!("state of {peer} is not used: it has not read the targets yet"),
                    Err(error) => debug!("state could not be fetched from {peer}: {error}"),
                }
            }
            sleep(FETCH_PERIOD).await;
        }
    }

    /// Returns the admin addresses of the other daemons that are alive or leaving, those of the own
    /// zone first or last.
    fn peers(&self, is_own_zone_first: bool) -> Vec<SocketAddr> {
        let view = self.shared.members.load();
        let mut peers: Vec<(bool, SocketAddr)> = view
            .iter()
            .filter(|(id, member)| {
                *id != self.info.id() && matches!(member.status, Status::Alive | Status::Leaving)
            })
            .map(|(_, member)| (member.info.zone == self.info.zone, member.info.admin))
            .collect();
        // Shuffled, so that daemons that lose the store at the same time do not all ask the same
        // peer.
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|(is_own_zone, _)| *is_own_zone != is_own_zone_first);
        peers.into_iter().map(|(_, admin)| admin).collect()
    }

    /// Returns the admin addresses in the settings without the own one.
    fn contacts(&self) -> Vec<SocketAddr> {
        let contacts = self.shared.contacts.load();
        contacts.iter().copied().filter(|contact| *contact != self.info.admin).collect()
    }

    /// Returns the admin addresses of the peers, followed by the other addresses in the settings.
    fn candidates(&self, is_own_zone_first: bool) -> Vec<SocketAddr> {
        let mut candidates = self.peers(is_own_zone_first);
        for contact in self.contacts() {
            if !candidates.contains(&contact) {
                candidates.push(contact);
            }
        }
        candidates
    }

    /// Fetches the member view of the daemon at `address`. Returns it with its size in bytes.
    async fn fetch_member_snapshot(&self, address: SocketAddr) -> Result<(Snapshot, usize), Error> {
        let client = admin::connect(address, PEER_TIMEOUT)?;
        let response = timeout(PEER_TIMEOUT, client.member_snapshot()).await??;
        Ok((serde_json::from_str(response.get())?, response.get().len()))
    }

    async fn fetch_peer_state(&self, address: SocketAddr) -> Result<PeerState, Error> {
        let client = admin::connect(address, PEER_TIMEOUT)?;
        let response = timeout(PEER_TIMEOUT, client.state_snapshot()).await??;
        Ok(serde_json::from_str(response.get())?)
    }
}
