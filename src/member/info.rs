use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{member, util};

/// A member's description of itself, which does not change while the member runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Info {
    /// The member's unique name.
    pub name: Arc<str>,
    /// The region of the member's availability zone.
    pub region: Arc<str>,
    /// The member's availability zone.
    pub zone: Arc<str>,
    /// The address at which the member receives frames from other members.
    pub peer: SocketAddr,
    /// The address at which the member serves the admin API.
    pub admin: SocketAddr,
}

impl Info {
    /// Returns the member's id, the hash of its name.
    pub fn id(&self) -> member::Id {
        member::id(&self.name)
    }

    /// Returns a checksum of the description.
    ///
    /// Updates carry the checksum, so that a receiver can tell whether the description that the
    /// receiver has is up to date.
    pub fn checksum(&self) -> u16 {
        let octets = |address: SocketAddr| match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        };
        let hash = util::hash_bytes(&[
            self.name.as_bytes(),
            self.region.as_bytes(),
            self.zone.as_bytes(),
            &octets(self.peer),
            &self.peer.port().to_le_bytes(),
            &octets(self.admin),
            &self.admin.port().to_le_bytes(),
        ]);
        hash as u16
    }
}

/// The status of a member according to the failure detector.
///
/// Of two updates with the same incarnation, the one with the later variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The member answers pings.
    Alive,
    /// The member answers pings and is about to stop. It owns no hash slots unless no other
    /// member can.
    Leaving,
    /// The member did not answer a ping and may refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion before its timeout.
    Failed,
    /// The member announced that it has stopped.
    Left,
}
