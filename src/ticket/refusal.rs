use std::net::SocketAddr;

use miette::Diagnostic;

use crate::ticket::{Address, Number, ObjectKey, ValidationError};

/// The reason why a ticket was refused. No part of a refused ticket is applied.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
pub enum Refusal {
    /// The ticket does not validate on its own.
    #[error("ticket {number} is not valid: {invalid}")]
    #[diagnostic(code(ticket::invalid))]
    Invalid {
        /// The ticket's number.
        number: Number,
        /// The field and what is wrong with it.
        #[source]
        invalid: Box<ValidationError>,
    },
    /// The number was already used for a ticket with other content.
    #[error("ticket {number}: the number is already used with other content for {object}")]
    #[diagnostic(code(ticket::repeated), help("publish the change under an unused number"))]
    NumberReused {
        /// The ticket's number.
        number: Number,
        /// The object whose content differs.
        object: ObjectKey,
    },
    /// A ticket with this number was refused before. The number stays refused, so that the ticket
    /// does not come into force long after operators have seen the refusal.
    #[error("ticket {number}: a ticket with this number was refused before")]
    #[diagnostic(code(ticket::refused), help("publish the corrected change under a new number"))]
    AlreadyRefused {
        /// The ticket's number.
        number: Number,
    },
    /// The ticket sets a service address that another service uses.
    #[error(
        "ticket {number}: {object}, field addresses: {} {:?} belongs to {owner} since ticket {since}",
        address.address, address.protocol
    )]
    #[diagnostic(
        code(ticket::address_clash),
        help("remove the address from the other service in the same or an earlier ticket")
    )]
    AddressInUse {
        /// The ticket's number.
        number: Number,
        /// The service of the ticket.
        object: ObjectKey,
        /// The address.
        address: Address,
        /// The service that uses the address.
        owner: ObjectKey,
        /// The number of the ticket that set that service.
        since: Number,
    },
    /// The ticket sets a target address that a target of another service uses.
    #[error(
        "ticket {number}: {object}, field targets: target address {address} belongs to {owner} since ticket {since}"
    )]
    #[diagnostic(
        code(ticket::target_clash),
        help("remove the target from the other service in the same or an earlier ticket")
    )]
    TargetAddressInUse {
        /// The ticket's number.
        number: Number,
        /// The service of the ticket.
        object: ObjectKey,
        /// The target's address.
        address: SocketAddr,
        /// The service that uses the address.
        owner: ObjectKey,
        /// The number of the ticket that set that service.
        since: Number,
    },
}

impl Refusal {
    /// Returns the number of the refused ticket.
    pub fn number(&self) -> Number {
        match self {
            Refusal::Invalid { number, .. }
            | Refusal::NumberReused { number, .. }
            | Refusal::AlreadyRefused { number }
            | Refusal::AddressInUse { number, .. }
            | Refusal::TargetAddressInUse { number, .. } => *number,
        }
    }
}
