//! Private helpers that several modules share.

#[allow(dead_code)]
mod bucket;
mod listener;
mod score;

#[allow(unused_imports)]
pub(crate) use bucket::TokenBucket;
pub(crate) use listener::Listener;
pub(crate) use score::{hash_bytes, score};
