use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::member;

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
