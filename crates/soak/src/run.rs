//! Runs one soak: starts a mesh behind proxies, injects the scheduled faults under load, and checks
//! the guarantees.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use snipehollow_standins::error::StandinError;
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};
use snipehollow_standins::store::Faults;
use snipehollow_standins::upstream::Behaviour;
use tokio::runtime::Runtime;

use crate::callers::{CallerRecord, run_caller};
use crate::invariants::{Violation, check_orders};
use crate::plan::{Fault, ScheduledFault, fault_schedule};
use crate::proxy::{LinkMode, Proxy};
use crate::rate_limits::{RATE_LIMIT, RateLimits};
use crate::sheets::Sheets;

/// Time limit for the mesh to serve and agree on the revision after the last fault.
pub(crate) const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Drain time of the nodes in milliseconds.
const DRAIN_MS: u64 = 4_000;
/// Time limit for a node to exit after SIGTERM: the drain time and 3 s.
const STOP_LIMIT: Duration = Duration::from_millis(DRAIN_MS + 3_000);
/// Interval of the loop that starts and ends faults and watches the nodes.
pub(crate) const STEP_INTERVAL: Duration = Duration::from_millis(20);

const SHEET: &str = "\
kind,name,rank,deadline_ms,worth,repeat,retries,service,method,path,class,refusals\n\
class,order,0,3000,10,never,2,,,,,\n\
class,read,1,2000,WORTH,may-repeat,2,,,,,\n\
service,orders,,,,,,,,,,trusted\n\
service,pricing,,,,,,,,,,trusted\n\
rule,,,,,,,orders,POST,/,order,\n\
rule,,,,,,,orders,*,/,read,\n\
rule,,,,,,,pricing,*,/,read,\n";

/// Size and length of a soak.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Seed of the fault schedule and the callers.
    pub seed: u64,
    /// How long new faults are started.
    pub length: Duration,
    /// Instances of each of the two services in each of the two zones.
    pub instances: usize,
    /// Number of simulated callers.
    pub callers: u64,
}

/// Results of a soak.
#[derive(Debug)]
pub struct Report {
    /// Violated guarantees; empty if the soak passed.
    pub violations: Vec<Violation>,
    /// Orders placed.
    pub orders: usize,
    /// Orders that succeeded.
    pub good_orders: usize,
    /// Reads sent.
    pub reads: u64,
    /// Reads that succeeded.
    pub good_reads: u64,
    /// Number of faults in the schedule.
    pub faults: usize,
}

/// Runs one soak with the programs in the folder `bin`.
///
/// # Errors
///
/// Returns an error if the mesh could not be started or controlled. Violated guarantees are not
/// errors but part of the report.
pub fn run_soak(cfg: &SoakConfig, bin: &Path) -> Result<Report, StandinError> {
    let runtime = Runtime::new().map_err(StandinError::io("start the runtime"))?;
    let mut soak = Soak::start(cfg, bin, &runtime)?;
    let record = Arc::new(CallerRecord::default());
    let stop = Arc::new(AtomicBool::new(false));
    let entries: Vec<_> = soak.caller_links.iter().map(Proxy::addr).collect();
    let tasks: Vec<_> = (0..cfg.callers)
        .map(|number| {
            let (record, stop) = (Arc::clone(&record), Arc::clone(&stop));
            runtime.spawn(run_caller(number, cfg.seed, entries.clone(), record, stop))
        })
        .collect();
    let schedule = fault_schedule(cfg.seed, soak.mesh.plan.hosts.len(), cfg.length);
    soak.run_schedule(&schedule)?;
    stop.store(true, Ordering::Release);
    for task in tasks {
        // A panic of a caller is a fault of the soak itself; its message is on standard error.
        let _ = runtime.block_on(task);
    }
    soak.check_recovery(&runtime);
    let orders = std::mem::take(&mut *record.orders.lock().unwrap_or_else(PoisonError::into_inner));
    let mut violations = std::mem::take(&mut soak.violations);
    violations.extend(check_orders(&orders, &soak.mesh.recorded_runs()?));
    match record.mismatched.load(Ordering::Relaxed) {
        0 => {}
        count => violations.push(Violation::MismatchedResponses { count }),
    }
    Ok(Report {
        violations,
        good_orders: orders.iter().filter(|order| order.succeeded).count(),
        orders: orders.len(),
        reads: record.reads.load(Ordering::Relaxed),
        good_reads: record.good_reads.load(Ordering::Relaxed),
        faults: schedule.len(),
    })
}

