//! A machine is stopped while clients read large downloads slowly.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::Request;
use crate::deployment::{Deployment, HOST, Route};
use crate::fleet::Machine;
use crate::http::Connection;
use crate::instance::{Instance, answer};
use crate::record::Record;

/// `Grace` of the deployment.
const GRACE: Duration = Duration::from_secs(6);
/// `Timeout` of the route, and deadline of the clients.
const TIMEOUT: Duration = Duration::from_secs(4);
const WORK: Duration = Duration::from_millis(180);
const BODY_BYTES: usize = 7_900_000;
/// When the downloads are requested after the SIGTERM. The platform asks for readiness once a
/// second, and two misses take the machine out.
const SEND_DELAY: Duration = Duration::from_millis(1_800);
/// How long a client pauses after the first bytes of its answer.
const PAUSE: Duration = Duration::from_millis(3_300);
const CLIENTS: usize = 5;

pub fn play(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let machines = [
        Machine::new("gauteng-a", "gauteng", "catalogue")?,
        Machine::new("gauteng-a", "gauteng", "documents")?,
    ];
    let routes = [Route {
        name: "r-documents",
        prefix: "/cufi502/",
        kind: "download",
        timeout_ms: TIMEOUT.as_millis() as u32,
        service: "documents",
        attempts: 2,
    }];
    let mut deployment = Deployment::start(&machines, &routes, record)?;
    let work = Arc::new(|instance: &Instance, request: &_, connection: &mut _| {
        thread::sleep(WORK);
        answer(request, connection, &vec![b'd'; BODY_BYTES])?;
        instance.record.line(&format!("instance {} has ended its work", instance.id));
        Ok(())
    });
    let _catalogue = Instance::start(&machines[0], "i-catalogue", record, work.clone())?;
    let _documents = Instance::start(&machines[1], "i-documents", record, work)?;
    record.wait_until(Duration::from_secs(5));

    let stopped = record.now();
    if trouble {
        deployment.nodes[0].signal("TERM")?;
    }
    record.wait_until(stopped + SEND_DELAY);
    let to = machines[0].outbound;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || download(to, &record))
        })
        .collect();
    if trouble {
        deployment.nodes[0].wait_end(GRACE)?;
        let after = record.now() - stopped;
        record.line(&format!("the process has ended {:.3} s after SIGTERM", after.as_secs_f64()));
    }
    let mut cut = 0;
    for client in clients {
        let end = client.join().map_err(|_| std::io::Error::other("a client failed"))??;
        if !trouble && !end.is_whole {
            return Err(std::io::Error::other("a download failed without a stop"));
        }
        cut += usize::from(end.is_cut_success && end.after < TIMEOUT);
    }
    record.line(&format!("{cut} of {CLIENTS} answers were cut before their time was over"));
    Ok(cut > 0)
}

struct End {
    is_whole: bool,
    /// Whether a success began and ended before its last byte.
    is_cut_success: bool,
    /// Time from the request to the end of the answer.
    after: Duration,
}

/// Requests a download, pauses after its first bytes and reads the rest.
fn download(to: SocketAddr, record: &Record) -> std::io::Result<End> {
    let request = Request::get(HOST, "/cufi502/2f", TIMEOUT);
    let sent = record.now();
    record.line(&format!("client sends {} GET {}", request.id, request.path));
    let mut connection = Connection::open(to)?;
    connection.write(&request.bytes())?;
    let mut buf = vec![0; 65_536];
    let mut bytes = connection.stream.read(&mut buf)?;
    let head = String::from_utf8_lossy(&buf[..bytes]).into_owned();
    let head_bytes = head.find("\r\n\r\n").map_or(0, |at| at + 4);
    let is_success = head.starts_with("HTTP/1.1 200");
    let first = head.lines().next().unwrap_or("");
    record.line(&format!("client gets the head for {}: {first}", request.id));
    thread::sleep(PAUSE);
    while bytes < head_bytes + BODY_BYTES && is_success {
        match connection.stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes += read,
        }
    }
    let after = record.now() - sent;
    let body = bytes - head_bytes;
    let is_whole = is_success && body == BODY_BYTES;
    record.line(&format!(
        "client has {body} of {BODY_BYTES} bytes for {} after {:.3} s",
        request.id,
        after.as_secs_f64()
    ));
    Ok(End { is_whole, is_cut_success: is_success && !is_whole, after })
}
