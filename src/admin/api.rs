use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde_json::value::RawValue;

use crate::{
    admin::{
        Cursor, Explanation, Flows, Member, Question, Status, Target, TicketReport, Tickets, Zone,
    },
    ticket,
};

/// The methods of the admin API.
#[rpc(server, client)]
pub trait Api {
    /// Returns the daemon's own state.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Returns all members that the daemon knows, including itself.
    #[method(name = "members")]
    async fn members(&self) -> RpcResult<Vec<Member>>;

    /// Returns all availability zones that the daemon knows.
    #[method(name = "zones")]
    async fn zones(&self) -> RpcResult<Vec<Zone>>;

    /// Returns all targets that the daemon knows.
    #[method(name = "targets")]
    async fn targets(&self) -> RpcResult<Vec<Target>>;

    /// Returns the tickets that the daemon accepted and refused.
    #[method(name = "tickets")]
    async fn tickets(&self) -> RpcResult<Tickets>;

    /// Returns whether a ticket is in force at the daemon.
    #[method(name = "ticket_in_force")]
    async fn ticket_in_force(&self, number: ticket::Number) -> RpcResult<TicketReport>;

    /// Returns what the daemon would do with a flow, and why.
    #[method(name = "explain")]
    async fn explain(&self, question: Question) -> RpcResult<Explanation>;

    /// Returns the numbers of flows that the daemon holds.
    #[method(name = "flows")]
    async fn flows(&self) -> RpcResult<Flows>;

    /// Returns the member list, which a joining daemon starts with.
    #[method(name = "member_snapshot")]
    async fn member_snapshot(&self) -> RpcResult<Box<RawValue>>;

    /// Returns the changes since a cursor, for a follower in the same zone.
    #[method(name = "follow")]
    async fn follow(&self, cursor: Cursor) -> RpcResult<Box<RawValue>>;

    /// Returns the ticket state, which a joining daemon starts with.
    #[method(name = "state_snapshot")]
    async fn state_snapshot(&self) -> RpcResult<Box<RawValue>>;
}
