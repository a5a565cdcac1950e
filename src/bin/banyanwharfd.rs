//! The daemon: `banyanwharfd SETTINGS`.
//!
//! SIGTERM and SIGINT start a graceful shutdown; a second one ends the process at once.

use std::{path::PathBuf, process::ExitCode};

use banyanwharf::{
    adapter::{self, Packets, Store},
    gateway::Gateway,
    node::Node,
    platform::Timeouts,
    settings::{self, File, Settings},
    telemetry::Logs,
};
use bpaf::Bpaf;
use log::{info, warn};
use miette::{IntoDiagnostic as _, WrapErr as _};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
};

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
    let file = File::load(&arguments.settings)?;
    if arguments.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = Logs::install(file.log().clone()).into_diagnostic()?;
    match file {
        File::Tunnel(settings) => {
            runtime(Builder::new_multi_thread().worker_threads(2))?.block_on(tunnel(*settings))
        }
        // One thread does all the work, since such a VM has a part of one core.
        File::Gateway(settings) => {
            runtime(&mut Builder::new_current_thread())?.block_on(gateway(*settings))
        }
    }
}

fn runtime(builder: &mut Builder) -> miette::Result<Runtime> {
    builder.enable_all().build().into_diagnostic().wrap_err("the runtime cannot be started")
}

async fn tunnel(settings: Settings) -> miette::Result<ExitCode> {
    let mut signals = Signals::listen()?;
    let node = Node::start(settings).await?;
    signals.next().await;
    signals.shut_down(node.stop()).await
}

async fn gateway(settings: settings::Gateway) -> miette::Result<ExitCode> {
    let mut signals = Signals::listen()?;
    let store = Store::new(settings.platform.clone(), Timeouts::gateway());
    let gateway = Gateway::start(settings, store, Packets, adapter::READY_PATH).await?;
    signals.next().await;
    signals.shut_down(gateway.stop()).await
}

/// The signals that end the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> miette::Result<Signals> {
        let listen = |kind| signal(kind).into_diagnostic().wrap_err("signals cannot be received");
        let terminate = listen(SignalKind::terminate())?;
        let interrupt = listen(SignalKind::interrupt())?;
        Ok(Signals { terminate, interrupt })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    async fn shut_down(&mut self, stop: impl Future<Output = ()>) -> miette::Result<ExitCode> {
        info!("shutdown begins; a second signal ends the process at once");
        tokio::select! {
            () = stop => Ok(ExitCode::SUCCESS),
            () = self.next() => {
                warn!("shutdown was cut short by a second signal");
                Ok(ExitCode::FAILURE)
            }
        }
    }
}
