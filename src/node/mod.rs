//! The actors, sockets and the packet loop of a daemon.

mod inbox;
mod outbox;
