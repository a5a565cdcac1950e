pub(crate) mod fleet;
pub(crate) mod store;
pub(crate) mod world;
