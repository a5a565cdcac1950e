use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use crate::{
    member::Id,
    wire::{Body, Frame, Keyring},
};

/// Sends control frames to other members.
#[derive(Debug, Clone)]
pub(crate) struct Sender {
    socket: Arc<UdpSocket>,
    keyring: Arc<Keyring>,
    /// The id of the local member.
    own: Id,
    sent_bytes: Arc<AtomicU64>,
    /// The number of frames that could not be encoded or sent.
    failed: Arc<AtomicU64>,
}

impl Sender {
    /// Creates a sender for the local member `own`.
    pub(crate) fn new(socket: Arc<UdpSocket>, keyring: Arc<Keyring>, own: Id) -> Sender {
        Sender { socket, keyring, own, sent_bytes: Arc::default(), failed: Arc::default() }
    }

    /// Sends a frame and returns its length in bytes.
    ///
    /// A frame that cannot be sent is counted and dropped, as if the network had lost it; the
    /// length is then 0.
    pub(crate) fn send(&self, to: SocketAddr, body: Body) -> usize {
        let mut buffer = Vec::new();
        let frame = Frame { sender: self.own, body, packet: &[] };
        let encoded = frame.encode(&self.keyring, &mut buffer);
        if encoded.is_err() || self.socket.send_to(&buffer, to).is_err() {
            self.failed.fetch_add(1, Ordering::Relaxed);
            return 0;
        }
        self.sent_bytes.fetch_add(buffer.len() as u64, Ordering::Relaxed);
        buffer.len()
    }

    /// Returns the total bytes of the frames sent.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of frames that could not be sent.
    pub(crate) fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }
}
