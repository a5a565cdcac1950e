use std::{
    hash::Hasher as _,
    net::{IpAddr, SocketAddr},
};

use siphasher::sip128::{Hasher128, SipHasher13};

use crate::flow::{Fingerprint, Key, Protocol};

/// Computes the fingerprints of flows with a key that all daemons share.
#[derive(Debug, Clone)]
pub struct Hasher {
    base: SipHasher13,
}

impl Hasher {
    /// Creates a hasher from the 16-byte key of the settings.
    ///
    /// ```
    /// use banyanwharf::flow::{Hasher, Key, Protocol};
    ///
    /// let key = Key {
    ///     protocol: Protocol::Tcp,
    ///     caller: "192.0.2.7:40000".parse().unwrap(),
    ///     service: "198.51.100.1:80".parse().unwrap(),
    /// };
    /// let hasher = Hasher::new(&[7; 16]);
    /// assert_eq!(hasher.fingerprint(&key), Hasher::new(&[7; 16]).fingerprint(&key));
    /// assert_ne!(hasher.fingerprint(&key), Hasher::new(&[8; 16]).fingerprint(&key));
    /// ```
    pub fn new(key: &[u8; 16]) -> Hasher {
        Hasher { base: SipHasher13::new_with_key(key) }
    }

    /// Returns the fingerprint of the flow `key`.
    pub fn fingerprint(&self, key: &Key) -> Fingerprint {
        let mut hasher = self.base;
        let mut bytes = [0; 37];
        bytes[0] = match key.protocol {
            Protocol::Tcp => 6,
            Protocol::Udp => 17,
        };
        write_address(&mut bytes[1..19], key.caller);
        write_address(&mut bytes[19..37], key.service);
        hasher.write(&bytes);
        let hash = hasher.finish128();
        Fingerprint((u128::from(hash.h1) << 64) | u128::from(hash.h2))
    }
}

fn write_address(bytes: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
}
