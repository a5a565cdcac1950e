use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

use tokio::io::Interest;

use crate::util::{ReceiveBatch, SendBatch};

/// Forwards every datagram unchanged to the targets in round-robin order, with the socket calls of
/// the packet loop but without a forwarding decision.
///
/// Benchmarks use the function as the baseline for the packet rate of a daemon. The function runs
/// until its future is dropped.
///
/// # Errors
///
/// Returns an error if the socket cannot be registered with the runtime or fails.
pub async fn forward_all(socket: UdpSocket, targets: &[SocketAddr]) -> io::Result<()> {
    let ready = tokio::net::UdpSocket::from_std(socket.try_clone()?)?;
    let mut receive_batch = ReceiveBatch::new();
    let mut send_batch = SendBatch::new();
    let mut targets = targets.iter().cycle();
    loop {
        ready.readable().await?;
        let Ok(count) = ready.try_io(Interest::READABLE, || receive_batch.receive(&socket)) else {
            continue;
        };
        for index in 0..count {
            if let (Some((_, bytes)), Some(to)) = (receive_batch.datagram(index), targets.next()) {
                send_batch.push_received(*to, index, 0..bytes.len());
            }
        }
        send_batch.flush(&socket, &receive_batch);
    }
}
