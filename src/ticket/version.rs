use crate::{
    ticket::{Item, Number},
    util,
};

/// One version of an object.
#[derive(Debug, Clone)]
pub(super) struct Version {
    pub(super) item: Item,
    /// The hash of the encoded content.
    pub(super) hash: u64,
}

impl Version {
    pub(super) fn new(item: Item) -> Version {
        // Encoding into a vector fails for no type of a ticket.
        let bytes = postcard::to_stdvec(&*item.content).unwrap_or_default();
        let hash = util::hash_bytes(&[&bytes]);
        Version { item, hash }
    }

    /// The order in which versions win. The hash only decides between two contents under one
    /// number, so that all daemons choose the same one.
    pub(super) fn precedence(&self) -> (Number, u64) {
        (self.item.number, self.hash)
    }
}
