use std::net::SocketAddr;

use banyanwharf::{
    admin::{ApiClient as _, Explanation, Question},
    flow::Protocol,
};

use crate::{
    arguments::Daemons,
    ask,
    error::Result,
    list::key_value_lines,
    output::{NEGATIVE, Output, cell},
};

/// Shows what a daemon would do with a flow. The answer is negative if no service has the
/// address.
pub(crate) async fn run(
    daemons: &Daemons,
    caller: SocketAddr,
    service: SocketAddr,
    udp: bool,
) -> Result<Output> {
    let question =
        Question { protocol: if udp { Protocol::Udp } else { Protocol::Tcp }, caller, service };
    let answer = ask::first(&daemons.admin, async |client| client.explain(question).await).await?;
    let output = Output::new(daemons.json, &answer, || text(&answer))?;
    Ok(match answer.service {
        Some(_) => output,
        None => output.with_exit_code(NEGATIVE),
    })
}

fn text(answer: &Explanation) -> String {
    let former = match answer.former.as_slice() {
        [] => "-".to_owned(),
        former => former.join(", "),
    };
    let mut text = key_value_lines([
        ("answered by", cell(&answer.name)),
        ("service", cell(&answer.service)),
        ("fingerprint", cell(&answer.fingerprint)),
        ("hash slot", cell(answer.slot)),
        ("primary owner", cell(&answer.primary)),
        ("secondary owner", cell(&answer.secondary)),
        ("former owners", former),
        ("unsettled", cell(answer.is_unsettled)),
        ("record", cell(&answer.record)),
        ("cached", cell(&answer.cached)),
    ]);
    for base in &answer.bases {
        let name = format!("base of ticket {}", base.ticket);
        text += &key_value_lines([(name.as_str(), cell(&base.target))]);
    }
    text
}
