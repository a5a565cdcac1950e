//! The platform's store: items with revisions, read by HTTP.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    json: Arc<str>,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The events in the order of their revisions, each with its key.
    events: Vec<(u64, String, Arc<str>)>,
}

pub struct Store {
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let store = Arc::new(Store { address, state: Mutex::default(), changed: Condvar::new() });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item and returns the revision. The return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let json: Arc<str> = format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{revision},\"createdRev\":{created},\"lease\":0}}",
            base64(value)
        )
        .into();
        let item = Item { value: value.to_vec(), json: json.clone(), created };
        state.items.insert(key.to_owned(), item);
        state.events.push((revision, key.to_owned(), json));
        self.changed.notify_all();
        revision
    }

    /// Returns whether the item has this value.
    pub fn holds(&self, key: &str, value: &[u8]) -> bool {
        self.state.lock().unwrap().items.get(key).is_some_and(|item| item.value == value)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if input.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (status, body) = self.answer(&target);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if output
                .write_all(head.as_bytes())
                .and_then(|()| output.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')).map(decode)
        };
        let prefix = parameter("prefix").unwrap_or_default();
        match path {
            "/banyanwharf/kv-range" => ("200 OK", self.range(&prefix, parameter("after"))),
            "/banyanwharf/kv-watch" => {
                let number = |name| parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                ("200 OK", self.watch(&prefix, number("after"), number("waitMs").min(30_000)))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> String {
        let state = self.state.lock().unwrap();
        let is_listed = |key: &String| {
            key.starts_with(prefix) && after.as_ref().is_none_or(|after| key > after)
        };
        let listed: Vec<&Item> =
            state.items.iter().filter(|(key, _)| is_listed(key)).map(|(_, item)| item).collect();
        let mut page: Vec<&str> = Vec::new();
        let mut bytes = 0;
        for item in &listed {
            if page.len() >= PAGE_ITEMS
                || (!page.is_empty() && bytes + item.json.len() > PAGE_BYTES)
            {
                break;
            }
            bytes += item.json.len();
            page.push(&item.json);
        }
        format!(
            "{{\"items\":[{}],\"hasMore\":{},\"storeRevision\":{}}}",
            page.join(","),
            page.len() < listed.len(),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, json)| &**json)
                .collect();
            let rest = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || rest.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = self.changed.wait_timeout(state, rest).unwrap().0;
        }
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        match (first, tail) {
            (b'%', [high, low, after @ ..]) => {
                let digits = [*high, *low];
                let digits = std::str::from_utf8(&digits).unwrap_or("3f");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                rest = after;
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
