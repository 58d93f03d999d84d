//! Malformed, oversized, forged and excess input to each listener of a node, and malformed files
//! given to `snipehollowd` and `snipehollow`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use snipehollow_core::outcome::Outcome;
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};

use crate::support::{Caller, small_mesh};

/// Sends raw bytes and returns everything received until the connection closes.
fn exchange_raw(to: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    for part in parts {
        // The listener may respond and close before everything is sent.
        let _ = stream.write_all(part);
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Checks the status and that the response promises that the request was not run.
fn assert_refused(response: &str, status: &str) {
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status}")),
        "expected status {status}, got: {response:?}"
    );
    assert!(
        response.contains("snipehollow-outcome: not-run"),
        "a refused request must be reported as not run, got: {response:?}"
    );
}

/// Guards against requests with an oversized head, too many headers, binary garbage or a head that
/// never ends tying up a connection or stopping the node from serving others.
#[test]
fn malformed_request_heads_are_refused_and_the_node_keeps_serving() {
    let mesh = small_mesh();
    let host = mesh.plan.hosts[0].clone();
    for listener in [host.caller_addr(), host.peer_addr()] {
        let oversized_head = format!(
            "GET /pricing/x HTTP/1.1\r\nhost: h\r\nx-large: {}\r\n\r\n",
            "a".repeat(64 << 10)
        );
        assert_refused(&exchange_raw(listener, &[oversized_head.as_bytes()]), "431");
        let many_headers: String = (0..100).map(|i| format!("x-{i}: 1\r\n")).collect();
        let many_headers = format!("GET /pricing/x HTTP/1.1\r\nhost: h\r\n{many_headers}\r\n");
        assert_refused(&exchange_raw(listener, &[many_headers.as_bytes()]), "431");
        assert_refused(&exchange_raw(listener, &[b"\x00\x01\x02 binary \xff\xfe\r\n\r\n"]), "400");
        assert_refused(
            &exchange_raw(listener, &[b"GET /pricing/x HTTP/1.1\r\nhost: h\r\nx-never: ends"]),
            "408",
        );
    }
    assert!(
        Caller::new().get(host.caller_addr(), "/pricing/quote").is_ok(),
        "the node must still serve after malformed requests"
    );
}

/// Guards against unbounded buffering of a body, an endless wait for the rest of one, and requests
/// whose path names no known service.
#[test]
fn oversized_and_slow_bodies_and_unknown_paths_are_refused() {
    let mesh = small_mesh();
    let to = mesh.plan.hosts[0].caller_addr();
    let too_large = "POST /orders/new HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        content-length: 2000000\r\n\r\n";
    let body = vec![b'x'; 2_000_000];
    assert_refused(&exchange_raw(to, &[too_large.as_bytes(), &body]), "413");
    let incomplete_body = "POST /orders/new HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        content-length: 100\r\n\r\nonly a part";
    assert_refused(&exchange_raw(to, &[incomplete_body.as_bytes()]), "408");
    for (path, status) in [("/", "400"), ("//x", "400"), ("/no-such-service/x", "404")] {
        let req = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        assert_refused(&exchange_raw(to, &[req.as_bytes()]), status);
    }
    assert!(
        Caller::new().get(to, "/pricing/quote").is_ok(),
        "the node must still serve after bad bodies and paths"
    );
}

/// Guards against callers that set headers meant for calls between nodes, such as their own class
/// or retry allowance, and against malformed values in the headers that callers may set.
#[test]
fn internal_headers_of_callers_are_ignored_and_malformed_ones_refused() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let to = mesh.plan.hosts[0].caller_addr();
    let send = |name: &'static str, value: &str| {
        let mut map = HeaderMap::new();
        map.insert(name, value.parse().unwrap());
        caller.send(to, &Method::GET, "/pricing/quote", map, "")
    };
    // The entry strips internal headers from a caller's request, so they have no effect.
    for name in ["snipehollow-secret", "snipehollow-class", "snipehollow-allowance"] {
        assert!(send(name, "0;0;999;idempotent").is_ok(), "{name} of a caller must be ignored");
    }
    for (name, value) in [
        ("snipehollow-request-id", "has spaces in it"),
        ("snipehollow-caller", "a/b"),
        ("snipehollow-ticket", "forged"),
        ("snipehollow-context", "00000000000000000000000000000000"),
    ] {
        let result = send(name, value);
        assert_eq!(
            result.outcome,
            Some(Outcome::NotRun),
            "a malformed {name} must be refused: {result:?}"
        );
    }
    let too_long_id = "x".repeat(200);
    assert_eq!(send("snipehollow-request-id", &too_long_id).outcome, Some(Outcome::NotRun));
}

