use std::{
    io::{self, Write as _},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use log4rs::{
    append::Append,
    encode::{Encode, writer::simple::SimpleWriter},
};

use crate::telemetry::{Error, Result};

/// The lines that wait to be written.
const CAPACITY: usize = 1024;

/// Writes lines to the standard output on a thread of its own, so that no caller waits for a
/// reader that has stopped. Lines beyond the capacity are left out and counted.
#[derive(Debug)]
pub(super) struct Queue {
    encoder: Box<dyn Encode>,
    lines: SyncSender<Vec<u8>>,
    lost: AtomicU64,
}

impl Queue {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Thread`] if the thread cannot be started.
    pub(super) fn start(encoder: Box<dyn Encode>) -> Result<Queue> {
        let (lines, waiting) = sync_channel(CAPACITY);
        let builder = thread::Builder::new().name("log".to_owned()).stack_size(64 * 1024);
        builder.spawn(move || write(&waiting)).map_err(Error::Thread)?;
        Ok(Queue { encoder, lines, lost: AtomicU64::new(0) })
    }

    fn push(&self, line: Vec<u8>) {
        if self.lines.try_send(line).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for Queue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            self.push(format!("{{\"message\":\"{lost} lines were lost\"}}\n").into_bytes());
        }
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        self.push(line.0);
        Ok(())
    }

    fn flush(&self) {}
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut output = io::stdout().lock();
    while let Ok(line) = lines.recv() {
        let mut batch = line;
        batch.extend(lines.try_iter().flatten());
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            // Nobody reads the log any more, and there is no other place to say so.
            return;
        }
    }
}
