use serde_json::value::RawValue;
use tokio::sync::{mpsc, oneshot};

use crate::{
    admin::{
        Cursor, Explanation, Flows, Member, Question, Status, Target, TicketReport, Tickets, Zone,
    },
    ticket,
};

/// Where the node sends the answer to a request.
pub type Reply<T> = oneshot::Sender<T>;
/// The server's end of the channel to the node.
pub type Sender = mpsc::Sender<Request>;
/// The node's end of the channel from the server.
pub type Receiver = mpsc::Receiver<Request>;

/// The largest number of requests that wait for the node.
const CAPACITY: usize = 64;

/// A call that the node answers. A node that cannot answer drops the [`Reply`].
#[derive(Debug)]
pub enum Request {
    /// Asks for the daemon's own state.
    Status(Reply<Status>),
    /// Asks for all members.
    Members(Reply<Vec<Member>>),
    /// Asks for all availability zones.
    Zones(Reply<Vec<Zone>>),
    /// Asks for all targets.
    Targets(Reply<Vec<Target>>),
    /// Asks for the accepted and refused tickets.
    Tickets(Reply<Tickets>),
    /// Asks whether a ticket is in force.
    TicketInForce(ticket::Number, Reply<TicketReport>),
    /// Asks what would happen to a flow.
    Explain(Question, Reply<Explanation>),
    /// Asks for the numbers of held flows.
    Flows(Reply<Flows>),
    /// Asks for the member list for a joiner.
    MemberSnapshot(Reply<Box<RawValue>>),
    /// Asks for what has changed since a position, for a daemon that follows this one.
    Follow(Cursor, Reply<Box<RawValue>>),
    /// Asks for the ticket state for a joiner.
    StateSnapshot(Reply<Box<RawValue>>),
}

/// Creates the channel between the server and the node.
pub fn channel() -> (Sender, Receiver) {
    mpsc::channel(CAPACITY)
}
