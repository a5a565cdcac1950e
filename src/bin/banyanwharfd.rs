//! The daemon: `banyanwharfd SETTINGS`.
//!
//! On SIGHUP a daemon in gateway mode reloads its settings. SIGTERM and SIGINT start a
//! graceful shutdown. A further SIGTERM changes nothing, since supervisors repeat it; a further
//! SIGINT ends the process at once. If an essential component of a daemon in gateway mode ends,
//! the daemon stops gracefully and exits with an error code, so that its supervisor starts it again.

use std::{
    fs, io,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use banyanwharf::{
    adapter::{self, PacketCodec, Store},
    gateway::Gateway,
    node::Node,
    platform::Timeouts,
    settings::{self, File, Settings},
    telemetry::Logs,
};
use bpaf::Bpaf;
use log::{error, info, warn};
use miette::{IntoDiagnostic as _, WrapErr as _};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

/// The interval at which the settings file is checked for changes, since it may change without a
/// signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs one daemon of the banyanwharf load balancer.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Checks the settings file and exits.
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
    let logs = Logs::install(file.log().clone()).into_diagnostic()?;
    let result =
        match file {
            File::Tunnel(settings) => {
                runtime(Builder::new_multi_thread().worker_threads(2))?.block_on(tunnel(*settings))
            }
            // A VM in gateway mode has only a part of one core.
            File::Gateway(settings) => runtime(&mut Builder::new_current_thread())?
                .block_on(gateway(*settings, logs, &arguments.settings)),
        };
    log::logger().flush();
    result
}

fn runtime(builder: &mut Builder) -> miette::Result<Runtime> {
    builder.enable_all().build().into_diagnostic().wrap_err("async runtime could not be started")
}

async fn tunnel(settings: Settings) -> miette::Result<ExitCode> {
    let mut signals = Signals::listen()?;
    let node = Node::start(settings).await?;
    signals.next().await;
    signals.shut_down(node.stop()).await
}

async fn gateway(
    settings: settings::Gateway,
    mut logs: Logs,
    path: &Path,
) -> miette::Result<ExitCode> {
    let mut signals = Signals::listen()?;
    let mut hang_up = listen(SignalKind::hangup())?;
    let store = Store::new(settings.platform.clone(), Timeouts::gateway());
    let mut gateway = Gateway::start(settings, store, PacketCodec, adapter::READY_PATH).await?;
    let mut file = SettingsFile::new(path);
    loop {
        tokio::select! {
            () = signals.next() => return signals.shut_down(gateway.stop()).await,
            component = gateway.failed_component() => {
                error!(component = component; "component has ended unexpectedly; the daemon stops");
                signals.shut_down(gateway.stop()).await?;
                return Ok(ExitCode::FAILURE);
            }
            _ = hang_up.recv() => reload(&mut file, &mut gateway, &mut logs, true),
            () = sleep(SETTINGS_POLL_INTERVAL) => reload(&mut file, &mut gateway, &mut logs, false),
        }
    }
}

/// Applies the settings file if it has changed. If it cannot be read or is invalid, the previous
/// settings stay in force.
fn reload(file: &mut SettingsFile, gateway: &mut Gateway, logs: &mut Logs, is_requested: bool) {
    let text = match file.read() {
        Ok(Some(text)) => text,
        Ok(None) => {
            if is_requested {
                info!("settings have not changed");
            }
            return;
        }
        Err(error) => {
            warn!("settings file cannot be read; the previous settings stay in force: {error}");
            return;
        }
    };
    match File::parse(&file.path.display().to_string(), &text) {
        Ok(File::Gateway(settings)) => {
            if let Err(error) = logs.set_level(settings.log.level) {
                warn!("log level cannot be changed; the previous level stays: {error}");
            }
            let needs_restart = gateway.reload(*settings).join(", ");
            info!(needs_restart = needs_restart; "settings are in force");
        }
        Ok(File::Tunnel(_)) => {
            warn!("settings file is not for gateway mode; the previous settings stay in force")
        }
        Err(error) => {
            warn!("settings have a problem; the previous settings stay in force: {error}")
        }
    }
}

/// A settings file and the text or error of the last attempt to read it.
struct SettingsFile {
    path: PathBuf,
    text: io::Result<String>,
}

impl SettingsFile {
    fn new(path: &Path) -> SettingsFile {
        SettingsFile { path: path.to_owned(), text: fs::read_to_string(path) }
    }

    /// Reads the file and returns its text if it has changed. While the file stays unreadable, only
    /// the first attempt returns the error.
    fn read(&mut self) -> io::Result<Option<String>> {
        let text = fs::read_to_string(&self.path);
        let previous = std::mem::replace(&mut self.text, text);
        match (&self.text, previous) {
            (Ok(text), Ok(previous)) if *text == previous => Ok(None),
            (Ok(text), _) => Ok(Some(text.clone())),
            (Err(_), Err(_)) => Ok(None),
            (Err(error), Ok(_)) => Err(io::Error::new(error.kind(), error.to_string())),
        }
    }
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

fn listen(kind: SignalKind) -> miette::Result<Signal> {
    signal(kind).into_diagnostic().wrap_err("signal handler could not be installed")
}

impl Signals {
    fn listen() -> miette::Result<Signals> {
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
        info!("shutdown begins; SIGINT ends the process at once");
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => return Ok(ExitCode::SUCCESS),
                _ = self.terminate.recv() => info!("shutdown continues after another SIGTERM"),
                _ = self.interrupt.recv() => {
                    warn!("process ends before the shutdown is complete, because of SIGINT");
                    return Ok(ExitCode::FAILURE);
                }
            }
        }
    }
}
