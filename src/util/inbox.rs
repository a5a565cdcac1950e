use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4, SocketAddrV6},
    os::fd::AsRawFd,
};

use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrLike, SockaddrStorage, recvmmsg};

/// Datagrams received by one system call.
pub(crate) const BATCH: usize = 32;

/// The largest datagram that is received whole. Jumbo frames carry at most 9,000 bytes.
const DATAGRAM_BYTES: usize = 9216;

/// The place and sender of a received datagram.
#[derive(Debug, Clone, Copy)]
struct Received {
    from: SocketAddr,
    length: usize,
}

/// The datagrams of one batch, in buffers that are used again for the next.
pub(crate) struct Inbox {
    headers: MultiHeaders<SockaddrStorage>,
    buffers: Vec<Vec<u8>>,
    received: Vec<Received>,
}

impl Inbox {
    /// Creates an empty inbox.
    pub(crate) fn new() -> Inbox {
        Inbox {
            headers: MultiHeaders::preallocate(BATCH, None),
            buffers: vec![vec![0; DATAGRAM_BYTES]; BATCH],
            received: Vec::with_capacity(BATCH),
        }
    }

    /// Receives the datagrams that wait in `socket`, at most [`BATCH`], and returns how many.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call; `WouldBlock` if no datagram waits.
    pub(crate) fn receive(&mut self, socket: &impl AsRawFd) -> io::Result<usize> {
        self.received.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> =
            self.buffers.iter_mut().map(|buffer| [IoSliceMut::new(buffer)]).collect();
        let flags = MsgFlags::MSG_DONTWAIT;
        let fd = socket.as_raw_fd();
        for message in recvmmsg(fd, &mut self.headers, slices.iter_mut(), flags, None)? {
            let is_whole = !message.flags.contains(MsgFlags::MSG_TRUNC);
            let from = message.address.as_ref().and_then(address);
            // A datagram without sender or one that was cut off is treated as empty.
            let unusable = Received { from: SocketAddr::from(([0, 0, 0, 0], 0)), length: 0 };
            self.received.push(match from {
                Some(from) if is_whole => Received { from, length: message.bytes },
                _ => unusable,
            });
        }
        Ok(self.received.len())
    }

    /// Returns the sender and content of the datagram `index` of the last batch.
    pub(crate) fn datagram(&self, index: usize) -> Option<(SocketAddr, &[u8])> {
        let received = self.received.get(index)?;
        Some((received.from, self.buffers.get(index)?.get(..received.length)?))
    }
}

fn address(storage: &SockaddrStorage) -> Option<SocketAddr> {
    if let Some(v4) = storage.as_sockaddr_in() {
        return Some(SocketAddrV4::new(v4.ip(), v4.port()).into());
    }
    let v6 = storage.as_sockaddr_in6().filter(|_| storage.len() > 0)?;
    Some(SocketAddrV6::new(v6.ip(), v6.port(), 0, v6.scope_id()).into())
}
