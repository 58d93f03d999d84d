//! The running processes of a mesh.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use snipehollow_wire::admin::NodeState;

use super::plan::{HostPlan, MeshPlan};
use crate::error::StandinError;
use crate::store::{CallCounts, Faults};
use crate::upstream::{Behaviour, UpstreamStats};

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which a mesh must be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// One process that this harness started.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    fn start(command: &mut Command, log: &Path) -> Result<Process, StandinError> {
        let what = format!("start {:?}", command.get_program());
        let err = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(StandinError::io(what.clone()))?;
        let out = err.try_clone().map_err(StandinError::io(what.clone()))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(StandinError::io(what))?;
        Ok(Process { child })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // A process that is gone needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        // A process that is gone is as good as killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, StandinError> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match self.child.try_wait().map_err(StandinError::io("wait for a process"))? {
                Some(status) => return Ok(status),
                None => thread::sleep(POLL_INTERVAL),
            }
        }
        Err(StandinError::Timeout("the process did not end".into()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.kill();
    }
}

/// A running mesh; dropping it ends all its processes.
pub struct Mesh {
    /// The plan that it follows.
    pub plan: MeshPlan,
    bin: PathBuf,
    dir: PathBuf,
    store: Option<Process>,
    nodes: Vec<Option<Process>>,
    upstreams: Vec<Option<Process>>,
    agent: ureq::Agent,
}

