//! A daemon that is started again whenever it ends, as on the users' platform.

use std::{
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

use super::recorder::{Component, Recorder};

/// How often the supervisor looks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time between the end of a process and its next start. It is longer than callers repeat opening
/// packets, so that a process that ends too early is missed.
const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// The time that the platform gives a process between SIGTERM and SIGKILL.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// A process and what was done to it.
#[derive(Debug)]
struct Instance {
    child: Child,
    is_terminated: bool,
    is_killed: bool,
    /// Whether its settings could not be read when it started, so that it must end.
    has_invalid_settings: bool,
}

/// A daemon under supervision.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) number: u8,
    folder: PathBuf,
    settings: Value,
    recorder: Arc<Recorder>,
    instance: Mutex<Option<Instance>>,
    /// Until when the process is not started again.
    not_before: Mutex<Instant>,
    /// The actions that keep the settings file unreadable.
    active_corruptions: AtomicU32,
}

impl Process {
    pub(crate) fn new(
        number: u8,
        folder: PathBuf,
        settings: Value,
        recorder: Arc<Recorder>,
    ) -> Process {
        fs::create_dir(&folder).expect("a folder");
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

    /// Starts the process again and again until the task is aborted.
    pub(crate) async fn supervise(self: Arc<Process>) {
        loop {
            while Instant::now() < *self.not_before.lock().expect("no panic") {
                sleep(POLL_INTERVAL).await;
            }
            *self.instance.lock().expect("no panic") = Some(self.start());
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
        let mut command = Command::new(env!("CARGO_BIN_EXE_banyanwharfd"));
        command.arg(self.folder.join("settings.jsonc")).stdin(Stdio::null());
        command.stdout(open.expect("a file")).stderr(errors.expect("a file"));
        let has_invalid_settings = self.active_corruptions.load(Ordering::SeqCst) > 0;
        let child = command.spawn().expect("the daemon starts");
        Instance { child, is_terminated: false, is_killed: false, has_invalid_settings }
    }

    fn has_ended(&self) -> bool {
        let mut guard = self.instance.lock().expect("no panic");
        let Some(instance) = guard.as_mut() else {
            return true;
        };
        let Some(status) = instance.child.try_wait().expect("it is a child") else {
            return false;
        };
        let number = self.number;
        let is_expected = instance.is_killed
            || instance.is_terminated && status.code() == Some(0)
            || instance.has_invalid_settings && status.code() == Some(1);
        if !is_expected {
            self.recorder
                .record_violation(format!("daemon {number} ended by itself with {status}"));
        }
        self.recorder.record_event(format!("daemon {number} ended with {status}"));
        *guard = None;
        true
    }

    /// Sends a signal to the process, if one runs. It cannot reach another process, since the
    /// process is not reaped meanwhile.
    fn signal(&self, name: &str, mark: impl Fn(&mut Instance)) -> bool {
        let mut guard = self.instance.lock().expect("no panic");
        let Some(instance) = guard.as_mut() else {
            return false;
        };
        mark(instance);
        let process = instance.child.id().to_string();
        let status = Command::new("kill").args([name, &process]).status();
        status.expect("kill runs").success()
    }

    fn pid(&self) -> Option<u32> {
        self.instance.lock().expect("no panic").as_ref().map(|instance| instance.child.id())
    }

    /// Stops the process gracefully. It must end within the grace period.
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
            self.recorder.record_violation(format!(
                "daemon {} did not stop within {GRACE_PERIOD:?}",
                self.number
            ));
        }
        self.kill();
    }

    /// Ends the process at once.
    pub(crate) fn kill(&self) {
        let started_at = Instant::now();
        self.signal("-KILL", |instance| instance.is_killed = true);
        self.recorder.record_disturbance(Component::Daemon(self.number), started_at);
    }

    /// Ends the process at once and does not start it before `until`.
    pub(crate) fn kill_and_restart_after(&self, until: Instant) {
        *self.not_before.lock().expect("no panic") = until;
        self.kill();
    }

    /// Lets the process stand still for a while.
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

    /// Makes the settings file unreadable for a while.
    pub(crate) async fn corrupt_settings(&self, duration: Duration) {
        // A process that starts now cannot serve.
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
            // A process that has ended already needs no signal.
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
    }
}
