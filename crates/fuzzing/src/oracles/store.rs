//! Oracle for the configuration: commits, the store and the nodes that load and exchange it.
//!
//! It checks that the reported result of each commit is true, that no node goes back to an older
//! revision, that a revision never stands for two configurations, and that all nodes converge
//! once the store is free of faults. A store that lost data must be repaired by the nodes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use snipehollow_config::model::{ConfigState, GlobalSection, Section, ServiceSection};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::ids::{ClassName, ServiceName};
use snipehollow_core::outcome::RefusalTrust;
use snipehollow_store::{
    Commit, CommitError, HEAD_KEY, KeyValue, KvStore, LoadError, RepairAction, StoreError, Version,
    Versioned, commit_sections, load_delta, load_head, recommit_head, repair_action,
    write_back_config,
};

use crate::generators::{StoreFault, StoreOp};
use crate::{Violation, check};

const NODES: usize = 4;

/// A store in memory whose calls fail according to a schedule.
#[derive(Default)]
struct FakeStore {
    state: RefCell<State>,
}

/// A concurrent commit by another operator, made before one of the first operator's calls.
struct Race {
    /// Index of the call of the first operator.
    before_call: usize,
    sections: Vec<Section>,
    change_id: String,
    fleet_revision: u64,
}

#[derive(Default)]
struct State {
    values: HashMap<String, Versioned>,
    snapshot: Option<HashMap<String, Versioned>>,
    last_version: u64,
    /// Fault of each call, by its index; calls beyond the end have none.
    faults: Vec<StoreFault>,
    /// Number of calls since the faults were scheduled.
    calls: usize,
    race: Option<Race>,
}

impl FakeStore {
    /// Replaces the scheduled faults and the concurrent commit, and restarts the count of calls.
    fn schedule(&self, faults: &[StoreFault], race: Option<Race>) {
        let mut state = self.state.borrow_mut();
        state.faults = faults.to_vec();
        state.calls = 0;
        state.race = race;
    }

    /// Counts a call, makes the concurrent commit if it is due, and returns the fault of the call.
    fn begin_call(&self) -> StoreFault {
        let (fault, race) = {
            let mut state = self.state.borrow_mut();
            let call = state.calls;
            state.calls += 1;
            let due = state.race.as_ref().is_some_and(|race| race.before_call == call);
            let race = if due { state.race.take() } else { None };
            (state.faults.get(call).copied().unwrap_or(StoreFault::None), race)
        };
        if let Some(race) = race {
            self.commit_without_faults(&race);
        }
        fault
    }

    /// Makes a concurrent commit, without faults and without counting its calls.
    fn commit_without_faults(&self, race: &Race) {
        let (faults, calls) = {
            let mut state = self.state.borrow_mut();
            (std::mem::take(&mut state.faults), state.calls)
        };
        // The result does not matter here: if this commit wins, the first operator gets a conflict.
        let mut commit = commit(&race.sections, "other", 0, &race.change_id);
        commit.fleet_revision = race.fleet_revision;
        let _ = commit_sections(self, &commit);
        let mut state = self.state.borrow_mut();
        state.faults = faults;
        state.calls = calls;
    }

    fn take_snapshot(&self) {
        let mut state = self.state.borrow_mut();
        state.snapshot = Some(state.values.clone());
    }

    /// Restores the data of the last snapshot under new versions, as a store restored from a
    /// backup does.
    fn restore_snapshot(&self) {
        let mut state = self.state.borrow_mut();
        let Some(snapshot) = state.snapshot.clone() else {
            return;
        };
        state.values = snapshot;
        let keys: Vec<String> = state.values.keys().cloned().collect();
        for key in keys {
            state.last_version += 1;
            let version = Version(state.last_version);
            if let Some(value) = state.values.get_mut(&key) {
                value.version = version;
            }
        }
    }
}

impl KvStore for FakeStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        match self.begin_call() {
            StoreFault::None => Ok(self.state.borrow().values.get(key).cloned()),
            _ => Err(StoreError::Unavailable("scheduled fault".into())),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        if self.begin_call() != StoreFault::None {
            return Err(StoreError::Unavailable("scheduled fault".into()));
        }
        let state = self.state.borrow();
        let matching = state.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let item = |(key, versioned): (&String, &Versioned)| KeyValue {
            key: key.clone(),
            value: versioned.value.clone(),
            version: versioned.version,
        };
        Ok(matching.map(item).collect())
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        expected: Version,
    ) -> Result<Option<Version>, StoreError> {
        let fault = self.begin_call();
        if fault == StoreFault::NotApplied {
            return Err(StoreError::Unavailable("scheduled fault".into()));
        }
        let mut state = self.state.borrow_mut();
        let version = state.values.get(key).map_or(Version::ABSENT, |value| value.version);
        if version != expected {
            return match fault {
                StoreFault::ResponseLost => Err(StoreError::Unavailable("scheduled fault".into())),
                _ => Ok(None),
            };
        }
        state.last_version += 1;
        let version = Version(state.last_version);
        state.values.insert(key.into(), Versioned { value: value.into(), version });
        match fault {
            StoreFault::ResponseLost => Err(StoreError::Unavailable("scheduled fault".into())),
            _ => Ok(Some(version)),
        }
    }

    fn watch(
        &self,
        key: &str,
        known: Version,
        _wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        Ok(self.get(key)?.filter(|found| found.version != known))
    }
}

