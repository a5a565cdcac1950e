use std::{collections::BTreeMap, sync::Arc};

use crate::ticket::{self, Number, ZoneState};

/// The tickets and the ticket state as the admin API shows them.
#[derive(Debug, Clone, Default)]
pub(in crate::node) struct Summary {
    /// The numbers of the applied and the refused tickets.
    pub(in crate::node) history: ticket::History,
    /// The digest of the ticket state, which is equal in daemons with the same state.
    pub(in crate::node) digest: Arc<str>,
    /// The highest number of an applied ticket.
    pub(in crate::node) highest: Option<Number>,
    /// The objects in force, each with the number of the ticket that set it.
    pub(in crate::node) objects: Vec<(Number, Arc<str>)>,
    /// The refused tickets with the reasons, newest last.
    pub(in crate::node) refused: Vec<(Option<Number>, Arc<str>)>,
    /// The zone states that tickets have set, with the ticket numbers.
    pub(in crate::node) zones: BTreeMap<Arc<str>, (Number, ZoneState)>,
}
