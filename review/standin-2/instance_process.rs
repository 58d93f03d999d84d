//! An instance in a process of its own, which the driver can kill.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::fleet::Machine;
use crate::http::{Connection, Message};
use crate::instance::{Instance, SEAL, Work, answer};
use crate::record::Record;

/// Work of an instance that crashes when it begins to run a request with the body [`POISON`], and
/// that sheds part of its requests in the time named by the variable [`SHED_VARIABLE`].
pub const FRAGILE: &str = "fragile";
pub const POISON: &str = "poison";
/// Start and end of the shedding in milliseconds of the record, separated by a dash.
pub const SHED_VARIABLE: &str = "REVIEW_2_SHED";
/// Of this many requests, the number that is shed.
const SHED_CYCLE: u64 = 20;
const SHED_COUNT: u64 = 11;
const WORK_TIME: Duration = Duration::from_millis(50);

/// Pieces of an answer without a length, and the time between them.
pub const PIECES: usize = 60;
pub const PIECE_BYTES: usize = 1_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
const DRAIN_COMMAND: &str = "drain";
const ACKNOWLEDGED: &str = "acknowledged";

/// Work of an instance whose answers have no length.
pub const WITHOUT_LENGTH: &str = "without-length";

/// Runs an instance until standard input ends.
pub fn run(args: &[String]) -> ExitCode {
    let [work, app, control, service, zone, id, record, start] = args else {
        return ExitCode::from(2);
    };
    let start = Duration::from_micros(start.parse().unwrap_or(0));
    let (Ok(app), Ok(control), Ok(record)) =
        (app.parse(), control.parse(), Record::attach(Path::new(record), start))
    else {
        return ExitCode::from(2);
    };
    let instance = Instance::new(app, control, service, zone, id, &record);
    let work: Arc<Work> = match work.as_str() {
        WITHOUT_LENGTH => Arc::new(send_without_length),
        FRAGILE => Arc::new(run_unless_poisoned),
        _ => return ExitCode::from(2),
    };
    if instance.run(work).is_err() {
        return ExitCode::from(2);
    }
    for line in std::io::stdin().lines().map_while(Result::ok) {
        if line == DRAIN_COMMAND {
            instance.leaving.store(true, Ordering::Release);
            if instance.beat(instance.next_seq(), "draining") {
                println!("{ACKNOWLEDGED}");
            }
        }
    }
    ExitCode::SUCCESS
}

/// Sends an answer that has no length and ends with its connection, in pieces.
fn send_without_length(
    instance: &Instance,
    request: &Message,
    connection: &mut Connection,
) -> std::io::Result<()> {
    let id = request.header("snipehollow-request-id").unwrap_or("");
    let head = format!(
        "HTTP/1.1 200 OK\r\nSnipehollow-Request-Id: {id}\r\nSnipehollow-Response-Seal: {SEAL}\r\n\
         Connection: close\r\n\r\n"
    );
    connection.write(head.as_bytes())?;
    for _ in 0..PIECES {
        connection.write(&[b'd'; PIECE_BYTES])?;
        thread::sleep(PIECE_INTERVAL);
    }
    instance.record.line(&format!("instance {} has sent the whole answer to {id}", instance.id));
    connection.stream.shutdown(std::net::Shutdown::Both)
}

fn run_unless_poisoned(
    instance: &Instance,
    request: &Message,
    connection: &mut Connection,
) -> std::io::Result<()> {
    if sheds(instance) {
        let id = request.header("snipehollow-request-id").unwrap_or("");
        instance.record.line(&format!("instance {} sheds {id}", instance.id));
        let headers = [("Snipehollow-Request-Id", id), ("Snipehollow-Not-Executed", "1")];
        return connection.respond("503 Service Unavailable", &headers, b"");
    }
    if request.body.starts_with(POISON.as_bytes()) {
        let id = request.header("snipehollow-request-id").unwrap_or("");
        instance.record.line(&format!("instance {} crashes-at {id}", instance.id));
        std::process::exit(1);
    }
    thread::sleep(WORK_TIME);
    answer(request, connection, &[b'x'; 600])
}

/// Returns whether a request is shed. Never more than the share of all requests of the period so
/// far is shed, and the first one never.
fn sheds(instance: &Instance) -> bool {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    let period = std::env::var(SHED_VARIABLE).unwrap_or_default();
    let (Some(start), Some(end)) = (
        period.split('-').next().and_then(|text| text.parse().ok()),
        period.split('-').nth(1).and_then(|text| text.parse().ok()),
    ) else {
        return false;
    };
    if !(start..end).contains(&instance.record.now().as_millis()) {
        return false;
    }
    let before = REQUESTS.fetch_add(1, Ordering::AcqRel);
    let shed_after = |requests: u64| requests * SHED_COUNT / SHED_CYCLE;
    shed_after(before + 1) > shed_after(before)
}

/// Handle of the process; it is killed when dropped.
pub struct InstanceProcess {
    child: Child,
    out: BufReader<ChildStdout>,
    record: Record,
}

impl InstanceProcess {
    pub fn start(
        machine: &Machine,
        work: &str,
        id: &str,
        shed: Option<(Duration, Duration)>,
        record: &Record,
    ) -> std::io::Result<InstanceProcess> {
        let shed = shed.map(|(from, to)| format!("{}-{}", from.as_millis(), to.as_millis()));
        let mut child = Command::new(std::env::current_exe()?)
            .env(SHED_VARIABLE, shed.unwrap_or_default())
            .args(["instance", work])
            .arg(machine.app.to_string())
            .arg(machine.control.to_string())
            .args([&machine.service, &machine.zone, id])
            .arg(record.path())
            .arg(record.start().as_micros().to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| std::io::Error::other("no output"))?;
        Ok(InstanceProcess { child, out: BufReader::new(out), record: record.clone() })
    }

    /// Makes the instance report that it is draining, and waits for the acknowledgement.
    pub fn drain(&mut self) -> std::io::Result<()> {
        if let Some(input) = &mut self.child.stdin {
            input.write_all(format!("{DRAIN_COMMAND}\n").as_bytes())?;
        }
        let mut line = String::new();
        self.out.read_line(&mut line)?;
        match line.trim() == ACKNOWLEDGED {
            true => Ok(()),
            false => Err(std::io::Error::other("the leave was not acknowledged")),
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn kill(&mut self) -> std::io::Result<()> {
        self.record.line("the instance is killed");
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
