//! The actors, sockets and the packet loop of a daemon.
