use std::time::Duration;

use ractor::{ActorRef, Message, RpcReplyPort, rpc::CallResult};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

/// The maximum time that an actor may take to answer.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Calls an actor and returns its answer, or `None` if the actor has stopped or does not answer in
/// time.
pub(crate) async fn call_actor<M: Message, T: Send + 'static>(
    actor: &ActorRef<M>,
    request: impl FnOnce(RpcReplyPort<T>) -> M,
) -> Option<T> {
    match actor.call(request, Some(ACTOR_TIMEOUT)).await {
        Ok(CallResult::Success(answer)) => Some(answer),
        _ => None,
    }
}

/// Encodes a snapshot as JSON text, since a tree of JSON values takes more than ten times the
/// memory.
pub(crate) fn encode_json(snapshot: &impl Serialize) -> Option<Box<RawValue>> {
    to_raw_value(snapshot).ok()
}
