//! Stand-in for the platform's metadata store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, serve};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const CONFIG_KEY: &str = "op/config";

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Whether calls get no answer and are not carried out.
    silent: bool,
    /// Machines that get no answer.
    turned_away: BTreeSet<String>,
    /// Machines that have watched since the list was last cleared.
    watchers: BTreeSet<String>,
    /// Number of outages, also for some machines only, so far; a call that began before one gets no answer.
    outages: u64,
}

/// Store that answers calls until it is made silent.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves one machine, at an address of its own, so that the machine can be turned away.
    pub fn listen(&self, addr: SocketAddr, machine: &str) -> std::io::Result<()> {
        let (server, machine) = (self.clone(), machine.to_owned());
        serve(TcpListener::bind(addr)?, move |connection| {
            server.serve_connection(connection, &machine);
        });
        Ok(())
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, document: &str) {
        self.shared.0.lock().unwrap().put(CONFIG_KEY, base64(document.as_bytes()));
        self.shared.1.notify_all();
    }

    /// Starts or ends an outage in which the store does not answer.
    pub fn set_silent(&self, silent: bool) {
        let mut state = self.shared.0.lock().unwrap();
        state.silent = silent;
        state.outages += u64::from(silent);
        self.shared.1.notify_all();
    }

    /// Stops answering these machines, and answers all others.
    pub fn turn_away(&self, machines: BTreeSet<String>) {
        let mut state = self.shared.0.lock().unwrap();
        state.turned_away = machines;
        state.outages += 1;
        self.shared.1.notify_all();
    }

    /// Returns the machines that have watched since the last call.
    pub fn take_watchers(&self) -> BTreeSet<String> {
        std::mem::take(&mut self.shared.0.lock().unwrap().watchers)
    }

    fn serve_connection(&self, mut connection: Connection, machine: &str) {
        while let Ok(Some(request)) = connection.read() {
            let outages = {
                let mut state = self.shared.0.lock().unwrap();
                if request.target().starts_with("/-/kv-watch") {
                    state.watchers.insert(machine.into());
                }
                (!state.is_unreachable(machine)).then_some(state.outages)
            };
            let answer = outages.and_then(|outages| self.answer(&request, outages, machine));
            let Some((status, body)) = answer else {
                return self.keep_silent(connection, machine);
            };
            thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json")];
            if connection.respond(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Holds a connection without an answer until the outage ends, and closes it then.
    fn keep_silent(&self, connection: Connection, machine: &str) {
        while self.shared.0.lock().unwrap().is_unreachable(machine) {
            thread::sleep(Duration::from_millis(50));
        }
        drop(connection);
    }

    fn answer(
        &self,
        request: &Message,
        outages: u64,
        machine: &str,
    ) -> Option<(&'static str, String)> {
        let path = request.target().split('?').next().unwrap_or("");
        Some(match (request.method(), path) {
            ("GET", "/-/kv-key") => self.get(&request.query("Key").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => return self.watch(request, outages, machine),
            ("POST", "/-/kv-txn") => self.transact(&request.text()),
            _ => ("404 Not Found", "{}".into()),
        })
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => ("200 OK", render(key, item, state.revision)),
            None => ("404 Not Found", format!("{{\"CurrentRev\":{}}}", state.revision)),
        }
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.shared.0.lock().unwrap();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> =
            found.map(|(key, item)| render(key, item, state.revision)).collect();
        let (items, revision) = (items.join(","), state.revision);
        let body = format!("{{\"items\":[{items}],\"MorePages\":false,\"CurrentRev\":{revision}}}");
        ("200 OK", body)
    }

    /// Waits for changes; `None` if an outage began meanwhile.
    fn watch(
        &self,
        request: &Message,
        outages: u64,
        machine: &str,
    ) -> Option<(&'static str, String)> {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("WaitMs")));
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.outages != outages && state.is_unreachable(machine) {
                return None;
            }
            let is_new =
                |(key, item): &(&String, &Item)| key.starts_with(&prefix) && item.revision > after;
            let mut found: Vec<(&String, &Item)> = state.items.iter().filter(is_new).collect();
            found.sort_by_key(|(_, item)| item.revision);
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events: Vec<String> =
                    found.into_iter().map(|(key, item)| render(key, item, revision)).collect();
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"CurrentRev\":{revision}}}");
                return Some(("200 OK", body));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Carries out a transaction with one precondition and one write, as the nodes send it.
    fn transact(&self, text: &str) -> (&'static str, String) {
        // The nodes send indented JSON.
        let text = &text.replace("\": ", "\":");
        let key = json_text(text, "Key").unwrap_or_default();
        let expected: u64 = json_number(text, "ModRevision").unwrap_or(0);
        let value = json_text(text, "Value").unwrap_or_default();
        if key.starts_with("op/") || key.starts_with("servers/") {
            return ("403 Forbidden", "{}".into());
        }
        let mut state = self.shared.0.lock().unwrap();
        let current = state.items.get(&key);
        if current.map_or(0, |item| item.revision) != expected {
            let items = current.map(|item| render(&key, item, state.revision));
            let body = format!("{{\"items\":[{}]}}", items.unwrap_or_default());
            return ("412 Precondition Failed", body);
        }
        state.put(&key, value);
        self.shared.1.notify_all();
        ("200 OK", format!("{{\"ModRevision\":{}}}", state.revision))
    }
}

impl State {
    fn is_unreachable(&self, machine: &str) -> bool {
        self.silent || self.turned_away.contains(machine)
    }

    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let revision = self.revision;
        self.items.insert(key.into(), Item { value, revision });
    }
}

fn render(key: &str, item: &Item, current: u64) -> String {
    let Item { value, revision } = item;
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"ModRevision\":{revision},\
         \"CreatedRev\":{revision},\"Lease\":0,\"CurrentRev\":{current}}}"
    )
}

/// Returns the first text field of this name.
fn json_text(text: &str, name: &str) -> Option<String> {
    let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split('"').next()?.to_owned())
}

fn json_number(text: &str, name: &str) -> Option<u64> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for i in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= group.len() { digit } else { '=' });
        }
    }
    text
}
