//! Stand-in for clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::record::Record;

static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without a body, with an id of its own.
    pub fn get(host: &str, path: &str, deadline: Duration) -> Request {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        Request {
            id,
            method: "GET",
            host: host.into(),
            path: path.into(),
            deadline,
            body: Vec::new(),
        }
    }

    pub fn post(host: &str, path: &str, deadline: Duration, body: &[u8]) -> Request {
        Request { method: "POST", body: body.to_vec(), ..Request::get(host, path, deadline) }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nSnipehollow-Request-Id: {}\r\nSnipehollow-Deadline-Ms: {}\r\n",
            self.method,
            self.path,
            self.host,
            self.id,
            self.deadline.as_millis()
        );
        if self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        [text.as_bytes(), &self.body].concat()
    }

    /// Sends the request on a connection and returns the answer; `None` without a whole one.
    pub fn send_on(&self, connection: &mut Connection, record: &Record) -> Option<Message> {
        record.line(&format!("client sends {} {} {}", self.id, self.method, self.path));
        let _ = connection.stream.set_read_timeout(Some(self.deadline + Duration::from_secs(1)));
        let sent = connection.write(&self.bytes());
        let answer = sent.and_then(|()| connection.read());
        match answer {
            Ok(Some(answer)) => {
                let seal = answer.header("snipehollow-response-seal").unwrap_or("none");
                let (status, len) = (answer.status(), answer.body.len());
                record.line(&format!(
                    "client gets {status} to {}, seal {seal}, {len} bytes",
                    self.id
                ));
                Some(answer)
            }
            Ok(None) => {
                record.line(&format!("client gets no answer to {}: closed", self.id));
                None
            }
            Err(err) => {
                record.line(&format!("client gets no answer to {}: {err}", self.id));
                None
            }
        }
    }

    /// Sends the request on a new connection.
    pub fn send(&self, to: SocketAddr, record: &Record) -> Option<Message> {
        match Connection::open(to) {
            Ok(mut connection) => self.send_on(&mut connection, record),
            Err(err) => {
                record.line(&format!("client cannot connect for {}: {err}", self.id));
                None
            }
        }
    }
}
