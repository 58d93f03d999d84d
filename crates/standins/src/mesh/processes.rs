//! Processes of a running mesh: starts and stops them, calls their admin and test interfaces, and
//! runs the command line of operators against them.

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
/// Time limit for a mesh to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Process started by this harness; dropping it kills the process, also when it is paused.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    fn start(command: &mut Command, log: &Path) -> Result<Process, StandinError> {
        let operation = format!("start {:?}", command.get_program());
        let err = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(StandinError::io(operation.clone()))?;
        let out = err.try_clone().map_err(StandinError::io(operation.clone()))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(StandinError::io(operation))?;
        Ok(Process { child })
    }

    /// Sends a signal to the process; does nothing if it has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // Fails only if the process has already ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Timeout`] if it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, StandinError> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
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

/// Running mesh; dropping it kills all its processes.
///
/// Settings and logs are in a temporary folder, which is removed on drop unless the test panics.
pub struct Mesh {
    /// Layout of the mesh.
    pub plan: MeshPlan,
    bin: PathBuf,
    dir: PathBuf,
    store: Option<Process>,
    nodes: Vec<Option<Process>>,
    upstreams: Vec<Option<Process>>,
    agent: ureq::Agent,
}

impl Mesh {
    /// Starts the store and the node and upstream of each host; returns before they are ready.
    ///
    /// `bin` is the folder of the programs, see [`Mesh::find_bin_dir`].
    pub fn start(plan: MeshPlan, bin: &Path) -> Result<Mesh, StandinError> {
        let name = format!("snipehollow-{}-{}", std::process::id(), plan.store_addr().ip());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).map_err(StandinError::io("create the folder of the mesh"))?;
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

    /// Returns the folder of the built programs: the nearest folder above the running program that
    /// contains `snipehollowd`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Invalid`] if there is none.
    pub fn find_bin_dir() -> Result<PathBuf, StandinError> {
        let exe =
            std::env::current_exe().map_err(StandinError::io("locate the running program"))?;
        let found = exe.ancestors().skip(1).find(|dir| dir.join("snipehollowd").is_file());
        found.map(Path::to_owned).ok_or_else(|| {
            StandinError::Invalid("snipehollowd is not built: run cargo build --workspace".into())
        })
    }

    /// Starts the store, which has no data.
    pub fn start_store(&mut self) -> Result<(), StandinError> {
        let mut command = Command::new(self.bin.join("standin-store"));
        command.arg("--listen").arg(self.plan.store_addr().to_string());
        self.store = Some(Process::start(&mut command, &self.dir.join("store.log"))?);
        Ok(())
    }

    /// Kills the store, which loses all its data.
    pub fn kill_store(&mut self) {
        self.store = None;
    }

    /// Starts the node of a host with the settings of the plan.
    pub fn start_node(&mut self, host: usize) -> Result<(), StandinError> {
        let settings = self.plan.settings(&self.plan.hosts[host]);
        self.start_node_with_settings(host, &settings)
    }

    /// Starts the node of a host with the given settings file content.
    pub fn start_node_with_settings(
        &mut self,
        host: usize,
        settings: &str,
    ) -> Result<(), StandinError> {
        let name = &self.plan.hosts[host].name;
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, settings).map_err(StandinError::io("write the settings file"))?;
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
            .args(["--answer-bytes", &service.response_bytes.to_string()])
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

    /// Returns the bodies of all POST requests that upstreams began to run, one entry per run,
    /// including runs of upstreams that have been killed or restarted since.
    pub fn recorded_runs(&self) -> Result<Vec<String>, StandinError> {
        let mut runs = Vec::new();
        for host in &self.plan.hosts {
            let path = self.dir.join(format!("{}.ledger", host.name));
            if !path.exists() {
                continue;
            }
            let text = fs::read_to_string(&path)
                .map_err(StandinError::io("read the run log of an upstream"))?;
            runs.extend(text.lines().map(str::to_owned));
        }
        Ok(runs)
    }

    /// Returns the process of a host's node, or `None` after [`Mesh::kill_host`].
    pub fn node(&mut self, host: usize) -> Option<&mut Process> {
        self.nodes[host].as_mut()
    }

    /// Returns the process of a host's upstream, or `None` after [`Mesh::kill_host`].
    pub fn upstream(&mut self, host: usize) -> Option<&mut Process> {
        self.upstreams[host].as_mut()
    }

