use std::{fmt, net::SocketAddr, sync::Arc};

use crate::ticket::{Address, ObjectKey};

/// The part of a ticket that a validation error refers to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Location {
    /// The ticket itself.
    Ticket,
    /// An object of the ticket.
    Object(ObjectKey),
    /// A target of a service.
    Target {
        /// The service's name.
        service: Arc<str>,
        /// The target's name.
        target: Arc<str>,
    },
}

impl Location {
    /// Returns the name of the object or target, by which it can be found in the ticket's text.
    pub fn name(&self) -> Option<&str> {
        match self {
            Location::Ticket => None,
            Location::Object(
                ObjectKey::Service(name) | ObjectKey::Zone(name) | ObjectKey::Policy(name),
            ) => Some(name),
            Location::Target { target, .. } => Some(target),
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Ticket => formatter.write_str("ticket"),
            Location::Object(object) => object.fmt(formatter),
            Location::Target { service, target } => {
                write!(formatter, "service/{service}, target {target}")
            }
        }
    }
}

/// The reason why a field does not validate.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ValidationErrorKind {
    /// The ticket sets no object.
    #[error("the ticket sets no service, zone or policy")]
    NoObjects,
    /// A list has more entries than allowed.
    #[error("{found} entries exceed the limit of {maximum}")]
    TooMany {
        /// The number of entries.
        found: usize,
        /// The largest number allowed.
        maximum: usize,
    },
    /// A required list has no entry.
    #[error("at least one entry is required")]
    EmptyList,
    /// A number is out of range.
    #[error("{found} is not between {minimum} and {maximum}")]
    OutOfRange {
        /// The value found.
        found: f64,
        /// The smallest value allowed.
        minimum: f64,
        /// The largest value allowed.
        maximum: f64,
    },
    /// A name is empty, longer than 64 bytes or has characters that are not allowed.
    #[error(
        "{0:?} is not a name: 1 to 64 letters, digits, '.', '_' or '-', the first one a letter or digit"
    )]
    InvalidName(Arc<str>),
    /// A name occurs twice.
    #[error("{0:?} occurs more than once")]
    DuplicateName(Arc<str>),
    /// A service address occurs twice.
    #[error("{} {:?} occurs more than once", .0.address, .0.protocol)]
    DuplicateAddress(Address),
    /// A target address occurs twice.
    #[error("target address {0} occurs more than once")]
    DuplicateTarget(SocketAddr),
    /// An address cannot be used for unicast traffic.
    #[error("{address} cannot be used: {reason}")]
    UnusableAddress {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be used.
        reason: &'static str,
    },
    /// A zone is not in the list of known zones.
    #[error("zone {0:?} is not a known zone")]
    UnknownZone(Arc<str>),
    /// An endpoint is not an absolute HTTP URL of at most 256 bytes.
    #[error("{0:?} is not an http URL of at most 256 bytes")]
    InvalidUrl(Arc<str>),
    /// A text field is longer than allowed.
    #[error("text of {found} bytes exceeds the limit of {maximum} bytes")]
    TooLong {
        /// The length in bytes.
        found: usize,
        /// The largest length in bytes.
        maximum: usize,
    },
}

/// The error of a ticket or item that does not validate.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{location}: field {field}: {kind}")]
pub struct ValidationError {
    /// The object or target that does not validate.
    pub location: Location,
    /// The field that does not validate.
    pub field: &'static str,
    /// What is wrong with the field.
    pub kind: ValidationErrorKind,
}
