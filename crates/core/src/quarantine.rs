//! Quarantine of requests that crash upstreams.
//!
//! When an upstream dies, the requests in flight become suspects by their fingerprint. A
//! suspect runs with no other suspect beside it; the crash of an upstream that runs it again
//! quarantines it. A suspect that finishes is cleared.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::{FastMap, FastSet};
use crate::ids::{Fingerprint, TryId};
use crate::time::Timestamp;

/// Crashes after which a fingerprint is quarantined.
const CRASHES_TO_QUARANTINE: u8 = 2;
/// Most requests that are remembered as completed: what many callers send is among them, and a
/// search through all takes a microsecond.
const MAX_PROVEN: usize = 256;
/// Most fingerprints that are suspected or quarantined.
const MAX_ENTRIES: usize = 1_024;

data_type! {
    /// State of one fingerprint, as it spreads between nodes.
    pub struct QuarantineEntry {
        /// Digest of the request.
        pub fingerprint: Fingerprint,
        /// Upstreams that died while they ran it; 0 once it is cleared or lifted.
        pub crashes: u8,
        /// Times that it was cleared by finishing.
        pub clears: u32,
        /// Times that an operator lifted it.
        pub lifts: u32,
        /// Time until it expires, in milliseconds, when the message was sent.
        pub expires_in_ms: u64,
    }
}

impl QuarantineEntry {
    /// Tells whether requests with this fingerprint are refused.
    pub fn is_quarantined(&self) -> bool {
        self.crashes >= CRASHES_TO_QUARANTINE
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Not suspected.
    Allow,
    /// Suspected; it runs with no other suspect beside it.
    AllowAlone,
    /// Suspected, and another suspect is running: refused, not run.
    SuspectBusy,
    /// Quarantined: refused, not run.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Entry {
    crashes: u8,
    clears: u32,
    lifts: u32,
    expires: Timestamp,
}

/// Order of the states of one fingerprint: two nodes that differ both take the greater.
///
/// A lift beats all before it. A quarantine beats a clearing, which may come from a host that
/// did not know of the second crash. A clearing beats the suspicion that it answers.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    lifts: u32,
    quarantined: bool,
    clears: u32,
    crashes: u8,
}

/// A try at the upstream.
#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: Fingerprint,
    /// Whether it was suspected when it started, and so ran with no other suspect beside it.
    as_suspect: bool,
}

/// Suspected and quarantined fingerprints, and the tries running at one upstream.
#[derive(Clone, Debug)]
pub struct Quarantine {
    entries: FastMap<Fingerprint, Entry>,
    running: FastMap<TryId, Running>,
    /// Requests that completed here lately, oldest first: they do not crash upstreams.
    proven: VecDeque<Fingerprint>,
    retention: Duration,
}

impl Quarantine {
    /// Creates an empty quarantine whose entries expire after `retention`.
    pub fn new(retention: Duration) -> Quarantine {
        Quarantine {
            entries: FastMap::default(),
            running: FastMap::default(),
            proven: VecDeque::new(),
            retention,
        }
    }

    /// Tells whether a request may run now.
    ///
    /// ```
    /// use snipehollow_core::ids::{Fingerprint, TryId};
    /// use snipehollow_core::quarantine::{Quarantine, QuarantineDecision};
    /// use snipehollow_core::time::Timestamp;
    /// use std::time::Duration;
    ///
    /// let now = Timestamp::ZERO;
    /// let mut quarantine = Quarantine::new(Duration::from_secs(600));
    /// let poison = Fingerprint(1);
    /// for _ in 0..2 {
    ///     quarantine.start(TryId(1), poison);
    ///     quarantine.upstream_died(now);
    /// }
    /// assert_eq!(quarantine.check(now, poison), QuarantineDecision::Quarantined);
    /// ```
    pub fn check(&self, now: Timestamp, fingerprint: Fingerprint) -> QuarantineDecision {
        let Some(entry) = self.entries.get(&fingerprint).filter(|e| e.expires > now) else {
            return QuarantineDecision::Allow;
        };
        if entry.crashes >= CRASHES_TO_QUARANTINE {
            return QuarantineDecision::Quarantined;
        }
        if entry.crashes == 0 {
            return QuarantineDecision::Allow;
        }
        // Looked up now and not when the others started: suspicion of a request that runs
        // already may have arrived meanwhile.
        let busy = self.running.values().any(|running| self.is_suspect(running.fingerprint));
        if busy { QuarantineDecision::SuspectBusy } else { QuarantineDecision::AllowAlone }
    }

    /// Records that another node saw an upstream die while it ran the request.
    pub fn suspect(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if !self.entries.contains_key(&fingerprint) && !self.proven.contains(&fingerprint) {
            let expires = now + self.retention;
            self.insert(now, fingerprint, Entry { crashes: 1, clears: 0, lifts: 0, expires });
        }
    }

    /// Records that a try was dispatched.
    pub fn start(&mut self, id: TryId, fingerprint: Fingerprint) {
        let as_suspect = self.is_suspect(fingerprint);
        self.running.insert(id, Running { fingerprint, as_suspect });
    }

