use std::net::SocketAddr;

use miette::Diagnostic;

use crate::ticket::{Address, Number, ObjectKey, ValidationError};

/// Why a ticket was refused whole. The state in force has not changed.
#[derive(Debug, Clone, PartialEq, thiserror::Error, Diagnostic)]
pub enum Refusal {
    /// The ticket does not validate on its own.
    #[error("ticket {number} is not valid")]
    #[diagnostic(code(ticket::invalid))]
    Invalid {
        /// The ticket's number.
        number: Number,
        /// The field and what is wrong with it.
        #[source]
        invalid: Box<ValidationError>,
    },
    /// The number was used before with other content.
    #[error("ticket {number} repeats a number with other content for {object}")]
    #[diagnostic(
        code(ticket::repeated),
        help("publish the change under a number that was not used before")
    )]
    NumberReused {
        /// The ticket's number.
        number: Number,
        /// The object whose content differs.
        object: ObjectKey,
    },
    /// The ticket was refused before. A refused number stays refused, so that a ticket does not
    /// come into force long after its operators saw the refusal.
    #[error("ticket {number} was refused before")]
    #[diagnostic(code(ticket::refused), help("publish the corrected change under a new number"))]
    AlreadyRefused {
        /// The ticket's number.
        number: Number,
    },
    /// A service address belongs to another service.
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
        /// The service that claims the address.
        object: ObjectKey,
        /// The address.
        address: Address,
        /// The service that owns the address.
        owner: ObjectKey,
        /// The ticket that set the owner.
        since: Number,
    },
    /// A target address belongs to a target of another service.
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
        /// The service that claims the address.
        object: ObjectKey,
        /// The target's address.
        address: SocketAddr,
        /// The service that owns the address.
        owner: ObjectKey,
        /// The ticket that set the owner.
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