/// Fault in effect and the time at which it ends.
struct ActiveFault {
    ends_at: Duration,
    scheduled: ScheduledFault,
}

pub(crate) struct Soak {
    pub(crate) mesh: Mesh,
    /// Proxy in front of the caller listener of each node.
    pub(crate) caller_links: Vec<Proxy>,
    /// Proxy between each node and the store.
    store_links: Vec<Proxy>,
    /// Settings file content of each node, with its proxy as the address of the store.
    settings: Vec<String>,
    /// Highest revision seen at each node since its last start.
    pub(crate) revisions: Vec<u64>,
    /// Whether each node runs, as far as the soak knows.
    pub(crate) running: Vec<bool>,
    /// Time of SIGTERM for each node that has not exited yet.
    stopping: Vec<Option<Instant>>,
    store_faults: Faults,
    /// Behaviour of each upstream.
    behaviours: Vec<Behaviour>,
    rate_limits: RateLimits,
    pub(crate) sheets: Sheets,
    pub(crate) violations: Vec<Violation>,
}

impl Soak {
    fn start(cfg: &SoakConfig, bin: &Path, runtime: &Runtime) -> Result<Soak, StandinError> {
        let services = vec![
            ServicePlan::new("orders", cfg.instances, 20, 5).with_downstream_call("/pricing/price"),
            ServicePlan::new("pricing", cfg.instances, 20, 5),
        ];
        let mut plan = MeshPlan::new(&[("zone-a", "region-a"), ("zone-b", "region-a")], services);
        plan.run_settings = format!("drain_ms = {DRAIN_MS}\nassert = yes\n");
        let proxy = |to| runtime.block_on(Proxy::start(to));
        let io = |what: &str| StandinError::io(what.to_owned());
        let mut mesh = Mesh::start(plan, bin)?;
        let mut caller_links = Vec::new();
        let mut store_links = Vec::new();
        let mut settings = Vec::new();
        for host in &mesh.plan.hosts {
            caller_links.push(proxy(host.caller_addr()).map_err(io("start a proxy"))?);
            let link = proxy(mesh.plan.store_addr()).map_err(io("start a proxy"))?;
            let node_settings = mesh.plan.settings(host);
            let node_settings = node_settings
                .replace(&mesh.plan.store_addr().to_string(), &link.addr().to_string());
            settings.push(node_settings);
            store_links.push(link);
        }
        for (host, settings) in settings.iter().enumerate() {
            if let Some(node) = mesh.node(host) {
                node.kill();
            }
            mesh.start_node_with_settings(host, settings)?;
        }
        mesh.wait_until("the first sheet is applied", RECOVERY_LIMIT, || {
            let applied = mesh.apply_sheet(&SHEET.replace("WORTH", "1"));
            applied.is_ok_and(|output| output.status.success())
        })?;
        mesh.wait_ready(1)?;
        let hosts = mesh.plan.hosts.len();
        Ok(Soak {
            mesh,
            caller_links,
            store_links,
            settings,
            revisions: vec![0; hosts],
            running: vec![true; hosts],
            stopping: vec![None; hosts],
            store_faults: Faults::default(),
            behaviours: vec![Behaviour::normal(); hosts],
            rate_limits: RateLimits::default(),
            sheets: Sheets::new(SHEET),
            violations: Vec::new(),
        })
    }

    fn run_schedule(&mut self, schedule: &[ScheduledFault]) -> Result<(), StandinError> {
        let started = Instant::now();
        let mut next = 0;
        let mut active: Vec<ActiveFault> = Vec::new();
        while next < schedule.len()
            || !active.is_empty()
            || self.stopping.iter().any(Option::is_some)
            || !self.sheets.is_idle()
        {
            let now = started.elapsed();
            while next < schedule.len() && schedule[next].at <= now {
                let scheduled = schedule[next];
                next += 1;
                if self.begin_fault(&scheduled)? {
                    active.push(ActiveFault { ends_at: now + scheduled.duration, scheduled });
                }
            }
            let (due, later): (Vec<_>, Vec<_>) =
                active.into_iter().partition(|fault| fault.ends_at <= now);
            active = later;
            for fault in due {
                self.end_fault(&fault.scheduled)?;
            }
            self.sheets.step(&self.mesh)?;
            self.rate_limits.start_counting(&self.mesh);
            self.check_stopping_nodes()?;
            self.check_for_unexpected_exits();
            thread::sleep(STEP_INTERVAL);
        }
        Ok(())
    }

