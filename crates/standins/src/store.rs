//! Stand-in for the platform's key-value service: compare-and-swap writes, watches and leases over
//! HTTP, with faults that tests inject at `POST /faults`.

use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rouille::{Request, Response, Server};
use snipehollow_core::data_type;
use snipehollow_store::{KeyValue, Version};

use crate::error::StandinError;

/// Threads of the server. Each waiting watch blocks one.
const THREADS: usize = 64;
const MAX_VALUE_BYTES: usize = 1 << 20;
const UNAVAILABLE: u16 = 503;
const RESPONSE_LOST: u16 = 504;

data_type! {
    /// Faults that the store injects until the next change.
    #[derive(Default)]
    pub struct Faults {
        /// Whether every call fails with status 503.
        #[serde(default)]
        pub down: bool,
        /// Delay added to every call, in milliseconds.
        #[serde(default)]
        pub slow_ms: u64,
        /// Number of writes, from now on, that take effect but are answered with status 504.
        #[serde(default, rename = "lose-answers")]
        pub lose_responses: u32,
        /// Expires all leases once, when the faults are set.
        #[serde(default, rename = "lapse-leases")]
        pub expire_leases: bool,
        /// Takes a snapshot of all data when the faults are set, to be restored later.
        #[serde(default)]
        pub save: bool,
        /// Replaces all data by the snapshot when the faults are set, like a restore from a backup.
        #[serde(default)]
        pub restore: bool,
    }

    /// Calls received since the process started, except those that arrived while the store was
    /// down.
    #[derive(Default)]
    pub struct CallCounts {
        /// Reads of a key or of all keys with a prefix.
        pub reads: u64,
        /// Compare-and-swap writes, including refused ones.
        pub writes: u64,
        /// Watches of a key.
        pub watches: u64,
        /// Requests to take or renew a lease.
        pub leases: u64,
    }
}

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    version: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    holder: String,
    expires: Instant,
}

#[derive(Debug, Default)]
struct State {
    entries: HashMap<String, Entry>,
    snapshot: Option<HashMap<String, Entry>>,
    leases: HashMap<String, Lease>,
    faults: Faults,
    counts: CallCounts,
    /// Last version given to a write. Versions are never reused, so a restored key gets a version
    /// that no client has seen before.
    last_version: u64,
}