/// The store and the nodes under test, and the model of what was committed.
struct Checker {
    store: FakeStore,
    nodes: Vec<ConfigState>,
    last_change: u64,
    /// Change id of each revision that was in force at a node.
    change_ids: HashMap<u64, String>,
    /// Whether the store lost data at least once. Two changes can then have the same revision
    /// until the nodes have repaired the store.
    restored: bool,
}

/// Applies operations to a store, its operators and a few nodes, then checks that the nodes
/// converge.
///
/// # Errors
///
/// Returns a violation if a commit reports a wrong result, if a node goes back to an older
/// revision, or if the nodes do not converge.
pub fn check_store(ops: &[StoreOp]) -> Result<(), Violation> {
    let mut checker = Checker {
        store: FakeStore::default(),
        nodes: (0..NODES).map(|_| ConfigState::new()).collect(),
        last_change: 0,
        change_ids: HashMap::new(),
        restored: false,
    };
    for op in ops {
        checker.apply(op)?;
    }
    checker.check_convergence()
}

fn commit<'a>(
    sections: &'a [Section],
    author: &'a str,
    change: u64,
    change_id: &'a str,
) -> Commit<'a> {
    Commit { sections, author, change_id, at: change, base: None, fleet_revision: 0 }
}

/// Returns a configuration of a global section and `variant / 4` services.
fn sections(variant: u8) -> Vec<Section> {
    let class = ClassName::new("any").expect("the oracle's own names are valid");
    let class = ClassPolicy::new(class, Rank(variant % 3));
    let global = GlobalSection { classes: vec![class], ..GlobalSection::default() };
    let mut sections = vec![Section::Global(global)];
    for service in 0..variant / 4 {
        let name = ServiceName::new(&format!("service-{service}"));
        let service = name.expect("the oracle's own names are valid");
        let refusals =
            if variant.is_multiple_of(2) { RefusalTrust::Trusted } else { RefusalTrust::Untrusted };
        sections.push(Section::Service(ServiceSection {
            service,
            refusals,
            rules: Vec::new(),
            max_connections: None,
            health_path: None,
        }));
    }
    sections
}

impl Checker {
    fn apply(&mut self, op: &StoreOp) -> Result<(), Violation> {
        match op {
            StoreOp::Commit { operator, variant, faults, race_before_call } => {
                self.commit(*operator, *variant, faults, *race_before_call)
            }
            StoreOp::Read { node } => self.read(usize::from(*node) % NODES),
            StoreOp::Pull { node, from } => {
                self.pull(usize::from(*node) % NODES, usize::from(*from) % NODES)
            }
            StoreOp::Replace { node } => {
                // Replaces a node only if another one has the newest revision. Otherwise the
                // revision would be lost for good if the store has lost it too.
                let node = usize::from(*node) % NODES;
                let newest = self.nodes.iter().map(ConfigState::revision).max().unwrap_or(0);
                let others = self.nodes.iter().enumerate().filter(|(i, _)| *i != node);
                if others.clone().any(|(_, other)| other.revision() == newest) {
                    self.nodes[node] = ConfigState::new();
                }
                Ok(())
            }
            StoreOp::TakeSnapshot => {
                self.store.take_snapshot();
                Ok(())
            }
            StoreOp::RestoreSnapshot => {
                self.restored = true;
                self.store.restore_snapshot();
                Ok(())
            }
        }
    }

    fn commit(
        &mut self,
        operator: u8,
        variant: u8,
        faults: &[StoreFault],
        race: Option<u8>,
    ) -> Result<(), Violation> {
        self.last_change += 1;
        let change_id = format!("change-{}", self.last_change);
        let fleet_revision = self.nodes.iter().map(ConfigState::revision).max().unwrap_or(0);
        let race = race.map(|call| Race {
            before_call: usize::from(call),
            sections: sections(variant.wrapping_add(5) % 16),
            change_id: format!("race-{}", self.last_change),
            fleet_revision,
        });
        self.store.schedule(faults, race);
        let new_sections = sections(variant);
        let author = format!("operator-{operator}");
        let mut commit = commit(&new_sections, &author, self.last_change, &change_id);
        commit.fleet_revision = fleet_revision;
        let result = commit_sections(&self.store, &commit);
        self.store.schedule(&[], None);
        let (head, _) = load_head(&self.store).map_err(|err| Violation::new(err.to_string()))?;
        let accepted = head.as_ref().is_some_and(|head| head.contains(&change_id));
        match result {
            Ok(Some(committed)) => {
                check!(
                    accepted,
                    "revision {} was reported as committed, but is not in the store",
                    committed.revision
                );
            }
            Ok(None) => {
                check!(!accepted, "{change_id} was reported as unchanged, but was committed")
            }
            Err(CommitError::Conflict { winner, .. }) => {
                check!(
                    !accepted,
                    "{change_id} was reported as conflicting with {winner}, but was committed"
                );
            }
            Err(CommitError::StoreBehind { .. } | CommitError::Load(_)) => {
                check!(
                    !accepted,
                    "{change_id} was reported as failed before its commit, but was committed"
                );
            }
            Err(CommitError::OutcomeUnknown { .. }) => {}
        }
        Ok(())
    }

