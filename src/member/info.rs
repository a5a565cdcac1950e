use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{member, util};

/// What a member says about itself when it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Info {
    /// The member's unique name.
    pub name: Arc<str>,
    /// The region of the member's availability zone.
    pub region: Arc<str>,
    /// The member's availability zone.
    pub zone: Arc<str>,
    /// Where the member receives frames from other members.
    pub peer: SocketAddr,
    /// Where the member serves the admin API.
    pub admin: SocketAddr,
}

impl Info {
    /// Returns the member's id.
    pub fn id(&self) -> member::Id {
        member::id(&self.name)
    }

    /// Returns a checksum of the description, which tells whether a known one is up to date.
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

/// The state of a member as the failure detector sees it.
///
/// The order is the precedence of updates with the same incarnation: the later one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The member answers.
    Alive,
    /// The member answers and is about to stop; it is no longer an owner.
    Leaving,
    /// The member did not answer; it may refute.
    Suspect,
    /// The member did not refute in time.
    Failed,
    /// The member has stopped as planned.
    Left,
}
