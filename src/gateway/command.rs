use tokio::sync::oneshot;

use crate::cookie::{Cookie, Entry, Flow};

/// A question to the packet loop.
#[derive(Debug)]
pub(super) enum Command {
    /// Returns the target that a flow was last seen on.
    LastTarget(Flow, oneshot::Sender<Option<Entry>>),
    /// Returns the open flows of each target, and whether the target is regarded as silent.
    Observations(oneshot::Sender<Vec<(Cookie, u32, bool)>>),
}