    /// Starts a fault; returns whether it must be ended later.
    fn begin_fault(&mut self, scheduled: &ScheduledFault) -> Result<bool, StandinError> {
        let host = scheduled.host;
        match scheduled.fault {
            Fault::KillNode => {
                if let Some(node) = self.mesh.node(host) {
                    node.signal(Signal::CONT);
                    node.kill();
                }
                self.running[host] = false;
                self.stopping[host] = None;
            }
            Fault::PauseNode => self.signal(host, Signal::STOP),
            Fault::StopNode => {
                if !self.running[host] || self.stopping[host].is_some() {
                    return Ok(false);
                }
                self.signal(host, Signal::CONT);
                self.signal(host, Signal::TERM);
                self.stopping[host] = Some(Instant::now());
                return Ok(false);
            }
            Fault::ReloadNode => {
                self.signal(host, Signal::HUP);
                return Ok(false);
            }
            Fault::KillUpstream => {
                if let Some(upstream) = self.mesh.upstream(host) {
                    upstream.kill();
                }
                self.record_upstream_restart(host);
            }
            Fault::SlowUpstream => self.set_upstream_speed(host, 800, false),
            Fault::FailUpstream => self.set_upstream_speed(host, 100, true),
            Fault::LimitUpstream => {
                // An upstream that is down names no limit after its restart either.
                if self.rate_limits.is_limited(host) || !self.set_rate_limit(host, RATE_LIMIT) {
                    return Ok(false);
                }
                self.rate_limits.begin(host);
            }
            Fault::RepeatRefusals => self.set_repeated_refusals(host, true),
            Fault::StoreDown => self.store_faults.down = true,
            Fault::StoreSlow => self.store_faults.slow_ms = 400,
            Fault::StoreLosesResponses => self.store_faults.lose_responses = 3,
            Fault::DelayCallers => {
                self.caller_links[host].set_mode(LinkMode::Delay(Duration::from_millis(150)));
            }
            Fault::StallCallerResponses => {
                self.caller_links[host].set_mode(LinkMode::StallToClient)
            }
            Fault::ResetCallers => {
                self.caller_links[host].reset_connections();
                return Ok(false);
            }
            Fault::StallStoreRequests => self.store_links[host].set_mode(LinkMode::StallToServer),
            Fault::RefuseStore => {
                self.store_links[host].set_mode(LinkMode::Refuse);
                self.store_links[host].reset_connections();
            }
            Fault::ApplySheet => {
                self.sheets.request();
                return Ok(false);
            }
        }
        self.set_store_faults(scheduled.fault)?;
        Ok(true)
    }

    fn end_fault(&mut self, scheduled: &ScheduledFault) -> Result<(), StandinError> {
        let host = scheduled.host;
        match scheduled.fault {
            Fault::KillNode => self.start_node(host)?,
            Fault::PauseNode => self.signal(host, Signal::CONT),
            Fault::KillUpstream => {
                self.mesh.start_upstream(host)?;
                // An overlapping fault may have started it already.
                self.record_upstream_restart(host);
            }
            Fault::SlowUpstream | Fault::FailUpstream => self.set_upstream_speed(host, 100, false),
            Fault::LimitUpstream => {
                self.violations.extend(self.rate_limits.end(&self.mesh, host));
                self.set_rate_limit(host, 0);
            }
            Fault::RepeatRefusals => self.set_repeated_refusals(host, false),
            Fault::StoreDown => self.store_faults.down = false,
            Fault::StoreSlow => self.store_faults.slow_ms = 0,
            Fault::StoreLosesResponses => self.store_faults.lose_responses = 0,
            Fault::DelayCallers | Fault::StallCallerResponses => {
                self.caller_links[host].set_mode(LinkMode::Pass);
            }
            Fault::StallStoreRequests | Fault::RefuseStore => {
                self.store_links[host].set_mode(LinkMode::Pass);
            }
            Fault::StopNode | Fault::ReloadNode | Fault::ResetCallers | Fault::ApplySheet => {}
        }
        self.set_store_faults(scheduled.fault)
    }

