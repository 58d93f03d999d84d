//! Minimal HTTP/1.1 over blocking sockets, for stand-ins only.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Time limit for a single read or write of a stand-in.
const IO_TIMEOUT: Duration = Duration::from_secs(40);

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(pair.replace("%2F", "/").replace("%2f", "/"))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Connection that keeps the bytes which arrived behind a message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> Result<Connection> {
        Connection::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?)
    }

    pub fn new(stream: TcpStream) -> Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        Ok(Connection { stream, rest: Vec::new() })
    }

    /// Reads one message; `None` if the connection ends before its first byte.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let Some(end) = self.fill_until(|buf| find(buf, b"\r\n\r\n"))? else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message =
            Message { start: lines.next().unwrap_or("").into(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().into(), value.trim().into()));
            }
        }
        let chunked =
            message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            message.body = self.read_chunks()?;
        } else if let Some(len) = message.header("content-length").and_then(|v| v.parse().ok()) {
            message.body = self.read_exact(len)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = self.fill_until(|buf| find(buf, b"\r\n"))?.ok_or(ErrorKind::UnexpectedEof)?;
            let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            self.rest.drain(..end + 2);
            let size = size.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(Error::other)?;
            body.extend(self.read_exact(size)?);
            self.read_exact(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn read_exact(&mut self, len: usize) -> Result<Vec<u8>> {
        self.fill_until(|buf| (buf.len() >= len).then_some(len))?
            .ok_or(ErrorKind::UnexpectedEof)?;
        Ok(self.rest.drain(..len).collect())
    }

    /// Reads until `found` returns a position; `None` if the connection ends without any byte.
    fn fill_until(&mut self, found: impl Fn(&[u8]) -> Option<usize>) -> Result<Option<usize>> {
        let mut buf = [0; 16_384];
        loop {
            if let Some(at) = found(&self.rest) {
                return Ok(Some(at));
            }
            match self.stream.read(&mut buf)? {
                0 if self.rest.is_empty() => return Ok(None),
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                read => self.rest.extend_from_slice(&buf[..read]),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a length.
    pub fn respond(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        self.write(&[text.as_bytes(), body].concat())
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(addr: SocketAddr, request: &str, timeout: Duration) -> Result<Message> {
    let mut connection = Connection::open(addr)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.write(request.as_bytes())?;
    connection.read()?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Accepts connections and runs `handle` for each in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                if let Ok(connection) = Connection::new(stream) {
                    handle(connection);
                }
            });
        }
    });
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|window| window == pattern)
}
