use crate::{
    ticket::{Item, Number},
    util,
};

/// One version of an object with the hash of its content.
#[derive(Debug, Clone)]
pub(super) struct Version {
    pub(super) item: Item,
    /// The hash of the encoded content.
    pub(super) hash: u64,
}

impl Version {
    pub(super) fn new(item: Item) -> Version {
        // Encoding into a vector cannot fail for the types that a ticket contains.
        let bytes = postcard::to_stdvec(&*item.content).unwrap_or_default();
        let hash = util::hash_bytes(&[&bytes]);
        Version { item, hash }
    }

    /// Returns the key by which versions are ordered; the highest one takes precedence. The hash
    /// only decides between two contents with the same number, so that all daemons choose the
    /// same content.
    pub(super) fn precedence(&self) -> (Number, u64) {
        (self.item.number, self.hash)
    }
}
