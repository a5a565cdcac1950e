//! The platform's store: items under keys, with a revision counter, ranges and watches over HTTP.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// How long the store keeps changes for watches.
const HISTORY: Duration = Duration::from_secs(20);

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Debug, Clone)]
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// The item as it was written; `None` if it was deleted.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    /// The revision up to which the history is no longer available.
    forgotten: u64,
}

/// A handle of the store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Serves a store with a first item at `address`.
    pub fn serve(listener: TcpListener) -> Store {
        let address = listener.local_addr().expect("the listener has an address");
        let state = State { revision: 100, forgotten: 100, ..State::default() };
        let store = Store { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        store
    }

    /// Writes an item and returns its revision, which acknowledges the write.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(value))
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    /// Returns the text of an item.
    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    fn change(&self, key: &str, value: Option<&str>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let item = value.map(|value| Item {
            value: value.as_bytes().to_vec(),
            revision,
            created: state.items.get(key).map_or(revision, |item| item.created),
        });
        match &item {
            Some(item) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        let now = Instant::now();
        state.history.push(Change { at: now, revision, key: key.to_owned(), item });
        let old = state.history.iter().take_while(|change| now - change.at > HISTORY).count();
        let last = state.history.drain(..old).next_back();
        state.forgotten = last.map_or(state.forgotten, |change| change.revision);
        changed.notify_all();
        revision
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&target);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, unescape(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/banyanwharf/kv-range" => ("200 OK", self.range(&text("prefix"), &text("after"))),
            "/banyanwharf/kv-watch" => {
                let wait = Duration::from_millis(number("waitMs").min(30_000));
                match self.watch(&text("prefix"), number("after"), wait) {
                    Some(body) => ("200 OK", body),
                    None => ("410 Gone", "{\"error\":\"history is gone\"}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{\"error\":\"unknown\"}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| encode(key, item)).collect();
        let revision = state.revision;
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{revision}}}",
            items.join(",")
        )
    }

    /// Returns the changes after a revision, or `None` if the history is no longer available.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<String> {
        let (state, changed) = &*self.shared;
        let deadline = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            if after < state.forgotten {
                return None;
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(prefix))
                .map(|change| match &change.item {
                    Some(item) => encode(&change.key, item),
                    None => format!(
                        "{{\"key\":\"{}\",\"rev\":{},\"deleted\":true}}",
                        change.key, change.revision
                    ),
                })
                .collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let revision = state.revision;
                return Some(format!(
                    "{{\"events\":[{}],\"storeRevision\":{revision}}}",
                    events.join(",")
                ));
            }
            state = changed.wait_timeout(state, remaining).unwrap().0;
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    let Item { value, revision, created } = item;
    let value = base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{revision},\"createdRev\":{created},\"lease\":0}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = [0, 1, 2].map(|index| u32::from(*chunk.get(index).unwrap_or(&0)));
        let word = word[0] << 16 | word[1] << 8 | word[2];
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match (first, digits.and_then(|digits| u8::from_str_radix(digits, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => {
                bytes.push(b' ');
                rest = tail;
            }
            (byte, _) => {
                bytes.push(*byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
