//! Stand-in for the platform's metadata store: items, conditional writes and watches, in memory.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};

#[derive(Default)]
struct Items {
    revision: u64,
    /// Base64 of the value and revision of the last change, by key.
    by_key: BTreeMap<String, (String, u64)>,
}

#[derive(Clone, Default)]
pub struct Store {
    items: Arc<(Mutex<Items>, Condvar)>,
    /// Time of the last watch of each client, by its number.
    watches: Arc<Mutex<BTreeMap<usize, Instant>>>,
}

/// A client waits again at once when a watch has ended after at most two seconds.
const WATCH_GAP: Duration = Duration::from_secs(3);

impl Store {
    /// Starts to serve a client at a free port of its own; returns its address.
    pub fn serve(&self, client: usize) -> Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let served = self.clone();
        thread::spawn(move || {
            http::serve(listener, move |req, out| served.handle(client, &req, out));
        });
        Ok(addr)
    }

    /// Clients that wait for changes.
    pub fn watching(&self) -> Vec<usize> {
        let watches = self.watches.lock().unwrap();
        watches
            .iter()
            .filter(|(_, at)| at.elapsed() < WATCH_GAP)
            .map(|(client, _)| *client)
            .collect()
    }

    /// Writes an item, as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, base64(value.as_bytes()));
    }

    fn write(&self, key: &str, encoded: String) -> u64 {
        let (items, changed) = &*self.items;
        let mut items = items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.by_key.insert(key.to_owned(), (encoded, revision));
        changed.notify_all();
        revision
    }

    fn handle(&self, client: usize, req: &Request, out: &mut TcpStream) -> Result<bool> {
        let (status, body) = match (req.method.as_str(), req.path()) {
            ("GET", "/-/kv-key") => self.get(req),
            ("GET", "/-/kv-range") => self.list(req),
            ("GET", "/-/kv-watch") => {
                self.watches.lock().unwrap().insert(client, Instant::now());
                self.watch(req)
            }
            ("POST", "/-/kv-txn") => self.transact(&String::from_utf8_lossy(&req.body)),
            _ => (404, "{}".into()),
        };
        http::respond(out, status, &[("Content-Type", "application/json")], body.as_bytes())?;
        Ok(true)
    }

    fn get(&self, req: &Request) -> (u16, String) {
        let items = self.items.0.lock().unwrap();
        let key = req.query("Key").unwrap_or_default();
        match items.by_key.get(&key) {
            Some(item) => (200, item_json(&key, item)),
            None => (404, "{}".into()),
        }
    }

    fn list(&self, req: &Request) -> (u16, String) {
        let items = self.items.0.lock().unwrap();
        let prefix = req.query("Prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let found = matching(&items, &prefix, |key, _| key > after.as_str());
        let revision = items.revision;
        (200, format!(r#"{{"items":[{found}],"MorePages":false,"CurrentRev":{revision}}}"#))
    }

    fn watch(&self, req: &Request) -> (u16, String) {
        let number = |name| req.query(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let prefix = req.query("Prefix").unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("WaitMs")));
        let until = Instant::now() + wait;
        let mut items = self.items.0.lock().unwrap();
        loop {
            let found = matching(&items, &prefix, |_, revision| revision > after);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let revision = items.revision;
                return (200, format!(r#"{{"events":[{found}],"CurrentRev":{revision}}}"#));
            }
            items = self.items.1.wait_timeout(items, left).unwrap().0;
        }
    }

    /// Transactions with one condition and one write, the only ones that the nodes send.
    fn transact(&self, body: &str) -> (u16, String) {
        let body: String = body.split_whitespace().collect();
        let Some((condition, writes)) = body.split_once("\"Writes\"") else {
            return (400, "{}".into());
        };
        let key = text_field(condition, "Key");
        let expected = number_field(condition, "ModRevision");
        let current =
            self.items.0.lock().unwrap().by_key.get(&key).map_or(0, |(_, revision)| *revision);
        if current != expected {
            return (412, r#"{"items":[]}"#.into());
        }
        let revision = self.write(&text_field(writes, "Key"), text_field(writes, "Value"));
        (200, format!(r#"{{"ModRevision":{revision}}}"#))
    }
}

fn matching(items: &Items, prefix: &str, accepts: impl Fn(&str, u64) -> bool) -> String {
    let found =
        items.by_key.iter().filter(|(key, item)| key.starts_with(prefix) && accepts(key, item.1));
    found.map(|(key, item)| item_json(key, item)).collect::<Vec<_>>().join(",")
}

fn item_json(key: &str, (value, revision): &(String, u64)) -> String {
    format!(
        r#"{{"Key":"{key}","Value":"{value}","ModRevision":{revision},"CreatedRev":{revision},"Lease":0}}"#
    )
}

fn text_field(text: &str, name: &str) -> String {
    let start = text.find(&format!("\"{name}\":\"")).map(|at| at + name.len() + 4);
    start.and_then(|at| text[at..].split('"').next()).unwrap_or("").to_owned()
}

fn number_field(text: &str, name: &str) -> u64 {
    let start = text.find(&format!("\"{name}\":")).map(|at| at + name.len() + 3);
    let digits = start.map(|at| text[at..].split(|c: char| !c.is_ascii_digit()).next());
    digits.flatten().and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |w, i| w << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}
