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

/// The largest number of lines that are queued for writing.
const CAPACITY: usize = 1024;

/// How long the process waits at its end for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// An item in the queue of the writer thread.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// A request to write all earlier lines; the sender is dropped when they are written.
    Flush(SyncSender<()>),
}

/// A log4rs appender that writes to the standard output on a separate thread, so that logging
/// does not block while the reader of the output has stopped reading. Lines that exceed the
/// capacity of the queue are dropped and counted.
#[derive(Debug)]
pub(super) struct StdoutAppender {
    encoder: Box<dyn Encode>,
    items: SyncSender<Item>,
    lost: AtomicU64,
}

impl StdoutAppender {
    /// Starts the writer thread.
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
            // The wait is limited, since a reader that has stopped must not keep the process from
            // ending.
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
            // The reader has closed the output, and there is no other place to report the error.
            return;
        }
    }
}
