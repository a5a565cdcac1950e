//! The record of a run: what was sent, answered and run, with the seconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { started_at: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line.
    pub fn add(&self, text: impl AsRef<str>) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{seconds:9.3} {}", text.as_ref());
    }

    /// Writes a line and also prints it.
    pub fn report(&self, text: impl AsRef<str>) {
        self.add(text.as_ref());
        println!("{}", text.as_ref());
    }
}
