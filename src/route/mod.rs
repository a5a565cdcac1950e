//! Lookup tables that the packet path uses, compiled from the ticket state.
//!
//! The ticket state is made for merging; the packet path needs lookups by address
//! that take no lock and follow no names. A new table is built on each change and
//! handed to the packet path whole.

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

/// The index of a service in a [`Table`]; it is only valid for that table.
pub type ServiceIndex = u32;