/// Guards against running a request whose ticket was altered: the serial is changed while the
/// authentication code stays.
#[test]
fn request_with_a_forged_ticket_is_not_run() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let to = mesh.plan.hosts[0].caller_addr();
    let ticket = caller.ticket(to);
    let mut fields: Vec<String> = ticket.split('~').map(str::to_owned).collect();
    fields[2] = "4711".into();
    let result = caller.order(to, "net", Some(&fields.join("~")));
    assert_eq!(result.outcome, Some(Outcome::NotRun), "a forged ticket was accepted: {result:?}");
    assert_eq!(result.status.map(|status| status.as_u16()), Some(400));
}

/// Guards against calls from outside the fleet that reach the peer listener and claim to be a node.
#[test]
fn peer_call_without_the_fleet_secret_is_refused() {
    let mesh = small_mesh();
    let to = mesh.plan.hosts[0].peer_addr();
    let req = b"GET /pricing/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        snipehollow-secret: guess\r\nsnipehollow-zone: zone-a\r\n\r\n";
    assert_refused(&exchange_raw(to, &[req]), "403");
}

/// Guards against control messages with a wrong secret, malformed or oversized announcements of an
/// upstream, and malformed paths at the admin server.
#[test]
fn bad_input_to_control_upstream_and_admin_listeners_is_refused() {
    let mesh = small_mesh();
    let host = mesh.plan.hosts[0].clone();
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"config.pull","params":[{"secret":"guess","zone":"zone-a","body":{"revision":0}}]}"#;
    let req = format!(
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let response = exchange_raw(host.control_addr(), &[req.as_bytes()]);
    assert!(
        response.contains("not a node of this fleet"),
        "a control message with a wrong secret must be refused: {response}"
    );
    for body in ["", "{", "[]", &"x".repeat(10_000)] {
        let req = format!(
            "POST /announce HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = exchange_raw(host.upstream_listener_addr(), &[req.as_bytes()]);
        assert!(
            response.starts_with("HTTP/1.1 400"),
            "a malformed announcement must be refused: {response}"
        );
    }
    for path in ["/no-such-page", "/explain/%ff", "/quarantine/lift/x/not-hex"] {
        let req = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        let response = exchange_raw(host.admin_addr(), &[req.as_bytes()]);
        assert!(
            response.starts_with("HTTP/1.1 404"),
            "the admin server must not know {path}: {response}"
        );
    }
    assert!(
        Caller::new().get(host.caller_addr(), "/pricing/quote").is_ok(),
        "the node must still serve after bad input"
    );
}

/// Guards against an unbounded number of open connections: with a limit of 3 and 3 idle connections
/// open, the next one is refused.
#[test]
fn connections_beyond_the_limit_are_refused() {
    let services = vec![ServicePlan::new("pricing", 1, 4, 1)];
    let plan = MeshPlan::new(&[("zone-a", "region-a")], services);
    let mut mesh = Mesh::start(plan, &Mesh::find_bin_dir().unwrap()).unwrap();
    let host = mesh.plan.hosts[0].clone();
    let settings = mesh.plan.settings(&host) + "\n[bounds]\nconnections = 3\n";
    mesh.node(0).unwrap().kill();
    mesh.start_node_with_settings(0, &settings).unwrap();
    mesh.wait_ready(0).unwrap();
    let idle: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(host.caller_addr()).unwrap()).collect();
    assert_refused(&exchange_raw(host.caller_addr(), &[]), "503");
    drop(idle);
}

/// Guards against settings and sheets that are accepted although they are invalid, and against a
/// check that stops at the first error: all errors in the settings are reported at once.
#[test]
fn invalid_settings_and_sheets_are_reported_in_full() {
    let bin = Mesh::find_bin_dir().unwrap();
    let dir = std::env::temp_dir().join(format!("snipehollow-input-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let ini = dir.join("bad.ini");
    std::fs::write(&ini, "[host]\nname = a b\ncolour = red\n[nonsense]\nx = 1\n").unwrap();
    let output = Command::new(bin.join("snipehollowd"))
        .args(["--check", "--config"])
        .arg(&ini)
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for part in
        ["[host] name = \"a b\"", "[host] colour", "[nonsense]", "[listen] caller is missing"]
    {
        assert!(errors.contains(part), "{part} is missing in\n{errors}");
    }
    let csv = dir.join("bad.csv");
    std::fs::write(&csv, b"kind,name\nclass,\xff\xfe\n").unwrap();
    let output =
        Command::new(bin.join("snipehollow")).args(["sheet", "check"]).arg(&csv).output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}
