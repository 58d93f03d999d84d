//! HTTP/1.1 messages over blocking streams, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Header fields in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message whose body has a length; `None` at the end of the stream.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        message.first_line = line.trim_end().to_owned();
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => {
                    message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
                }
                None => break,
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Writes a response with a body of a known length.
pub fn respond(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and returns the response; `None` if there is none.
pub fn call(
    to: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut text = format!("{line} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    Message::read(&mut BufReader::new(stream)).ok()?
}

/// Interval at which a listener that may end looks for connections.
pub const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Like [`listen`], until `ended` is set.
pub fn listen_until(
    addr: SocketAddr,
    ended: Arc<AtomicBool>,
    serve: impl Fn(TcpStream) + Clone + Send + 'static,
) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|err| panic!("bind {addr}: {err}"));
    listener.set_nonblocking(true).expect("set the listener to non-blocking");
    thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}

/// Accepts connections and runs `serve` for each in a thread of its own.
pub fn listen(addr: SocketAddr, serve: impl Fn(TcpStream) + Clone + Send + 'static) {
    let listener = TcpListener::bind(addr).unwrap_or_else(|err| panic!("bind {addr}: {err}"));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
}
