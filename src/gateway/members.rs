use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::net::UdpSocket;

use crate::{
    cookie::Census,
    gateway::{MAXIMUM_CHANGE_LINES, report_receiver::ReportReceiver, shared::Shared},
    member::{self, Detector, Id, Info, Member, Message, Output, Snapshot, Status},
    wire::{Body, Frame, Keyring, MAX_FRAME_BYTES, Sender},
};

/// The interval of the timer events of the failure detector.
const TICK: Duration = Duration::from_millis(200);

/// A message to the actor.
#[derive(Debug)]
pub(super) enum Request {
    /// Runs the timers of the failure detector.
    Tick,
    /// A message from the failure detector of another member has arrived.
    Received { from: Id, address: SocketAddr, message: Message },
    /// The view of another member has arrived.
    Merge(Snapshot),
    /// The daemon is stopping, and tells the other members.
    AnnounceLeaving,
    /// Returns the member view for a daemon that joins.
    Snapshot(RpcReplyPort<Snapshot>),
}

/// The actor that runs the failure detector and publishes the view of the other daemons.
pub(super) struct Members;

/// The arguments of the actor, which are also its state.
pub(super) struct Arguments {
    pub(super) detector: Detector,
    pub(super) info: Info,
    pub(super) sender: Sender,
    pub(super) shared: Arc<Shared>,
    pub(super) census: Census,
}

impl Actor for Members {
    type Msg = Request;
    type State = Arguments;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        own: ActorRef<Request>,
        arguments: Arguments,
    ) -> Result<Arguments, ActorProcessingErr> {
        own.send_interval(TICK, || Request::Tick);
        Ok(arguments)
    }

    async fn handle(
        &self,
        _own: ActorRef<Request>,
        request: Request,
        state: &mut Arguments,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(Instant::now(), request);
        Ok(())
    }
}

impl Arguments {
    fn handle(&mut self, now: Instant, request: Request) {
        let mut outputs = Vec::new();
        match request {
            Request::Tick => {
                self.detector.on_tick(now, &mut outputs);
            }
            Request::Received { from, address, message } => {
                self.detector.on_message(now, from, address, message, &mut outputs);
            }
            Request::Merge(snapshot) => {
                self.detector.merge_snapshot(now, snapshot);
                outputs.push(Output::ViewChanged);
            }
            Request::AnnounceLeaving => {
                self.detector.announce_leaving(now);
                outputs.push(Output::ViewChanged);
            }
            Request::Snapshot(reply) => {
                if reply.send(self.detector.snapshot(now)).is_err() {
                    info!("member view is not sent: the client has closed the request");
                }
            }
        }
        let mut is_changed = false;
        for output in outputs {
            match output {
                Output::Send { address, message, .. } => {
                    self.sender.send(address, Body::Member(message));
                }
                Output::ViewChanged => is_changed = true,
                Output::Confirmed { .. } => {}
            }
        }
        if is_changed {
            self.publish();
        }
        self.publish_sharers(now);
    }

    fn publish(&self) {
        let view = self.detector.view();
        let previous = self.shared.members.swap(Arc::new(view.clone()));
        log_changes(&previous, view);
    }

    /// Publishes the number of daemons among which the limit of a cold target is divided.
    fn publish_sharers(&mut self, now: Instant) {
        let zone_daemons = self.zone_daemons();
        self.shared.zone_daemons.store(zone_daemons.unwrap_or(0), Ordering::Relaxed);
        self.census.record(now, zone_daemons);
        let sharers = self.census.sharers(now);
        let previous = self.shared.cold_sharers.swap(sharers, Ordering::Relaxed);
        if previous != sharers {
            info!(previous, sharers; "limits of cold targets are divided by another number of daemons");
        }
    }

    /// Returns the number of daemons in the own zone, including this one; `None` if the daemon has
    /// contacts and has not learned of any other daemon yet.
    fn zone_daemons(&self) -> Option<usize> {
        let view = self.detector.view();
        let contacts = self.shared.contacts.load();
        let has_contacts = contacts.iter().any(|contact| *contact != self.info.admin);
        if view.len() == 1 && has_contacts {
            return None;
        }
        // A member that does not answer may still forward packets on its side of a network
        // partition, so it is counted.
        let in_zone = view.iter().filter(|(_, member)| {
            member.info.zone == self.info.zone && member.status != Status::Left
        });
        Some(in_zone.count())
    }
}

/// Logs the members whose status differs between two views: a line for each of a few, or one line
/// for many.
fn log_changes(previous: &member::View, view: &member::View) {
    let changed: Vec<&Member> = view
        .iter()
        .filter(|(id, member)| previous.get(*id).map(|known| known.status) != Some(member.status))
        .map(|(_, member)| member)
        .collect();
    if changed.len() <= MAXIMUM_CHANGE_LINES {
        for member in changed {
            info!(
                member = &*member.info.name, zone = &*member.info.zone, status:? = member.status;
                "member has changed"
            );
        }
        return;
    }
    let count = |status| changed.iter().filter(|member| member.status == status).count();
    let first: Vec<&str> =
        changed.iter().take(MAXIMUM_CHANGE_LINES).map(|member| &*member.info.name).collect();
    info!(
        count = changed.len(), alive = count(Status::Alive), suspect = count(Status::Suspect),
        failed = count(Status::Failed), first = first.join(" ");
        "members have changed"
    );
}

/// Receives frames from members until the actor has stopped.
pub(super) async fn receive(
    socket: UdpSocket,
    keyring: Arc<Keyring>,
    actor: ActorRef<Request>,
    report_receiver: ReportReceiver,
) {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    let mut has_warned = false;
    loop {
        let (length, address) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // On a UDP socket the error can stem from an earlier send, so receiving goes on.
                log::debug!("frame could not be received: {error}");
                continue;
            }
        };
        match Frame::decode(&buffer[..length], &keyring) {
            Ok(Frame { sender, body: Body::Member(message), .. }) => {
                let request = Request::Received { from: sender, address, message };
                if actor.cast(request).is_err() {
                    return;
                }
            }
            Ok(Frame { sender, body: Body::TargetReports(reports), .. }) => {
                report_receiver.receive(sender, reports);
            }
            Ok(_) => {}
            Err(error) => {
                if !has_warned {
                    warn!("frame from {address} is dropped: {error}; further ones are not logged");
                    has_warned = true;
                }
            }
        }
    }
}
