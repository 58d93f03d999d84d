//! Order in which the members of a zone watch the configuration.

use std::net::SocketAddr;

use super::swim::Membership;
use crate::collections::FastSet;
use crate::ids::HostName;

/// Number of members of a zone that watch the configuration.
const WATCHERS: usize = 2;
/// Key of the rendezvous hash that orders the members.
const KEY: &str = "watch";

/// Member that comes before this node in the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    /// Host of the member.
    pub host: HostName,
    /// Its address for control messages.
    pub control: SocketAddr,
}

/// Order in which the live members of a zone watch the configuration: the first of them that respond
/// are its watchers.
///
/// The membership takes seconds to declare a member dead, and any number may die at once. So each
/// node that does not watch checks the member directly before it, and those further ahead if that one
/// does not respond. The first survivor finds that nobody ahead of it responds, whoever died.
#[derive(Clone, Debug, Default)]
pub struct WatchOrder {
    /// Live members that did not respond to the last check.
    unresponsive: FastSet<HostName>,
    /// All live members in order, and the change count of the membership that they are taken from.
    order: Vec<Predecessor>,
    change_count: Option<u64>,
}

impl WatchOrder {
    /// Returns whether this node is one of the watchers of its zone.
    pub fn is_watcher(&mut self, membership: &Membership) -> bool {
        self.update(membership);
        self.ahead_of(membership.host()).count() < WATCHERS
    }

    /// Returns up to `count` members to check, the one directly before this node first; empty if this
    /// node is a watcher, whom nobody needs to replace.
    ///
    /// Members that did not respond to an earlier check are passed over.
    pub fn predecessors(&mut self, membership: &Membership, count: usize) -> Vec<Predecessor> {
        if self.is_watcher(membership) {
            return Vec::new();
        }
        let ahead: Vec<&Predecessor> = self.ahead_of(membership.host()).collect();
        ahead.into_iter().rev().take(count).cloned().collect()
    }

    /// Records that a member sent a message or responded to one.
    pub fn record_response(&mut self, host: &HostName) {
        self.unresponsive.remove(host);
    }

    /// Records that a member did not respond to a check; returns whether it responded before.
    pub fn record_failure(&mut self, host: &HostName) -> bool {
        self.unresponsive.insert(host.clone())
    }

    /// Iterates over the responsive members before a host, in order.
    fn ahead_of(&self, host: &HostName) -> impl Iterator<Item = &Predecessor> {
        let ahead = self.order.iter().take_while(move |member| member.host != *host);
        ahead.filter(|member| !self.unresponsive.contains(&member.host))
    }

    fn update(&mut self, membership: &Membership) {
        let change_count = Some(membership.change_count());
        if self.change_count == change_count {
            return;
        }
        self.change_count = change_count;
        let hosts = membership.select_by_rendezvous(KEY, usize::MAX);
        self.order = hosts
            .into_iter()
            .filter_map(|host| membership.get(host))
            .map(|member| Predecessor {
                host: member.update.host.clone(),
                control: member.update.info.control,
            })
            .collect();
        // The membership knows best about members that it does not count as live.
        self.unresponsive.retain(|host| membership.get(host).is_some_and(|m| m.is_live()));
    }
}
