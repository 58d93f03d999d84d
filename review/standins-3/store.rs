//! Stand-in for the platform's metadata store, with the calls of its page that nodes make.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, base64};

struct Item {
    /// Base64 of the value.
    value: String,
    changed: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether calls get no response and are not done.
    silent: AtomicBool,
}

impl Store {
    /// Starts a store that serves on `addr`.
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.state.lock().unwrap().revision = 1;
        let served = Arc::clone(&store);
        http::listen(addr, move |stream| served.serve(stream));
        store
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Writes a value as the operator does.
    pub fn write(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(value), revision);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let answer = match self.silent.load(Ordering::SeqCst) {
                true => None,
                false => self.handle(&request),
            };
            let Some((status, body)) = answer else {
                // A connection on which a response is lost returns nothing further.
                while self.silent.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                return;
            };
            let json = [("Content-Type", "application/json")];
            if http::respond(&stream, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the status and body of the response; `None` if the store falls silent meanwhile.
    fn handle(&self, request: &Message) -> Option<(u16, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map(|(_, value)| decode(value)).unwrap_or_default()
        };
        let number = |name: &str| field(name).parse::<u64>().unwrap_or(0);
        match path {
            "/-/kv-key" => {
                let state = self.state.lock().unwrap();
                match state.items.get(&field("Key")) {
                    Some(item) => Some((200, item.to_json(&field("Key"), state.revision))),
                    None => Some((404, "{}".into())),
                }
            }
            "/-/kv-range" => {
                let state = self.state.lock().unwrap();
                let items = state.list(&field("Prefix"), |key, _| key > field("after").as_str());
                let revision = state.revision;
                Some((
                    200,
                    format!(
                        "{{\"items\":[{items}],\"MorePages\":false,\"CurrentRev\":{revision}}}"
                    ),
                ))
            }
            "/-/kv-watch" => self.watch(&field("Prefix"), number("after"), number("WaitMs")),
            "/-/kv-txn" => Some(self.change(&String::from_utf8_lossy(&request.body))),
            _ => Some((404, "{}".into())),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<(u16, String)> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            if self.silent.load(Ordering::SeqCst) {
                return None;
            }
            let events = state.list(prefix, |_, item| item.changed > after);
            if !events.is_empty() || Instant::now() >= end {
                let revision = state.revision;
                return Some((200, format!("{{\"events\":[{events}],\"CurrentRev\":{revision}}}")));
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
    }

    fn change(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let entries = |name: &str| body.get(name).map(|list| list.list().to_vec());
        let text = |entry: &Json, name: &str| entry.get(name).map_or("", Json::text).to_owned();
        let mut state = self.state.lock().unwrap();
        let holds = entries("Precondition").unwrap_or_default().iter().all(|entry| {
            let changed = state.items.get(&text(entry, "Key")).map_or(0, |item| item.changed);
            changed == entry.get("ModRevision").map_or(0, Json::number)
        });
        if !holds {
            return (412, "{\"items\":[]}".into());
        }
        state.revision += 1;
        let revision = state.revision;
        for write in entries("Writes").unwrap_or_default() {
            state.put(&text(&write, "Key"), text(&write, "Value"), revision);
        }
        for key in entries("Deletes").unwrap_or_default() {
            state.items.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"ModRevision\":{revision}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, changed: revision, created });
    }

    /// Returns the items under a prefix that `wanted` selects, separated by commas.
    fn list(&self, prefix: &str, wanted: impl Fn(&str, &Item) -> bool) -> String {
        let found =
            self.items.iter().filter(|(key, item)| key.starts_with(prefix) && wanted(key, item));
        let texts: Vec<String> =
            found.map(|(key, item)| item.to_json(key, self.revision)).collect();
        texts.join(",")
    }
}

impl Item {
    fn to_json(&self, key: &str, revision: u64) -> String {
        format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"ModRevision\":{},\"CreatedRev\":{},\
             \"Lease\":0,\"CurrentRev\":{revision}}}",
            self.value, self.changed, self.created
        )
    }
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
