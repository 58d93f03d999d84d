//! Layout of a mesh: its zones, services, hosts, addresses and settings files.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const CALLER_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;
const CONTROL_PORT: u16 = 7_002;
const UPSTREAM_LISTENER_PORT: u16 = 7_003;
const ADMIN_PORT: u16 = 7_004;
const UPSTREAM_PORT: u16 = 7_100;
const STORE_PORT: u16 = 7_900;
/// Loopback addresses reserved for each mesh.
const ADDRESSES_PER_MESH: u32 = 1_024;
/// Number of meshes that fit into 127.0.0.0/8 at [`ADDRESSES_PER_MESH`] addresses each.
const MAX_MESHES: u32 = 8_192;
/// Secret that the nodes of a mesh share.
pub const PEER_SECRET: &str = "secret-of-a-mesh-on-loopback";

static NEXT_MESH: AtomicU32 = AtomicU32::new(0);

/// Service of a mesh, with the properties of its stand-in upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name, also the first segment of the paths of its requests.
    pub name: String,
    /// Number of instances, assigned to the zones round-robin.
    pub instances: usize,
    /// Requests that an instance runs at once at full speed.
    pub slots: u32,
    /// Connections that an instance announces to its node.
    pub connections: u32,
    /// Time that a request takes in a slot.
    pub service_time: Duration,
    /// Size of a response body in bytes.
    pub response_bytes: usize,
    /// Paths that an instance calls through its node for each request it runs, one after the other.
    pub downstream_calls: Vec<String>,
    /// Whether an instance refuses requests that find all its slots taken instead of queueing them.
    pub sheds_load: bool,
}

/// Host of a mesh, with one node and one upstream.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Name of the form `SERVICE-NUMBER`, counted from 1.
    pub name: String,
    /// Availability zone that the host is in.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Loopback address of all listeners of the node and of the upstream.
    pub ip: IpAddr,
    /// Index in [`MeshPlan::services`] of the service that the host runs.
    pub service_index: usize,
}

/// Layout of a mesh.
#[derive(Clone, Debug)]
pub struct MeshPlan {
    /// Pairs of zone and region.
    pub zones: Vec<(String, String)>,
    /// Services, in the order in which their hosts are numbered.
    pub services: Vec<ServicePlan>,
    /// Hosts of all services. Functions of `Mesh` take an index into this list.
    pub hosts: Vec<HostPlan>,
    /// Lines of the section `[run]` in the settings file of every node.
    pub run_settings: String,
    base_addr: u32,
}

impl ServicePlan {
    /// Creates a service with 400 connections and responses of 1 KiB that makes no downstream calls
    /// and sheds no load.
    pub fn new(name: &str, instances: usize, slots: u32, service_ms: u64) -> ServicePlan {
        ServicePlan {
            name: name.into(),
            instances,
            slots,
            connections: 400,
            service_time: Duration::from_millis(service_ms),
            response_bytes: 1_024,
            downstream_calls: Vec::new(),
            sheds_load: false,
        }
    }

    /// Adds a path that each request calls through the node.
    pub fn with_downstream_call(mut self, path: &str) -> ServicePlan {
        self.downstream_calls.push(path.into());
        self
    }

    /// Sets whether instances refuse requests that find all slots taken.
    pub fn with_load_shedding(mut self, sheds_load: bool) -> ServicePlan {
        self.sheds_load = sheds_load;
        self
    }
}

impl MeshPlan {
    /// Creates a plan whose instances of each service are assigned to the zones round-robin.
    ///
    /// Each plan gets its own range of loopback addresses, chosen by the process id and a counter,
    /// so that meshes of tests that run in parallel do not collide.
    pub fn new(zones: &[(&str, &str)], services: Vec<ServicePlan>) -> MeshPlan {
        let index = std::process::id().wrapping_mul(7) + NEXT_MESH.fetch_add(1, Ordering::Relaxed);
        let base_addr = (127 << 24) + (index % MAX_MESHES + 1) * ADDRESSES_PER_MESH;
        let zones: Vec<(String, String)> =
            zones.iter().map(|(z, r)| ((*z).into(), (*r).into())).collect();
        let mut hosts = Vec::new();
        for (service_index, service) in services.iter().enumerate() {
            for instance in 0..service.instances {
                let (zone, region) = zones[instance % zones.len()].clone();
                let number = hosts.len() as u32 + 2;
                hosts.push(HostPlan {
                    name: format!("{}-{}", service.name, instance + 1),
                    zone,
                    region,
                    ip: IpAddr::V4(Ipv4Addr::from(base_addr + number)),
                    service_index,
                });
            }
        }
        let run_settings = "traffic_threads = 2\nassert = yes\n".into();
        MeshPlan { zones, services, hosts, run_settings, base_addr }
    }

    /// Returns the address of the stand-in store.
    pub fn store_addr(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::from(self.base_addr + 1)), STORE_PORT)
    }

    /// Returns the addresses of the caller listeners of all hosts.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(HostPlan::caller_addr).collect()
    }

    /// Returns the content of the settings file of a host's node.
    pub fn settings(&self, host: &HostPlan) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "[host]\nname = {}\nzone = {}\nregion = {}\n\n[listen]\ncaller = {}\npeer = {}\n\
             control = {}\nupstream = {}\nadmin = {}\n\n[peers]\nsecret = {PEER_SECRET}\nseeds = {}\n\n\
             [zones]\n{}\n[store]\nurl = http://{}\ntimeout_ms = 1000\n\n[log]\nlevel = info\n\n\
             [run]\n{}",
            host.name,
            host.zone,
            host.region,
            host.caller_addr(),
            host.peer_addr(),
            host.control_addr(),
            host.upstream_listener_addr(),
            host.admin_addr(),
            self.seeds(&host.zone),
            self.remote_zone_lines(&host.zone),
            self.store_addr(),
            self.run_settings,
        );
        text
    }

    fn seeds(&self, zone: &str) -> String {
        let hosts = self.hosts.iter().filter(|host| host.zone == zone).take(3);
        hosts.map(|host| host.control_addr().to_string()).collect::<Vec<_>>().join(" ")
    }

    fn remote_zone_lines(&self, own: &str) -> String {
        let others = self.zones.iter().filter(|(zone, _)| zone != own);
        others.map(|(zone, region)| format!("{zone} = {region} {}\n", self.seeds(zone))).collect()
    }
}

impl HostPlan {
    /// Returns the address of the node's caller listener.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Returns the address of the node's peer listener, which takes calls of other nodes.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Returns the address of the node's control listener, which takes gossip and configuration
    /// messages.
    pub fn control_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Returns the address of the node's upstream listener, at which the upstream announces itself.
    pub fn upstream_listener_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, UPSTREAM_LISTENER_PORT)
    }

    /// Returns the address of the node's admin server.
    pub fn admin_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ADMIN_PORT)
    }

    /// Returns the address at which the upstream itself takes requests.
    pub fn upstream_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, UPSTREAM_PORT)
    }
}