impl Mesh {
    /// Starts store, nodes and upstreams; `bin` is the folder of the programs.
    pub fn start(plan: MeshPlan, bin: &Path) -> Result<Mesh, StandinError> {
        let name = format!("snipehollow-{}-{}", std::process::id(), plan.store_addr().ip());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).map_err(StandinError::io("make the mesh's folder"))?;
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(5)))
            .build();
        let hosts = plan.hosts.len();
        let mut mesh = Mesh {
            plan,
            bin: bin.to_owned(),
            dir,
            store: None,
            nodes: (0..hosts).map(|_| None).collect(),
            upstreams: (0..hosts).map(|_| None).collect(),
            agent: config.new_agent(),
        };
        mesh.start_store()?;
        for host in 0..hosts {
            mesh.start_node(host)?;
            mesh.start_upstream(host)?;
        }
        Ok(mesh)
    }

    /// Finds the folder of the programs beside the running one.
    pub fn find_bin_dir() -> Result<PathBuf, StandinError> {
        let exe = std::env::current_exe().map_err(StandinError::io("find this program"))?;
        let found = exe.ancestors().skip(1).find(|dir| dir.join("snipehollowd").is_file());
        found.map(Path::to_owned).ok_or_else(|| {
            StandinError::Invalid("snipehollowd is not built: run cargo build --workspace".into())
        })
    }

    /// Starts the store.
    pub fn start_store(&mut self) -> Result<(), StandinError> {
        let mut command = Command::new(self.bin.join("standin-store"));
        command.arg("--listen").arg(self.plan.store_addr().to_string());
        self.store = Some(Process::start(&mut command, &self.dir.join("store.log"))?);
        Ok(())
    }

    /// Kills the store; all its data is gone.
    pub fn kill_store(&mut self) {
        self.store = None;
    }

    /// Starts the node of a host.
    pub fn start_node(&mut self, host: usize) -> Result<(), StandinError> {
        let settings = self.plan.settings(&self.plan.hosts[host]);
        self.start_node_with_settings(host, &settings)
    }

    /// Starts the node of a host with settings of its own.
    pub fn start_node_with_settings(
        &mut self,
        host: usize,
        settings: &str,
    ) -> Result<(), StandinError> {
        let name = &self.plan.hosts[host].name;
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, settings).map_err(StandinError::io("write settings"))?;
        let mut command = Command::new(self.bin.join("snipehollowd"));
        command.arg("--config").arg(&path);
        let log = self.dir.join(format!("{name}.log"));
        self.nodes[host] = Some(Process::start(&mut command, &log)?);
        Ok(())
    }

    /// Starts the upstream of a host.
    pub fn start_upstream(&mut self, host: usize) -> Result<(), StandinError> {
        let plan = &self.plan.hosts[host];
        let service = &self.plan.services[plan.service_index];
        let mut command = Command::new(self.bin.join("standin-upstream"));
        command
            .args(["--service", &service.name])
            .args(["--listen", &plan.upstream_addr().to_string()])
            .args(["--announce", &plan.upstream_listener_addr().to_string()])
            .args(["--node", &plan.caller_addr().to_string()])
            .args(["--slots", &service.slots.to_string()])
            .args(["--connections", &service.connections.to_string()])
            .args(["--service-us", &service.service_time.as_micros().to_string()])
            .args(["--answer-bytes", &service.answer_bytes.to_string()])
            .arg("--ledger")
            .arg(self.dir.join(format!("{}.ledger", plan.name)));
        for path in &service.downstream_calls {
            command.args(["--call", path]);
        }
        if service.sheds_load {
            command.arg("--sheds");
        }
        let log = self.dir.join(format!("{}-upstream.log", plan.name));
        self.upstreams[host] = Some(Process::start(&mut command, &log)?);
        Ok(())
    }

    /// Returns the bodies of the requests that upstreams began to run and that may never
    /// repeat, one entry a run, over all starts of all upstreams.
    pub fn recorded_runs(&self) -> Result<Vec<String>, StandinError> {
        let mut runs = Vec::new();
        for host in &self.plan.hosts {
            let path = self.dir.join(format!("{}.ledger", host.name));
            if !path.exists() {
                continue;
            }
            let text = fs::read_to_string(&path).map_err(StandinError::io("read a ledger"))?;
            runs.extend(text.lines().map(str::to_owned));
        }
        Ok(runs)
    }

    /// Returns the process of a host's node.
    pub fn node(&mut self, host: usize) -> Option<&mut Process> {
        self.nodes[host].as_mut()
    }

    /// Returns the process of a host's upstream.
    pub fn upstream(&mut self, host: usize) -> Option<&mut Process> {
        self.upstreams[host].as_mut()
    }

    /// Kills node and upstream of a host.
    pub fn kill_host(&mut self, host: usize) {
        self.nodes[host] = None;
        self.upstreams[host] = None;
    }

    /// Waits until every node that runs knows all its members, hosts and the revision.
    pub fn wait_ready(&self, revision: u64) -> Result<(), StandinError> {
        self.wait_until("the mesh is ready", READY_LIMIT, || {
            self.plan
                .hosts
                .iter()
                .enumerate()
                .all(|(index, host)| self.nodes[index].is_none() || self.is_ready(host, revision))
        })
    }

    fn is_ready(&self, host: &HostPlan, revision: u64) -> bool {
        let Ok(state) = self.state(host) else {
            return false;
        };
        let in_zone = self.plan.hosts.iter().filter(|other| other.zone == host.zone).count();
        let serving = state.members.iter().filter(|m| m.serving().is_some()).count();
        state.revision >= revision && serving >= in_zone
    }

    /// Waits until a condition holds.
    pub fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn() -> bool,
    ) -> Result<(), StandinError> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if condition() {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(StandinError::Timeout(format!("{what}; logs are in {}", self.dir.display())))
    }

    /// Returns the state dump of a node.
    pub fn state(&self, host: &HostPlan) -> Result<NodeState, StandinError> {
        self.get_json(&format!("http://{}/state", host.admin_addr()))
    }

    /// Returns the metrics of a node.
    pub fn metrics(&self, host: &HostPlan) -> Result<String, StandinError> {
        self.get_text(&format!("http://{}/metrics", host.admin_addr()))
    }

    /// Returns what an upstream did.
    pub fn upstream_stats(&self, host: &HostPlan) -> Result<UpstreamStats, StandinError> {
        self.get_json(&format!("http://{}/stats", host.upstream_addr()))
    }

    /// Returns the calls that the store took.
    pub fn store_counts(&self) -> Result<CallCounts, StandinError> {
        self.get_json(&format!("http://{}/counts", self.plan.store_addr()))
    }

    /// Changes how an upstream behaves.
    pub fn set_behaviour(&self, host: &HostPlan, to: &Behaviour) -> Result<(), StandinError> {
        self.post_json(&format!("http://{}/behaviour", host.upstream_addr()), to)
    }

    /// Sets the store's faults.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), StandinError> {
        self.post_json(&format!("http://{}/faults", self.plan.store_addr()), faults)
    }

    /// Runs the command line of operators.
    pub fn run_cli(&self, args: &[&str]) -> Result<Output, StandinError> {
        let admins: Vec<String> =
            self.plan.hosts.iter().map(|h| h.admin_addr().to_string()).collect();
        Command::new(self.bin.join("snipehollow"))
            .args(["--store", &format!("http://{}", self.plan.store_addr())])
            .args(["--nodes", &admins.join(",")])
            .args(args)
            .output()
            .map_err(StandinError::io("run snipehollow"))
    }

    /// Writes a sheet and applies it; returns when it is committed.
    pub fn apply_sheet(&self, sheet: &str) -> Result<Output, StandinError> {
        let path = self.dir.join("sheet.csv");
        fs::write(&path, sheet).map_err(StandinError::io("write the sheet"))?;
        let path = path.to_string_lossy();
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let output = self.run_cli(&["sheet", "apply", &path])?;
            if output.status.success() || Instant::now() > until {
                return Ok(output);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the lines of all logs that contain a text.
    pub fn log_lines_containing(&self, text: &str) -> Result<Vec<String>, StandinError> {
        let mut lines = Vec::new();
        for host in &self.plan.hosts {
            let path = self.dir.join(format!("{}.log", host.name));
            let log = fs::read_to_string(&path).map_err(StandinError::io("read a log"))?;
            lines.extend(log.lines().filter(|line| line.contains(text)).map(str::to_owned));
        }
        Ok(lines)
    }

    /// Returns the folder of settings and logs.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    fn get_text(&self, url: &str) -> Result<String, StandinError> {
        let http = |cause: ureq::Error| StandinError::Http {
            operation: url.into(),
            cause: cause.to_string(),
        };
        let mut response = self.agent.get(url).call().map_err(http)?;
        response.body_mut().read_to_string().map_err(http)
    }

    fn get_json<T: serde::de::DeserializeOwned>(&self, url: &str) -> Result<T, StandinError> {
        let text = self.get_text(url)?;
        serde_json::from_str(&text)
            .map_err(|err| StandinError::Http { operation: url.into(), cause: err.to_string() })
    }

    fn post_json<T: serde::Serialize>(&self, url: &str, value: &T) -> Result<(), StandinError> {
        let sent = self.agent.post(url).send_json(value);
        sent.map(|_| ())
            .map_err(|err| StandinError::Http { operation: url.into(), cause: err.to_string() })
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.nodes.clear();
        self.upstreams.clear();
        self.store = None;
        if !thread::panicking() {
            // Left-over files do no harm.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
