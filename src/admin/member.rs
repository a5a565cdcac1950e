use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::member::{self, Incarnation, Status};

/// A member as the answering daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// The member's name.
    pub name: Arc<str>,
    /// The member's region.
    pub region: Arc<str>,
    /// The member's availability zone.
    pub zone: Arc<str>,
    /// The UDP address at which the member receives frames.
    pub peer: SocketAddr,
    /// The TCP address of the member's admin API.
    pub admin: SocketAddr,
    /// The member's state.
    pub state: Status,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The time since the member entered this state in seconds.
    pub since_seconds: u64,
}

impl From<&member::Member> for Member {
    fn from(member: &member::Member) -> Member {
        Member {
            name: member.info.name.clone(),
            region: member.info.region.clone(),
            zone: member.info.zone.clone(),
            peer: member.info.peer,
            admin: member.info.admin,
            state: member.status,
            incarnation: member.incarnation,
            since_seconds: member.since.elapsed().as_secs(),
        }
    }
}
