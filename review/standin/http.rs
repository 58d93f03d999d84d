//! HTTP/1.1 messages for the stand-ins: just what clients, instances and the store need.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Value of a parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.split_once('=').filter(|p| p.0 == name));
        pair.map(|(_, value)| percent_decode(value))
    }
}

/// A response as a client receives it.
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%' && i + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[i + 1..i + 3], 16).ok())
            .flatten();
        out.push(hex.unwrap_or(bytes[i]));
        i += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| Error::other("bad header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_chunked(reader: &mut impl BufRead) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(Error::other)?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(body);
        }
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        read_line(reader)?;
    }
}

/// Reads a body that is chunked or has a length. Without either, it is empty in a request, and ends
/// with the connection in a response.
fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    to_end: bool,
) -> Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return read_chunked(reader);
    }
    let mut body = Vec::new();
    match find(headers, "content-length") {
        Some(length) => {
            body.resize(length.parse().map_err(Error::other)?, 0);
            reader.read_exact(&mut body)?;
        }
        None if to_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Sends a request on a new connection and reads the whole response. An error means that the
/// connection ended, or the time passed, before the response was complete.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| Error::other("no status line"))?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers, true)?;
    Ok(Response { status, headers, body })
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let reason = if status < 300 { "OK" } else { "Error" };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection in a thread of its own, until the process ends. `handle` returns whether
/// the connection stays open.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(Request, &mut TcpStream) -> Result<bool> + Clone + Send + 'static,
{
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let handle = handle.clone();
        thread::spawn(move || serve_connection(stream, handle));
    }
}

fn serve_connection<H>(stream: TcpStream, handle: H) -> Result<()>
where
    H: Fn(Request, &mut TcpStream) -> Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let line = read_line(&mut reader)?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let target = words.next().unwrap_or("").to_owned();
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers, false)?;
        if !handle(Request { method, target, headers, body }, &mut writer)? {
            return Ok(());
        }
    }
}
