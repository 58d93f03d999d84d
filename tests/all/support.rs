//! What the tests share.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{HeaderMap, Method};
use snipehollow_standins::load::{
    CallResult, CallerClient, LoadConfig, LoadReport, Phase, RequestKind, run_load,
};
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};
use snipehollow_wire::headers;
use tokio::runtime::Runtime;

/// Longest wait for something that must happen.
pub(crate) const LIMIT: Duration = Duration::from_secs(40);

/// A sheet with classes for orders that never repeat and for everything else.
pub(crate) const SHEET: &str = "\
kind,name,rank,deadline_ms,worth,repeat,retries,service,method,path,class,refusals\n\
class,order,0,8000,10,never,2,,,,,\n\
class,read,1,8000,1,may-repeat,2,,,,,\n\
service,orders,,,,,,,,,,untrusted\n\
service,pricing,,,,,,,,,,trusted\n\
rule,,,,,,,orders,POST,/,order,\n\
rule,,,,,,,orders,*,/,read,\n\
rule,,,,,,,pricing,*,/,read,\n";

/// Starts two zones with two hosts of each service in each.
pub(crate) fn small_mesh() -> Mesh {
    mesh_of(&[("zone-a", "region-a"), ("zone-b", "region-a")], 4)
}

/// Starts a mesh with this many instances of each of two services.
pub(crate) fn mesh_of(zones: &[(&str, &str)], instances: usize) -> Mesh {
    let services = vec![
        ServicePlan::new("orders", instances, 20, 5).with_downstream_call("/pricing/price"),
        ServicePlan::new("pricing", instances, 20, 5),
    ];
    let plan = MeshPlan::new(zones, services);
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir().unwrap()).unwrap();
    let applied = mesh.apply_sheet(SHEET).unwrap();
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    mesh.wait_ready(1).unwrap();
    mesh
}

/// A caller with a runtime of its own.
pub(crate) struct Caller {
    runtime: Runtime,
    client: CallerClient,
}

impl Caller {
    pub(crate) fn new() -> Caller {
        Caller { runtime: Runtime::new().unwrap(), client: CallerClient::new() }
    }

    /// Reads a path.
    pub(crate) fn get(&self, to: SocketAddr, path: &str) -> CallResult {
        self.send(to, &Method::GET, path, HeaderMap::new(), "")
    }

    /// Places an order with a ticket or without.
    pub(crate) fn order(&self, to: SocketAddr, body: &str, ticket: Option<&str>) -> CallResult {
        let mut map = HeaderMap::new();
        if let Some(ticket) = ticket {
            headers::set(&mut map, headers::TICKET, ticket);
        }
        self.send(to, &Method::POST, "/orders/new", map, body)
    }

    /// Gets a ticket.
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

    /// Runs a load to its end.
    pub(crate) fn load(&self, cfg: &LoadConfig) -> LoadReport {
        self.runtime.block_on(run_load(cfg))
    }
}

/// A load of reads and orders.
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

/// Returns requests that upstreams ran although they may never repeat.
pub(crate) fn duplicates(mesh: &Mesh) -> u64 {
    let stats = |host| mesh.upstream_stats(host).map_or(0, |stats| stats.duplicates);
    mesh.plan.hosts.iter().map(stats).sum()
}
