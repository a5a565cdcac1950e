use std::{
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4, SocketAddrV6},
    os::fd::AsRawFd,
};

use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrLike, SockaddrStorage, recvmmsg};

/// The largest number of datagrams that one system call receives or sends.
pub(crate) const BATCH_SIZE: usize = 32;

/// The largest datagram that is received untruncated. Jumbo frames carry at most 9,000 bytes.
const MAX_DATAGRAM_BYTES: usize = 9216;

/// The sender and length of a received datagram.
#[derive(Debug, Clone, Copy)]
struct Received {
    from: SocketAddr,
    length: usize,
}

/// The datagrams that one call of `recvmmsg` received, in buffers that each batch reuses.
pub(crate) struct ReceiveBatch {
    headers: MultiHeaders<SockaddrStorage>,
    buffers: Vec<Vec<u8>>,
    received: Vec<Received>,
}

impl ReceiveBatch {
    /// Creates an empty batch and allocates its buffers.
    pub(crate) fn new() -> ReceiveBatch {
        ReceiveBatch {
            headers: MultiHeaders::preallocate(BATCH_SIZE, None),
            buffers: vec![vec![0; MAX_DATAGRAM_BYTES]; BATCH_SIZE],
            received: Vec::with_capacity(BATCH_SIZE),
        }
    }

    /// Replaces the batch with up to [`BATCH_SIZE`] datagrams of `socket` and returns their count.
    ///
    /// # Errors
    ///
    /// Returns the error of the system call: `WouldBlock` if no datagram is queued in the socket.
    pub(crate) fn receive(&mut self, socket: &impl AsRawFd) -> io::Result<usize> {
        self.received.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> =
            self.buffers.iter_mut().map(|buffer| [IoSliceMut::new(buffer)]).collect();
        let flags = MsgFlags::MSG_DONTWAIT;
        let fd = socket.as_raw_fd();
        for message in recvmmsg(fd, &mut self.headers, slices.iter_mut(), flags, None)? {
            let is_whole = !message.flags.contains(MsgFlags::MSG_TRUNC);
            let from = message.address.as_ref().and_then(address);
            // A datagram that was truncated or has no sender address is replaced by an empty one.
            let unusable = Received { from: SocketAddr::from(([0, 0, 0, 0], 0)), length: 0 };
            self.received.push(match from {
                Some(from) if is_whole => Received { from, length: message.bytes },
                _ => unusable,
            });
        }
        Ok(self.received.len())
    }

    /// Returns the sender and the content of the datagram `index` of the batch.
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
