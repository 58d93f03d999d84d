//! Machines of a small deployment: a node, started as the deploy file says, and its addresses.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Interval of the heartbeats of an instance, as in the settings of the small sites.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Zones of a deployment, with their regions.
pub type Zones = &'static [(&'static str, &'static str)];

/// A machine with one instance and its node.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    zones: Zones,
    pub service: &'static str,
    ip: Ipv4Addr,
    /// Second port of the range; the node also uses it at 127.0.0.1.
    last_port: u16,
    store: SocketAddr,
    folder: PathBuf,
    node: Option<Child>,
}

impl Machine {
    /// Creates a machine with a loopback address of its own. `index` counts from 1.
    pub fn new(
        index: u8,
        zone: &'static str,
        zones: Zones,
        service: &'static str,
        store: SocketAddr,
        folder: &Path,
    ) -> Machine {
        let ip = loopback(index);
        let last_port = free_port();
        let name = format!("sidecar-{zone}-{index}");
        Machine {
            name,
            zone,
            zones,
            service,
            ip,
            last_port,
            store,
            folder: folder.into(),
            node: None,
        }
    }

    /// Address at which the instance serves.
    pub fn instance(&self) -> SocketAddr {
        (self.ip, 8301).into()
    }

    /// Address for the clients of the machine.
    pub fn outbound(&self) -> SocketAddr {
        (self.ip, 8304).into()
    }

    /// Address for the calls of the instance about itself.
    pub fn control(&self) -> SocketAddr {
        (self.ip, 8306).into()
    }

    fn ready(&self) -> SocketAddr {
        (self.ip, 8302).into()
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "ready")];
        let limit = Duration::from_secs(1);
        let answer = http::call(self.ready(), "GET /-/ready", &headers, b"", limit);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Starts the node by the `run` line and the template of the deploy file.
    pub fn start(&mut self) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
        let setting = |name: &str| {
            let line = deploy.lines().find(|line| line.starts_with(&format!("{name} = ")));
            line.and_then(|line| line.split('"').nth(1)).unwrap_or_default().to_owned()
        };
        let template = fs::read_to_string(setting("template")).expect("template of the settings");
        let file = self.folder.join(format!("{}.ini", self.name));
        fs::write(&file, self.fill_in(&template)).expect("write the settings");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .expect("open the log");
        let run = self.fill_in(&setting("run"));
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().unwrap_or_default());
        command
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("SNIPEHOLLOW_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("clone the log"))
            .stderr(log);
        self.node = Some(command.spawn().expect("start the node"));
    }

    /// Kills the node, as by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut node) = self.node.take() {
            let _ = node.kill();
            let _ = node.wait();
        }
    }

    /// Sends SIGTERM to the node.
    pub fn terminate(&self) {
        if let Some(node) = &self.node {
            let _ = Command::new("kill").arg("-TERM").arg(node.id().to_string()).status();
        }
    }

    /// Fills in the placeholders that the deploy file uses.
    fn fill_in(&self, template: &str) -> String {
        let mut text = template.to_owned();
        for (name, entries) in [
            ("AppAddr", vec![(String::new(), self.instance().to_string())]),
            ("Zones", self.zones.iter().map(|(z, r)| (z.to_string(), r.to_string())).collect()),
        ] {
            text = fill_in_section(&text, name, &entries);
        }
        let region = self.zones.iter().find(|(zone, _)| *zone == self.zone).map_or("", |(_, r)| r);
        let first_port = self.last_port - 15;
        for (name, value) in [
            ("NodeId", self.name.clone()),
            ("Zone", self.zone.into()),
            ("Region", region.into()),
            ("Service", self.service.into()),
            ("Ip", self.ip.to_string()),
            ("Heartbeat", format!("{}ms", HEARTBEAT.as_millis())),
            ("Listen.Outbound", self.outbound().to_string()),
            ("Listen.Control", self.control().to_string()),
            ("Listen.ReadinessAddr", self.ready().to_string()),
            ("PortRange.0", first_port.to_string()),
            ("PortRange.1", self.last_port.to_string()),
            ("Platform.Address", self.store.to_string()),
            ("Bounds.Grace", "6s".into()),
            ("Bounds.Drain", "2500ms".into()),
            ("Limits.MemoryMb", "260".into()),
        ] {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Renders a section once for each entry of a list or table.
fn fill_in_section(text: &str, name: &str, entries: &[(String, String)]) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = text.split_once(&open) else {
        return text.to_owned();
    };
    let Some((inside, after)) = rest.split_once(&close) else {
        return text.to_owned();
    };
    let render =
        |(key, value): &(String, String)| inside.replace("{{@}}", key).replace("{{.}}", value);
    let rendered: String = entries.iter().map(render).collect();
    format!("{before}{rendered}{after}")
}

/// Returns a port of 127.0.0.1 that is free and not returned before. It is below the range that the
/// system takes for outgoing connections.
fn free_port() -> u16 {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 18_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 64 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = (FIRST + number % COUNT) as u16;
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
}

/// Returns a loopback address that only this process uses.
pub fn loopback(index: u8) -> Ipv4Addr {
    // Process ids have at most 22 bits; the first 6 of them rarely differ.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high / 4, (high % 4) * 64 + low / 4, (low % 4) * 64 + index)
}

/// Waits until a condition holds; returns whether it does within the limit.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
