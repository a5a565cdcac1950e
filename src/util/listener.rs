use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, JoinSet},
};

/// The delay before `accept` is called again after an error. Without the delay the loop would spin
/// while the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A TCP listener that serves a limited number of connections and stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and runs `serve` for each connection, at most `max_connections` at
    /// the same time. Further connections wait in the backlog of the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind<F, C>(
        address: SocketAddr,
        max_connections: usize,
        serve: F,
    ) -> io::Result<Listener>
    where
        F: Fn(TcpStream) -> C + Send + 'static,
        C: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, max_connections, serve));
        Ok(Listener { address, task })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and cancels the tasks of all connections. The address is free when this
    /// returns, but a connection task may end a moment later.
    pub(crate) async fn stop(mut self) {
        self.task.abort();
        // The aborted task ends with a cancellation error.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<F, C>(listener: TcpListener, max_connections: usize, serve: F)
where
    F: Fn(TcpStream) -> C,
    C: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    // Dropping the set aborts the tasks, which then close their connections.
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        // The semaphore is never closed, so the call always succeeds.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let future = serve(stream);
                tasks.spawn(async move {
                    future.await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("connection could not be accepted; trying again: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
