use banyanwharf::admin::{ApiClient as _, Flows, Status, Tickets};

use crate::{
    arguments::Daemons,
    ask,
    error::{Error, FailedAttempt, Result},
    output::{ERROR, Output, cell, table},
};

/// Shows the state of each daemon.
pub(crate) async fn status(daemons: &Daemons) -> Result<Output> {
    let mut answers = Vec::new();
    let mut attempts = Vec::new();
    for &address in &daemons.admin {
        match ask::one(address, async |client| client.status().await).await {
            Ok(status) => answers.push(status),
            Err(cause) => attempts.push(FailedAttempt { address, cause }),
        }
    }
    if answers.is_empty() {
        return Err(Error::Unanswered { attempts });
    }
    let mut output = Output::new(daemons.json, &answers, || {
        answers.iter().map(status_text).collect::<Vec<_>>().join("\n")
    })?;
    for attempt in attempts {
        output.stderr += &format!("no answer from {attempt}\n");
        output.exit_code = ERROR;
    }
    Ok(output)
}

fn status_text(status: &Status) -> String {
    let platform = &status.platform;
    let rows = [
        ("name", cell(&status.name)),
        ("region", cell(&status.region)),
        ("zone", cell(&status.zone)),
        ("version", cell(&status.version)),
        ("state", cell(status.state)),
        ("incarnation", cell(status.incarnation)),
        ("ready", cell(status.is_ready)),
        ("stale", cell(status.is_stale)),
        ("uptime", format!("{} s", status.uptime_seconds)),
        ("members alive", cell(status.members_alive)),
        ("highest ticket", cell(status.highest_ticket)),
        ("digest", cell(&status.digest)),
        ("platform reader", cell(platform.is_reader)),
        ("platform index", cell(platform.index)),
        ("platform failures", cell(platform.failures)),
        ("platform success", seconds_ago(platform.last_success_seconds)),
    ];
    key_value_lines(rows)
}

fn seconds_ago(seconds: Option<u64>) -> String {
    seconds.map_or("never".to_owned(), |seconds| format!("{seconds} s ago"))
}

/// Formats pairs of a name and a value, one per line.
pub(crate) fn key_value_lines<'a>(rows: impl IntoIterator<Item = (&'a str, String)>) -> String {
    let line = |(name, value): (&str, String)| format!("{name:<18} {value}\n");
    rows.into_iter().map(line).collect()
}

/// Lists the members.
pub(crate) async fn members(daemons: &Daemons) -> Result<Output> {
    let members = ask::first(&daemons.admin, async |client| client.members().await).await?;
    Output::new(daemons.json, &members, || {
        table(
            ["NAME", "REGION", "ZONE", "STATE", "SINCE", "PEER", "ADMIN"],
            members.iter().map(|member| {
                [
                    cell(&member.name),
                    cell(&member.region),
                    cell(&member.zone),
                    cell(member.state),
                    format!("{}s", member.since_seconds),
                    cell(member.peer),
                    cell(member.admin),
                ]
            }),
        )
    })
}

/// Lists the zones.
pub(crate) async fn zones(daemons: &Daemons) -> Result<Output> {
    let zones = ask::first(&daemons.admin, async |client| client.zones().await).await?;
    Output::new(daemons.json, &zones, || {
        table(
            ["NAME", "STATE", "TICKET", "MEMBERS", "TARGETS"],
            zones.iter().map(|zone| {
                [
                    cell(&zone.name),
                    cell(zone.state),
                    cell(zone.ticket),
                    cell(zone.members_alive),
                    cell(zone.targets),
                ]
            }),
        )
    })
}

/// Lists the targets.
pub(crate) async fn targets(daemons: &Daemons) -> Result<Output> {
    let targets = ask::first(&daemons.admin, async |client| client.targets().await).await?;
    Output::new(daemons.json, &targets, || {
        table(
            [
                "SERVICE",
                "NAME",
                "ZONE",
                "ADDRESS",
                "STATE",
                "CLASS",
                "EJECTED",
                "PLACEABLE",
                "WEIGHT",
                "FLOWS",
                "TICKET",
            ],
            targets.iter().map(|target| {
                [
                    cell(&target.service),
                    cell(&target.name),
                    cell(&target.zone),
                    cell(target.address),
                    cell(target.state),
                    cell(target.class),
                    cell(target.is_ejected),
                    cell(target.is_placeable),
                    cell(target.weight),
                    cell(target.flows),
                    cell(target.ticket),
                ]
            }),
        )
    })
}

/// Shows the numbers of flows.
pub(crate) async fn flows(daemons: &Daemons) -> Result<Output> {
    let flows = ask::first(&daemons.admin, async |client| client.flows().await).await?;
    Output::new(daemons.json, &flows, || flows_text(&flows))
}

fn flows_text(flows: &Flows) -> String {
    let numbers = key_value_lines([
        ("owned", cell(flows.owned)),
        ("cached", cell(flows.cached)),
        ("pending packets", cell(flows.pending_packets)),
        ("queries", cell(flows.queries)),
    ]);
    let rows = flows
        .targets
        .iter()
        .map(|target| [cell(&target.service), cell(&target.target), cell(target.flows)]);
    numbers + "\n" + &table(["SERVICE", "TARGET", "FLOWS"], rows)
}

/// Lists the tickets.
pub(crate) async fn tickets(daemons: &Daemons) -> Result<Output> {
    let tickets = ask::first(&daemons.admin, async |client| client.tickets().await).await?;
    Output::new(daemons.json, &tickets, || tickets_text(&tickets))
}

fn tickets_text(tickets: &Tickets) -> String {
    let accepted = tickets.accepted.iter().map(|ticket| {
        let result = format!("sets {}", ticket.objects.join(", "));
        [cell(ticket.number), "accepted".to_owned(), result]
    });
    let refused = tickets
        .refused
        .iter()
        .map(|ticket| [cell(ticket.number), "refused".to_owned(), cell(&ticket.reason)]);
    let digest = format!("digest {}\n\n", tickets.digest);
    digest + &table(["TICKET", "RESULT", "DETAIL"], accepted.chain(refused))
}
