//! Machines with a node each, started with the command and the template of the deploy file.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

/// Heartbeat interval of the platform.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports that [`free`] chooses from.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 20_000;
/// Distance of the first ports of two processes with successive ids.
const PORT_STRIDE: u32 = 307;

static MACHINES: AtomicU8 = AtomicU8::new(0);
static CHOSEN_PORTS: AtomicU16 = AtomicU16::new(0);

/// Addresses of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub ip: Ipv4Addr,
    /// Address of the instance.
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    /// Ports between nodes.
    ports: (u16, u16),
    metrics: SocketAddr,
}

impl Machine {
    /// Chooses a loopback address and free ports.
    pub fn new(zone: &str, region: &str, service: &str) -> Result<Machine> {
        let number = MACHINES.fetch_add(1, Ordering::Relaxed) + 1;
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, (40 + pid % 200) as u8, (pid / 200 % 250) as u8, number);
        Ok(Machine {
            name: format!("sidecar-{zone}-{number}"),
            zone: zone.into(),
            region: region.into(),
            service: service.into(),
            ip,
            app: free(ip)?,
            outbound: free(ip)?,
            control: free(ip)?,
            ready: free(ip)?,
            ports: (free(ip)?.port(), free(Ipv4Addr::LOCALHOST)?.port()),
            metrics: free(ip)?,
        })
    }

    /// Fills in the template of the deploy file.
    fn settings(&self, zones: &[(String, String)], store: SocketAddr) -> Result<String> {
        let template = fs::read_to_string("deploy/node.ini")?;
        let zone_line = "{{#Zones}}{{@}} = {{.}} store\n{{/Zones}}";
        let zones: Vec<String> =
            zones.iter().map(|(zone, region)| format!("{zone} = {region} store")).collect();
        let app_line = "{{#AppAddr}}upstream = {{.}}\n{{/AppAddr}}";
        let text = template
            .replace(zone_line, &format!("{}\n", zones.join("\n")))
            .replace(app_line, &format!("upstream = {}\n", self.app))
            .replace("{{NodeId}}", &self.name)
            .replace("{{Zone}}", &self.zone)
            .replace("{{Region}}", &self.region)
            .replace("{{Service}}", &self.service)
            .replace("{{Listen.Outbound}}", &self.outbound.to_string())
            .replace("{{Listen.Control}}", &self.control.to_string())
            .replace("{{Listen.ReadinessAddr}}", &self.ready.to_string())
            .replace("{{Ip}}:9464", &self.metrics.to_string())
            .replace("{{Ip}}", &self.ip.to_string())
            .replace("{{PortRange.0}}", &self.ports.0.to_string())
            .replace("{{PortRange.1}}", &self.ports.1.to_string())
            .replace("{{Platform.Address}}", &store.to_string());
        match text.contains("{{") {
            true => Err(Error::other(format!("the template has an unknown field: {text}"))),
            false => Ok(text),
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = format!("GET /-/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        call(self.ready, &request, Duration::from_secs(1)).is_ok_and(|m| m.status() == 200)
    }
}

/// Returns a free port of an address, below those that the system gives to outgoing connections.
pub fn free(ip: Ipv4Addr) -> Result<SocketAddr> {
    let start = FIRST_PORT + (std::process::id() * PORT_STRIDE) % PORTS;
    for _ in 0..PORTS {
        let offset = u32::from(CHOSEN_PORTS.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (start - FIRST_PORT + offset) % PORTS;
        let addr = SocketAddr::new(IpAddr::V4(ip), port as u16);
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(Error::other("no free port"))
}

/// Node process of a machine; killed when dropped.
pub struct Node {
    pub machine: Machine,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(
        machine: &Machine,
        zones: &[(String, String)],
        store: SocketAddr,
        dir: &Path,
        record: &Record,
    ) -> Result<Node> {
        let settings = dir.join(format!("{}.ini", machine.name));
        fs::write(&settings, machine.settings(zones, store)?)?;
        let log = dir.join(format!("{}.log", machine.name));
        let (machine, record) = (machine.clone(), record.clone());
        let mut node = Node { machine, settings, log, record, child: None };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) -> Result<()> {
        let run = fs::read_to_string("deploy/system.toml")?;
        let run = run.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_default();
        let heartbeat = format!("{}ms", HEARTBEAT.as_millis());
        let run = run.trim_end_matches('"').replace("{{Heartbeat}}", &heartbeat);
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("SNIPEHOLLOW_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("node {} started, process {}", self.machine.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    pub fn wait_ready(&self) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        while !self.machine.is_ready() {
            if Instant::now() > end {
                return Err(Error::other(format!("{} is not ready", self.machine.name)));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        self.record.line(&format!("node {} gets SIG{name}", self.machine.name));
        let pid = child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status().map(|_| ())
    }

    /// Waits until the process has ended, and kills it after `grace`.
    pub fn wait_end(&mut self, grace: Duration) -> Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        let end = Instant::now() + grace;
        while child.try_wait()?.is_none() {
            if Instant::now() > end {
                child.kill()?;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line(&format!("node {} ended", self.machine.name));
        Ok(())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
