use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, TargetNumber};

/// Whether a target accepts new flows, according to its store entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// The target accepts new flows.
    Ready,
    /// The target accepts no new flows, serves its open flows and is about to stop.
    Draining,
}

/// A target, as it describes itself in its store entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The target's id.
    pub name: Arc<str>,
    /// The number that datagrams to the target carry.
    pub number: TargetNumber,
    /// Distinguishes the starts of targets with the same id or address, and orders them by the clock of
    /// the target.
    pub born: u64,
    /// The service that the target provides.
    pub service: Arc<str>,
    /// The address at which the target receives datagrams.
    pub address: SocketAddrV4,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// The number of requests that the target serves concurrently.
    pub slots: u32,
    /// Whether the target accepts new flows.
    pub availability: Availability,
    /// How much longer the target was cold when it wrote the entry.
    pub cold_for: Duration,
    /// The revision of the store entry.
    pub revision: Revision,
}

/// Whether the store contains the entry of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// The entry exists.
    Present,
    /// What the store contains in place of the entry cannot be decoded. The target gets no new flows,
    /// but this does not prove that it has ended.
    Unreadable,
    /// The entry is missing, but this does not prove that the target has ended: the entry
    /// disappeared around an outage of the store, and the target may still be running.
    Lapsed,
    /// The target has ended.
    Gone,
}
