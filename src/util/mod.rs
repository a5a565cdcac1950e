//! Private helpers that several modules share.

#[allow(dead_code)]
mod bucket;
mod log;
mod score;

#[allow(unused_imports)]
pub(crate) use bucket::TokenBucket;
pub(crate) use log::negative_log2;
pub(crate) use score::{hash_bytes, score};
