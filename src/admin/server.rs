use std::{net::SocketAddr, time::Duration};

use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{
        BatchRequestConfig, ServerBuilder, ServerConfig, serve_with_graceful_shutdown, stop_channel,
    },
    types::{ErrorObject, ErrorObjectOwned},
};
use serde_json::value::RawValue;
use tokio::sync::oneshot;

use crate::{
    admin::{
        ApiServer, Cursor, Error, Explanation, Flows, Limits, MAXIMUM_RESPONSE_BYTES, Member,
        Question, Reply, Request, Result, Sender, Status, Target, TicketReport, Tickets, Zone,
    },
    ticket,
    util::Listener,
};

/// The maximum size of a request in bytes; the longest valid request has about 200 bytes.
const MAXIMUM_REQUEST_BYTES: u32 = 16 * 1024;

/// The maximum time that the node may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The error code for a request that was not answered in time.
const TIMEOUT_CODE: i32 = -32001;

/// The error code for a request whose [`Reply`] the node dropped.
const UNANSWERED_CODE: i32 = -32002;

/// The error code for a request that was rejected because too many others wait for the node.
const BUSY_CODE: i32 = -32003;

/// The HTTP server of the admin API. It stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
}

impl Server {
    /// Serves the API at `address` and sends the requests to `node`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if the address cannot be bound.
    pub async fn start(address: SocketAddr, node: Sender) -> Result<Server> {
        Server::start_with(address, node, Limits::default()).await
    }

    /// Serves the API with the given limits on connections.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if the address cannot be bound.
    pub async fn start_with(address: SocketAddr, node: Sender, limits: Limits) -> Result<Server> {
        let config = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAXIMUM_REQUEST_BYTES)
            .max_response_body_size(MAXIMUM_RESPONSE_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        let builder = ServerBuilder::with_config(config).to_service_builder();
        let methods = Handler { node }.into_rpc();
        let serve = move |stream| {
            let (stop, handle) = stop_channel();
            let service = builder.clone().build(methods.clone(), stop);
            async move {
                // jsonrpsee closes neither idle connections nor those that stall in a request.
                let close_timer = tokio::time::sleep(limits.close_after);
                let connection = serve_with_graceful_shutdown(stream, service, close_timer);
                // Errors are ignored: they mean that the client has closed the connection.
                let _ = tokio::time::timeout(limits.abort_after, connection).await;
                drop(handle);
            }
        };
        let listener = Listener::bind(address, limits.max_connections, serve).await;
        let listener = listener.map_err(|source| Error::Bind { address, source })?;
        Ok(Server { listener })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the server. Its address can be bound again when this returns.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

/// Passes calls to the node and returns its answers.
struct Handler {
    node: Sender,
}

impl Handler {
    async fn call_node<T>(&self, request: impl FnOnce(Reply<T>) -> Request) -> RpcResult<T> {
        let (reply, answer) = oneshot::channel();
        self.node
            .try_send(request(reply))
            .map_err(|_| error(BUSY_CODE, "daemon is busy or stopping"))?;
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(error(UNANSWERED_CODE, "daemon does not answer the request")),
            Err(_) => Err(error(TIMEOUT_CODE, "daemon did not answer in time")),
        }
    }
}

fn error(code: i32, message: &'static str) -> ErrorObjectOwned {
    ErrorObject::owned(code, message, None::<()>)
}

#[async_trait]
impl ApiServer for Handler {
    async fn status(&self) -> RpcResult<Status> {
        self.call_node(Request::Status).await
    }

    async fn members(&self) -> RpcResult<Vec<Member>> {
        self.call_node(Request::Members).await
    }

    async fn zones(&self) -> RpcResult<Vec<Zone>> {
        self.call_node(Request::Zones).await
    }

    async fn targets(&self) -> RpcResult<Vec<Target>> {
        self.call_node(Request::Targets).await
    }

    async fn tickets(&self) -> RpcResult<Tickets> {
        self.call_node(Request::Tickets).await
    }

    async fn ticket_in_force(&self, number: ticket::Number) -> RpcResult<TicketReport> {
        self.call_node(|reply| Request::TicketInForce(number, reply)).await
    }

    async fn explain(&self, question: Question) -> RpcResult<Explanation> {
        self.call_node(|reply| Request::Explain(question, reply)).await
    }

    async fn flows(&self) -> RpcResult<Flows> {
        self.call_node(Request::Flows).await
    }

    async fn member_snapshot(&self) -> RpcResult<Box<RawValue>> {
        self.call_node(Request::MemberSnapshot).await
    }

    async fn follow(&self, cursor: Cursor) -> RpcResult<Box<RawValue>> {
        self.call_node(|reply| Request::Follow(cursor, reply)).await
    }

    async fn state_snapshot(&self) -> RpcResult<Box<RawValue>> {
        self.call_node(Request::StateSnapshot).await
    }
}
