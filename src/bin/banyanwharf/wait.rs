use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use banyanwharf::{
    admin::{ApiClient as _, Member, TicketState},
    member::Status,
    ticket::Number,
};
use serde::Serialize;
use tokio::{sync::Semaphore, task::JoinSet, time::Instant};

use crate::{
    arguments::Daemons,
    ask,
    error::Result,
    output::{NEGATIVE, Output, cell, table},
};

/// The time between two rounds of calls to the members.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of concurrent calls.
const MAXIMUM_CONCURRENT_CALLS: usize = 32;

/// How far the ticket has come at one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    InForce,
    Lagging,
    Refused(Arc<str>),
    /// The member does not answer, although the other members consider it alive.
    Unanswered(String),
    /// The member is suspected and does not answer. The command does not wait for it.
    Unreachable,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct MemberProgress {
    name: Arc<str>,
    zone: Arc<str>,
    admin: SocketAddr,
    progress: Progress,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
struct Outcome {
    number: Number,
    is_in_force: bool,
    members: Vec<MemberProgress>,
}

/// Waits until a ticket is in force at every reachable member.
///
/// Members that join in the meantime are included, since the member list is read again in each
/// round.
pub(crate) async fn run(daemons: &Daemons, number: Number, timeout: u64) -> Result<Output> {
    let deadline = Instant::now() + Duration::from_secs(timeout.min(86_400));
    let mut rows = BTreeMap::new();
    loop {
        poll_members(daemons, number, &mut rows).await?;
        let has_pending = rows.values().any(is_pending);
        let is_refused = rows.values().any(|row| matches!(row.progress, Progress::Refused(_)));
        let now = Instant::now();
        if !has_pending || is_refused || now >= deadline {
            let outcome = Outcome {
                number,
                is_in_force: !has_pending,
                members: rows.into_values().collect(),
            };
            return outcome.output(daemons.json);
        }
        tokio::time::sleep_until(deadline.min(now + POLL_INTERVAL)).await;
    }
}

fn is_pending(row: &MemberProgress) -> bool {
    !matches!(row.progress, Progress::InForce | Progress::Unreachable)
}

/// Reads the member list and calls the members at which the ticket is not in force yet.
async fn poll_members(
    daemons: &Daemons,
    number: Number,
    rows: &mut BTreeMap<Arc<str>, MemberProgress>,
) -> Result<()> {
    let members = ask::first(&daemons.admin, async |client| client.members().await).await?;
    let mut done = std::mem::take(rows);
    let permits = Arc::new(Semaphore::new(MAXIMUM_CONCURRENT_CALLS));
    let mut calls = JoinSet::new();
    for member in members {
        if matches!(member.state, Status::Failed | Status::Left) {
            continue;
        }
        match done.remove(&member.name) {
            Some(row) if row.progress == Progress::InForce && row.admin == member.admin => {
                rows.insert(Arc::clone(&row.name), row);
            }
            _ => {
                let permits = Arc::clone(&permits);
                calls.spawn(async move {
                    let _permit = permits.acquire().await;
                    ask_member(member, number).await
                });
            }
        }
    }
    while let Some(result) = calls.join_next().await {
        if let Ok(row) = result {
            rows.insert(Arc::clone(&row.name), row);
        }
    }
    Ok(())
}

async fn ask_member(member: Member, number: Number) -> MemberProgress {
    let answer = ask::one(member.admin, async |client| client.ticket_in_force(number).await);
    let progress = match answer.await.map(|answer| answer.state) {
        Ok(TicketState::InForce) => Progress::InForce,
        Ok(TicketState::Unknown) => Progress::Lagging,
        Ok(TicketState::Refused(reason)) => Progress::Refused(reason),
        Err(_) if member.state == Status::Suspect => Progress::Unreachable,
        Err(cause) => Progress::Unanswered(cause.to_string()),
    };
    MemberProgress { name: member.name, zone: member.zone, admin: member.admin, progress }
}

impl Outcome {
    fn output(self, json: bool) -> Result<Output> {
        let output = Output::new(json, &self, || self.text())?;
        Ok(if self.is_in_force { output } else { output.with_exit_code(NEGATIVE) })
    }

    fn text(&self) -> String {
        let others = self.members.iter().filter(|row| row.progress != Progress::InForce);
        let in_force = self.members.len() - others.clone().count();
        let mut text = format!(
            "ticket {} is in force at {in_force} of {} members\n",
            self.number,
            self.members.len()
        );
        if in_force < self.members.len() {
            let rows = others.map(|row| {
                let (state, detail) = match &row.progress {
                    Progress::InForce => ("in force", String::new()),
                    Progress::Lagging => ("lagging", String::new()),
                    Progress::Refused(reason) => ("refused", reason.to_string()),
                    Progress::Unanswered(cause) => ("no answer", cause.clone()),
                    Progress::Unreachable => ("unreachable", "suspected".to_owned()),
                };
                [cell(&row.name), cell(&row.zone), cell(row.admin), state.to_owned(), detail]
            });
            text += "\n";
            text += &table(["NAME", "ZONE", "ADMIN", "STATE", "DETAIL"], rows);
        }
        text
    }
}
