//! Requests of the admin API in gateway mode.
//!
//! The API was defined for tunnel mode. In gateway mode, some of its fields carry another value:
//!
//! | Field | Value in gateway mode |
//! |---|---|
//! | number of a ticket | version of the configuration |
//! | `highest_ticket`, `ticket` | version of the configuration in force |
//! | `digest` | version of the configuration and revision of the last read of the targets |
//! | `is_stale`, `is_unsettled` | whether a missing store entry does not prove the target's end |
//! | `index` of the platform | revision of the store at the last read of the targets |
//! | `is_ejected` | whether the target is silent |
//! | `weight` | slots of the target |
//! | `fingerprint` | cookie of the flow's target; 0 if the flow is not known |
//! | `slot` | always 0 |

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot};

use crate::{
    admin::{
        AcceptedTicket, Explanation, Flows, Member, PlatformStatus, Question, Receiver, Request,
        Status, Target, TargetFlows, TicketReport, TicketState, Tickets, Zone, call_actor,
        encode_json,
    },
    cookie::{Availability, Entry, Flow, Presence, Revision, View},
    flow::Protocol,
    gateway::{command::Command, directory_actor, members, shared::Shared},
    load::Class,
    member::{self, Info},
    ticket::{TargetState, ZoneState},
};

/// The name under which the admin API lists the configuration as an object.
const CONFIG_OBJECT: &str = "configuration";

/// Handles the requests of the admin API.
#[derive(Clone)]
pub(super) struct AdminHandler {
    pub(super) info: Info,
    pub(super) incarnation: member::Incarnation,
    pub(super) started_at: Instant,
    pub(super) shared: Arc<Shared>,
    pub(super) directory_actor: ActorRef<directory_actor::Request>,
    pub(super) members: Option<ActorRef<members::Request>>,
    pub(super) commands: mpsc::Sender<Command>,
}

impl AdminHandler {
    /// Handles requests until the server has stopped. If a request cannot be handled, its reply
    /// channel is dropped, and the server reports that to the client.
    pub(super) async fn run(self, mut requests: Receiver) {
        while let Some(request) = requests.recv().await {
            let handler = self.clone();
            tokio::spawn(async move { handler.handle(request).await });
        }
    }

    /// Handles one request. Returns `None` if an actor or the packet loop has stopped, or if the
    /// request has no answer in gateway mode; the reply channel is then dropped.
    async fn handle(&self, request: Request) -> Option<()> {
        match request {
            Request::Status(reply) => reply.send(self.status()).ok(),
            Request::Members(reply) => reply.send(self.members()).ok(),
            Request::Zones(reply) => reply.send(self.zones().await?).ok(),
            Request::Targets(reply) => reply.send(self.targets().await?).ok(),
            Request::Tickets(reply) => reply.send(self.tickets()).ok(),
            Request::TicketInForce(number, reply) => {
                let state = match self.shared.view.load().version() {
                    Some(version) if version >= number => TicketState::InForce,
                    _ => TicketState::Unknown,
                };
                reply.send(TicketReport { name: self.info.name.clone(), number, state }).ok()
            }
            Request::Explain(question, reply) => reply.send(self.explain(question).await?).ok(),
            Request::Flows(reply) => reply.send(self.flows().await?).ok(),
            Request::MemberSnapshot(reply) => {
                let members = self.members.as_ref()?;
                reply
                    .send(encode_json(&call_actor(members, members::Request::Snapshot).await?)?)
                    .ok()
            }
            Request::Follow(cursor, reply) => {
                let request = |reply| directory_actor::Request::GetDelta(cursor, reply);
                reply.send(encode_json(&call_actor(&self.directory_actor, request).await?)?).ok()
            }
            Request::StateSnapshot(reply) => reply
                .send(encode_json(
                    &call_actor(&self.directory_actor, directory_actor::Request::GetState).await?,
                )?)
                .ok(),
        }
    }

    fn status(&self) -> Status {
        let view = self.shared.view.load();
        let members = self.shared.members.load();
        let alive = members.iter().filter(|(_, member)| member.status == member::Status::Alive);
        let own = members.get(self.info.id());
        Status {
            name: self.info.name.clone(),
            region: self.info.region.clone(),
            zone: self.info.zone.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            state: own.map_or(member::Status::Alive, |member| member.status),
            incarnation: self.incarnation,
            is_ready: self.shared.is_ready(),
            is_stale: !view.is_absence_conclusive,
            uptime_seconds: self.started_at.elapsed().as_secs(),
            // Without a peer address, the member view is empty, but this daemon is alive.
            members_alive: alive.count().max(1) as u64,
            highest_ticket: view.version(),
            digest: self.digest(&view),
            platform: PlatformStatus {
                // A daemon also reads the store itself before it has found a zone reader to follow.
                is_reader: !self.shared.is_following.load(Ordering::Relaxed),
                index: view.revision.number,
                failures: self.shared.failing_calls(),
                last_success_seconds: view.read_at.map(|read| read.elapsed().as_secs()),
            },
        }
    }

    fn digest(&self, view: &View) -> Arc<str> {
        let version = view.version().unwrap_or(0);
        match view.revision {
            Revision { era: 0, number } => format!("{version:x}-{number:x}").into(),
            Revision { era, number } => format!("{version:x}-{era:x}-{number:x}").into(),
        }
    }

