use tokio::sync::oneshot;

use crate::cookie::{Cookie, Entry, Flow};

/// A query to the packet loop, with the channel for the response.
#[derive(Debug)]
pub(super) enum Command {
    /// Returns the target that served a flow last, or `None` if the flow is not known.
    LastTarget(Flow, oneshot::Sender<Option<Entry>>),
    /// Returns for each target its cookie, the number of open flows, and whether the target is
    /// silent, that is, has not answered retransmissions.
    Observations(oneshot::Sender<Vec<(Cookie, u32, bool)>>),
}
