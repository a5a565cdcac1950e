//! Runs one case of the review: `standin-2 CASE RECORD`. Must be started in the root of the repository,
//! after the build of the deploy file. With `TROUBLE=0` in the environment, the disruption is left out.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod cases;
mod client;
mod daemon;
mod link;
mod packet;
mod record;
mod router;
mod store;
mod testbed;

use std::{env, process, sync::Arc};

use record::Record;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record cannot be written to {path}: {error}");
            process::exit(2);
        }
    };
    record.add(format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let result = cases::run(case, has_trouble, &record);
    let code = match result {
        Ok(verdict) if verdict.is_broken => {
            record.report(format!("RULE BROKEN: {}", verdict.reason));
            1
        }
        Ok(verdict) => {
            record.report(format!("rule held: {}", verdict.reason));
            0
        }
        Err(error) => {
            record.report(format!("case could not run: {error}"));
            2
        }
    };
    process::exit(code);
}
