use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    http::{Reply, Server, parameter},
    util::lock,
};

/// The size limit of a response as specified in `docs/platform.md`.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// An entry of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// The daemon's address for frames of other daemons.
    pub peer: SocketAddr,
    /// The address of the daemon's admin API.
    pub admin: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// How the platform responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Responds as documented.
    #[default]
    Normal,
    /// Responds with status 503.
    Unavailable,
    /// Closes every connection without a response.
    Unreachable,
    /// Responds with the content of the time when the mode was set.
    Stale,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    delay: Duration,
    calls_per_second_limit: Option<u64>,
    tickets: Vec<Value>,
    vms: Vec<Vm>,
    vms_index: u64,
    /// The number of tickets, the VMs and their index when the mode was last set. The platform
    /// responds with them in the mode `Stale`.
    snapshot: (usize, Vec<Vm>, u64),
    calls: Calls,
}

#[derive(Debug, Default)]
struct Calls {
    total: u64,
    peak_per_second: u64,
    current_second: Option<(Instant, u64)>,
}

impl Calls {
    /// Counts a call and returns the number of calls in the current second, this call included.
    fn count(&mut self, now: Instant) -> u64 {
        self.total += 1;
        let (start, count) = match self.current_second {
            Some((start, count)) if now.duration_since(start) < Duration::from_secs(1) => {
                (start, count + 1)
            }
            _ => (now, 1),
        };
        self.current_second = Some((start, count));
        self.peak_per_second = self.peak_per_second.max(count);
        count
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

/// A test double for the configuration service. It implements `docs/platform.md`.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared { state: Mutex::default(), changed: watch::Sender::new(()) });
        let handler = shared.clone();
        let server = Server::start((Ipv4Addr::LOCALHOST, 0).into(), move |uri| {
            handle(handler.clone(), uri)
        })?;
        Ok(Self { shared, server })
    }

    /// Returns the base URL, without a slash at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Publishes a ticket without validating it and returns the index that follows the ticket.
    ///
    /// # Panics
    ///
    /// Panics if the ticket cannot be represented in JSON.
    pub fn publish(&self, ticket: &impl Serialize) -> u64 {
        let ticket = serde_json::to_value(ticket).expect("a ticket is representable in JSON");
        self.change(|state| {
            state.tickets.push(ticket);
            state.tickets.len() as u64
        })
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.change(|state| {
            state.vms = vms;
            state.vms_index += 1;
        });
    }

    /// Sets how the platform responds. Pending watches are evaluated again in the new mode.
    pub fn set_mode(&self, mode: Mode) {
        self.change(|state| {
            state.snapshot = (state.tickets.len(), state.vms.clone(), state.vms_index);
            state.mode = mode;
        });
    }

    /// Sets the time by which each response is delayed.
    pub fn set_delay(&self, delay: Duration) {
        self.change(|state| state.delay = delay);
    }

    /// Limits the calls per second. The platform responds to further calls with status 429.
    pub fn set_limit(&self, limit: Option<u64>) {
        self.change(|state| state.calls_per_second_limit = limit);
    }

    /// Returns the number of calls since the start. A watch counts as one call.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls.total
    }

    /// Returns the highest number of calls in one second.
    pub fn peak_calls_per_second(&self) -> u64 {
        lock(&self.shared.state).calls.peak_per_second
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut lock(&self.shared.state));
        self.shared.changed.send_replace(());
        result
    }
}

async fn handle(shared: Arc<Shared>, uri: String) -> Reply {
    let mut changed = shared.changed.subscribe();
    let (delay, is_over_limit) = {
        let mut state = lock(&shared.state);
        let count = state.calls.count(Instant::now());
        (state.delay, state.calls_per_second_limit.is_some_and(|limit| count > limit))
    };
    tokio::time::sleep(delay).await;
    if is_over_limit {
        return Reply::Json(429, Value::Null);
    }
    let wait = Duration::from_millis(parameter(&uri, "wait_ms").unwrap_or(0));
    let deadline = tokio::time::sleep(wait);
    tokio::pin!(deadline);
    loop {
        changed.borrow_and_update();
        let (reply, is_final) = respond(&lock(&shared.state), &uri);
        if is_final {
            return reply;
        }
        tokio::select! {
            () = &mut deadline => return reply,
            result = changed.changed() => if result.is_err() { return Reply::Close },
        }
    }
}

/// Returns the response, and whether it is sent at once. Otherwise it is sent at the end of the
/// watch, unless a change comes first.
fn respond(state: &State, uri: &str) -> (Reply, bool) {
    match state.mode {
        Mode::Unavailable => return (Reply::Json(503, Value::Null), true),
        Mode::Unreachable => return (Reply::Close, true),
        Mode::Normal | Mode::Stale => {}
    }
    let stale = state.mode == Mode::Stale;
    let index = parameter(uri, "index").unwrap_or(0);
    if uri.starts_with("/v1/tickets") {
        let count = if stale { state.snapshot.0 } else { state.tickets.len() };
        return respond_tickets(&state.tickets[..count], index);
    }
    if !uri.starts_with("/v1/vms") {
        return (Reply::Json(404, Value::Null), true);
    }
    let (vms, current_index) =
        if stale { (&state.snapshot.1, state.snapshot.2) } else { (&state.vms, state.vms_index) };
    if index > current_index {
        return (Reply::Json(410, Value::Null), true);
    }
    (Reply::Json(200, json!({"index": current_index, "vms": vms})), index < current_index)
}

fn respond_tickets(tickets: &[Value], index: u64) -> (Reply, bool) {
    let Some(rest) = tickets.get(index as usize..) else {
        return (Reply::Json(410, Value::Null), true);
    };
    let mut size = 0;
    let page: Vec<&Value> = rest
        .iter()
        .take_while(|ticket| {
            size += ticket.to_string().len() + 1;
            size <= MAX_RESPONSE_BYTES - 128
        })
        .collect();
    let body = json!({
        "index": index + page.len() as u64,
        "tickets": page,
        "more": page.len() < rest.len(),
    });
    (Reply::Json(200, body), !rest.is_empty())
}