/// In-memory store with its HTTP interface.
#[derive(Debug, Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Creates an empty store without faults.
    pub fn new() -> Store {
        Store::default()
    }

    /// Serves on `addr` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Http`] if it cannot listen.
    pub fn serve(self, addr: SocketAddr) -> Result<(), StandinError> {
        let store = Arc::new(self);
        let server = Server::new(addr, move |req| store.handle(req))
            .map_err(|err| StandinError::Http {
                operation: format!("listen on {addr}"),
                cause: err.to_string(),
            })?
            .pool_size(THREADS);
        server.run();
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a panic while holding the lock poisoned the store's state")
    }

    fn handle(&self, req: &Request) -> Response {
        let url = req.url();
        if let ("POST", "/faults") = (req.method(), url.as_str()) {
            return self.set_faults(req);
        }
        if let ("GET", "/counts") = (req.method(), url.as_str()) {
            return Response::json(&self.lock().counts);
        }
        let faults = self.lock().faults.clone();
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return Response::text("down\n").with_status_code(UNAVAILABLE);
        }
        if let Some(key) = url.strip_prefix("/v1/kv/") {
            return match req.method() {
                "GET" => self.get(key),
                "PUT" => self.put(key, req),
                _ => Response::empty_404(),
            };
        }
        if let Some(prefix) = url.strip_prefix("/v1/list/") {
            return self.list(prefix);
        }
        if let Some(key) = url.strip_prefix("/v1/watch/") {
            return self.watch(key, req);
        }
        match url.strip_prefix("/v1/lease/") {
            Some(name) => self.lease(name, req),
            None => Response::empty_404(),
        }
    }

    fn get(&self, key: &str) -> Response {
        let mut state = self.lock();
        state.counts.reads += 1;
        state.entries.get(key).map_or_else(Response::empty_404, value_response)
    }

    fn list(&self, prefix: &str) -> Response {
        let mut state = self.lock();
        state.counts.reads += 1;
        let mut found: Vec<KeyValue> = state
            .entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| KeyValue {
                key: key.clone(),
                value: entry.value.clone(),
                version: Version(entry.version),
            })
            .collect();
        found.sort_by(|a, b| a.key.cmp(&b.key));
        Response::json(&found)
    }

    fn put(&self, key: &str, req: &Request) -> Response {
        let Some(expected) = u64_param(req, "version") else {
            return Response::empty_400();
        };
        let Some(value) = read_value(req) else {
            return Response::empty_400();
        };
        let mut state = self.lock();
        state.counts.writes += 1;
        let version = state.entries.get(key).map_or(0, |entry| entry.version);
        if version != expected {
            return Response::text("conflict\n").with_status_code(409);
        }
        state.last_version += 1;
        let version = state.last_version;
        state.entries.insert(key.to_owned(), Entry { value, version });
        self.changed.notify_all();
        if state.faults.lose_responses > 0 {
            state.faults.lose_responses -= 1;
            return Response::text("answer lost\n").with_status_code(RESPONSE_LOST);
        }
        Response::text("written\n").with_additional_header("x-version", version.to_string())
    }

    fn watch(&self, key: &str, req: &Request) -> Response {
        let (Some(known), Some(wait)) = (u64_param(req, "known"), u64_param(req, "wait_ms")) else {
            return Response::empty_400();
        };
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        state.counts.watches += 1;
        loop {
            if state.faults.down {
                return Response::text("down\n").with_status_code(UNAVAILABLE);
            }
            if let Some(entry) = state.entries.get(key).filter(|entry| entry.version != known) {
                return value_response(entry);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Response::empty_204();
            }
            // The lock is poisoned if another call panicked, so this call panics as well.
            state = self
                .changed
                .wait_timeout(state, remaining)
                .expect("a panic while holding the lock poisoned the store's state")
                .0;
        }
    }

    fn lease(&self, name: &str, req: &Request) -> Response {
        let (Some(holder), Some(ttl)) = (req.get_param("holder"), u64_param(req, "ttl_ms")) else {
            return Response::empty_400();
        };
        let now = Instant::now();
        let mut state = self.lock();
        state.counts.leases += 1;
        let current = state.leases.get(name).filter(|lease| lease.expires > now);
        if current.is_some_and(|lease| lease.holder != holder) {
            return Response::text("held\n").with_status_code(409);
        }
        let expires = now + Duration::from_millis(ttl);
        state.leases.insert(name.to_owned(), Lease { holder, expires });
        Response::text("granted\n")
    }

    fn set_faults(&self, req: &Request) -> Response {
        let faults: Option<Faults> = req.data().and_then(|body| serde_json::from_reader(body).ok());
        let Some(faults) = faults else {
            return Response::empty_400();
        };
        let mut state = self.lock();
        if faults.expire_leases {
            state.leases.clear();
        }
        if faults.save {
            state.snapshot = Some(state.entries.clone());
        }
        if faults.restore {
            state.restore();
        }
        state.faults = faults;
        self.changed.notify_all();
        Response::text("set\n")
    }
}

impl State {
    fn restore(&mut self) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        self.entries = snapshot;
        for entry in self.entries.values_mut() {
            self.last_version += 1;
            entry.version = self.last_version;
        }
    }
}

fn value_response(entry: &Entry) -> Response {
    Response::text(entry.value.clone())
        .with_additional_header("x-version", entry.version.to_string())
}

fn u64_param(req: &Request, name: &str) -> Option<u64> {
    req.get_param(name)?.parse().ok()
}

fn read_value(req: &Request) -> Option<String> {
    let mut value = String::new();
    req.data()?.take(MAX_VALUE_BYTES as u64 + 1).read_to_string(&mut value).ok()?;
    (value.len() <= MAX_VALUE_BYTES).then_some(value)
}
