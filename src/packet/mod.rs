//! Parsing and building of the IP packets that the daemon carries.