    fn members(&self) -> Vec<Member> {
        let view = self.shared.members.load();
        let mut members: Vec<Member> =
            view.iter().map(|(_, member)| Member::from(member)).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    async fn zones(&self) -> Option<Vec<Zone>> {
        let operator_state =
            call_actor(&self.directory_actor, directory_actor::Request::GetState).await?.operator;
        let view = self.shared.view.load();
        let members = self.shared.members.load();
        let mut names: BTreeSet<Arc<str>> = operator_state.zones_out.iter().cloned().collect();
        names.extend(members.iter().map(|(_, member)| member.info.zone.clone()));
        names.extend(not_ended(&view).map(|entry| entry.target.zone.clone()));
        let zone = |name: Arc<str>| {
            let alive = members.iter().filter(|(_, member)| {
                member.status == member::Status::Alive && member.info.zone == name
            });
            let state = match operator_state.zones_out.contains(&name) {
                true => ZoneState::Out,
                false => ZoneState::In,
            };
            let targets = not_ended(&view).filter(|entry| entry.target.zone == name).count();
            let (members_alive, targets) = (alive.count() as u64, targets as u64);
            Zone { state, ticket: None, members_alive, targets, name }
        };
        Some(names.into_iter().map(zone).collect())
    }

    async fn targets(&self) -> Option<Vec<Target>> {
        let observations = self.observations().await?;
        let view = self.shared.view.load();
        let now = Instant::now();
        let mut targets: Vec<Target> = not_ended(&view)
            .map(|entry| {
                let target = &entry.target;
                let found = observations.iter().find(|(cookie, ..)| *cookie == entry.cookie);
                let (flows, is_silent) =
                    found.map_or((0, false), |(_, open, is_silent)| (*open, *is_silent));
                Target {
                    service: target.service.clone(),
                    name: target.name.clone(),
                    zone: target.zone.clone(),
                    address: SocketAddr::V4(target.address),
                    state: match target.availability {
                        Availability::Ready => TargetState::Active,
                        Availability::Draining => TargetState::Draining,
                    },
                    class: if entry.is_cold(now) { Class::Cold } else { Class::Normal },
                    is_ejected: is_silent,
                    is_placeable: entry.is_usable && !is_silent,
                    weight: target.slots.try_into().unwrap_or(u16::MAX),
                    flows: flows.into(),
                    ticket: view.version().unwrap_or(0),
                }
            })
            .collect();
        targets.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
        Some(targets)
    }

    fn tickets(&self) -> Tickets {
        let view = self.shared.view.load();
        let accepted = view
            .version()
            .map(|number| AcceptedTicket { number, objects: vec![CONFIG_OBJECT.into()] });
        Tickets {
            digest: self.digest(&view),
            accepted: accepted.into_iter().collect(),
            refused: Vec::new(),
        }
    }

    async fn explain(&self, question: Question) -> Option<Explanation> {
        let Question { protocol: Protocol::Tcp, caller, service } = question else {
            return None;
        };
        let (SocketAddr::V4(caller), SocketAddr::V4(address)) = (caller, service) else {
            return None;
        };
        let flow = Flow { caller, service: address };
        let (reply, response) = oneshot::channel();
        self.commands.send(Command::LastTarget(flow, reply)).await.ok()?;
        let last_target = response.await.ok()?;
        let view = self.shared.view.load();
        let route = view.route(address);
        let cookie = last_target.as_ref().map_or(0, |entry| entry.cookie);
        Some(Explanation {
            name: self.info.name.clone(),
            service: route
                .and_then(|route| route.shares.first())
                .map(|share| share.service.clone()),
            fingerprint: format!("{cookie:08x}").into(),
            slot: 0,
            primary: None,
            secondary: None,
            former: Vec::new(),
            is_unsettled: !view.is_absence_conclusive,
            record: None,
            cached: last_target.map(|entry| entry.target.name.clone()),
            bases: Vec::new(),
        })
    }

    async fn flows(&self) -> Option<Flows> {
        let observations = self.observations().await?;
        let view = self.shared.view.load();
        let targets = observations.into_iter().filter(|(_, open, _)| *open > 0);
        let targets = targets.filter_map(|(cookie, open, _)| {
            let target = &view.target(cookie)?.target;
            let (service, target) = (target.service.clone(), target.name.clone());
            Some(TargetFlows { service, target, flows: open.into() })
        });
        let cached = self.shared.packet_loop_stats.load().flows;
        Some(Flows { cached, targets: targets.collect(), ..Flows::default() })
    }

    /// Returns what [`Forwarder::observations`](crate::cookie::Forwarder::observations) returns, or
    /// `None` if the packet loop has stopped.
    async fn observations(&self) -> Option<Vec<(crate::cookie::Cookie, u32, bool)>> {
        let (reply, response) = oneshot::channel();
        self.commands.send(Command::Observations(reply)).await.ok()?;
        response.await.ok()
    }
}

/// Returns the targets that have not ended, including lapsed ones.
fn not_ended(view: &View) -> impl Iterator<Item = &Entry> {
    view.entries().iter().filter(|entry| entry.presence != Presence::Gone)
}
