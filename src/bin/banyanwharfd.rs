//! The daemon: `banyanwharfd SETTINGS`.
//!
//! SIGTERM and SIGINT start a graceful shutdown; a second one ends the process at once.

use std::{path::PathBuf, process::ExitCode};

use banyanwharf::{node::Node, settings::Settings, telemetry::Logs};
use bpaf::Bpaf;
use log::{info, warn};
use miette::{IntoDiagnostic as _, WrapErr as _};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Runs one daemon of the banyanwharf load balancer.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Checks the settings and exits.
    #[bpaf(long, switch)]
    check: bool,
    /// The settings file, JSON with comments.
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> miette::Result<ExitCode> {
    let arguments = arguments().run();
    let settings = Settings::load(&arguments.settings)?;
    if arguments.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = Logs::install(settings.log.clone()).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .into_diagnostic()
        .wrap_err("the runtime cannot be started")?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> miette::Result<ExitCode> {
    let mut terminate = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    let node = Node::start(settings).await?;
    next(&mut terminate, &mut interrupt).await;
    info!("shutdown begins; a second signal ends the process at once");
    tokio::select! {
        () = node.stop() => Ok(ExitCode::SUCCESS),
        () = next(&mut terminate, &mut interrupt) => {
            warn!("shutdown was cut short by a second signal");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn listen(kind: SignalKind) -> miette::Result<Signal> {
    signal(kind).into_diagnostic().wrap_err("signals cannot be received")
}

async fn next(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
