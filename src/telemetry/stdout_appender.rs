use std::{
    io::{self, Write as _},
    iter,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use log4rs::{
    append::Append,
    encode::{Encode, writer::simple::SimpleWriter},
};

use crate::telemetry::{Error, Result};

/// The lines that wait to be written.
const CAPACITY: usize = 1024;

/// How long a process that ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// What waits for the thread.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Everything before has to be written; the sender is lost then.
    Flush(SyncSender<()>),
}

/// Writes lines to the standard output on a thread of its own, so that no caller waits for a
/// reader that has stopped. Lines beyond the capacity are left out and counted.
#[derive(Debug)]
pub(super) struct StdoutAppender {
    encoder: Box<dyn Encode>,
    items: SyncSender<Item>,
    lost: AtomicU64,
}

impl StdoutAppender {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Thread`] if the thread cannot be started.
    pub(super) fn start(encoder: Box<dyn Encode>) -> Result<StdoutAppender> {
        let (items, receiver) = sync_channel(CAPACITY);
        let builder = thread::Builder::new().name("log".to_owned()).stack_size(64 * 1024);
        builder.spawn(move || write(&receiver)).map_err(Error::Thread)?;
        Ok(StdoutAppender { encoder, items, lost: AtomicU64::new(0) })
    }

    fn push(&self, line: Vec<u8>) {
        if self.items.try_send(Item::Line(line)).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Append for StdoutAppender {
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

    fn flush(&self) {
        let (written, is_written) = sync_channel(0);
        if self.items.try_send(Item::Flush(written)).is_ok() {
            // A reader that has stopped must not keep the process from ending.
            let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write(items: &Receiver<Item>) {
    let mut output = io::stdout().lock();
    while let Ok(first) = items.recv() {
        let mut batch = Vec::new();
        let mut flushed = Vec::new();
        for item in iter::once(first).chain(items.try_iter()) {
            match item {
                Item::Line(line) => batch.extend(line),
                Item::Flush(written) => flushed.push(written),
            }
        }
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            // Nobody reads the log any more, and there is no other place to say so.
            return;
        }
    }
}
