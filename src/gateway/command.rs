use tokio::sync::oneshot;

use crate::cookie::{Cookie, Entry, Flow};

/// A query to the packet loop, with the channel for the response.
#[derive(Debug)]
pub(super) enum Command {
    /// Returns the target of a flow, or `None` if the flow is not in the flow table.
    LastTarget(Flow, oneshot::Sender<Option<Entry>>),
    /// Returns for each target its cookie, the number of its open flows, and whether it is silent,
    /// that is, has stopped answering its flows.
    Observations(oneshot::Sender<Vec<(Cookie, u32, bool)>>),
}
