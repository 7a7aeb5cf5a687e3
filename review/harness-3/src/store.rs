//! A stand-in of the platform's store.

use {
    crate::{
        base64,
        http::{Head, Reader, parameter},
        json,
    },
    std::{
        collections::BTreeMap,
        io::{self, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    revision: u64,
    value: String,
}

struct Event {
    at: Instant,
    key: String,
    revision: u64,
    /// The value in base64; `None` after a removal.
    value: Option<Arc<str>>,
}

#[derive(Default)]
struct Content {
    events: Vec<Event>,
    items: BTreeMap<String, Item>,
    lease: u64,
    revision: u64,
    /// Revision up to which the history is dropped.
    dropped: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    changed: Arc<Condvar>,
    content: Arc<Mutex<Content>>,
    history: Duration,
}

/// Most bytes of one answer, but for a single longer item.
const ANSWER_BYTES_MAX: usize = 1024 * 1024;

impl Store {
    /// Starts a store that keeps its history for `history`.
    pub fn start(address: SocketAddr, history: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            address: listener.local_addr()?,
            changed: Arc::default(),
            content: Arc::default(),
            history,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.lock();
        put(&mut content, key, base64::encode(value.as_bytes()));
        drop(content);
        self.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut content = self.lock();
        if content.items.remove(key).is_some() {
            content.revision += 1;
            let revision = content.revision;
            content.events.push(Event {
                at: Instant::now(),
                key: key.to_owned(),
                revision,
                value: None,
            });
        }
        drop(content);
        self.changed.notify_all();
    }

    /// Returns the number of the items under a prefix, and the bytes of their values.
    pub fn count(&self, prefix: &str) -> (usize, usize) {
        let content = self.lock();
        let items = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let sizes = items.map(|(_, item)| item.value.len() * 3 / 4);
        sizes.fold((0, 0), |(count, bytes), size| (count + 1, bytes + size))
    }

    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else {
                return;
            };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let head = format!(
                "HTTP/1.1 {status}\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            let written = writer.write_all(head.as_bytes());
            if written
                .and_then(|()| writer.write_all(text.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let target = head.target();
        let path = target.split('?').next().unwrap_or("");
        if path == "/v1/kv-key" {
            return self.get(&parameter(target, "key").unwrap_or_default());
        }
        if path == "/v1/kv-range" {
            let prefix = parameter(target, "prefix").unwrap_or_default();
            return self.range(&prefix, parameter(target, "after"));
        }
        if path == "/v1/kv-watch" {
            return self.watch(target);
        }
        if path == "/v1/kv-lease" {
            let mut content = self.lock();
            content.lease += 1;
            let ttl = json::number(body, "ttlMs").unwrap_or(60_000);
            return (
                "200 OK",
                format!("{{\"lease\":{},\"ttlMs\":{ttl}}}", content.lease),
            );
        }
        if path.starts_with("/v1/kv-keep/") {
            return ("200 OK", "{\"ttlMs\":300000}".to_owned());
        }
        if path.starts_with("/v1/kv-lease-end/") {
            return ("200 OK", "{}".to_owned());
        }
        if path == "/v1/kv-txn" {
            return self.transact(body);
        }
        ("404 Not Found", "{}".to_owned())
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let content = self.lock();
        match content.items.get(key) {
            Some(item) => ("200 OK", item_text(key, item)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    /// Lists up to 500 items.
    fn range(&self, prefix: &str, after: Option<String>) -> (&'static str, String) {
        let content = self.lock();
        let after = after.unwrap_or_default();
        let items = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<_> = items
            .filter(|(key, _)| after.is_empty() || **key > after)
            .collect();
        let page: Vec<String> = items
            .iter()
            .take(500)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let text = format!(
            "{{\"entries\":[{}],\"hasMore\":{},\"at\":{}}}",
            page.join(","),
            items.len() > 500,
            content.revision
        );
        ("200 OK", text)
    }

    /// Answers as soon as there are events after a revision, with up to 1 MB of them.
    fn watch(&self, target: &str) -> (&'static str, String) {
        let number = |name| parameter(target, name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let prefix = parameter(target, "prefix").unwrap_or_default();
        let mut content = self.lock();
        loop {
            self.trim(&mut content);
            if after < content.dropped {
                return ("410 Gone", "{}".to_owned());
            }
            let events = content.events.iter().filter(|event| event.revision > after);
            let (mut at, mut bytes, mut news) = (content.revision, 0, Vec::new());
            for event in events.filter(|event| event.key.starts_with(&prefix)) {
                let text = event_text(event);
                if bytes > 0 && bytes + text.len() > ANSWER_BYTES_MAX {
                    at = event.revision - 1;
                    break;
                }
                bytes += text.len();
                news.push(text);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let text = format!("{{\"events\":[{}],\"at\":{at}}}", news.join(","));
                return ("200 OK", text);
            }
            let waited = self.changed.wait_timeout(content, left);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn trim(&self, content: &mut Content) {
        let kept = content
            .events
            .iter()
            .position(|event| event.at.elapsed() < self.history);
        let old = kept.unwrap_or(content.events.len());
        if old > 0 {
            content.dropped = content.events[old - 1].revision;
            content.events.drain(..old);
        }
    }

    /// Performs a transaction with one precondition and one write, as the daemons send it.
    fn transact(&self, body: &str) -> (&'static str, String) {
        let (condition, write) = body.split_once("\"write\"").unwrap_or((body, ""));
        let key = json::text(condition, "key").unwrap_or("").to_owned();
        let expected = json::number(condition, "revision").unwrap_or(0);
        let mut content = self.lock();
        let current = content.items.get(&key).cloned();
        if current.as_ref().map_or(0, |item| item.revision) != expected {
            let entries = current.map_or(String::new(), |item| item_text(&key, &item));
            return (
                "412 Precondition Failed",
                format!("{{\"entries\":[{entries}]}}"),
            );
        }
        let value = json::text(write, "value").unwrap_or("").to_owned();
        put(&mut content, &key, value);
        let revision = content.revision;
        drop(content);
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn put(content: &mut Content, key: &str, value: String) {
    content.revision += 1;
    let revision = content.revision;
    content.events.push(Event {
        at: Instant::now(),
        key: key.to_owned(),
        revision,
        value: Some(value.as_str().into()),
    });
    content
        .items
        .insert(key.to_owned(), Item { revision, value });
}

fn item_text(key: &str, item: &Item) -> String {
    let Item { revision, value } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
    )
}

fn event_text(event: &Event) -> String {
    let Event { key, revision, .. } = event;
    match &event.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}
