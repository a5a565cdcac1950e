use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use tokio::sync::{mpsc, oneshot};

use crate::{
    admin::{
        AcceptedTicket, BaseTarget, Explanation, Flows, Member, PlatformStatus, Question, Receiver,
        RefusedTicket, Request, Status, Target, TargetFlows, TicketReport, TicketState, Tickets,
        Zone, call_actor, encode_json,
    },
    flow::Key,
    load::Class,
    member::{self, Info},
    node::{
        command::Command,
        request::{self, Actors},
        shared::Shared,
    },
    ticket::{Number, TargetId, ZoneState},
};

/// Handles the requests of the admin API from the published values and the actors.
#[derive(Debug, Clone)]
pub(super) struct AdminHandler {
    pub(super) info: Info,
    pub(super) incarnation: member::Incarnation,
    pub(super) started_at: Instant,
    pub(super) actors: Actors,
    pub(super) commands: mpsc::Sender<Command>,
    pub(super) shared: Arc<Shared>,
}

impl AdminHandler {
    /// Handles requests until the server stops. If a request cannot be answered, its reply channel
    /// is dropped and the server reports an error to the client.
    pub(super) async fn run(self, mut requests: Receiver) {
        while let Some(request) = requests.recv().await {
            let handler = self.clone();
            tokio::spawn(async move { handler.answer(request).await });
        }
    }

    async fn answer(&self, request: Request) -> Option<()> {
        match request {
            Request::Status(reply) => reply.send(self.status().await?).ok(),
            Request::Members(reply) => reply.send(self.members()).ok(),
            Request::Zones(reply) => reply.send(self.zones().await?).ok(),
            Request::Targets(reply) => reply.send(self.targets()).ok(),
            Request::Tickets(reply) => reply.send(self.tickets().await?).ok(),
            Request::TicketInForce(number, reply) => reply.send(self.in_force(number).await?).ok(),
            Request::Explain(question, reply) => reply.send(self.explain(question).await?).ok(),
            Request::Flows(reply) => reply.send(self.flows()).ok(),
            Request::MemberSnapshot(reply) => {
                let snapshot = call_actor(&self.actors.members, request::Members::Snapshot).await?;
                reply.send(encode_json(&snapshot)?).ok()
            }
            // Only daemons in gateway mode have followers. The client gets an error.
            Request::Follow(..) => None,
            Request::StateSnapshot(reply) => {
                let snapshot = call_actor(&self.actors.tickets, request::Tickets::Snapshot).await?;
                reply.send(encode_json(&snapshot)?).ok()
            }
        }
    }

    async fn summary(&self) -> Option<request::Summary> {
        call_actor(&self.actors.tickets, request::Tickets::Summary).await
    }

    async fn status(&self) -> Option<Status> {
        let summary = self.summary().await?;
        let view = self.shared.view.load();
        let alive = view.iter().filter(|(_, member)| member.status == member::Status::Alive);
        let own = view.get(self.info.id());
        let platform = self.shared.ticket_watch.load();
        Some(Status {
            name: self.info.name.clone(),
            region: self.info.region.clone(),
            zone: self.info.zone.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            state: own.map_or(member::Status::Alive, |member| member.status),
            incarnation: own.map_or(self.incarnation, |member| member.incarnation),
            is_ready: *self.shared.is_ready.borrow(),
            is_stale: self.shared.packet_loop_stats.load().is_suspended,
            uptime_seconds: self.started_at.elapsed().as_secs(),
            members_alive: alive.count() as u64,
            highest_ticket: summary.highest,
            digest: summary.digest.clone(),
            platform: PlatformStatus {
                is_reader: *self.shared.is_reader.borrow(),
                index: platform.index,
                failures: platform.failures,
                last_success_seconds: platform.last_success.map(|at| at.elapsed().as_secs()),
            },
        })
    }

