//! Bad input against every face and both programs.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use snipehollow_core::outcome::Outcome;
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};

use crate::support::{Caller, small_mesh};

/// Sends raw bytes and returns all that comes back until the connection closes.
fn raw(to: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    for part in parts {
        // A face may answer and close before all is sent.
        let _ = stream.write_all(part);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_refused(answer: &str, status: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer:?}");
    assert!(answer.contains("snipehollow-outcome: not-run"), "{answer:?}");
}

#[test]
fn bad_input_caller_and_peer_face() {
    let mesh = small_mesh();
    let host = mesh.plan.hosts[0].clone();
    for face in [host.caller_addr(), host.peer_addr()] {
        let large = format!(
            "GET /pricing/x HTTP/1.1\r\nhost: h\r\nx-large: {}\r\n\r\n",
            "a".repeat(64 << 10)
        );
        assert_refused(&raw(face, &[large.as_bytes()]), "431");
        let many: String = (0..100).map(|i| format!("x-{i}: 1\r\n")).collect();
        let many = format!("GET /pricing/x HTTP/1.1\r\nhost: h\r\n{many}\r\n");
        assert_refused(&raw(face, &[many.as_bytes()]), "431");
        assert_refused(&raw(face, &[b"\x00\x01\x02 binary \xff\xfe\r\n\r\n"]), "400");
        assert_refused(
            &raw(face, &[b"GET /pricing/x HTTP/1.1\r\nhost: h\r\nx-never: ends"]),
            "408",
        );
    }
    assert!(Caller::new().get(host.caller_addr(), "/pricing/quote").is_ok());
}

#[test]
fn bad_input_bodies_and_paths() {
    let mesh = small_mesh();
    let to = mesh.plan.hosts[0].caller_addr();
    let too_large = "POST /orders/new HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        content-length: 2000000\r\n\r\n";
    let body = vec![b'x'; 2_000_000];
    assert_refused(&raw(to, &[too_large.as_bytes(), &body]), "413");
    let slow = "POST /orders/new HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        content-length: 100\r\n\r\nonly a part";
    assert_refused(&raw(to, &[slow.as_bytes()]), "408");
    for (path, status) in [("/", "400"), ("//x", "400"), ("/no-such-service/x", "404")] {
        let req = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        assert_refused(&raw(to, &[req.as_bytes()]), status);
    }
    assert!(Caller::new().get(to, "/pricing/quote").is_ok());
}

#[test]
fn bad_input_headers_of_callers() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let to = mesh.plan.hosts[0].caller_addr();
    let send = |name: &'static str, value: &str| {
        let mut map = HeaderMap::new();
        map.insert(name, value.parse().unwrap());
        caller.send(to, &Method::GET, "/pricing/quote", map, "")
    };
    // Internal headers of a caller are removed and change nothing.
    for name in ["snipehollow-secret", "snipehollow-class", "snipehollow-allowance"] {
        assert!(send(name, "0;0;999;idempotent").is_ok(), "{name}");
    }
    for (name, value) in [
        ("snipehollow-request-id", "has spaces in it"),
        ("snipehollow-caller", "a/b"),
        ("snipehollow-ticket", "forged"),
        ("snipehollow-context", "00000000000000000000000000000000"),
    ] {
        let result = send(name, value);
        assert_eq!(result.outcome, Some(Outcome::NotRun), "{name}: {result:?}");
    }
    let long = "x".repeat(200);
    assert_eq!(send("snipehollow-request-id", &long).outcome, Some(Outcome::NotRun));
}

#[test]
fn bad_input_forged_ticket_is_not_run() {
    let mesh = small_mesh();
    let caller = Caller::new();
    let to = mesh.plan.hosts[0].caller_addr();
    let ticket = caller.ticket(to);
    let mut fields: Vec<String> = ticket.split('~').map(str::to_owned).collect();
    fields[2] = "4711".into();
    let result = caller.order(to, "net", Some(&fields.join("~")));
    assert_eq!(result.outcome, Some(Outcome::NotRun), "{result:?}");
    assert_eq!(result.status.map(|status| status.as_u16()), Some(400));
}

#[test]
fn bad_input_peer_face_without_the_secret() {
    let mesh = small_mesh();
    let to = mesh.plan.hosts[0].peer_addr();
    let req = b"GET /pricing/x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
        snipehollow-secret: guess\r\nsnipehollow-zone: zone-a\r\n\r\n";
    assert_refused(&raw(to, &[req]), "403");
}

#[test]
fn bad_input_control_upstream_and_admin_face() {
    let mesh = small_mesh();
    let host = mesh.plan.hosts[0].clone();
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"config.pull","params":[{"secret":"guess","zone":"zone-a","body":{"revision":0}}]}"#;
    let req = format!(
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = raw(host.control_addr(), &[req.as_bytes()]);
    assert!(answer.contains("not a node of this fleet"), "{answer}");
    for body in ["", "{", "[]", &"x".repeat(10_000)] {
        let req = format!(
            "POST /announce HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = raw(host.upstream_listener_addr(), &[req.as_bytes()]);
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    for path in ["/no-such-page", "/explain/%ff", "/quarantine/lift/x/not-hex"] {
        let req = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        assert!(raw(host.admin_addr(), &[req.as_bytes()]).starts_with("HTTP/1.1 404"), "{path}");
    }
    assert!(Caller::new().get(host.caller_addr(), "/pricing/quote").is_ok());
}

#[test]
fn bad_input_connections_beyond_the_bound() {
    let services = vec![ServicePlan::new("pricing", 1, 4, 1)];
    let plan = MeshPlan::new(&[("zone-a", "region-a")], services);
    let mut mesh = Mesh::start(plan, &Mesh::find_bin_dir().unwrap()).unwrap();
    let host = mesh.plan.hosts[0].clone();
    let settings = mesh.plan.settings(&host) + "\n[bounds]\nconnections = 3\n";
    mesh.node(0).unwrap().kill();
    mesh.start_node_with_settings(0, &settings).unwrap();
    mesh.wait_ready(0).unwrap();
    let held: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(host.caller_addr()).unwrap()).collect();
    assert_refused(&raw(host.caller_addr(), &[]), "503");
    drop(held);
}

#[test]
fn bad_input_settings_and_sheets() {
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
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    for part in
        ["[host] name = \"a b\"", "[host] colour", "[nonsense]", "[listen] caller is missing"]
    {
        assert!(text.contains(part), "{part} is missing in\n{text}");
    }
    let csv = dir.join("bad.csv");
    std::fs::write(&csv, b"kind,name\nclass,\xff\xfe\n").unwrap();
    let output =
        Command::new(bin.join("snipehollow")).args(["sheet", "check"]).arg(&csv).output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}
