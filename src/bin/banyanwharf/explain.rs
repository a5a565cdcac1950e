use std::net::SocketAddr;

use banyanwharf::{
    admin::{ApiClient as _, Explanation, Question},
    flow::Protocol,
};

use crate::{
    arguments::Daemons,
    ask,
    error::Result,
    list::pairs,
    output::{NEGATIVE, Output, word},
};

/// Shows what a daemon would do with a flow. The answer is negative if no service has the address.
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
        None => output.with_code(NEGATIVE),
    })
}

fn text(answer: &Explanation) -> String {
    let former = match answer.former.as_slice() {
        [] => "-".to_owned(),
        former => former.join(", "),
    };
    let mut text = pairs([
        ("answered by", word(&answer.name)),
        ("service", word(&answer.service)),
        ("fingerprint", word(&answer.fingerprint)),
        ("hash slot", word(answer.slot)),
        ("primary owner", word(&answer.primary)),
        ("secondary owner", word(&answer.secondary)),
        ("former owners", former),
        ("unsettled", word(answer.is_unsettled)),
        ("record", word(&answer.record)),
        ("cached", word(&answer.cached)),
    ]);
    for base in &answer.bases {
        let name = format!("base of ticket {}", base.ticket);
        text += &pairs([(name.as_str(), word(&base.target))]);
    }
    text
}
