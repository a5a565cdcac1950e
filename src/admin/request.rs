use serde_json::value::RawValue;
use tokio::sync::{mpsc, oneshot};

use crate::{
    admin::{
        Cursor, Explanation, Flows, Member, Question, Status, Target, TicketReport, Tickets, Zone,
    },
    ticket,
};

/// The channel on which the node answers a request.
pub type Reply<T> = oneshot::Sender<T>;
/// The server's end of the channel to the node.
pub type Sender = mpsc::Sender<Request>;
/// The node's end of the channel from the server.
pub type Receiver = mpsc::Receiver<Request>;

/// The maximum number of requests that wait for the node.
const CAPACITY: usize = 64;

/// A call of the admin API, which the node answers. A node that cannot answer drops the [`Reply`].
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
    /// Asks for the numbers of flows that the daemon holds.
    Flows(Reply<Flows>),
    /// Asks for the member list, which a joining daemon starts with.
    MemberSnapshot(Reply<Box<RawValue>>),
    /// Asks for the changes since a cursor, for a follower.
    Follow(Cursor, Reply<Box<RawValue>>),
    /// Asks for the ticket state, which a joining daemon starts with.
    StateSnapshot(Reply<Box<RawValue>>),
}

/// Creates the channel between the server and the node.
pub fn channel() -> (Sender, Receiver) {
    mpsc::channel(CAPACITY)
}
