//! Quarantine of requests that crash upstreams.
//!
//! When an upstream dies, the fingerprints of the requests in flight become suspects. An upstream
//! runs at most one suspect at a time. If an upstream crashes again while it runs a suspect, the
//! fingerprint is quarantined and its requests are refused. A suspect that completes is cleared.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::{FastMap, FastSet};
use crate::ids::{Fingerprint, TryId};
use crate::time::Timestamp;

/// Number of crashes after which a fingerprint is quarantined.
const CRASHES_TO_QUARANTINE: u8 = 2;
/// Maximum number of fingerprints kept as recently completed. It is large enough to include the
/// requests that many callers send, and a linear search through all takes a microsecond.
const MAX_RECENTLY_COMPLETED: usize = 256;
/// Maximum number of fingerprints with an entry: suspected, quarantined or cleared.
const MAX_ENTRIES: usize = 1_024;

data_type! {
    /// State of one fingerprint, as nodes exchange it.
    pub struct QuarantineEntry {
        /// Fingerprint of the requests that this entry is about.
        pub fingerprint: Fingerprint,
        /// Number of upstreams that crashed while they ran such a request; 0 after the entry was
        /// cleared or lifted.
        pub crashes: u8,
        /// Number of times that a suspect was cleared because it completed.
        pub clears: u32,
        /// Number of times that an operator lifted the entry.
        pub lifts: u32,
        /// Time until the entry expires, in milliseconds from when the message was sent.
        pub expires_in_ms: u64,
    }

    /// Position in the changes of the quarantine of one process.
    pub struct QuarantineCursor {
        /// Random number of the process.
        pub source: u64,
        /// Number of its last change that is known.
        pub change: u64,
    }

    /// Entries of the quarantine of one process that changed after a cursor, oldest change first.
    pub struct QuarantineChanges {
        /// Suspected and quarantined requests.
        pub entries: Vec<QuarantineEntry>,
        /// Position after these entries.
        pub cursor: QuarantineCursor,
        /// Whether more changes follow.
        pub has_more: bool,
    }
}

impl QuarantineEntry {
    /// Returns whether requests with this fingerprint are refused.
    pub fn is_quarantined(&self) -> bool {
        self.crashes >= CRASHES_TO_QUARANTINE
    }
}

/// Whether a request may run at the upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Run the request: it is not suspected.
    Allow,
    /// Run the request: it is suspected, but no other suspect is running.
    AllowAlone,
    /// Refuse the request: it is suspected, and another suspect is running.
    SuspectBusy,
    /// Refuse the request: its fingerprint is quarantined.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Entry {
    crashes: u8,
    clears: u32,
    lifts: u32,
    expires: Timestamp,
    /// Number of the last change of the entry in this process.
    change: u64,
}

/// Precedence of one state of a fingerprint over another. When nodes exchange differing states,
/// both keep the one of higher precedence.
///
/// A lift takes precedence over everything before it. A quarantine takes precedence over a
/// clear, which may come from a host that did not know of the second crash. A clear takes
/// precedence over the suspicion that it clears.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    lifts: u32,
    quarantined: bool,
    clears: u32,
    crashes: u8,
}

/// A try that the upstream is running.
#[derive(Clone, Copy, Debug)]
struct Running {
    fingerprint: Fingerprint,
    /// Whether the fingerprint was suspected when the try started, so that no other suspect ran
    /// at the same time.
    was_suspect: bool,
}

/// Suspected and quarantined fingerprints, and the tries that one upstream is running.
#[derive(Clone, Debug)]
pub struct Quarantine {
    entries: FastMap<Fingerprint, Entry>,
    running: FastMap<TryId, Running>,
    /// Fingerprints that completed here recently, oldest first. A crash does not make them
    /// suspects, because a request that completes does not crash upstreams.
    recently_completed: VecDeque<Fingerprint>,
    retention: Duration,
    source: u64,
    /// Number of changes so far.
    change_count: u64,
}

impl Quarantine {
    /// Creates an empty quarantine whose entries expire after `retention`.
    pub fn new(retention: Duration) -> Quarantine {
        Quarantine {
            entries: FastMap::default(),
            running: FastMap::default(),
            recently_completed: VecDeque::new(),
            retention,
            source: 0,
            change_count: 0,
        }
    }

