//! Four daemons, 18 targets and 2,000 flows in one process, while everything changes.
//!
//! The fabric sprays each packet over all daemons. The last line on stdout is a JSON object with
//! figures that the test doubles measured. The exit code is 1 if an invariant was violated.

#![allow(clippy::print_stdout, clippy::print_stderr)]

use std::{process::ExitCode, time::Instant};

use banyanwharf_testkit::scenario::{Cluster, DaemonConfig, Plan, Result, run};

/// Daemons in this process.
struct Local;

impl Cluster for Local {
    type Daemon = ();

    async fn start(&self, config: DaemonConfig) -> Result<Self::Daemon> {
        Err(format!(
            "{}: the node is not connected to the example yet",
            config.name
        )
        .into())
    }

    async fn stop(&self, _daemon: Self::Daemon) {}

    async fn kill(&self, _daemon: Self::Daemon) {}

    fn control_bytes(&self, _daemon: &Self::Daemon) -> u64 {
        0
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let start = Instant::now();
    let plan = Plan::default();
    println!("seed {}, {} flows", plan.seed, plan.flows);
    let progress = |text: &str| println!("{:5.1} s  {text}", start.elapsed().as_secs_f64());
    match run(Local, plan, progress).await {
        Ok(report) => {
            let violations = report.violations();
            for violation in &violations {
                println!("violated: {violation}");
            }
            println!("{}", serde_json::json!(report));
            ExitCode::from(u8::from(!violations.is_empty()))
        }
        Err(error) => {
            eprintln!("the run failed: {error}");
            ExitCode::from(2)
        }
    }
}
