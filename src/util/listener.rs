use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, JoinSet},
};

/// The delay after a failed `accept`, which fails again at once while the process has no free file
/// descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A TCP listener that serves a limited number of connections and stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens on `address` and runs `serve` for each connection, at most `connections` at the
    /// same time. Further connections wait in the backlog of the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) async fn bind<F, C>(
        address: SocketAddr,
        connections: usize,
        serve: F,
    ) -> io::Result<Listener>
    where
        F: Fn(TcpStream) -> C + Send + 'static,
        C: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, connections, serve));
        Ok(Listener { address, task })
    }

    /// Returns the address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections. The address is free when this returns.
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

async fn accept<F, C>(listener: TcpListener, connections: usize, serve: F)
where
    F: Fn(TcpStream) -> C,
    C: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(connections));
    // Dropping the set aborts the tasks and closes their connections.
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = serve(stream);
                tasks.spawn(async move {
                    connection.await;
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