    /// Sets the random number of this process, which tells its cursors from those of others.
    pub fn with_source(mut self, source: u64) -> Quarantine {
        self.source = source;
        self
    }

    /// Decides whether a request may run now.
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
        // Checks the current entries instead of `was_suspect`, because another node may have
        // reported a running request as suspected after it started.
        let busy = self.running.values().any(|running| self.is_suspect(running.fingerprint));
        if busy { QuarantineDecision::SuspectBusy } else { QuarantineDecision::AllowAlone }
    }

    /// Records that another node saw an upstream die while it ran the request.
    ///
    /// Ignored if the fingerprint has an entry already or completed here recently.
    pub fn suspect(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        if !self.entries.contains_key(&fingerprint)
            && !self.recently_completed.contains(&fingerprint)
        {
            let expires = now + self.retention;
            self.insert(now, fingerprint, Entry::suspected(expires));
        }
    }

    /// Records that a try was dispatched to the upstream.
    pub fn start(&mut self, id: TryId, fingerprint: Fingerprint) {
        let was_suspect = self.is_suspect(fingerprint);
        self.running.insert(id, Running { fingerprint, was_suspect });
    }

    /// Records that a try ended without a crash of the upstream. `completed` tells whether the
    /// upstream ran it to its end; one that it refused did not complete.
    ///
    /// If the try completed and was suspected, clears the entry and returns it, to be sent to other
    /// nodes.
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
        self.record_completed(fingerprint);
        let entry = self.entries.get_mut(&fingerprint)?;
        if entry.crashes == 0 || entry.crashes >= CRASHES_TO_QUARANTINE {
            return None;
        }
        entry.crashes = 0;
        entry.clears = entry.clears.saturating_add(1);
        Some(entry.to_message(fingerprint, now))
    }

    /// Records the death of the upstream and returns the entries that changed, to be sent to
    /// other nodes.
    ///
    /// If suspects were running, the crash is attributed to them alone, otherwise to all running
    /// requests.
    pub fn upstream_died(&mut self, now: Timestamp) -> Vec<QuarantineEntry> {
        let running = std::mem::take(&mut self.running);
        let ran_suspect = running.values().any(|running| running.was_suspect);
        let running: FastSet<Fingerprint> = running
            .into_values()
            .map(|running| running.fingerprint)
            .filter(|fingerprint| !self.recently_completed.contains(fingerprint))
            .collect();
        let suspects: FastSet<Fingerprint> =
            running.iter().copied().filter(|running| self.is_suspect(*running)).collect();
        let candidates = if suspects.is_empty() { running } else { suspects };
        // A crash quarantines a fingerprint only if it is the single candidate, because a harmless
        // request may have run beside the crashing one twice. It must also have been suspected
        // before its run started, because a request that many callers send is in flight whenever
        // an upstream dies.
        let is_conclusive = candidates.len() == 1 && ran_suspect;
        let max_crashes = if is_conclusive { CRASHES_TO_QUARANTINE } else { 1 };
        candidates
            .into_iter()
            .filter_map(|fingerprint| self.record_crash(now, fingerprint, max_crashes))
            .collect()
    }

    /// Merges an entry from another node; returns whether the local state changed.
    pub fn merge(&mut self, now: Timestamp, message: &QuarantineEntry) -> bool {
        let expires_in = Duration::from_millis(message.expires_in_ms).min(self.retention);
        let incoming = Entry {
            crashes: message.crashes,
            clears: message.clears,
            lifts: message.lifts,
            expires: now + expires_in,
            change: 0,
        };
        if expires_in.is_zero() {
            return false;
        }
        match self.entries.get_mut(&message.fingerprint) {
            Some(entry) if incoming.precedence() <= entry.precedence() => false,
            Some(entry) => {
                self.change_count += 1;
                *entry = Entry { change: self.change_count, ..incoming };
                true
            }
            None => self.insert(now, message.fingerprint, incoming),
        }
    }

    /// Lifts the quarantine or suspicion of a fingerprint at an operator's request.
    ///
    /// Returns the changed entry, to be sent to other nodes, or `None` if there was no entry.
    pub fn lift(&mut self, now: Timestamp, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let entry = self.entries.get_mut(&fingerprint)?;
        entry.crashes = 0;
        entry.lifts = entry.lifts.saturating_add(1);
        entry.expires = now + self.retention;
        Some(entry.to_message(fingerprint, now))
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Timestamp) {
        self.entries.retain(|_, entry| entry.expires > now);
    }

    /// Returns the entries that are suspected or quarantined, sorted by fingerprint.
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

    /// Returns up to `max` entries that are suspected or quarantined and changed after `known`, or
    /// from the first one on if `known` is a position in the changes of another process.
    ///
    /// ```
    /// use snipehollow_core::ids::{Fingerprint, TryId};
    /// use snipehollow_core::quarantine::Quarantine;
    /// use snipehollow_core::time::Timestamp;
    /// use std::time::Duration;
    ///
    /// let now = Timestamp::ZERO;
    /// let mut quarantine = Quarantine::new(Duration::from_secs(600));
    /// quarantine.start(TryId(1), Fingerprint(1));
    /// quarantine.upstream_died(now);
    /// let first = quarantine.changes_since(now, None, 10);
    /// assert_eq!(first.entries.len(), 1);
    /// assert!(quarantine.changes_since(now, Some(&first.cursor), 10).entries.is_empty());
    /// ```
    pub fn changes_since(
        &self,
        now: Timestamp,
        known: Option<&QuarantineCursor>,
        max: usize,
    ) -> QuarantineChanges {
        let known = known.filter(|known| known.source == self.source);
        let known = known.map_or(0, |known| known.change);
        let mut changed: Vec<(&Fingerprint, &Entry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.crashes > 0 && entry.expires > now && entry.change > known)
            .collect();
        changed.sort_by_key(|(_, entry)| entry.change);
        let has_more = changed.len() > max;
        changed.truncate(max);
        let last = changed.last().filter(|_| has_more).map(|(_, entry)| entry.change);
        QuarantineChanges {
            entries: changed
                .into_iter()
                .map(|(fingerprint, entry)| entry.to_message(*fingerprint, now))
                .collect(),
            cursor: QuarantineCursor {
                source: self.source,
                change: last.unwrap_or(self.change_count),
            },
            has_more,
        }
    }

    fn record_completed(&mut self, fingerprint: Fingerprint) {
        if self.recently_completed.contains(&fingerprint) {
            return;
        }
        if self.recently_completed.len() >= MAX_RECENTLY_COMPLETED {
            self.recently_completed.pop_front();
        }
        self.recently_completed.push_back(fingerprint);
    }

    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| entry.crashes > 0)
    }

    /// Counts a crash, up to `max_crashes`, and returns the changed entry. Returns `None` if the
    /// table is full of quarantined entries.
    fn record_crash(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        max_crashes: u8,
    ) -> Option<QuarantineEntry> {
        let expires = now + self.retention;
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.crashes = entry.crashes.max((entry.crashes + 1).min(max_crashes));
            entry.expires = expires;
            self.change_count += 1;
            entry.change = self.change_count;
            return Some(entry.to_message(fingerprint, now));
        }
        let entry = Entry::suspected(expires);
        let message = entry.to_message(fingerprint, now);
        self.insert(now, fingerprint, entry).then_some(message)
    }

    fn insert(&mut self, now: Timestamp, fingerprint: Fingerprint, mut entry: Entry) -> bool {
        if self.entries.len() >= MAX_ENTRIES {
            self.expire(now);
        }
        if self.entries.len() >= MAX_ENTRIES {
            // Evicts a cleared entry, or else a suspected one; quarantined entries are never
            // evicted.
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
        self.change_count += 1;
        entry.change = self.change_count;
        self.entries.insert(fingerprint, entry);
        true
    }
}

impl Entry {
    /// Returns the entry of a request that was running at its first crash.
    fn suspected(expires: Timestamp) -> Entry {
        Entry { crashes: 1, clears: 0, lifts: 0, expires, change: 0 }
    }

    fn precedence(&self) -> Precedence {
        Precedence {
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
