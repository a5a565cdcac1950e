use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::{
    http::{Reply, Server, parameter},
    util::lock,
};

/// The largest number of items in a page of a range read.
const PAGE_ITEMS: usize = 50;

/// The size of the items in bytes of JSON after which a page ends.
const PAGE_BYTES: usize = 1_000_000;

/// The header with the number of times that the store has returned from a copy.
const ERA_HEADER: &str = "store-era";

/// How a [`Store`] responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Responds as documented.
    #[default]
    Normal,
    /// Responds with status 503.
    Unavailable,
    /// Accepts requests and never responds.
    Silent,
    /// Responds this much later.
    Slow(Duration),
    /// Loses every third response. The connection returns nothing further.
    LosesResponses,
}

#[derive(Debug, Default)]
struct State {
    mode: StoreMode,
    /// The number of times that the store has returned from a copy.
    era: u64,
    revision: u64,
    items: BTreeMap<String, Value>,
    /// The keys, revisions and events of the changes since the last compaction, oldest first.
    events: Vec<(String, u64, Value)>,
    /// The revision at the last compaction. Changes up to this revision are not available.
    compacted_revision: u64,
    calls: u64,
    /// The number of range reads for each prefix.
    range_reads: BTreeMap<String, u64>,
    /// The era, the revision and the items before the last return from a copy.
    former: (u64, u64, BTreeMap<String, Value>),
    /// The changes from which the present state results, one for each revision.
    history: Vec<Change>,
    /// What stale reads show in turn; if empty, they show the latest state.
    replicas: Vec<Replica>,
    /// The number of stale reads since `replicas` was set.
    stale_reads: usize,
    /// The number of range reads for each prefix that were not stale.
    linearizable_reads: BTreeMap<String, u64>,
    /// The prefix whose watches get no response.
    silent_watch: Option<String>,
    /// The number of watches that got no response.
    silenced_watches: u64,
}

/// A change of an item.
#[derive(Debug)]
struct Change {
    at: Instant,
    key: String,
    /// The item, or `None` if it was removed.
    item: Option<Value>,
}

/// The state of the store that a stale read shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Replica {
    /// The state at this revision.
    At(u64),
    /// The state this long ago.
    Behind(Duration),
    /// The state before the last return from a copy, in its era.
    Former,
}

impl State {
    /// Returns the items at a revision.
    fn items_at(&self, revision: u64) -> BTreeMap<String, Value> {
        let mut items = BTreeMap::new();
        for Change { key, item, .. } in self.history.iter().take(revision as usize) {
            match item {
                Some(item) => items.insert(key.clone(), item.clone()),
                None => items.remove(key),
            };
        }
        items
    }

    /// Returns the era, the revision and the items that the next stale read shows.
    fn next_stale_state(&mut self) -> (u64, u64, BTreeMap<String, Value>) {
        if self.replicas.is_empty() {
            return (self.era, self.revision, self.items_at(self.revision));
        }
        let replica = self.replicas[self.stale_reads % self.replicas.len()];
        self.stale_reads += 1;
        let revision = match replica {
            Replica::At(revision) => revision,
            Replica::Behind(age) => {
                self.history.partition_point(|change| change.at.elapsed() >= age) as u64
            }
            Replica::Former => return self.former.clone(),
        };
        (self.era, revision, self.items_at(revision))
    }

    /// Returns a response that shows the present era.
    fn reply(&self, status: u16, body: Value) -> Reply {
        reply(self.era, status, body)
    }

    /// Returns to the state of the time `copied_at`, in the next era.
    fn return_from_copy(&mut self, copied_at: Instant) {
        self.former = (self.era, self.revision, self.items.clone());
        self.history.truncate(self.history.partition_point(|change| change.at <= copied_at));
        let revision = self.history.len() as u64;
        self.items = self.items_at(revision);
        self.events.retain(|(_, changed, _)| *changed <= revision);
        self.compacted_revision = self.compacted_revision.min(revision);
        self.revision = revision;
        self.era += 1;
    }

    /// Stores an item as the change at the present revision.
    fn store(&mut self, key: &str, item: Value) {
        self.items.insert(key.to_owned(), item.clone());
        self.record_change(key, Some(item.clone()));
        self.events.push((key.to_owned(), self.revision, item));
    }

