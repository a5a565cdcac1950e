//! Runs four daemons, 18 targets and 2,000 flows in one process while daemons, targets and zones
//! change.
//!
//! The fabric sends each packet to a random daemon. The last line on stdout is a JSON object with
//! the figures that the test doubles measured. The exit code is 1 if an invariant was violated, and
//! 2 if the run failed.

#![allow(clippy::print_stdout, clippy::print_stderr)]

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use banyanwharf::{
    node::Node,
    settings::{Key, Limits, Mode, Secret, Settings},
};
use banyanwharf_testkit::{
    free_address,
    scenario::{Cluster, DaemonConfig, Plan, Result, run},
};

/// A cluster whose daemons run in this process.
struct InProcessCluster;

impl Cluster for InProcessCluster {
    type Daemon = Node;

    async fn start(&self, config: DaemonConfig) -> Result<Node> {
        let node = Node::start(settings(config)?).await?;
        node.ready().await;
        Ok(node)
    }

    async fn stop(&self, daemon: Node) {
        daemon.stop().await;
    }

    async fn kill(&self, daemon: Node) {
        daemon.kill().await;
    }

    fn control_bytes(&self, daemon: &Node) -> u64 {
        daemon.control_bytes()
    }
}

fn settings(config: DaemonConfig) -> Result<Settings> {
    Ok(Settings {
        mode: Mode::Tunnel,
        name: config.name.into(),
        region: config.region.into(),
        zone: config.zone.into(),
        zones: Vec::new(),
        data: config.data,
        fabric: config.fabric,
        peer: config.peer,
        admin: config.admin,
        metrics: free_address()?,
        platform: config.platform.parse()?,
        contacts: Vec::new(),
        flow_key: Secret::from([0x5a; 16]),
        keys: vec![Key { number: 1, key: Secret::from([0xa5; 32]) }],
        sign_with: None,
        limits: Limits::default(),
        drain_time: Duration::from_secs(2),
        control: Default::default(),
        handover_bytes_per_second: 256 * 1024,
        log: Default::default(),
        trace: Default::default(),
    })
}

#[tokio::main]
async fn main() -> ExitCode {
    let start = Instant::now();
    let plan = Plan::default();
    println!("seed {}, {} flows", plan.seed, plan.flows);
    let progress = |text: &str| println!("{:5.1} s  {text}", start.elapsed().as_secs_f64());
    match run(InProcessCluster, plan, progress).await {
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
