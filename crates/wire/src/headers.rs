//! Headers of requests and responses.
//!
//! | header | direction | meaning |
//! | --- | --- | --- |
//! | [`REQUEST_ID`] | caller to node, node to upstream, response | id of the request |
//! | [`CALLER`] | caller to node | key for fair queuing among callers |
//! | [`ATTEMPT`] | caller to node | number of times that the caller retried this request id |
//! | [`TICKET`] | both | ticket of a request that must never run twice |
//! | [`DEADLINE`] | caller to node, node to upstream | time left until the deadline, in milliseconds |
//! | [`CONTEXT`] | node to upstream, upstream to node | links a call of the upstream to the request it serves |
//! | [`RATE_LIMIT`], [`LEAVING`] | response of the upstream | rate limit that the upstream names, and that it is leaving |
//! | [`OUTCOME`], [`REASON`] | response | outcome of the request, and the reason |
//! | [`REVISION`] | response | revision of the configuration in force |
//!
//! The other headers are internal: only nodes exchange them, and a node removes them from the
//! requests of callers and the responses of upstreams.

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};

/// Id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("snipehollow-request-id");
/// Key that identifies the caller for fair queuing.
pub const CALLER: HeaderName = HeaderName::from_static("snipehollow-caller");
/// Number of times that the caller retried this request id; 0 if absent.
pub const ATTEMPT: HeaderName = HeaderName::from_static("snipehollow-attempt");
/// Ticket of a request that must never run twice.
pub const TICKET: HeaderName = HeaderName::from_static("snipehollow-ticket");
/// Time left until the deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("snipehollow-deadline-ms");
/// Opaque token that links a call made by an upstream to the request that it is serving.
pub const CONTEXT: HeaderName = HeaderName::from_static("snipehollow-context");
/// In a response of an upstream: requests per second that it accepts from all hosts together, as a
/// decimal number. Holds until a response does not carry it.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("snipehollow-rate-limit");
/// In a response of an upstream: `1` if the upstream is leaving.
pub const LEAVING: HeaderName = HeaderName::from_static("snipehollow-leaving");
/// Outcome of the request: whether it ran.
pub const OUTCOME: HeaderName = HeaderName::from_static("snipehollow-outcome");
/// Reason code of the outcome.
pub const REASON: HeaderName = HeaderName::from_static("snipehollow-reason");
/// Revision of the configuration in force.
pub const REVISION: HeaderName = HeaderName::from_static("snipehollow-revision");

/// Internal: secret shared by all nodes.
pub const SECRET: HeaderName = HeaderName::from_static("snipehollow-secret");
/// Internal: class policy of the request, as known to the entry node.
pub const CLASS: HeaderName = HeaderName::from_static("snipehollow-class");
/// Internal: retry allowance that a try may use or, in a response, the part it did not use.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("snipehollow-allowance");
/// Internal: load of the gate, in a response.
pub const LOAD: HeaderName = HeaderName::from_static("snipehollow-load");
/// Internal: availability zone of the sending node.
pub const ZONE: HeaderName = HeaderName::from_static("snipehollow-zone");
/// Internal: present if the request was in flight when an upstream crashed.
pub const SUSPECT: HeaderName = HeaderName::from_static("snipehollow-suspect");

/// Internal: host name to which the caller addressed the request.
pub const VIRTUAL_HOST: HeaderName = HeaderName::from_static("snipehollow-virtual-host");
/// Internal: shedding levels of the gate and of its downstream dependencies, in a response.
pub const SHEDDING_LEVELS: HeaderName = HeaderName::from_static("snipehollow-pressure");
/// Internal: downstream dependencies of the request's class, in a response.
pub const DEPENDENCIES: HeaderName = HeaderName::from_static("snipehollow-reach");
/// Internal: probability, from 0 to 1, that the request repeats work; absent if 0.
pub const REPEAT_SHARE: HeaderName = HeaderName::from_static("snipehollow-repeat-share");
/// Internal: service on the host of the entry node; absent if that host runs none.
pub const ORIGIN: HeaderName = HeaderName::from_static("snipehollow-origin");

/// Internal: what the upstream said about itself; from the gate in a response, and from the entry
/// node in a request.
pub const UPSTREAM_STATUS: HeaderName = HeaderName::from_static("snipehollow-upstream-status");

/// Internal: time until the entry node of the request ends, in milliseconds; absent unless that
/// node is stopping.
pub const ENTRY_END: HeaderName = HeaderName::from_static("snipehollow-entry-end-ms");
/// Internal: marks a message that carries no request: it adds [`ENTRY_END`] to the try with the same
/// [`REQUEST_ID`] and [`ATTEMPT`], which was sent before.
pub const TRY_UPDATE: HeaderName = HeaderName::from_static("snipehollow-try-update");

/// All headers of this project. A node forwards other headers unchanged, except hop-by-hop ones.
static PROJECT_HEADERS: [HeaderName; 25] = [
    REQUEST_ID,
    CALLER,
    ATTEMPT,
    TICKET,
    DEADLINE,
    CONTEXT,
    OUTCOME,
    REASON,
    REVISION,
    RATE_LIMIT,
    LEAVING,
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
    UPSTREAM_STATUS,
    DEPENDENCIES,
    ENTRY_END,
    TRY_UPDATE,
];

/// Headers that callers and upstreams may send.
static PUBLIC_HEADERS: [HeaderName; 6] = [REQUEST_ID, CALLER, ATTEMPT, TICKET, DEADLINE, CONTEXT];

/// Hop-by-hop headers: they apply to one connection and are not forwarded.
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

/// Removes hop-by-hop headers and the internal headers, which callers and upstreams must not set.
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
    remove_where(map, |name| PROJECT_HEADERS.contains(name) && !PUBLIC_HEADERS.contains(name));
}

/// Removes hop-by-hop headers and all headers of this project.
///
/// For example, a node removes them from the responses of its upstream.
pub fn strip_all(map: &mut HeaderMap) {
    strip_hop_by_hop(map);
    remove_where(map, |name| PROJECT_HEADERS.contains(name));
}

/// Removes hop-by-hop headers, including those listed in the `Connection` header.
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

/// Returns a header as text, or `None` if it is absent, repeated or not visible ASCII.
pub fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = map.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Parses a header. Returns `None` if it is absent, repeated or malformed.
pub fn parse<T: std::str::FromStr>(map: &HeaderMap, name: &HeaderName) -> Option<T> {
    text(map, name)?.parse().ok()
}

/// Sets a header to the text form of a value.
///
/// If a header cannot hold the text, the map is left unchanged.
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