    fn record_change(&mut self, key: &str, item: Option<Value>) {
        self.history.push(Change { at: Instant::now(), key: key.to_owned(), item });
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
    /// How long the waiting watches get nothing before they are cut, when they are.
    cuts: watch::Sender<Duration>,
}

/// A further address of a [`Store`], which can refuse calls by itself.
#[derive(Debug)]
pub struct Gate {
    server: Server,
    refusal: Arc<Mutex<Option<u16>>>,
}

impl Gate {
    /// Returns the address of the gate.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Responds with this status to all calls, or lets the store respond if `None`.
    pub fn refuse(&self, status: Option<u16>) {
        *lock(&self.refusal) = status;
    }
}

/// A test double for the store of the users' platform. It has the calls that daemons use.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub fn start() -> io::Result<Self> {
        let changed = watch::Sender::new(());
        let cuts = watch::Sender::new(Duration::ZERO);
        let shared = Arc::new(Shared { state: Mutex::default(), changed, cuts });
        let handler = shared.clone();
        let server = Server::start((Ipv4Addr::LOCALHOST, 0).into(), move |uri| {
            handle(handler.clone(), uri)
        })?;
        Ok(Self { shared, server })
    }

    /// Opens a gate on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub fn open_gate(&self) -> io::Result<Gate> {
        let (shared, refusal) = (self.shared.clone(), Arc::<Mutex<Option<u16>>>::default());
        let status = refusal.clone();
        let server = Server::start((Ipv4Addr::LOCALHOST, 0).into(), move |uri| {
            let (shared, status) = (shared.clone(), status.clone());
            async move {
                if let Some(status) = *lock(&status) {
                    return Reply::Json(status, json!({ "error": "refused" }));
                }
                handle(shared, uri).await
            }
        })?;
        Ok(Gate { server, refusal })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the base URL, without a slash at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Creates or replaces an item.
    pub fn put(&self, key: &str, content: &[u8]) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let revision = state.revision;
        let created =
            state.items.get(key).map_or(json!(revision), |item| item["createdRev"].clone());
        let value = BASE64_STANDARD.encode(content);
        let item = json!({
            "key": key, "value": value, "rev": revision, "createdRev": created, "lease": 0,
        });
        state.store(key, item);
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Creates or replaces an item whose JSON in responses is `frame`, whatever it is.
    pub fn put_frame(&self, key: &str, frame: Value) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        state.store(key, frame);
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = lock(&self.shared.state);
        state.revision += 1;
        let event = json!({ "key": key, "rev": state.revision, "deleted": true });
        state.items.remove(key);
        state.record_change(key, None);
        let revision = state.revision;
        state.events.push((key.to_owned(), revision, event));
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Drops the history of changes, so that a watch from an older revision gets status 410.
    pub fn compact(&self) {
        let mut state = lock(&self.shared.state);
        state.compacted_revision = state.revision;
        state.events.clear();
    }

    /// Drops the history of changes. The waiting watches get nothing for `silence` and are then cut.
    pub fn compact_and_cut_watches(&self, silence: Duration) {
        self.compact();
        self.shared.cuts.send_replace(silence);
    }

    /// Refuses calls for `outage` and returns to the state of `age` before, in the next era. Writes
    /// since then are lost, also those during the outage.
    pub async fn return_from_copy(&self, age: Duration, outage: Duration) {
        let now = Instant::now();
        let copied_at = now.checked_sub(age).unwrap_or(now);
        let former = std::mem::replace(&mut lock(&self.shared.state).mode, StoreMode::Unavailable);
        self.shared.cuts.send_replace(Duration::ZERO);
        tokio::time::sleep(outage).await;
        let mut state = lock(&self.shared.state);
        state.return_from_copy(copied_at);
        if state.mode == StoreMode::Unavailable {
            state.mode = former;
        }
    }

    /// Returns the number of times that the store has returned from a copy.
    pub fn era(&self) -> u64 {
        lock(&self.shared.state).era
    }

    /// Returns the content of an item.
    pub fn content(&self, key: &str) -> Option<Vec<u8>> {
        let value = lock(&self.shared.state).items.get(key)?["value"].as_str()?.to_owned();
        BASE64_STANDARD.decode(value).ok()
    }

    /// Sets the replicas that answer stale reads in turn, one for each page.
    pub fn set_replicas(&self, replicas: &[Replica]) {
        let mut state = lock(&self.shared.state);
        state.replicas = replicas.to_vec();
        state.stale_reads = 0;
    }

    /// Lets watches of this prefix get no response.
    pub fn silence_watch(&self, prefix: &str) {
        lock(&self.shared.state).silent_watch = Some(prefix.to_owned());
    }

    /// Lets new watches get responses again. Those that already wait get none.
    pub fn end_silence(&self) {
        lock(&self.shared.state).silent_watch = None;
    }

    /// Returns the number of watches that got no response.
    pub fn silenced_watches(&self) -> u64 {
        lock(&self.shared.state).silenced_watches
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        lock(&self.shared.state).revision
    }

    /// Sets how the store responds.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.shared.state).mode = mode;
    }

    /// Returns the number of range reads with this prefix.
    pub fn range_reads(&self, prefix: &str) -> u64 {
        lock(&self.shared.state).range_reads.get(prefix).copied().unwrap_or(0)
    }

    /// Returns the number of range reads with this prefix that were not stale.
    pub fn linearizable_reads(&self, prefix: &str) -> u64 {
        lock(&self.shared.state).linearizable_reads.get(prefix).copied().unwrap_or(0)
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.state).calls
    }
}

