use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{JoinHandle, JoinSet},
};

/// The pause after a failed `accept`, which fails again at once while files run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A TCP listener that serves a limited number of connections. It stops when it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Listens at `address` and runs `serve` for each connection, at most `connections` at the
    /// same time. Further ones wait in the backlog of the socket.
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

    /// Returns the address that is listened at.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections. The address is free when this returns.
    pub(crate) async fn stop(mut self) {
        self.task.abort();
        // The task ends with the error that it was cancelled.
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
    // Dropping the set closes the connections.
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
                log::warn!("connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