    /// Kills the node and the upstream of a host.
    pub fn kill_host(&mut self, host: usize) {
        self.nodes[host] = None;
        self.upstreams[host] = None;
    }

    /// Waits until every started node has at least this revision in force and sees a serving
    /// upstream on each host of its zone.
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
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Timeout`] with `description` and the folder of the logs if it does
    /// not hold within `limit`.
    pub fn wait_until(
        &self,
        description: &str,
        limit: Duration,
        condition: impl Fn() -> bool,
    ) -> Result<(), StandinError> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if condition() {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(StandinError::Timeout(format!("{description}; logs are in {}", self.dir.display())))
    }

    /// Returns the state that the admin server of a node reports.
    pub fn state(&self, host: &HostPlan) -> Result<NodeState, StandinError> {
        self.get_json(&format!("http://{}/state", host.admin_addr()))
    }

    /// Returns the metrics of a node in the Prometheus text format.
    pub fn metrics(&self, host: &HostPlan) -> Result<String, StandinError> {
        self.get_text(&format!("http://{}/metrics", host.admin_addr()))
    }

    /// Returns the counters of an upstream since its start.
    pub fn upstream_stats(&self, host: &HostPlan) -> Result<UpstreamStats, StandinError> {
        self.get_json(&format!("http://{}/stats", host.upstream_addr()))
    }

    /// Returns how many calls of each kind the store has received.
    pub fn store_counts(&self) -> Result<CallCounts, StandinError> {
        self.get_json(&format!("http://{}/counts", self.plan.store_addr()))
    }

    /// Replaces the behaviour of a running upstream.
    pub fn set_behaviour(&self, host: &HostPlan, to: &Behaviour) -> Result<(), StandinError> {
        self.post_json(&format!("http://{}/behaviour", host.upstream_addr()), to)
    }

    /// Replaces the faults that the store injects.
    pub fn set_faults(&self, faults: &Faults) -> Result<(), StandinError> {
        self.post_json(&format!("http://{}/faults", self.plan.store_addr()), faults)
    }

    /// Runs the operators' program `snipehollow` against the store and all nodes of the mesh.
    pub fn run_cli(&self, args: &[&str]) -> Result<Output, StandinError> {
        self.cli(args).output().map_err(StandinError::io("run snipehollow"))
    }

    /// Starts the operators' program without waiting for it; its output is discarded.
    pub fn start_cli(&self, args: &[&str]) -> Result<Child, StandinError> {
        self.cli(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(StandinError::io("start snipehollow"))
    }

    fn cli(&self, args: &[&str]) -> Command {
        let admins: Vec<String> =
            self.plan.hosts.iter().map(|h| h.admin_addr().to_string()).collect();
        let mut command = Command::new(self.bin.join("snipehollow"));
        command
            .args(["--store", &format!("http://{}", self.plan.store_addr())])
            .args(["--nodes", &admins.join(",")])
            .args(args);
        command
    }

    /// Applies a sheet and returns the output of `snipehollow sheet apply` once it succeeds.
    ///
    /// Retries failures for 5 s, because the store and the nodes may still be starting, and then
    /// returns the output of the last attempt.
    pub fn apply_sheet(&self, sheet: &str) -> Result<Output, StandinError> {
        let path = self.dir.join("sheet.csv");
        fs::write(&path, sheet).map_err(StandinError::io("write the sheet"))?;
        let path = path.to_string_lossy();
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            let output = self.run_cli(&["sheet", "apply", &path])?;
            if output.status.success() || Instant::now() > deadline {
                return Ok(output);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the lines that contain `text` in the logs of all nodes.
    pub fn log_lines_containing(&self, text: &str) -> Result<Vec<String>, StandinError> {
        let mut lines = Vec::new();
        for host in &self.plan.hosts {
            let path = self.dir.join(format!("{}.log", host.name));
            let log =
                fs::read_to_string(&path).map_err(StandinError::io("read the log of a node"))?;
            lines.extend(log.lines().filter(|line| line.contains(text)).map(str::to_owned));
        }
        Ok(lines)
    }

    /// Returns the folder of the mesh's settings files and logs.
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
            // Leftover files in the temporary folder do no harm.
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
