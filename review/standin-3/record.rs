//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Record { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", self.now(), line.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn print(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.write(line);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
