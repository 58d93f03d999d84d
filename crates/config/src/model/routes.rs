//! Lookup of routes by host name and path.

use std::sync::Arc;

use snipehollow_core::class::ClassPolicy;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::VirtualHostName;

use super::section::{RouteRule, RouteTarget, VirtualHostSection};

/// A route: requests with a certain path prefix, and the services that receive them.
#[derive(Clone, Debug)]
pub struct Route {
    /// Path prefix that requests must have.
    pub path_prefix: String,
    /// Class policy of the requests.
    pub policy: Arc<ClassPolicy>,
    /// Services that the requests are distributed over by weight; never empty.
    pub targets: Vec<RouteTarget>,
}

/// Routes of all virtual hosts.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes of each virtual host, longest path prefix first.
    hosts: FastMap<VirtualHostName, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Adds the routes of one virtual host, replacing any earlier ones.
    pub(super) fn insert(&mut self, section: &VirtualHostSection) {
        let mut routes: Vec<Arc<Route>> = section.routes.iter().map(Route::new).collect();
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        self.hosts.insert(section.host.clone(), routes);
    }

    /// Returns whether no virtual host is configured.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns the route of the host whose prefix is the longest one that matches the path.
    pub fn find(&self, host: &VirtualHostName, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}

impl Route {
    fn new(rule: &RouteRule) -> Arc<Route> {
        Arc::new(Route {
            path_prefix: rule.path_prefix.clone(),
            policy: Arc::new(rule.policy.clone()),
            targets: rule.targets.clone(),
        })
    }
}
