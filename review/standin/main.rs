//! Stand-ins for the platform's store and routers, for clients and for backends, with the scripts
//! of the review's cases. The daemons are the project's own processes.
//!
//! Uses the standard library only. `review/build.sh` compiles it.

mod backend;
mod cases;
mod client;
mod daemon;
mod packet;
mod record;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match name.as_str() {
        "restart" => cases::restart(folder.as_ref(), has_trouble),
        "drain" => cases::drain(folder.as_ref(), has_trouble),
        "new-route" => cases::new_route(folder.as_ref(), has_trouble),
        "pages" => cases::pages(folder.as_ref(), has_trouble),
        "cold" => cases::cold(folder.as_ref(), has_trouble),
        _ => Err(format!("unknown case {name}")),
    };
    match outcome {
        Ok(0) => {
            println!("rule held");
            ExitCode::SUCCESS
        }
        Ok(count) => {
            println!("rule broken: {count} times");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
