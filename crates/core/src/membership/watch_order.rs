//! Order in which the members of a zone watch the configuration.

use std::net::SocketAddr;
use std::time::Duration;

use super::swim::Membership;
use crate::collections::{FastMap, FastSet};
use crate::ids::HostName;
use crate::time::Timestamp;

/// Number of members of a zone that watch the configuration while none has lost the store.
const WATCHERS: usize = 2;
/// Maximum number of watchers without the store that are replaced. If the store is down for all, more
/// would only add calls to it.
const MAX_REPLACED: usize = 4;
/// How long a member counts as one that has lost the store after it said so.
const LOSS_RETENTION: Duration = Duration::from_secs(3);
/// Key of the rendezvous hash that orders the members.
const KEY: &str = "watch";

/// Another member in the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderedMember {
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
///
/// The store may turn away some members and serve the others. A watcher that has lost the store tells
/// the members behind it, and two more of them watch too: one in its place, and one in case the first
/// is turned away as well.
#[derive(Clone, Debug, Default)]
pub struct WatchOrder {
    /// Live members that did not respond to the last check.
    unresponsive: FastSet<HostName>,
    /// Members that have lost the store, and until when that is assumed.
    without_store: FastMap<HostName, Timestamp>,
    /// All live members in order, and the change count of the membership that they are taken from.
    order: Vec<OrderedMember>,
    change_count: Option<u64>,
}

impl WatchOrder {
    /// Returns whether this node is one of the watchers of its zone.
    pub fn is_watcher(&mut self, membership: &Membership) -> bool {
        self.watcher_rank(membership).is_some()
    }

    /// Returns the number of responsive members ahead of this node if it is one of the watchers of its
    /// zone, otherwise `None`.
    pub fn watcher_rank(&mut self, membership: &Membership) -> Option<usize> {
        self.update(membership);
        let (mut able, mut lost) = (0, 0);
        for member in self.ahead_of(membership.host()) {
            match self.without_store.contains_key(&member.host) {
                true => lost += 1,
                false => able += 1,
            }
            if lost > MAX_REPLACED || able >= WATCHERS + MAX_REPLACED {
                return None;
            }
        }
        (able < WATCHERS + lost).then_some(able + lost)
    }

    /// Returns up to `count` responsive members after this node, the next one first.
    pub fn successors(&mut self, membership: &Membership, count: usize) -> Vec<OrderedMember> {
        self.update(membership);
        let host = membership.host();
        let after = self.order.iter().skip_while(|member| member.host != *host).skip(1);
        let responsive = after.filter(|member| !self.unresponsive.contains(&member.host));
        responsive.take(count).cloned().collect()
    }

    /// Returns up to `count` members to check, the one directly before this node first; empty if this
    /// node is a watcher, whom nobody needs to replace.
    ///
    /// Members that did not respond to an earlier check are passed over.
    pub fn predecessors(&mut self, membership: &Membership, count: usize) -> Vec<OrderedMember> {
        if self.is_watcher(membership) {
            return Vec::new();
        }
        let ahead: Vec<&OrderedMember> = self.ahead_of(membership.host()).collect();
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

    /// Records whether a member said that it has lost the store.
    pub fn record_store_loss(&mut self, now: Timestamp, host: &HostName, lost: bool) {
        match lost {
            true => self.without_store.insert(host.clone(), now + LOSS_RETENTION),
            false => self.without_store.remove(host),
        };
    }

    /// Forgets the losses of the store that were not said again in time.
    pub fn expire_losses(&mut self, now: Timestamp) {
        self.without_store.retain(|_, until| *until > now);
    }

    /// Iterates over the responsive members before a host, in order.
    fn ahead_of(&self, host: &HostName) -> impl Iterator<Item = &OrderedMember> {
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
            .map(|member| OrderedMember {
                host: member.update.host.clone(),
                control: member.update.info.control,
            })
            .collect();
        // The membership knows best about members that it does not count as live.
        self.unresponsive.retain(|host| membership.get(host).is_some_and(|m| m.is_live()));
    }
}
