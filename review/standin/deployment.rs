//! A small deployment on loopback addresses: the store, the nodes as the deploy file runs them, and
//! an instance beside each.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Error, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

const PROGRAM: &str = "target/release/snipehollow-platform";
const HEARTBEAT: &str = "1500ms";
/// Process ids of the nodes that run.
static NODES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
const USUAL_LOAD: Load = Load { work: Duration::from_millis(20), slots: 17 };
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What happened, with the time since the start, in `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, lines: Arc::default(), started: Instant::now() })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, text: &str) {
        let mut lines = self.lines.lock().unwrap();
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", at.as_secs_f64());
        lines.push((at, text.to_owned()));
    }

    /// Waits for a line that contains the text, from line `from` on; returns its time.
    pub fn wait_for(&self, from: usize, text: &str, timeout: Duration) -> Option<Duration> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let lines = self.lines.lock().unwrap();
            let found = lines[from..].iter().find(|(_, line)| line.contains(text));
            if let Some((at, _)) = found {
                return Some(*at);
            }
            drop(lines);
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn len(&self) -> usize {
        self.lines.lock().unwrap().len()
    }

    /// All lines that contain the text, with their times.
    pub fn find(&self, text: &str) -> Vec<(Duration, String)> {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|(_, line)| line.contains(text)).cloned().collect()
    }
}

/// A machine: a node and the instance beside it.
pub struct Machine {
    pub name: String,
    service: String,
    zone: String,
    settings: PathBuf,
    log: PathBuf,
    pub outbound: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    app: SocketAddr,
    node: Option<Child>,
    instance: Mutex<Option<Child>>,
    pub instance_id: String,
    starts: u32,
}

pub struct Deployment {
    pub machines: Vec<Machine>,
    pub record: Record,
    pub store: Store,
    folder: PathBuf,
    load: Load,
}

/// What an instance can do.
#[derive(Clone, Copy)]
pub struct Load {
    /// Time that a request takes.
    pub work: Duration,
    pub slots: u32,
}

impl Deployment {
    /// Starts the store with this configuration, and a machine for each zone and service.
    pub fn start(record: Record, config: &str, machines: &[(&str, &str)]) -> Result<Deployment> {
        Deployment::start_with(record, config, machines, USUAL_LOAD)
    }

    /// The same with other instances.
    pub fn start_with(
        record: Record,
        config: &str,
        machines: &[(&str, &str)],
        load: Load,
    ) -> Result<Deployment> {
        let folder =
            std::env::temp_dir().join(format!("snipehollow-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        let mut deployment = Deployment { machines: Vec::new(), record, store, folder, load };
        deployment.store.put("op/config", config);
        let template = fs::read_to_string("deploy/node.ini")?;
        for (i, (zone, service)) in machines.iter().enumerate() {
            let store = deployment.store.serve(i)?;
            let machine = deployment.machine(i, zone, service, store, &template, machines)?;
            deployment.machines.push(machine);
        }
        for i in 0..deployment.machines.len() {
            deployment.start_node(i)?;
        }
        for i in 0..deployment.machines.len() {
            deployment.start_instance(i)?;
        }
        for i in 0..deployment.machines.len() {
            deployment.wait_until_ready(i)?;
        }
        Ok(deployment)
    }

    fn machine(
        &self,
        i: usize,
        zone: &str,
        service: &str,
        store: SocketAddr,
        template: &str,
        machines: &[(&str, &str)],
    ) -> Result<Machine> {
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 + 8 * i as u8 + (high & 7), middle, low);
        let addr = || Ok::<SocketAddr, Error>((ip, free_port(ip)?).into());
        let name = format!("sidecar-{zone}-{}", i + 1);
        let (outbound, ready, control, app) = (addr()?, addr()?, addr()?, addr()?);
        let mut values = BTreeMap::new();
        for (key, value) in [
            ("NodeId", name.clone()),
            ("Zone", zone.to_owned()),
            ("Region", region(zone).to_owned()),
            ("Service", service.to_owned()),
            ("Ip", ip.to_string()),
            ("Listen.Outbound", outbound.to_string()),
            ("Listen.Control", control.to_string()),
            ("Listen.ReadinessAddr", ready.to_string()),
            ("PortRange.0", free_port(ip)?.to_string()),
            // The admin address of the template is 127.0.0.1 with this port.
            ("PortRange.1", free_port(ip)?.to_string()),
            ("Platform.Address", store.to_string()),
        ] {
            values.insert(key.to_owned(), value);
        }
        let zones: Vec<&str> = machines.iter().map(|(zone, _)| *zone).collect();
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, render(template, &values, app, &zones))?;
        Ok(Machine {
            settings,
            log: self.folder.join(format!("{name}.log")),
            name,
            service: service.to_owned(),
            zone: zone.to_owned(),
            outbound,
            ready,
            control,
            app,
            node: None,
            instance: Mutex::new(None),
            instance_id: String::new(),
            starts: 0,
        })
    }

    /// Starts the node of a machine with the command of the deploy file.
    pub fn start_node(&mut self, i: usize) -> Result<()> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let run = format!("run = \"{PROGRAM} --heartbeat {{{{Heartbeat}}}}\"");
        if !deploy.contains(&run) {
            return Err(Error::other("the deploy file runs another command"));
        }
        let machine = &mut self.machines[i];
        let log = File::options().create(true).append(true).open(&machine.log)?;
        let child = Command::new(PROGRAM)
            .args(["--heartbeat", HEARTBEAT])
            .env_clear()
            .env("SNIPEHOLLOW_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        NODES.lock().unwrap().push(child.id());
        machine.node = Some(child);
        self.record.add(&format!("node of {} starts", machine.name));
        Ok(())
    }

    /// Kills the node of a machine (SIGKILL).
    pub fn kill_node(&mut self, i: usize) -> Result<()> {
        kill_node(&mut self.machines[i].node)?;
        self.record.add(&format!("node of {} is killed", self.machines[i].name));
        Ok(())
    }

    /// Sends SIGTERM to the node of a machine.
    pub fn terminate_node(&mut self, i: usize) -> Result<()> {
        let machine = &self.machines[i];
        let child = machine.node.as_ref().ok_or_else(|| Error::other("no node runs"))?;
        let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status()?;
        self.record.add(&format!("node of {} gets SIGTERM", machine.name));
        if status.success() { Ok(()) } else { Err(Error::other("SIGTERM was not sent")) }
    }

    /// Waits until the node of a machine has ended; kills it if it has not by then.
    pub fn await_node_end(&mut self, i: usize, timeout: Duration) -> Result<()> {
        let until = Instant::now() + timeout;
        let machine = &mut self.machines[i];
        let child = machine.node.as_mut().ok_or_else(|| Error::other("no node runs"))?;
        while Instant::now() < until && child.try_wait()?.is_none() {
            thread::sleep(Duration::from_millis(5));
        }
        let ended = child.try_wait()?.is_some();
        let text = if ended { "has ended" } else { "is killed at the end of the grace time" };
        self.record.add(&format!("node of {} {text}", machine.name));
        kill_node(&mut machine.node)
    }

    /// Starts the instance of a machine, under a new id.
    pub fn start_instance(&mut self, i: usize) -> Result<()> {
        let record = self.record.clone();
        let machine = &mut self.machines[i];
        machine.starts += 1;
        machine.instance_id = format!("i-{i}{:07x}", machine.starts);
        let mut child = Command::new(std::env::current_exe()?)
            .arg("instance")
            .args([&machine.instance_id, &machine.service, &machine.zone])
            .args([machine.app.to_string(), machine.control.to_string()])
            .args([self.load.work.as_millis().to_string(), self.load.slots.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or_else(|| Error::other("no output"))?;
        let name = machine.instance_id.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.add(&format!("instance {name} {line}"));
            }
        });
        machine.instance = Mutex::new(Some(child));
        self.record.add(&format!("instance {} starts on {}", machine.instance_id, machine.name));
        Ok(())
    }

    /// Kills the instance of a machine (SIGKILL).
    pub fn kill_instance(&self, i: usize) -> Result<()> {
        kill(&mut self.machines[i].instance.lock().unwrap())?;
        self.record.add(&format!("instance {} is killed", self.machines[i].instance_id));
        Ok(())
    }

    /// Sends a command to the instance of a machine.
    pub fn tell_instance(&mut self, i: usize, command: &str) -> Result<()> {
        let child = self.machines[i].instance.get_mut().unwrap().as_mut();
        let child = child.ok_or_else(|| Error::other("no instance runs"))?;
        let input = child.stdin.as_mut().ok_or_else(|| Error::other("no input"))?;
        writeln!(input, "{command}")?;
        input.flush()
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let timeout = Duration::from_secs(1);
        http::call(self.machines[i].ready, "GET", "/-/ready", &[], b"", timeout)
            .is_ok_and(|response| response.status == 200)
    }

    pub fn wait_until_ready(&self, i: usize) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while !self.is_ready(i) {
            if Instant::now() > until {
                return Err(Error::other(format!("{} isn't ready", self.machines[i].name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add(&format!("node of {} is ready", self.machines[i].name));
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            let _ = kill(&mut machine.instance.lock().unwrap());
            let _ = kill_node(&mut machine.node);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Region of a zone, as in the site file.
fn region(zone: &str) -> &'static str {
    if zone.starts_with("wcape") { "western-cape" } else { "gauteng" }
}

fn kill(child: &mut Option<Child>) -> Result<()> {
    if let Some(mut child) = child.take() {
        child.kill()?;
        child.wait()?;
    }
    Ok(())
}

fn kill_node(child: &mut Option<Child>) -> Result<()> {
    let id = child.as_ref().map(Child::id);
    kill(child)?;
    NODES.lock().unwrap().retain(|node| Some(*node) != id);
    Ok(())
}

/// Kills the nodes that run, before the process ends without dropping its deployment.
pub fn kill_all_nodes() {
    for id in NODES.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// Returns a port that is free at the address and at 127.0.0.1, and that no earlier call returned. It
/// lies below the ports that the system gives to clients.
fn free_port(ip: Ipv4Addr) -> Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() % 80) as u16 * 100;
    for _ in 0..4_000 {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let is_free = |ip| TcpListener::bind((ip, port)).is_ok();
        if is_free(ip) && is_free(Ipv4Addr::LOCALHOST) {
            return Ok(port);
        }
    }
    Err(Error::other("no port is free"))
}

/// Fills in the settings template as the platform does.
fn render(
    template: &str,
    values: &BTreeMap<String, String>,
    app: SocketAddr,
    zones: &[&str],
) -> String {
    let mut out = String::new();
    for line in template.lines() {
        let line = line.trim_start_matches("{{/AppAddr}}").trim_start_matches("{{/Zones}}");
        if line.starts_with("{{#AppAddr}}") {
            out += &format!("upstream = {app}\n");
        } else if line.starts_with("{{#Zones}}") {
            let mut names = zones.to_vec();
            names.sort_unstable();
            names.dedup();
            names.iter().for_each(|zone| out += &format!("{zone} = {} store\n", region(zone)));
        } else {
            let mut line = line.to_owned();
            for (key, value) in values {
                line = line.replace(&format!("{{{{{key}}}}}"), value);
            }
            out += &line;
            out.push('\n');
        }
    }
    out
}