    /// Reads the head for a node as its store watcher does: repairs a store that is behind, or
    /// loads a newer revision.
    fn read(&mut self, node: usize) -> Result<(), Violation> {
        let (head, version) =
            load_head(&self.store).map_err(|err| Violation::new(err.to_string()))?;
        let state = &self.nodes[node];
        let repaired = match (repair_action(head.as_ref(), state), &head) {
            (RepairAction::None, _) => Ok(false),
            (RepairAction::Recommit, Some(head)) => recommit_head(&self.store, head, version),
            _ => write_back_config(&self.store, state, version).map_err(LoadError::Store),
        };
        repaired.map_err(|err| {
            Violation::new(format!("node {node} could not repair the store: {err}"))
        })?;
        let Some(head) = head.filter(|head| head.revision > state.revision()) else {
            return Ok(());
        };
        for base in [state.clone(), ConfigState::new()] {
            let delta = load_delta(&self.store, &head, &base).map_err(|err| {
                Violation::new(format!(
                    "node {node} could not load revision {}: {err}",
                    head.revision
                ))
            })?;
            if self.adopt(node, &delta)? {
                return Ok(());
            }
        }
        Err(Violation::new(format!(
            "node {node} rejects revision {}, both as a partial and as a full delta",
            head.revision
        )))
    }

    /// Makes a node pull the newer configuration of another one: as a partial delta or, if the
    /// node rejects that, as a full one.
    fn pull(&mut self, node: usize, from: usize) -> Result<(), Violation> {
        let since = self.nodes[node].revision();
        self.check_older_is_rejected(node, from)?;
        let Some(delta) = self.nodes[from].delta_since(since) else {
            return Ok(());
        };
        if self.adopt(node, &delta)? {
            return Ok(());
        }
        let full = self.nodes[from].delta_since(0);
        let adopted = full.map_or(Ok(false), |delta| self.adopt(node, &delta))?;
        check!(adopted, "node {node} rejects every delta of node {from}");
        Ok(())
    }

    /// Checks that a node rejects the full delta of another one that is at an older revision.
    fn check_older_is_rejected(&mut self, node: usize, from: usize) -> Result<(), Violation> {
        let before = self.nodes[node].revision();
        let Some(older) = self.nodes[from].delta_since(0) else {
            return Ok(());
        };
        if older.head.revision < before {
            let adopted = self.nodes[node].apply(&older).is_ok();
            check!(!adopted, "node {node} at revision {before} adopted an older revision");
        }
        Ok(())
    }

    /// Applies a delta to a node; returns whether the node accepted it.
    fn adopt(
        &mut self,
        node: usize,
        delta: &snipehollow_config::model::ConfigDelta,
    ) -> Result<bool, Violation> {
        let before = self.nodes[node].revision();
        let result = self.nodes[node].apply(delta);
        let after = self.nodes[node].revision();
        check!(after >= before, "node {node} went back from revision {before} to {after}");
        if let Err(err) = result {
            check!(after == before, "node {node} rejected a delta, but applied a part of it");
            // After the store lost data, two changes can have the same revision for a short time.
            check!(self.restored, "node {node} rejected revision {}: {err}", delta.head.revision);
            return Ok(false);
        }
        let change = delta.head.change_id().to_owned();
        let expected = self.change_ids.entry(after).or_insert_with(|| change.clone());
        check!(
            self.restored || *expected == change,
            "revision {after} stands for two configurations"
        );
        Ok(true)
    }

    /// Makes all nodes read the store without faults, and checks that they end at the same
    /// configuration and that the store holds it.
    fn check_convergence(&mut self) -> Result<(), Violation> {
        self.store.schedule(&[], None);
        for _ in 0..3 {
            for node in 0..NODES {
                self.read(node)?;
            }
        }
        let revisions: Vec<u64> = self.nodes.iter().map(ConfigState::revision).collect();
        check!(
            revisions.iter().all(|revision| *revision == revisions[0]),
            "the nodes did not converge: they end at revisions {revisions:?}"
        );
        let contents: Vec<_> = self.nodes.iter().map(|n| n.head().map(|h| h.content)).collect();
        check!(
            contents.iter().all(|c| *c == contents[0]),
            "the nodes end at the same revision with different sections"
        );
        let head = self.store.get(HEAD_KEY).map_err(|err| Violation::new(err.to_string()))?;
        check!(
            head.is_some() || revisions[0] == 0,
            "the store lost the configuration, and no node repaired it"
        );
        Ok(())
    }
}
