//! Meshes, callers and loads that the tests share.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use snipehollow_standins::load::{
    CallResult, CallerClient, LoadConfig, LoadReport, Phase, RequestKind, run_load,
};
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};
use snipehollow_wire::headers;
use tokio::runtime::Runtime;

/// Time limit for the conditions that tests wait for.
pub(crate) const LIMIT: Duration = Duration::from_secs(40);

/// Sheet with a class for orders, which must never be repeated, and one for everything else.
pub(crate) const SHEET: &str = "\
kind,name,rank,deadline_ms,worth,repeat,retries,service,method,path,class,refusals\n\
class,order,0,8000,10,never,2,,,,,\n\
class,read,1,8000,1,may-repeat,2,,,,,\n\
service,orders,,,,,,,,,,untrusted\n\
service,pricing,,,,,,,,,,trusted\n\
rule,,,,,,,orders,POST,/,order,\n\
rule,,,,,,,orders,*,/,read,\n\
rule,,,,,,,pricing,*,/,read,\n";

/// Starts a mesh of two zones with two instances of each service in each zone.
pub(crate) fn small_mesh() -> Mesh {
    small_mesh_with("")
}

/// Starts the same mesh with these lines in section `[run]` of each node's settings.
pub(crate) fn small_mesh_with(run_settings: &str) -> Mesh {
    start_mesh(&[("zone-a", "region-a"), ("zone-b", "region-a")], 4, run_settings)
}

/// Starts a mesh of the services `orders` and `pricing`, applies [`SHEET`] and waits until all
/// nodes have it in force. `instances` is the number of instances of each service over all zones.
pub(crate) fn mesh_of(zones: &[(&str, &str)], instances: usize) -> Mesh {
    start_mesh(zones, instances, "")
}

fn start_mesh(zones: &[(&str, &str)], instances: usize, run_settings: &str) -> Mesh {
    let services = vec![
        ServicePlan::new("orders", instances, 20, 5).with_downstream_call("/pricing/price"),
        ServicePlan::new("pricing", instances, 20, 5),
    ];
    let mut plan = MeshPlan::new(zones, services);
    plan.run_settings.push_str(run_settings);
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir().unwrap()).unwrap();
    let applied = mesh.apply_sheet(SHEET).unwrap();
    assert!(
        applied.status.success(),
        "the first sheet was not applied: {}",
        String::from_utf8_lossy(&applied.stderr)
    );
    mesh.wait_ready(1).unwrap();
    mesh
}

/// Blocking caller with its own runtime.
pub(crate) struct Caller {
    runtime: Runtime,
    client: CallerClient,
}

impl Caller {
    pub(crate) fn new() -> Caller {
        Caller { runtime: Runtime::new().unwrap(), client: CallerClient::new() }
    }

    /// Sends a GET request for `path`.
    pub(crate) fn get(&self, to: SocketAddr, path: &str) -> CallResult {
        self.send(to, &Method::GET, path, HeaderMap::new(), "")
    }

    /// Sends an order, with `ticket` if there is one.
    pub(crate) fn order(&self, to: SocketAddr, body: &str, ticket: Option<&str>) -> CallResult {
        let mut map = HeaderMap::new();
        if let Some(ticket) = ticket {
            headers::set(&mut map, headers::TICKET, ticket);
        }
        self.send(to, &Method::POST, "/orders/new", map, body)
    }

    /// Sends an order without a ticket and returns the ticket that the refusal carries.
    pub(crate) fn ticket(&self, to: SocketAddr) -> String {
        self.order(to, "ticket, please", None).ticket.unwrap()
    }

    pub(crate) fn send(
        &self,
        to: SocketAddr,
        method: &Method,
        path: &str,
        map: HeaderMap,
        body: &str,
    ) -> CallResult {
        self.runtime.block_on(self.client.call(to, method, path, "mark", map, body))
    }

    /// Runs a load and returns its report when all requests have ended.
    pub(crate) fn load(&self, cfg: &LoadConfig) -> LoadReport {
        self.runtime.block_on(run_load(cfg))
    }
}

/// Returns a load of three reads to one order. The callers make no retries.
pub(crate) fn mixed_load(targets: Vec<SocketAddr>, rate: f64, seconds: u64) -> LoadConfig {
    let kinds = ["read,GET,/pricing/quote,3,8000", "order,POST,/orders/new,1,8000,ticket"];
    LoadConfig {
        targets,
        phases: vec![Phase { rate, duration: Duration::from_secs(seconds) }],
        kinds: kinds.iter().filter_map(|text| RequestKind::parse(text)).collect(),
        immediate_retries: 0,
        seed: 7,
    }
}

/// Returns how many times upstreams ran a request again that must never be repeated.
pub(crate) fn duplicates(mesh: &Mesh) -> u64 {
    let stats = |host| mesh.upstream_stats(host).map_or(0, |stats| stats.duplicates);
    mesh.plan.hosts.iter().map(stats).sum()
}