    fn set_store_faults(&mut self, fault: Fault) -> Result<(), StandinError> {
        match fault {
            Fault::StoreDown | Fault::StoreSlow | Fault::StoreLosesResponses => {
                self.mesh.set_faults(&self.store_faults)
            }
            _ => Ok(()),
        }
    }

    fn signal(&mut self, host: usize, signal: Signal) {
        if self.running[host]
            && let Some(node) = self.mesh.node(host)
        {
            node.signal(signal);
        }
    }

    fn record_upstream_restart(&mut self, host: usize) {
        self.behaviours[host] = Behaviour::normal();
        self.rate_limits.record_restart(host);
    }

    fn set_upstream_speed(&mut self, host: usize, service_time_percent: u32, failing: bool) {
        let behaviour = &mut self.behaviours[host];
        behaviour.service_time_percent = service_time_percent;
        behaviour.failing = failing;
        self.send_behaviour(host);
    }

    fn set_repeated_refusals(&mut self, host: usize, repeats: bool) {
        self.behaviours[host].repeats_refusals = repeats;
        self.send_behaviour(host);
    }

    /// Makes an upstream name a rate limit, or none if it is 0; returns whether it is up.
    fn set_rate_limit(&mut self, host: usize, per_second: u32) -> bool {
        self.behaviours[host].rate_limit_milli = per_second * 1_000;
        let is_up = self.send_behaviour(host);
        if !is_up {
            self.behaviours[host].rate_limit_milli = 0;
        }
        is_up
    }

    /// Sends its behaviour to an upstream; returns false if it is down. It then restarts with its
    /// normal behaviour.
    fn send_behaviour(&self, host: usize) -> bool {
        self.mesh.set_behaviour(&self.mesh.plan.hosts[host], &self.behaviours[host]).is_ok()
    }

    fn start_node(&mut self, host: usize) -> Result<(), StandinError> {
        if !self.running[host] {
            self.mesh.start_node_with_settings(host, &self.settings[host])?;
            self.rate_limits.record_restart(host);
            self.running[host] = true;
            self.revisions[host] = 0;
        }
        Ok(())
    }

    /// Restarts nodes that have exited after SIGTERM and reports those that take too long.
    fn check_stopping_nodes(&mut self) -> Result<(), StandinError> {
        for host in 0..self.stopping.len() {
            let Some(since) = self.stopping[host] else {
                continue;
            };
            let ended = self.mesh.node(host).map(|node| node.wait(Duration::from_millis(1)));
            match ended {
                Some(Ok(status)) => {
                    self.check_exit_status(host, status);
                    self.stopping[host] = None;
                    self.running[host] = false;
                    self.start_node(host)?;
                }
                _ if since.elapsed() > STOP_LIMIT => {
                    self.violations.push(Violation::StopTimedOut { host: self.host_name(host) });
                    self.stopping[host] = None;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Reports a stopping node that exited with a failure. One that was ended by a signal has no
    /// exit code and is not reported: another fault killed it while it was stopping.
    fn check_exit_status(&mut self, host: usize, status: std::process::ExitStatus) {
        if status.code().is_some_and(|code| code != 0) {
            let exit_status = status.to_string();
            self.violations
                .push(Violation::UnexpectedExit { host: self.host_name(host), exit_status });
        }
    }

    pub(crate) fn host_name(&self, host: usize) -> String {
        self.mesh.plan.hosts[host].name.clone()
    }

    /// Reports nodes that exited although nothing stopped or killed them.
    fn check_for_unexpected_exits(&mut self) {
        for host in 0..self.running.len() {
            if !self.running[host] || self.stopping[host].is_some() {
                continue;
            }
            let ended = self.mesh.node(host).map(|node| node.wait(Duration::from_millis(1)));
            if let Some(Ok(status)) = ended {
                let exit_status = status.to_string();
                self.violations
                    .push(Violation::UnexpectedExit { host: self.host_name(host), exit_status });
                self.running[host] = false;
            }
        }
    }
}
