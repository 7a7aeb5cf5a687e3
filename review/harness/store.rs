//! A stand-in of the platform's store, after PROTOCOL.md.

use {
    crate::{
        http::{Connection, Message},
        json::{Json, from_base64, to_base64},
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    /// Every change: its revision, the key and the item, or `None` after a deletion.
    events: Vec<(u64, String, Option<Item>)>,
}

/// The store; its leases don't end within a case.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let state = State {
            revision: 1,
            next_lease: 100,
            ..State::default()
        };
        let store = Store {
            address: listener.local_addr().expect("an address"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a value as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().write(key, value.as_bytes(), 0);
        changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().delete(key);
        changed.notify_all();
    }

    pub fn values(&self, prefix: &str) -> Vec<(String, String)> {
        let state = self.shared.0.lock().unwrap();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, item)| (key.clone(), item.value.clone()))
            .collect()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(false) {
            let (status, body) = self.call(&request);
            let headers = "Content-Type: application/json\r\n";
            if connection.answer(status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let field = |name: &str| -> String {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| decode(value))
                .unwrap_or_default()
        };
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match path {
            "/v1/kv-key" => self.read_key(&field("key")),
            "/v1/kv-range" => self.read_range(&field("prefix"), &field("after")),
            "/v1/kv-watch" => self.watch(&field("prefix"), number("after"), number("waitMs")),
            "/v1/kv-txn" => self.transact(&body),
            "/v1/kv-lease" => {
                let mut state = self.shared.0.lock().unwrap();
                state.next_lease += 1;
                let ttl = Json::parse(&body).and_then(|body| body.get("ttlMs")?.number());
                let ttl = ttl.unwrap_or(1000);
                (
                    200,
                    format!(r#"{{"lease":{},"ttlMs":{ttl}}}"#, state.next_lease),
                )
            }
            _ if path.starts_with("/v1/kv-keep/") => (200, r#"{"ttlMs":300000}"#.to_owned()),
            _ if path.starts_with("/v1/kv-lease-end/") => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn read_key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, show(key, item, Some(state.revision))),
            None => (404, "{}".to_owned()),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let entries: Vec<String> = found.map(|(key, item)| show(key, item, None)).collect();
        let entries = entries.join(",");
        let at = state.revision;
        (
            200,
            format!(r#"{{"entries":[{entries}],"hasMore":false,"at":{at}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let news = state.events.iter();
            let news: Vec<String> = news
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => show(key, item, None),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let (news, at) = (news.join(","), state.revision);
                return (200, format!(r#"{{"events":[{news}],"at":{at}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list);
        let text =
            |row: &Json, name: &str| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let rows = list("precondition").iter();
        let rows: Vec<(String, u64)> = rows
            .map(|row| (text(row, "key"), number(row, "revision")))
            .collect();
        let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        if rows.iter().any(|(key, revision)| current(key) != *revision) {
            let entries: Vec<String> = rows
                .iter()
                .filter_map(|(key, _)| Some(show(key, state.items.get(key)?, None)))
                .collect();
            return (412, format!(r#"{{"entries":[{}]}}"#, entries.join(",")));
        }
        for write in list("write") {
            let value = from_base64(&text(write, "value"));
            state.write(&text(write, "key"), &value, number(write, "lease"));
        }
        for key in list("remove") {
            state.delete(key.text().unwrap_or(""));
        }
        changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

impl State {
    fn write(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: String::from_utf8_lossy(value).into_owned(),
            revision: self.revision,
            created,
            lease,
        };
        self.events
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
}

fn show(key: &str, item: &Item, at: Option<u64>) -> String {
    let value = to_base64(item.value.as_bytes());
    let Item {
        revision,
        created,
        lease,
        ..
    } = item;
    let at = at.map(|at| format!(r#","at":{at}"#)).unwrap_or_default();
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}{at}}}"#
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
