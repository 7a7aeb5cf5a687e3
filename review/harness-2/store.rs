//! Stand-in of the platform's metadata store, as the page on the protocol describes it.

use crate::{json::Json, wire};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Bytes of events from which on an answer to a watch takes no more; the next watch goes on after them.
const WATCH_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: BTreeMap<u64, u64>,
}

impl State {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_vec(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
        revision
    }

    fn remove(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Event {
                key: key.to_owned(),
                revision,
                item: None,
            });
        }
        self.revision
    }
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Store {
            address: listener.local_addr().expect("the store's address"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let (state, changed) = &*self.shared;
        let revision = state.lock().unwrap().put(key, value.as_bytes(), 0);
        changed.notify_all();
        revision
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().remove(key);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = wire::read_head(&mut reader) {
            let Ok(body) = wire::read_body(&mut reader, &head) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &wire::Head, body: &str) -> (u16, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        match (head.method(), path) {
            ("GET", "/v1/kv-key") => self.key(&parameter(query, "key")),
            ("GET", "/v1/kv-range") => {
                self.range(&parameter(query, "prefix"), &parameter(query, "after"))
            }
            ("GET", "/v1/kv-watch") => {
                let after = parameter(query, "after").parse().unwrap_or(0);
                let wait = parameter(query, "waitMs").parse().unwrap_or(0);
                self.watch(&parameter(query, "prefix"), after, wait)
            }
            ("POST", "/v1/kv-txn") => self.transaction(body),
            ("POST", "/v1/kv-lease") => {
                let ttl = Json::parse(body).and_then(|json| json.field("ttlMs")?.number());
                let ttl = ttl.unwrap_or(1000);
                let mut state = self.shared.0.lock().unwrap();
                let lease = 77_000 + state.leases.len() as u64;
                state.leases.insert(lease, ttl);
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let state = self.shared.0.lock().unwrap();
                match lease.and_then(|id: u64| state.leases.get(&id)) {
                    Some(ttl) => (200, format!("{{\"ttlMs\":{ttl}}}")),
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = item_text(key, item);
                let at = state.revision;
                (200, format!("{},\"at\":{at}}}", text.trim_end_matches('}')))
            }
            None => (404, format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let entries: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
        let has_more = entries.len() > 500;
        let page = &entries[..entries.len().min(500)];
        let text = format!(
            "{{\"entries\":[{}],\"hasMore\":{has_more},\"at\":{}}}",
            page.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let (state, changed) = &*self.shared;
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = state.lock().unwrap();
        loop {
            let first = state
                .history
                .partition_point(|event| event.revision <= after);
            let events = state.history[first..].iter();
            let mut texts: Vec<String> = Vec::new();
            let (mut bytes, mut at) = (0, state.revision);
            for event in events.filter(|event| event.key.starts_with(prefix)) {
                if bytes >= WATCH_BYTES {
                    break;
                }
                let text = match &event.item {
                    Some(item) => item_text(&event.key, item),
                    None => format!(
                        "{{\"key\":{:?},\"revision\":{},\"deleted\":true}}",
                        event.key, event.revision
                    ),
                };
                bytes += text.len();
                at = event.revision;
                texts.push(text);
            }
            if bytes < WATCH_BYTES {
                at = state.revision;
            }
            let events = texts;
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                return (200, text);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &str) -> (u16, String) {
        let Some(json) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let rows = |name: &str| {
            json.field(name)
                .map_or(Vec::new(), |rows| rows.list().to_vec())
        };
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let conditions = rows("precondition");
        let holds = conditions.iter().all(|row| {
            let key = row.field("key").and_then(Json::text).unwrap_or("");
            let revision = row.field("revision").and_then(Json::number).unwrap_or(0);
            state.items.get(key).map_or(0, |item| item.revision) == revision
        });
        if !holds {
            let current = conditions.iter().filter_map(|row| {
                let key = row.field("key")?.text()?;
                Some(item_text(key, state.items.get(key)?))
            });
            let current: Vec<String> = current.collect();
            return (412, format!("{{\"entries\":[{}]}}", current.join(",")));
        }
        for write in rows("write") {
            let key = write.field("key").and_then(Json::text).unwrap_or("");
            let value = write.field("value").and_then(Json::text).unwrap_or("");
            let lease = write.field("lease").and_then(Json::number).unwrap_or(0);
            if lease > 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            state.put(key, &decode(value), lease);
        }
        for key in rows("remove") {
            state.remove(key.text().unwrap_or(""));
        }
        let revision = state.revision;
        changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{key:?},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    let Some((_, value)) = values.next() else {
        return String::new();
    };
    let bytes = value.as_bytes();
    let mut text = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => text.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                text.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 2;
            }
            byte => text.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&text).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0_u8; 3];
        bits[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for place in 0..4 {
            if place <= group.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        number = (number << 6) | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((number >> count) as u8);
            number &= (1 << count) - 1;
        }
    }
    bytes
}
