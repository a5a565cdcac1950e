use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ticket::Number;

/// The tickets that the answering daemon knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Tickets {
    /// The digest of the ticket state; equal in daemons with the same state.
    pub digest: Arc<str>,
    /// The accepted tickets that still set an object.
    pub accepted: Vec<AcceptedTicket>,
    /// The last refused tickets; the daemon keeps a limited number.
    pub refused: Vec<RefusedTicket>,
}

/// An accepted ticket that still sets an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AcceptedTicket {
    /// The ticket's number.
    pub number: Number,
    /// The objects that the ticket sets and no later ticket has set, such as `service/turnos`.
    pub objects: Vec<Arc<str>>,
}

/// A ticket that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RefusedTicket {
    /// The ticket's number, if it could be read.
    pub number: Option<Number>,
    /// Why the ticket was refused, with the position in its text.
    pub reason: Arc<str>,
}

/// Whether a ticket is in force at a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TicketState {
    /// The daemon has the ticket and acts on it, or on later ones for the same objects.
    InForce,
    /// The daemon refused the ticket for the given reason.
    Refused(Arc<str>),
    /// The daemon does not know the ticket.
    Unknown,
}

/// Whether one ticket is in force at one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TicketReport {
    /// The name of the answering daemon.
    pub name: Arc<str>,
    /// The ticket's number.
    pub number: Number,
    /// The state of the ticket at that daemon.
    pub state: TicketState,
}
