use banyanwharf::admin::{ApiClient as _, Flows, Status, Tickets};

use crate::{
    arguments::Daemons,
    ask,
    error::{Attempt, Error, Result},
    output::{ERROR, Output, table, word},
};

/// Shows the state of each daemon.
pub(crate) async fn status(daemons: &Daemons) -> Result<Output> {
    let mut answers = Vec::new();
    let mut attempts = Vec::new();
    for &address in &daemons.admin {
        match ask::one(address, async |client| client.status().await).await {
            Ok(status) => answers.push(status),
            Err(cause) => attempts.push(Attempt { address, cause }),
        }
    }
    if answers.is_empty() {
        return Err(Error::Unanswered { attempts });
    }
    let mut output = Output::new(daemons.json, &answers, || {
        answers.iter().map(status_text).collect::<Vec<_>>().join("\n")
    })?;
    for attempt in attempts {
        output.notes += &format!("no answer from {attempt}\n");
        output.code = ERROR;
    }
    Ok(output)
}

fn status_text(status: &Status) -> String {
    let platform = &status.platform;
    let rows = [
        ("name", word(&status.name)),
        ("region", word(&status.region)),
        ("zone", word(&status.zone)),
        ("version", word(&status.version)),
        ("state", word(status.state)),
        ("incarnation", word(status.incarnation)),
        ("ready", word(status.is_ready)),
        ("stale", word(status.is_stale)),
        ("uptime", format!("{} s", status.uptime_seconds)),
        ("members alive", word(status.members_alive)),
        ("highest ticket", word(status.highest_ticket)),
        ("digest", word(&status.digest)),
        ("platform reader", word(platform.is_reader)),
        ("platform index", word(platform.index)),
        ("platform failures", word(platform.failures)),
        ("platform success", seconds_ago(platform.last_success_seconds)),
    ];
    pairs(rows)
}

fn seconds_ago(seconds: Option<u64>) -> String {
    seconds.map_or("never".to_owned(), |seconds| format!("{seconds} s ago"))
}

/// Returns lines of a name and a value.
pub(crate) fn pairs<'a>(rows: impl IntoIterator<Item = (&'a str, String)>) -> String {
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
                    word(&member.name),
                    word(&member.region),
                    word(&member.zone),
                    word(member.state),
                    format!("{}s", member.since_seconds),
                    word(member.peer),
                    word(member.admin),
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
                    word(&zone.name),
                    word(zone.state),
                    word(zone.ticket),
                    word(zone.members_alive),
                    word(zone.targets),
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
                    word(&target.service),
                    word(&target.name),
                    word(&target.zone),
                    word(target.address),
                    word(target.state),
                    word(target.class),
                    word(target.is_ejected),
                    word(target.is_placeable),
                    word(target.weight),
                    word(target.flows),
                    word(target.ticket),
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
    let numbers = pairs([
        ("owned", word(flows.owned)),
        ("cached", word(flows.cached)),
        ("pending packets", word(flows.pending_packets)),
        ("queries", word(flows.queries)),
    ]);
    let rows = flows
        .targets
        .iter()
        .map(|target| [word(&target.service), word(&target.target), word(target.flows)]);
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
        [word(ticket.number), "accepted".to_owned(), result]
    });
    let refused = tickets
        .refused
        .iter()
        .map(|ticket| [word(ticket.number), "refused".to_owned(), word(&ticket.reason)]);
    let digest = format!("digest {}\n\n", tickets.digest);
    digest + &table(["TICKET", "RESULT", "DETAIL"], accepted.chain(refused))
}
