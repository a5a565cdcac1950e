use std::{net::SocketAddr, sync::Arc};

use crate::ticket::Address;

/// A problem in the state that the compiler resolves, in the same way in all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Issue {
    /// Two services use an address; the one with the lower ticket number gets the address.
    #[error("service/{service}: address {} {:?} belongs to service/{owner}", address.address, address.protocol)]
    AddressConflict {
        /// The service that does not get the address.
        service: Arc<str>,
        /// The address.
        address: Address,
        /// The service that gets the address.
        owner: Arc<str>,
    },
    /// Two services use a target address; the one with the lower ticket number gets the address,
    /// and the target of the other service gets no packets.
    #[error("service/{service}, target {target}: address {address} belongs to service/{owner}")]
    TargetAddressConflict {
        /// The service that does not get the address.
        service: Arc<str>,
        /// The target that does not get the address.
        target: Arc<str>,
        /// The address.
        address: SocketAddr,
        /// The service that gets the address.
        owner: Arc<str>,
    },
    /// A service refers to a policy that no ticket has set; the default policy applies.
    #[error("service/{service}: no ticket sets policy/{policy}, so the default policy applies")]
    UnknownPolicy {
        /// The service.
        service: Arc<str>,
        /// The missing policy.
        policy: Arc<str>,
    },
}
