//! Internal helpers that several modules share.

mod bind_error;
mod listener;
mod log2;
pub(crate) mod receive_batch;
mod score;
mod send_batch;
mod token_bucket;

pub use bind_error::BindError;
pub(crate) use listener::Listener;
pub(crate) use log2::negative_log2;
pub(crate) use receive_batch::ReceiveBatch;
pub(crate) use score::{hash_bytes, score};
pub(crate) use send_batch::SendBatch;
pub(crate) use token_bucket::TokenBucket;
