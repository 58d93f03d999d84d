//! Case about a response without a length whose instance dies while its node is being stopped.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, FOUR_ZONES, Load, start_heartbeats};
use crate::http::{self, Message};
use crate::instance::Instance;
use crate::machine::{HEARTBEAT, wait_until};
use crate::record::Record;

const LOAD: Load = Load {
    interval: Duration::from_millis(100),
    work: Duration::from_millis(15),
    unique_bodies: false,
};
/// Id of the instance that streams its responses.
const STREAMER: &str = "i-3";
/// Pieces of a response, the length of each, and the time between two of them.
const PIECES: usize = 10;
const PIECE_BYTES: usize = 1_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of downloads in progress when the instance dies.
const DOWNLOADS: usize = 16;

/// Serves at `addr` as an instance that streams each response without a length, until it is killed.
pub fn serve(addr: SocketAddr) {
    http::listen(addr, |stream| {
        let _ = stream_responses(&stream);
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn stream_responses(mut stream: &TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = Message::read(&mut reader)? {
        if request.target() == "/healthz" {
            http::respond(stream, 200, &[("Snipehollow-Instance-Id", STREAMER)], b"")?;
            continue;
        }
        let id = request.header("snipehollow-request-id").unwrap_or("");
        let head = format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nSnipehollow-Request-Id: {id}\r\n\
             Snipehollow-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for piece in 0..PIECES {
            thread::sleep(PIECE_INTERVAL);
            stream.write_all(&[b'0' + piece as u8; PIECE_BYTES])?;
        }
        return Ok(());
    }
    Ok(())
}

/// Process of the streaming instance, which is killed at the latest when it is dropped.
struct Process(Child);

impl Process {
    fn start(addr: SocketAddr) -> Option<Process> {
        let program = std::env::current_exe().ok()?;
        let mut command = Command::new(program);
        command.arg("streaming-instance").arg(addr.to_string()).stdin(Stdio::null());
        command.spawn().ok().map(Process)
    }

    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An instance is killed while it streams responses and its node is being stopped.
pub fn cut_while_stopping(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start(FOUR_ZONES, &[1, 3, 2, 2], LOAD, scratch, record)
    else {
        return Verdict::NotRun;
    };
    // The streaming instance takes the place of the first one.
    deployment.stop_heartbeats(0);
    deployment.instances[0].crash();
    let addr = deployment.machines[0].instance();
    let Some(mut process) = Process::start(addr) else {
        return Verdict::NotRun;
    };
    let instance = Instance::announced(STREAMER, &deployment.machines[0], record);
    if !wait_until(Duration::from_secs(5), || TcpStream::connect(addr).is_ok()) {
        return Verdict::NotRun;
    }
    deployment.beating[0] = start_heartbeats(&instance);
    thread::sleep(HEARTBEAT * 2);
    let downloads: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            let (to, record) = (deployment.machines[0].outbound(), Arc::clone(record));
            thread::spawn(move || download(to, number, &record))
        })
        .collect();
    thread::sleep(PIECE_INTERVAL * 2);
    record.add(&format!("{} gets SIGTERM", deployment.machines[0].name));
    deployment.machines[0].terminate();
    thread::sleep(PIECE_INTERVAL * 3);
    if trouble {
        record.add(&format!("{STREAMER} is killed"));
        process.kill();
    }
    let answers: Vec<_> =
        downloads.into_iter().filter_map(|thread| thread.join().ok().flatten()).collect();
    let whole: Vec<u8> = (0..PIECES).flat_map(|piece| [b'0' + piece as u8; PIECE_BYTES]).collect();
    // The other instance answers with its id and that of the request.
    let streamed: Vec<_> =
        answers.iter().filter(|answer| !answer.body.starts_with(b"i-")).collect();
    let cut = streamed.iter().filter(|answer| answer.status() == 200 && answer.body != whole);
    let cut = cut.count();
    record.add(&format!(
        "{} answers, {} not from the other instance, {cut} successes with a part of the body",
        answers.len(),
        streamed.len()
    ));
    match (streamed.is_empty(), cut) {
        (true, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn download(to: SocketAddr, number: usize, record: &Record) -> Option<Message> {
    let id = format!("d0{number:014x}");
    let headers = [
        ("Host", "hulo84.example"),
        ("Snipehollow-Request-Id", id.as_str()),
        ("Snipehollow-Deadline-Ms", "2500"),
        ("Connection", "close"),
    ];
    let answer = http::call(to, "GET /cufi502/2f", &headers, b"", Duration::from_secs(4));
    match &answer {
        Some(answer) => record.add(&format!(
            "download {id}: {}, content-length {}, {} bytes, seal {}",
            answer.status(),
            answer.header("content-length").unwrap_or("none"),
            answer.body.len(),
            answer.header("snipehollow-response-seal").unwrap_or("none")
        )),
        None => record.add(&format!("download {id}: no answer")),
    }
    answer
}
