use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, atomic::AtomicBool},
};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::{
    load::Class,
    member::View,
    node::{packet_loop_stats::PacketLoopStats, watch_status::WatchStatus},
    route::Table,
    ticket::TargetId,
};

/// The latest values that the actors and tasks publish for each other and for the admin API.
///
/// Each value has a single writer, which replaces the whole value, so readers never block.
#[derive(Debug)]
pub(super) struct Shared {
    /// The member view, published by the actor [`Members`](super::members::Members).
    pub(super) view: ArcSwap<View>,
    /// The route table, published by the actor [`Tickets`](super::tickets::Tickets).
    pub(super) routes: ArcSwap<Table>,
    /// The zones taken out of service, published by the actor `Tickets`.
    pub(super) zones_out: ArcSwap<HashSet<Arc<str>>>,
    /// The load classes of all targets that are not normal, published by the actor
    /// [`Targets`](super::targets::Targets).
    pub(super) classes: ArcSwap<HashMap<TargetId, Class>>,
    /// The status of the ticket watch, published by [`watch::tickets`](super::watch::tickets).
    pub(super) ticket_watch: ArcSwap<WatchStatus>,
    /// Whether the daemon forwards, published by the actor
    /// [`Coordinator`](super::coordinator::Coordinator).
    pub(super) is_ready: watch::Sender<bool>,
    /// Whether the daemon is about to stop, set by [`Node::stop`](super::Node::stop).
    pub(super) is_leaving: AtomicBool,
    /// The statistics of the packet loop, published by the loop.
    pub(super) packet_loop_stats: Arc<ArcSwap<PacketLoopStats>>,
    /// Whether this daemon is a zone reader, published by the actor `Tickets`.
    pub(super) is_reader: watch::Sender<bool>,
}

impl Shared {
    /// Creates empty values.
    pub(super) fn new() -> Shared {
        Shared {
            view: ArcSwap::default(),
            routes: ArcSwap::default(),
            zones_out: ArcSwap::default(),
            classes: ArcSwap::default(),
            ticket_watch: ArcSwap::default(),
            is_ready: watch::Sender::new(false),
            is_leaving: AtomicBool::new(false),
            packet_loop_stats: Arc::default(),
            is_reader: watch::Sender::new(false),
        }
    }
}