async fn handle(shared: Arc<Shared>, uri: String) -> Reply {
    let (mode, call) = {
        let mut state = lock(&shared.state);
        state.calls += 1;
        (state.mode, state.calls)
    };
    match mode {
        StoreMode::Normal | StoreMode::LosesResponses => {}
        StoreMode::Unavailable => {
            return lock(&shared.state).reply(503, json!({ "error": "unavailable" }));
        }
        StoreMode::Silent => std::future::pending().await,
        StoreMode::Slow(delay) => tokio::time::sleep(delay).await,
    }
    let reply = respond(&shared, &uri).await;
    if lock(&shared.state).mode == StoreMode::LosesResponses && call % 3 == 0 {
        std::future::pending().await
    }
    reply
}

async fn respond(shared: &Shared, uri: &str) -> Reply {
    let prefix = text_parameter(uri, "prefix").unwrap_or_default();
    if uri.starts_with("/banyanwharf/kv-range?") {
        let is_stale = parameter(uri, "allowStale") == Some(1);
        range(shared, &prefix, text_parameter(uri, "after").as_deref(), is_stale)
    } else if uri.starts_with("/banyanwharf/kv-watch?") {
        watch(shared, &prefix, uri).await
    } else {
        lock(&shared.state).reply(404, json!({ "error": "not found" }))
    }
}

fn range(shared: &Shared, prefix: &str, after: Option<&str>, is_stale: bool) -> Reply {
    let mut state = lock(&shared.state);
    *state.range_reads.entry(prefix.to_owned()).or_default() += 1;
    let (era, revision, items) = if is_stale {
        state.next_stale_state()
    } else {
        *state.linearizable_reads.entry(prefix.to_owned()).or_default() += 1;
        (state.era, state.revision, state.items.clone())
    };
    let all: Vec<&Value> = items
        .iter()
        .filter(|(key, _)| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        })
        .map(|(_, item)| item)
        .collect();
    let mut bytes = 0;
    let is_on_page = |item: &&&Value| {
        let has_room = bytes < PAGE_BYTES;
        bytes += item.to_string().len();
        has_room
    };
    let page: Vec<&Value> = all.iter().take(PAGE_ITEMS).take_while(is_on_page).copied().collect();
    let has_more = all.len() > page.len();
    reply(era, 200, json!({ "items": page, "hasMore": has_more, "storeRevision": revision }))
}

/// Returns a response that shows this era.
fn reply(era: u64, status: u16, body: Value) -> Reply {
    Reply::JsonWithHeader(status, body, ERA_HEADER, era)
}

async fn watch(shared: &Shared, prefix: &str, uri: &str) -> Reply {
    let is_silent = {
        let mut state = lock(&shared.state);
        let is_silent = state.silent_watch.as_deref() == Some(prefix);
        state.silenced_watches += u64::from(is_silent);
        is_silent
    };
    if is_silent {
        std::future::pending().await
    }
    let after = parameter(uri, "after").unwrap_or(0);
    let wait = Duration::from_millis(parameter(uri, "waitMs").unwrap_or(0));
    let (mut changed, mut cuts) = (shared.changed.subscribe(), shared.cuts.subscribe());
    let found = async {
        loop {
            changed.mark_unchanged();
            let reply = events(shared, prefix, after);
            if matches!(&reply, Reply::JsonWithHeader(200, body, ..) if body["events"] == json!([]))
            {
                // An error is not possible: the sender lives as long as the server.
                let _ = changed.changed().await;
            } else {
                return reply;
            }
        }
    };
    tokio::select! {
        found = tokio::time::timeout(wait, found) => {
            found.unwrap_or_else(|_| events(shared, prefix, after))
        }
        // An error is not possible: the sender lives as long as the server.
        _ = cuts.changed() => {
            let silence = *cuts.borrow();
            tokio::time::sleep(silence).await;
            Reply::Close
        }
    }
}

fn events(shared: &Shared, prefix: &str, after: u64) -> Reply {
    let state = lock(&shared.state);
    if after < state.compacted_revision || after > state.revision {
        return state.reply(410, json!({ "error": "history is gone" }));
    }
    let wanted = state
        .events
        .iter()
        .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix));
    let events: Vec<&Value> = wanted.map(|(_, _, event)| event).collect();
    state.reply(200, json!({ "events": events, "storeRevision": state.revision }))
}

/// Returns the value of a query parameter. Slashes are the only escaped characters that are
/// decoded.
fn text_parameter(uri: &str, name: &str) -> Option<String> {
    let (_, query) = uri.split_once('?')?;
    let pair = query.split('&').filter_map(|pair| pair.split_once('='));
    pair.filter(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/")).next()
}
