use std::{io::IoSlice, net::SocketAddr, ops::Range, os::fd::AsRawFd};

use nix::{
    errno::Errno,
    sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg},
};

use crate::util::receive_batch::{BATCH_SIZE, ReceiveBatch};

/// The content of a queued datagram.
#[derive(Debug, Clone)]
enum Content {
    /// A range of the datagram with this index in the receive batch, sent without a copy.
    Received(usize, Range<usize>),
    /// A range of the send batch's own buffer.
    Owned(Range<usize>),
}

/// Datagrams that are queued for one socket and sent with `sendmmsg`.
pub(crate) struct SendBatch {
    headers: MultiHeaders<SockaddrStorage>,
    addresses: Vec<Option<SockaddrStorage>>,
    contents: Vec<Content>,
    buffer: Vec<u8>,
}

impl SendBatch {
    /// Creates an empty batch.
    pub(crate) fn new() -> SendBatch {
        SendBatch {
            headers: MultiHeaders::preallocate(BATCH_SIZE, None),
            addresses: Vec::with_capacity(BATCH_SIZE),
            contents: Vec::with_capacity(BATCH_SIZE),
            buffer: Vec::new(),
        }
    }

    /// Queues a range of the datagram `index` of the receive_batch that is given to [`SendBatch::flush`].
    pub(crate) fn push_received(&mut self, to: SocketAddr, index: usize, range: Range<usize>) {
        self.push(to, Content::Received(index, range));
    }

    /// Queues the bytes that `write` appends to the buffer. If `write` fails, nothing is queued.
    ///
    /// # Errors
    ///
    /// Returns the error of `write`.
    pub(crate) fn try_push_written<E>(
        &mut self,
        to: SocketAddr,
        write: impl FnOnce(&mut Vec<u8>) -> Result<(), E>,
    ) -> Result<(), E> {
        let start = self.buffer.len();
        if let Err(error) = write(&mut self.buffer) {
            self.buffer.truncate(start);
            return Err(error);
        }
        let end = self.buffer.len();
        self.push(to, Content::Owned(start..end));
        Ok(())
    }

    /// Queues the bytes that `write` appends to the buffer.
    pub(crate) fn push_written(&mut self, to: SocketAddr, write: impl FnOnce(&mut Vec<u8>)) {
        let start = self.buffer.len();
        write(&mut self.buffer);
        self.push(to, Content::Owned(start..self.buffer.len()));
    }

    /// Queues a copy of `bytes`.
    pub(crate) fn push_bytes(&mut self, to: SocketAddr, bytes: &[u8]) {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.push(to, Content::Owned(start..self.buffer.len()));
    }

    /// Returns the number of queued datagrams.
    pub(crate) fn len(&self) -> usize {
        self.contents.len()
    }

    /// Returns the total length in bytes of the queued datagrams that this batch holds itself.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Drops all queued datagrams.
    pub(crate) fn clear(&mut self) {
        self.contents.clear();
        self.addresses.clear();
        self.buffer.clear();
    }

    /// Sends all queued datagrams and returns how many could not be sent.
    ///
    /// A datagram that the system refuses to send is dropped, not queued again.
    pub(crate) fn flush(&mut self, socket: &impl AsRawFd, receive_batch: &ReceiveBatch) -> u64 {
        let mut failed = 0;
        let mut first = 0;
        while first < self.contents.len() {
            let last = self.contents.len().min(first + BATCH_SIZE);
            let slices: Vec<[IoSlice<'_>; 1]> = self.contents[first..last]
                .iter()
                .map(|content| match content {
                    Content::Received(index, range) => receive_batch
                        .datagram(*index)
                        .and_then(|(_, bytes)| bytes.get(range.clone()))
                        .unwrap_or_default(),
                    Content::Owned(range) => &self.buffer[range.clone()],
                })
                .map(|bytes| [IoSlice::new(bytes)])
                .collect();
            let addresses = &self.addresses[first..last];
            let flags = MsgFlags::MSG_DONTWAIT;
            let fd = socket.as_raw_fd();
            match sendmmsg(fd, &mut self.headers, slices.iter(), addresses, [], flags) {
                Ok(sent) => first += sent.count().max(1),
                Err(Errno::EINTR) => {}
                Err(_) => {
                    // `sendmmsg` reports an error only for the first datagram of a call.
                    failed += 1;
                    first += 1;
                }
            }
        }
        self.clear();
        failed
    }

    fn push(&mut self, to: SocketAddr, content: Content) {
        self.addresses.push(Some(SockaddrStorage::from(to)));
        self.contents.push(content);
    }
}
