//! The daemons, started as processes with settings rendered from the template of the deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::record::Record;

const PROGRAM: &str = "target/release/banyanwharfd";
const TEMPLATE: &str = "platform/settings.jsonc";

/// The fields of the platform's settings that the template uses.
#[derive(Clone)]
pub struct Fields {
    pub name: String,
    pub zone: &'static str,
    pub zones: Vec<&'static str>,
    pub ip: Ipv4Addr,
    pub data_port: u16,
    pub ready_port: u16,
    pub control_port: u16,
    pub peer_port: u16,
    pub platform: String,
    pub seeds: Vec<String>,
    /// `bounds.graceS` as the platform writes it.
    pub grace_s: String,
}

impl Fields {
    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Fills in the template.
    fn render(&self, template: &str) -> String {
        let quoted = |text: &str| format!("\"{text}\"");
        let address = |port| quoted(&self.address(port).to_string());
        let list = |items: Vec<String>| items.join(",");
        let values = [
            ("{{nodeName|json}}", quoted(&self.name)),
            ("{{region|json}}", quoted("region-1")),
            ("{{zone|json}}", quoted(self.zone)),
            (
                "{{#zones}}\"{{@}}\"{{,}}{{/zones}}",
                list(self.zones.iter().map(|zone| quoted(zone)).collect()),
            ),
            ("{{listen.dataAddr|json}}", address(self.data_port)),
            ("{{listen.ready|json}}", address(self.ready_port)),
            ("{{listen.control|json}}", address(self.control_port)),
            ("{{ip}}", self.ip.to_string()),
            ("{{internalPorts.0}}", self.peer_port.to_string()),
            ("{{platform.address}}", self.platform.clone()),
            (
                "{{#seeds}}{{.|json}}{{,}}{{/seeds}}",
                list(self.seeds.iter().map(|seed| quoted(seed)).collect()),
            ),
            ("{{bounds.graceS}}", self.grace_s.clone()),
            ("{{bounds.flowTtlS}}", "60".to_owned()),
            ("{{bounds.coldOver}}", "1.5".to_owned()),
            ("{{bounds.coldSlack}}", "5".to_owned()),
        ];
        let mut text = template.to_owned();
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        text
    }
}

pub struct Daemon {
    pub fields: Fields,
    folder: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Daemon {
    pub fn new(fields: Fields, folder: &Path, record: Arc<Record>) -> Daemon {
        Daemon { fields, folder: folder.to_owned(), child: None, record }
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.jsonc", self.fields.name))
    }

    /// Writes the settings file, as the platform does at every start and at every change.
    pub fn write_settings(&self) -> std::io::Result<()> {
        let template = fs::read_to_string(TEMPLATE)?;
        let text = self.fields.render(&template);
        if text.contains("{{") {
            return Err(std::io::Error::other(
                "the template has a placeholder that is not known here",
            ));
        }
        fs::write(self.settings_path(), text)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        self.write_settings()?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.fields.name)))?;
        let child = Command::new(PROGRAM)
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.add(format!("daemon {} starts", self.fields.name));
        self.child = Some(child);
        Ok(())
    }

    /// Returns the status of the process if it has ended by itself.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.record.add(format!("daemon {} gets SIG{name}", self.fields.name));
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        self.signal("TERM");
        let until = Instant::now() + grace;
        while self.child.is_some() && Instant::now() < until {
            if self.ended().is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        self.record.add(format!("daemon {} has ended", self.fields.name));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the last lines of the daemon's log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str], count: usize) -> Vec<String> {
        let path = self.folder.join(format!("{}.log", self.fields.name));
        let text = fs::read_to_string(path).unwrap_or_default();
        let found = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        let found: Vec<String> = found.map(|line| line.chars().take(300).collect()).collect();
        found[found.len().saturating_sub(count)..].to_vec()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
