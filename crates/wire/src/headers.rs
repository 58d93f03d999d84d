//! Headers of calls.
//!
//! | header | direction | meaning |
//! | --- | --- | --- |
//! | [`REQUEST_ID`] | caller to node, node to upstream, back | id of the request |
//! | [`CALLER`] | caller to node | key under which requests share fairly |
//! | [`ATTEMPT`] | caller to node | how often the caller repeated this request id |
//! | [`TICKET`] | both | ticket of a request that may never repeat |
//! | [`DEADLINE`] | caller to node, node to upstream | time left, in milliseconds |
//! | [`CONTEXT`] | node to upstream, upstream to node | ties a deeper call to its request |
//! | [`OUTCOME`], [`REASON`] | back | what became of the request, and why |
//! | [`REVISION`] | back | revision of the configuration in force |
//!
//! The other headers named here are internal: they pass between nodes only and are removed
//! from what callers and upstreams send.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("snipehollow-request-id");
/// Key under which a caller's requests share fairly.
pub const CALLER: HeaderName = HeaderName::from_static("snipehollow-caller");
/// How often the caller repeated this request id.
pub const ATTEMPT: HeaderName = HeaderName::from_static("snipehollow-attempt");
/// Ticket of a request that may never repeat.
pub const TICKET: HeaderName = HeaderName::from_static("snipehollow-ticket");
/// Time left until the deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("snipehollow-deadline-ms");
/// Opaque text that ties a deeper call to the request it is made for.
pub const CONTEXT: HeaderName = HeaderName::from_static("snipehollow-context");
/// What became of the request.
pub const OUTCOME: HeaderName = HeaderName::from_static("snipehollow-outcome");
/// Why.
pub const REASON: HeaderName = HeaderName::from_static("snipehollow-reason");
/// Revision of the configuration in force.
pub const REVISION: HeaderName = HeaderName::from_static("snipehollow-revision");

/// Between nodes: the shared secret.
pub const SECRET: HeaderName = HeaderName::from_static("snipehollow-secret");
/// Between nodes: class of the request.
pub const CLASS: HeaderName = HeaderName::from_static("snipehollow-class");
/// Between nodes: retries granted to a try, or returned unspent with its answer.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("snipehollow-allowance");
/// Between nodes: load of the gate.
pub const LOAD: HeaderName = HeaderName::from_static("snipehollow-load");
/// Between nodes: availability zone of the sender.
pub const ZONE: HeaderName = HeaderName::from_static("snipehollow-zone");
/// Between nodes: the request was in flight when an upstream died.
pub const SUSPECT: HeaderName = HeaderName::from_static("snipehollow-suspect");

/// Between nodes: host name by which the caller addressed the request.
pub const VIRTUAL_HOST: HeaderName = HeaderName::from_static("snipehollow-virtual-host");
/// Between nodes: pressure of the gates that the request's class reaches.
pub const SHEDDING_LEVELS: HeaderName = HeaderName::from_static("snipehollow-pressure");
/// Between nodes: services that requests of the class reach below the gate.
pub const DEPENDENCIES: HeaderName = HeaderName::from_static("snipehollow-reach");
/// Between nodes: probability that the run repeats work, if above 0.
pub const REPEAT_SHARE: HeaderName = HeaderName::from_static("snipehollow-repeat-share");
/// Between nodes: service on the host where the request began.
pub const ORIGIN: HeaderName = HeaderName::from_static("snipehollow-origin");

/// Headers that this project itself sets or reads; others pass through a node unchanged.
static OWN: [HeaderName; 20] = [
    REQUEST_ID,
    CALLER,
    ATTEMPT,
    TICKET,
    DEADLINE,
    CONTEXT,
    OUTCOME,
    REASON,
    REVISION,
    SECRET,
    CLASS,
    ALLOWANCE,
    LOAD,
    ZONE,
    SUSPECT,
    VIRTUAL_HOST,
    ORIGIN,
    REPEAT_SHARE,
    SHEDDING_LEVELS,
    DEPENDENCIES,
];

/// Headers that a caller or an upstream may send.
static PUBLIC: [HeaderName; 6] = [REQUEST_ID, CALLER, ATTEMPT, TICKET, DEADLINE, CONTEXT];

/// Headers that concern one connection and are not passed on.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, and internal headers that a caller or an upstream sent.
///
/// ```
/// use hyper::HeaderMap;
/// use snipehollow_wire::headers;
///
/// let mut map = HeaderMap::new();
/// map.insert(headers::SECRET, "guess".parse().unwrap());
/// map.insert(headers::REQUEST_ID, "r-1".parse().unwrap());
/// headers::strip_untrusted(&mut map);
/// assert!(!map.contains_key(headers::SECRET));
/// assert!(map.contains_key(headers::REQUEST_ID));
/// ```
pub fn strip_untrusted(map: &mut HeaderMap) {
    strip_hop_by_hop(map);
    remove_where(map, |name| OWN.contains(name) && !PUBLIC.contains(name));
}

/// Removes every header of this project, for example from what an upstream answers.
pub fn strip_all(map: &mut HeaderMap) {
    strip_hop_by_hop(map);
    remove_where(map, |name| OWN.contains(name));
}

/// Removes headers that concern one connection, and those that `Connection` names.
pub fn strip_hop_by_hop(map: &mut HeaderMap) {
    let named: Vec<String> = map
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    remove_where(map, |name| {
        HOP_BY_HOP.contains(&name.as_str()) || named.iter().any(|n| n == name.as_str())
    });
}

/// Reads a header as text; `None` if it is absent, not visible ASCII, or given twice.
pub fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = map.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Reads a header as a value that is written as text.
pub fn parse<T: std::str::FromStr>(map: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(map, name)?.parse().ok()
}

/// Sets a header to a value's text; a text that no header can hold is left out.
pub fn set(map: &mut HeaderMap, name: HeaderName, value: impl ToString) {
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        map.insert(name, value);
    }
}

fn remove_where(map: &mut HeaderMap, remove: impl Fn(&HeaderName) -> bool) {
    let names: Vec<HeaderName> = map.keys().filter(|name| remove(name)).cloned().collect();
    for name in names {
        map.remove(name);
    }
}
