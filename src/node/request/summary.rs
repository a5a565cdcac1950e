use std::{collections::BTreeMap, sync::Arc};

use crate::ticket::{self, Number, ZoneState};

/// What the API shows of the tickets.
#[derive(Debug, Clone, Default)]
pub(in crate::node) struct Summary {
    /// The numbers in force and refused.
    pub(in crate::node) history: ticket::History,
    /// The hash of the state; equal in daemons with the same state.
    pub(in crate::node) digest: Arc<str>,
    /// The highest number in force.
    pub(in crate::node) highest: Option<Number>,
    /// The objects in force with the number that set each.
    pub(in crate::node) objects: Vec<(Number, Arc<str>)>,
    /// Why tickets were refused, newest last.
    pub(in crate::node) refused: Vec<(Option<Number>, Arc<str>)>,
    /// The states of the zones that tickets have set, with the numbers.
    pub(in crate::node) zones: BTreeMap<Arc<str>, (Number, ZoneState)>,
}
