//! Lookup tables for the packet path, compiled from the ticket state.
//!
//! The ticket state is organised for merging, with objects that refer to each other by name. The
//! packet path needs lookups by address, without locks and without resolving names. Each change
//! of the state therefore builds a new immutable table, which replaces the old one.

mod compiler;
mod generation;
mod issue;
mod service;
mod table;
mod target;

pub use compiler::{Compilation, Compiler, QUARANTINE_PERIOD, Quarantine};
pub use generation::Generation;
pub use issue::Issue;
pub use service::Service;
pub use table::Table;
pub use target::Target;

/// The index of a service in a [`Table`]. An index is not valid for any other table.
pub type ServiceIndex = u32;
