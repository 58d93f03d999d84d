//! A small deployment: a store, machines with nodes, and the operator's configuration.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::{fs, io};

use crate::fleet::{Machine, Node, free};
use crate::record::Record;
use crate::store::Store;

/// Host name of all routes.
pub const HOST: &str = "hulo84.example";

/// Route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub service: &'static str,
    pub attempts: u32,
}

pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub record: Record,
    /// Temporary folder for settings and logs; removed when the deployment is dropped.
    dir: PathBuf,
}

impl Deployment {
    /// Starts a store and a node on each machine, and waits until the nodes are ready.
    pub fn start(
        machines: &[Machine],
        routes: &[Route],
        record: &Record,
    ) -> io::Result<Deployment> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut zones: Vec<(String, String)> =
            machines.iter().map(|m| (m.zone.clone(), m.region.clone())).collect();
        zones.sort();
        zones.dedup();
        let store = Store::default();
        store.put_config(&document(1, routes, machines));
        let nodes = Vec::new();
        let mut deployment = Deployment { store, nodes, record: record.clone(), dir };
        for machine in machines {
            let store_addr = free(Ipv4Addr::new(127, 39, 0, 1))?;
            deployment.store.listen(store_addr, &machine.name)?;
            let node = Node::start(machine, &zones, store_addr, &deployment.dir, record)?;
            deployment.nodes.push(node);
        }
        for node in &deployment.nodes {
            node.wait_ready()?;
        }
        deployment.record.line("all nodes are ready");
        Ok(deployment)
    }

    /// Keeps the logs of the nodes beside the record, if the variable `KEEP_LOGS` names a folder.
    fn keep_logs(&self) -> io::Result<()> {
        let Some(folder) = std::env::var_os("KEEP_LOGS") else {
            return Ok(());
        };
        for entry in fs::read_dir(&self.dir)? {
            let entry = entry?;
            fs::copy(entry.path(), Path::new(&folder).join(entry.file_name()))?;
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = self.keep_logs();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the configuration document.
pub fn document(version: u32, routes: &[Route], machines: &[Machine]) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, timeout_ms, service, attempts } = route;
            format!(
                "{{\"EntryType\":\"Routes\",\"Metadata\":{{\"Name\":\"{name}\"}},\"Spec\":{{\
                 \"Hostname\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"RouteType\":\"{kind}\",\
                 \"Timeout\":\"{timeout_ms}ms\",\"TargetLatency\":\"1500ms\",\"Priority\":1,\
                 \"Service\":\"{service}\",\"Attempts\":{attempts}}}}}"
            )
        })
        .collect();
    let mut services: Vec<&str> = machines.iter().map(|m| m.service.as_str()).collect();
    services.sort();
    services.dedup();
    resources.extend(services.iter().map(|service| {
        format!(
            "{{\"EntryType\":\"Services\",\"Metadata\":{{\"Name\":\"{service}\"}},\"Spec\":{{\
             \"HealthPath\":\"/healthz\",\"MaxConnections\":424,\"Protocol\":\"h1\",\"Tls\":false}}}}"
        )
    }));
    resources.push(
        "{\"EntryType\":\"Limits\",\"Metadata\":{},\"Spec\":{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}"
            .into(),
    );
    let previous = version - 1;
    format!(
        "{{\"Version\":\"{version:08x}\",\"BaseVersion\":\"{previous:08x}\",\"Resources\":[{}]}}",
        resources.join(",")
    )
}
