//! Private helpers that several modules share.

mod bucket;
mod listener;
mod log;
mod score;

pub(crate) use bucket::TokenBucket;
pub(crate) use listener::Listener;
pub(crate) use log::negative_log2;
pub(crate) use score::{hash_bytes, score};
