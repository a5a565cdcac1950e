use std::{net::SocketAddr, sync::Arc};

use crate::ticket::Address;

/// A conflict between objects of the state. Each daemon resolves it in the same way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Issue {
    /// Two services claim an address; the one with the lower ticket number has it.
    #[error("service/{service}: address {} {:?} belongs to service/{owner}", address.address, address.protocol)]
    AddressConflict {
        /// The service without the address.
        service: Arc<str>,
        /// The address.
        address: Address,
        /// The service that has the address.
        owner: Arc<str>,
    },
    /// Two services claim a target address; the one with the lower ticket number has it, and
    /// the target of the other gets no packets.
    #[error("service/{service}, target {target}: address {address} belongs to service/{owner}")]
    TargetAddressConflict {
        /// The service without the address.
        service: Arc<str>,
        /// The target without the address.
        target: Arc<str>,
        /// The address.
        address: SocketAddr,
        /// The service that has the address.
        owner: Arc<str>,
    },
    /// The policy that a service names is not set; the default policy applies.
    #[error("service/{service}: policy/{policy} is not set, the default policy applies")]
    UnknownPolicy {
        /// The service.
        service: Arc<str>,
        /// The policy that is not set.
        policy: Arc<str>,
    },
}