    /// Records that a try ended while its upstream lived, and returns the cleared entry if
    /// it was a suspect that completed.
    pub fn finish(
        &mut self,
        now: Timestamp,
        id: TryId,
        completed: bool,
    ) -> Option<QuarantineEntry> {
        let fingerprint = self.running.remove(&id)?.fingerprint;
        if !completed {
            return None;
        }
        self.prove(fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        if entry.crashes == 0 || entry.crashes >= CRASHES_TO_QUARANTINE {
            return None;
        }
        entry.crashes = 0;
        entry.clears += 1;
        Some(entry.to_message(fingerprint, now))
    }

    /// Records the death of the upstream and returns the entries that changed.
    ///
    /// If suspects were running, only they are blamed: the others are bystanders.
    pub fn upstream_died(&mut self, now: Timestamp) -> Vec<QuarantineEntry> {
        let running = std::mem::take(&mut self.running);
        let was_alone = running.values().any(|running| running.as_suspect);
        let running: FastSet<Fingerprint> = running
            .into_values()
            .map(|running| running.fingerprint)
            .filter(|fingerprint| !self.proven.contains(fingerprint))
            .collect();
        let suspects: FastSet<Fingerprint> =
            running.iter().copied().filter(|running| self.is_suspect(*running)).collect();
        let blamed = if suspects.is_empty() { running } else { suspects };
        // A death with several candidates convicts none of them: a bystander may have been
        // beside the same request twice. Nor does one whose run began before the suspicion: a
        // request that many callers send is in flight at every death.
        let convicts = blamed.len() == 1 && was_alone;
        let most = if convicts { CRASHES_TO_QUARANTINE } else { 1 };
        blamed.into_iter().filter_map(|fingerprint| self.blame(now, fingerprint, most)).collect()
    }

    /// Takes in an entry from another node; returns true if it changed anything.
    pub fn merge(&mut self, now: Timestamp, message: &QuarantineEntry) -> bool {
        let expires_in = Duration::from_millis(message.expires_in_ms).min(self.retention);
        let incoming = Entry {
            crashes: message.crashes,
            clears: message.clears,
            lifts: message.lifts,
            expires: now + expires_in,
        };
        if expires_in.is_zero() {
            return false;
        }
        match self.entries.get_mut(&message.fingerprint) {
            Some(entry) if incoming.standing() <= entry.standing() => false,
            Some(entry) => {
                *entry = incoming;
                true
            }
            None => self.insert(now, message.fingerprint, incoming),
        }
    }

    /// Lifts a fingerprint by an operator's order and returns the entry to spread.
    pub fn lift(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let entry = self.entries.get_mut(&fingerprint)?;
        entry.crashes = 0;
        entry.lifts += 1;
        entry.expires = now + self.retention;
        Some(entry.to_message(fingerprint, now))
    }

    /// Drops expired entries.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.expires > now);
    }

    /// Returns every entry that is suspected or quarantined, by fingerprint.
    pub fn list(&self, now: Timestamp) -> Vec<QuarantineEntry> {
        let mut list: Vec<QuarantineEntry> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.crashes > 0 && entry.expires > now)
            .map(|(fingerprint, entry)| entry.to_message(*fingerprint, now))
            .collect();
        list.sort_by_key(|entry| entry.fingerprint);
        list
    }

    /// Remembers a request that completed.
    fn prove(&mut self, fingerprint: Fingerprint) {
        if self.proven.contains(&fingerprint) {
            return;
        }
        if self.proven.len() >= MAX_PROVEN {
            self.proven.pop_front();
        }
        self.proven.push_back(fingerprint);
    }

    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| entry.crashes > 0)
    }

    fn blame(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        most: u8,
    ) -> Option<QuarantineEntry> {
        let expires = now + self.retention;
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.crashes = entry.crashes.max((entry.crashes + 1).min(most));
            entry.expires = expires;
            return Some(entry.to_message(fingerprint, now));
        }
        let entry = Entry { crashes: 1, clears: 0, lifts: 0, expires };
        let message = entry.to_message(fingerprint, now);
        self.insert(now, fingerprint, entry).then_some(message)
    }

    fn insert(&mut self, now: Timestamp, fingerprint: Fingerprint, entry: Entry) -> bool {
        if self.entries.len() >= MAX_ENTRIES {
            self.expire(now);
        }
        if self.entries.len() >= MAX_ENTRIES {
            // Cleared and merely suspected entries give way; a quarantined one is kept.
            let victim = self
                .entries
                .iter()
                .filter(|(_, e)| e.crashes < CRASHES_TO_QUARANTINE)
                .min_by_key(|(fingerprint, e)| (e.crashes, e.expires, **fingerprint))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(victim) = victim else {
                return false;
            };
            self.entries.remove(&victim);
        }
        self.entries.insert(fingerprint, entry);
        true
    }
}

impl Entry {
    fn standing(&self) -> Standing {
        Standing {
            lifts: self.lifts,
            quarantined: self.crashes >= CRASHES_TO_QUARANTINE,
            clears: self.clears,
            crashes: self.crashes,
        }
    }

    fn to_message(&self, fingerprint: Fingerprint, now: Timestamp) -> QuarantineEntry {
        QuarantineEntry {
            fingerprint,
            crashes: self.crashes,
            clears: self.clears,
            lifts: self.lifts,
            expires_in_ms: self.expires.since(now).as_millis() as u64,
        }
    }
}
