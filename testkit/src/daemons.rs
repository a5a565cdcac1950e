use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::util::lock;

/// The list of the daemons' data addresses to which an endpoint sends. Clones share the list.
#[derive(Debug, Clone, Default)]
pub struct Daemons(Arc<Mutex<Arc<[SocketAddr]>>>);

impl Daemons {
    /// Creates a list with the given addresses.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let daemons = Self::default();
        daemons.set(addresses);
        daemons
    }

    /// Replaces the list.
    pub fn set(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        *lock(&self.0) = addresses.into_iter().collect();
    }

    /// Returns the addresses.
    pub fn get(&self) -> Arc<[SocketAddr]> {
        lock(&self.0).clone()
    }

    /// Returns a random address, or `None` if the list is empty.
    pub(crate) fn pick(&self, random: &mut Pcg64) -> Option<SocketAddr> {
        let addresses = self.get();
        if addresses.is_empty() {
            return None;
        }
        Some(addresses[random.random_range(0..addresses.len())])
    }
}