    fn members(&self) -> Vec<Member> {
        let view = self.shared.view.load();
        let mut members: Vec<Member> =
            view.iter().map(|(_, member)| Member::from(member)).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    async fn zones(&self) -> Option<Vec<Zone>> {
        let summary = self.summary().await?;
        let view = self.shared.view.load();
        let routes = self.shared.routes.load();
        let mut names: BTreeSet<Arc<str>> = summary.zones.keys().cloned().collect();
        names.extend(view.iter().map(|(_, member)| member.info.zone.clone()));
        names.extend(routes.targets().map(|target| target.zone.clone()));
        let zone = |name: Arc<str>| {
            let set = summary.zones.get(&name);
            let alive = view.iter().filter(|(_, member)| {
                member.status == member::Status::Alive && member.info.zone == name
            });
            Zone {
                state: set.map_or(ZoneState::In, |(_, state)| *state),
                ticket: set.map(|(number, _)| *number),
                members_alive: alive.count() as u64,
                targets: routes.targets().filter(|target| target.zone == name).count() as u64,
                name,
            }
        };
        Some(names.into_iter().map(zone).collect())
    }

    fn targets(&self) -> Vec<Target> {
        let routes = self.shared.routes.load();
        let classes = self.shared.classes.load();
        let flows = &self.shared.packet_loop_stats.load().open_flows;
        let mut targets: Vec<Target> = routes
            .targets()
            .filter_map(|target| {
                let service = routes.service(target.service)?;
                let class = classes.get(&target.id).copied().unwrap_or_default();
                Some(Target {
                    service: service.name.clone(),
                    name: target.name.clone(),
                    zone: target.zone.clone(),
                    address: target.address,
                    state: target.state,
                    class,
                    is_ejected: class == Class::Failing,
                    is_placeable: target.is_placeable() && class != Class::Failing,
                    weight: target.weight,
                    flows: flows.get(&target.id).copied().unwrap_or(0),
                    ticket: service.generations.first().map_or(0, |newest| newest.number),
                })
            })
            .collect();
        targets.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
        targets
    }

    async fn tickets(&self) -> Option<Tickets> {
        let summary = self.summary().await?;
        let mut accepted: BTreeMap<Number, Vec<Arc<str>>> = BTreeMap::new();
        for (number, object) in &summary.objects {
            accepted.entry(*number).or_default().push(object.clone());
        }
        let accepted = accepted
            .into_iter()
            .map(|(number, objects)| AcceptedTicket { number, objects })
            .collect();
        let refused = summary.refused.into_iter();
        let refused = refused.map(|(number, reason)| RefusedTicket { number, reason }).collect();
        Some(Tickets { digest: summary.digest, accepted, refused })
    }

    async fn in_force(&self, number: Number) -> Option<TicketReport> {
        let summary = self.summary().await?;
        let refused = summary.refused.iter().find(|(refused, _)| *refused == Some(number));
        let state = if summary.history.is_applied(number) {
            TicketState::InForce
        } else if let Some((_, reason)) = refused {
            TicketState::Refused(reason.clone())
        } else if summary.history.is_refused(number) {
            TicketState::Refused("refused by the member that read it".into())
        } else {
            TicketState::Unknown
        };
        Some(TicketReport { name: self.info.name.clone(), number, state })
    }

    async fn explain(&self, question: Question) -> Option<Explanation> {
        let Question { protocol, caller, service } = question;
        let key = Key { protocol, caller, service };
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Explain(key, reply)).await.ok()?;
        let found = answer.await.ok()?;
        let view = self.shared.view.load();
        let routes = self.shared.routes.load();
        let member = |id: member::Id| -> Arc<str> {
            let known = view.get(id).map(|member| member.info.name.clone());
            known.unwrap_or_else(|| format!("{id:016x}").into())
        };
        let target = |id: TargetId| -> Arc<str> {
            let known = routes.target(id).map(|target| target.name.clone());
            known.unwrap_or_else(|| format!("{id:016x}").into())
        };
        let service = routes.service_at(protocol, service).and_then(|index| routes.service(index));
        let bases = service.map_or_else(Vec::new, |service| {
            let base = |generation: &crate::route::Generation| BaseTarget {
                ticket: generation.number,
                target: generation.base_target(found.fingerprint).map(target),
            };
            service.generations.iter().map(base).collect()
        });
        Some(Explanation {
            name: self.info.name.clone(),
            service: service.map(|service| service.name.clone()),
            fingerprint: format!("{:032x}", found.fingerprint.0).into(),
            slot: found.slot,
            primary: found.owners.map(|owners| member(owners.primary)),
            secondary: found.owners.and_then(|owners| owners.secondary).map(member),
            former: found.holders.iter().map(|id| member(*id)).collect(),
            is_unsettled: found.is_unsettled,
            record: found.record.map(|entry| target(entry.target)),
            cached: found.cached.map(target),
            bases,
        })
    }

    fn flows(&self) -> Flows {
        let counters = self.shared.packet_loop_stats.load();
        let routes = self.shared.routes.load();
        let mut targets: Vec<TargetFlows> = counters
            .open_flows
            .iter()
            .filter_map(|(id, flows)| {
                let target = routes.target(*id)?;
                let service = routes.service(target.service)?.name.clone();
                Some(TargetFlows { service, target: target.name.clone(), flows: *flows })
            })
            .collect();
        targets.sort_by(|a, b| (&a.service, &a.target).cmp(&(&b.service, &b.target)));
        Flows {
            owned: counters.owned_flows,
            cached: counters.cached_flows,
            pending_packets: counters.pending_packets,
            queries: counters.open_lookups,
            targets,
        }
    }
}
