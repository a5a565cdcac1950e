use std::{io::IoSlice, net::SocketAddr, ops::Range, os::fd::AsRawFd};

use nix::{
    errno::Errno,
    sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg},
};

use crate::util::inbox::{BATCH, Inbox};

/// The content of a datagram to send.
#[derive(Debug, Clone)]
enum Content {
    /// A part of the datagram `index` of the inbox, which is forwarded without a copy.
    Received(usize, Range<usize>),
    /// Bytes of the outbox's own buffer.
    Owned(Range<usize>),
}

/// Datagrams that wait to be sent through one socket.
pub(crate) struct Outbox {
    headers: MultiHeaders<SockaddrStorage>,
    addresses: Vec<Option<SockaddrStorage>>,
    contents: Vec<Content>,
    buffer: Vec<u8>,
}

impl Outbox {
    /// Creates an empty outbox.
    pub(crate) fn new() -> Outbox {
        Outbox {
            headers: MultiHeaders::preallocate(BATCH, None),
            addresses: Vec::with_capacity(BATCH),
            contents: Vec::with_capacity(BATCH),
            buffer: Vec::new(),
        }
    }

    /// Queues a part of the datagram `index` of the inbox that is given to [`Outbox::flush`].
    pub(crate) fn push_received(&mut self, to: SocketAddr, index: usize, part: Range<usize>) {
        self.push(to, Content::Received(index, part));
    }

    /// Queues the bytes that `write` appends to the buffer. Nothing is queued if it fails.
    ///
    /// # Errors
    ///
    /// Returns the error of `write`.
    pub(crate) fn push_with<E>(
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
    pub(crate) fn push_copy(&mut self, to: SocketAddr, write: impl FnOnce(&mut Vec<u8>)) {
        let start = self.buffer.len();
        write(&mut self.buffer);
        self.push(to, Content::Owned(start..self.buffer.len()));
    }

    /// Queues a copy of `bytes`.
    pub(crate) fn push_owned(&mut self, to: SocketAddr, bytes: &[u8]) {
        let start = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        self.push(to, Content::Owned(start..self.buffer.len()));
    }

    /// Returns the number of queued datagrams.
    pub(crate) fn len(&self) -> usize {
        self.contents.len()
    }

    /// Returns the length of the queued datagrams that are not in the inbox, in bytes.
    pub(crate) fn bytes(&self) -> usize {
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
    /// A datagram that the system refuses is lost like one that the network loses.
    pub(crate) fn flush(&mut self, socket: &impl AsRawFd, inbox: &Inbox) -> u64 {
        let mut failed = 0;
        let mut first = 0;
        while first < self.contents.len() {
            let last = self.contents.len().min(first + BATCH);
            let slices: Vec<[IoSlice<'_>; 1]> = self.contents[first..last]
                .iter()
                .map(|content| match content {
                    Content::Received(index, part) => inbox
                        .datagram(*index)
                        .and_then(|(_, bytes)| bytes.get(part.clone()))
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
                    // The error belongs to the first datagram of the batch.
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
