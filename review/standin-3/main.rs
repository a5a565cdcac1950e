//! Stand-ins for the platform, its backends and its clients around daemons as processes, and the
//! cases of the third review that run on them.
//!
//! `standin CASE FOLDER` writes the record of the run to `record.txt` in FOLDER. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves out the disruption.

mod backend;
mod cases;
mod client;
mod daemon;
mod packet;
mod record;
mod store;
mod world;

use std::{env, fs, path::PathBuf, process, process::ExitCode, thread, time::Duration};

use record::Record;
use world::World;

/// The longest time of a run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    let temporary = env::temp_dir().join(format!("review-3-{}", process::id()));
    if let Err(error) = fs::create_dir_all(&temporary) {
        eprintln!("temporary folder cannot be created: {error}");
        return ExitCode::from(2);
    }
    // The daemons end with this process.
    let watched = temporary.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        let _ = fs::remove_dir_all(&watched);
        process::exit(2);
    });
    let result = std::panic::catch_unwind(|| {
        let mut world = World::start(record.clone(), &temporary);
        let has_run = cases::run(&case, &mut world, has_trouble);
        if env::var("KEEP_LOGS").is_ok() {
            println!("logs are in {}", temporary.display());
        }
        (has_run, std::mem::take(&mut world.broken), format!("{:?}", world.counts))
    });
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let Ok((has_run, broken, counts)) = result else {
        return ExitCode::from(2);
    };
    record.print(&counts);
    for text in broken.iter().take(5) {
        record.print(text);
    }
    record.print(format!("{} breaches", broken.len()));
    record.flush();
    match (has_run, broken.is_empty()) {
        (false, _) => ExitCode::from(2),
        (true, true) => ExitCode::SUCCESS,
        (true, false) => ExitCode::from(1),
    }
}
