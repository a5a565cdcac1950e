use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::record::Random;

const PAGE_ITEMS: usize = 50;

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
}

struct Change {
    at: Instant,
    rev: u64,
    key: String,
    /// The item as written, or `None` if it was deleted.
    item: Option<Item>,
}

struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    is_silent: bool,
    /// Counts the outages, so that calls that waited when one began get no answer.
    outages: u64,
    /// How old the answers to stale reads are; each comes from any of the replicas.
    stale_lags: Vec<Duration>,
    random: Random,
}

/// The platform's store, as far as daemons and backends use it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(stale_lags: &[Duration]) -> Result<Store, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = State {
            rev: 1,
            items: BTreeMap::new(),
            changes: Vec::new(),
            is_silent: false,
            outages: 0,
            stale_lags: stale_lags.to_vec(),
            random: Random::new(u64::from(std::process::id())),
        };
        let store = Store { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item. Returns the time of the acknowledgement, or `None` if the store is silent.
    pub fn put(&self, key: &str, value: &str) -> Option<Instant> {
        self.change(key, Some(value))
    }

    pub fn remove(&self, key: &str) -> Option<Instant> {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<&str>) -> Option<Instant> {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_silent {
            return None;
        }
        let state = &mut *state;
        state.rev += 1;
        let rev = state.rev;
        let item = value.map(|value| {
            let created = state.items.get(key).map_or(rev, |item| item.created);
            Item { value: value.as_bytes().to_vec(), rev, created }
        });
        match &item {
            Some(item) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        let at = Instant::now();
        state.changes.push(Change { at, rev, key: key.to_owned(), item });
        self.shared.1.notify_all();
        Some(at)
    }

    /// Begins or ends an outage, in which the store answers nothing.
    pub fn set_silent(&self, is_silent: bool) {
        let mut state = self.shared.0.lock().unwrap();
        state.is_silent = is_silent;
        state.outages += u64::from(is_silent);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer: Vec<u8> = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                    break end + 4;
                }
                match stream.read(&mut chunk) {
                    Ok(0) | Err(_) => return,
                    Ok(count) => buffer.extend(&chunk[..count]),
                }
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end);
            let uri = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let outages = {
                let state = self.shared.0.lock().unwrap();
                if state.is_silent { None } else { Some(state.outages) }
            };
            let answer = outages.and_then(|outages| {
                let (status, body) = self.answer(&uri);
                thread::sleep(ANSWER_TIME);
                let state = self.shared.0.lock().unwrap();
                (state.outages == outages && !state.is_silent).then_some((status, body))
            });
            let Some((status, body)) = answer else {
                // A connection on which a response is lost returns nothing further.
                while stream.read(&mut chunk).is_ok_and(|count| count > 0) {}
                return;
            };
            let response = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, uri: &str) -> (&'static str, String) {
        let (path, query) = uri.split_once('?').unwrap_or((uri, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/")).next()
        };
        let prefix = parameter("prefix").unwrap_or_default();
        match path {
            "/banyanwharf/kv-range" => {
                let is_stale = parameter("allowStale").as_deref() == Some("1");
                ("200 OK", self.range(&prefix, &parameter("after").unwrap_or_default(), is_stale))
            }
            "/banyanwharf/kv-watch" => {
                let number = |name| parameter(name).and_then(|value| value.parse().ok());
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                ("200 OK", self.watch(&prefix, number("after").unwrap_or(0), wait))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> String {
        let mut state = self.shared.0.lock().unwrap();
        let state = &mut *state;
        let (items, rev) = match is_stale {
            false => (state.items.clone(), state.rev),
            true => {
                let replica = state.random.below(state.stale_lags.len() as u64) as usize;
                let cutoff = Instant::now().checked_sub(state.stale_lags[replica]);
                let seen = |change: &&Change| cutoff.is_some_and(|cutoff| change.at <= cutoff);
                let mut items = BTreeMap::new();
                let mut rev = 1;
                for change in state.changes.iter().filter(seen) {
                    rev = change.rev;
                    match &change.item {
                        Some(item) => items.insert(change.key.clone(), item.clone()),
                        None => items.remove(&change.key),
                    };
                }
                (items, rev)
            }
        };
        let found: Vec<(&String, &Item)> = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let page: Vec<String> =
            found.iter().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        let has_more = found.len() > PAGE_ITEMS;
        let page = page.join(",");
        format!("{{\"items\":[{page}],\"hasMore\":{has_more},\"storeRevision\":{rev}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        let outages = state.outages;
        loop {
            let found = state
                .changes
                .iter()
                .filter(|change| change.rev > after && change.key.starts_with(prefix));
            let events: Vec<String> = found
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}",
                        change.key, change.rev
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline || state.outages != outages {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"storeRevision\":{}}}", state.rev);
            }
            state = self.shared.1.wait_timeout(state, deadline - now).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let (value, rev, created) = (base64(&item.value), item.rev, item.created);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"createdRev\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
