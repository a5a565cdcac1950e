//! A daemon process with a supervisor that restarts it whenever it ends, as the platform does.

use std::{
    env,
    fs::{self, File, OpenOptions},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::time::sleep;

use super::recorder::{Component, Recorder, Rule};

/// The interval at which the supervisor checks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time between the end of a process and its next start. It is longer than the opening timeouts
/// of callers together (1400 ms), so that callers notice a process that ends too early.
const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// The time that the platform gives a process between SIGTERM and SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// One run of the process, and the signals that it got.
#[derive(Debug)]
struct Instance {
    child: Child,
    is_terminated: bool,
    is_killed: bool,
    /// Whether the settings file was invalid when the process started, so that it must exit with an
    /// error.
    has_invalid_settings: bool,
}

/// A supervised daemon.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) number: u8,
    folder: PathBuf,
    settings: Value,
    recorder: Arc<Recorder>,
    instance: Mutex<Option<Instance>>,
    /// The earliest time of the next start.
    not_before: Mutex<Instant>,
    /// The number of actions that keep the settings file invalid at the moment.
    active_corruptions: AtomicU32,
}

impl Process {
    pub(crate) fn new(
        number: u8,
        folder: PathBuf,
        settings: Value,
        recorder: Arc<Recorder>,
    ) -> Process {
        fs::create_dir(&folder).expect("the folder is created");
        let (instance, not_before) = (Mutex::new(None), Mutex::new(Instant::now()));
        let active_corruptions = AtomicU32::new(0);
        let process = Process {
            number,
            folder,
            settings,
            recorder,
            instance,
            not_before,
            active_corruptions,
        };
        process.write_settings(&process.settings.to_string());
        process
    }

    /// Starts the process, and restarts it whenever it ends, until the task is aborted.
    pub(crate) async fn supervise(self: Arc<Process>) {
        loop {
            while Instant::now() < *self.not_before.lock().expect("the lock is not poisoned") {
                sleep(POLL_INTERVAL).await;
            }
            *self.instance.lock().expect("the lock is not poisoned") = Some(self.start());
            while !self.has_ended() {
                sleep(POLL_INTERVAL).await;
            }
            sleep(RESTART_DELAY).await;
        }
    }

    fn start(&self) -> Instance {
        let log = self.folder.join("log");
        let open = OpenOptions::new().create(true).append(true).open(log);
        let errors = File::options().create(true).append(true).open(self.folder.join("errors"));
        let mut command = Command::new(
            env::var_os("SOAK_DAEMON").unwrap_or_else(|| env!("CARGO_BIN_EXE_banyanwharfd").into()),
        );
        command.arg(self.folder.join("settings.jsonc")).stdin(Stdio::null());
        command
            .stdout(open.expect("the log file opens"))
            .stderr(errors.expect("the log file opens"));
        let has_invalid_settings = self.active_corruptions.load(Ordering::SeqCst) > 0;
        let child = command.spawn().expect("the daemon starts");
        self.recorder.record_start(self.number);
        Instance { child, is_terminated: false, is_killed: false, has_invalid_settings }
    }

    fn has_ended(&self) -> bool {
        let mut guard = self.instance.lock().expect("the lock is not poisoned");
        let Some(instance) = guard.as_mut() else {
            return true;
        };
        let Some(status) = instance.child.try_wait().expect("the child can be waited for") else {
            return false;
        };
        let number = self.number;
        let is_expected = instance.is_killed
            || instance.is_terminated && status.code() == Some(0)
            || instance.has_invalid_settings && status.code() == Some(1);
        if !is_expected {
            self.recorder.record_violation(
                Rule::Soak,
                format!("daemon {number} ended unexpectedly with {status}"),
            );
        }
        self.recorder.record_event(format!("daemon {number} ended with {status}"));
        *guard = None;
        true
    }

    /// Sends a signal to the process if it runs. The pid cannot belong to another process: the lock
    /// is held, and an ended process is reaped only under this lock.
    fn signal(&self, name: &str, mark: impl Fn(&mut Instance)) -> bool {
        let mut guard = self.instance.lock().expect("the lock is not poisoned");
        let Some(instance) = guard.as_mut() else {
            return false;
        };
        mark(instance);
        let process = instance.child.id().to_string();
        let status = Command::new("kill").args([name, &process]).status();
        status.expect("the kill command runs").success()
    }

    fn pid(&self) -> Option<u32> {
        self.instance
            .lock()
            .expect("the lock is not poisoned")
            .as_ref()
            .map(|instance| instance.child.id())
    }

    /// Sends SIGTERM and records a violation if the process does not end within the grace period.
    pub(crate) async fn stop(&self) {
        let Some(process) = self.pid() else {
            return;
        };
        let started_at = Instant::now();
        self.signal("-TERM", |instance| instance.is_terminated = true);
        while started_at.elapsed() < GRACE_PERIOD {
            if self.pid() != Some(process) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        let concerns = |component: &Component| {
            matches!(component, Component::Host) || *component == Component::Daemon(self.number)
        };
        if self.recorder.is_undisturbed(started_at, Instant::now(), concerns) {
            self.recorder.record_violation(
                Rule::Soak,
                format!("daemon {} did not stop within {GRACE_PERIOD:?}", self.number),
            );
        }
        self.kill();
    }

    /// Sends SIGKILL.
    pub(crate) fn kill(&self) {
        let started_at = Instant::now();
        self.signal("-KILL", |instance| instance.is_killed = true);
        self.recorder.record_disturbance(Component::Daemon(self.number), started_at);
    }

    /// Sends SIGKILL and does not restart the process before `until`.
    pub(crate) fn kill_and_restart_after(&self, until: Instant) {
        *self.not_before.lock().expect("the lock is not poisoned") = until;
        self.kill();
    }

    /// Suspends the process for a while with SIGSTOP and SIGCONT.
    pub(crate) async fn pause(&self, duration: Duration) {
        let disturbance = self.recorder.begin_disturbance(Component::Daemon(self.number));
        self.signal("-STOP", |_| {});
        sleep(duration).await;
        self.signal("-CONT", |_| {});
        self.recorder.end_disturbance(disturbance);
    }

    pub(crate) fn reload_settings(&self) {
        self.signal("-HUP", |_| {});
    }

    /// Makes the settings file invalid for a while and sends SIGHUP after each change.
    pub(crate) async fn corrupt_settings(&self, duration: Duration) {
        // A process that starts during this time exits at once.
        let disturbance = self.recorder.begin_disturbance(Component::Daemon(self.number));
        self.active_corruptions.fetch_add(1, Ordering::SeqCst);
        self.write_settings("{ \"mode\": ");
        self.reload_settings();
        sleep(duration).await;
        if self.active_corruptions.load(Ordering::SeqCst) == 1 {
            self.write_settings(&self.settings.to_string());
        }
        self.active_corruptions.fetch_sub(1, Ordering::SeqCst);
        self.reload_settings();
        self.recorder.end_disturbance(disturbance);
    }

    fn write_settings(&self, text: &str) {
        let path = self.folder.join("settings.jsonc");
        let new = self.folder.join("settings.new");
        fs::write(&new, text).expect("written");
        fs::rename(new, path).expect("renamed");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let Ok(guard) = self.instance.get_mut() else {
            return;
        };
        if let Some(instance) = guard {
            // Fails if the process has already ended.
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
    }
}
