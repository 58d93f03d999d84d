//! Oracle of the configuration: what was really committed, in order.

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

/// A store in memory whose calls fail as planned.
#[derive(Default)]
struct FakeStore {
    inner: RefCell<Inner>,
}

/// A commit of the other operator, made before one call of the first one.
struct Race {
    before_call: usize,
    sections: Vec<Section>,
    change_id: String,
    fleet_revision: u64,
}

#[derive(Default)]
struct Inner {
    values: HashMap<String, Versioned>,
    saved: Option<HashMap<String, Versioned>>,
    last_version: u64,
    faults: Vec<StoreFault>,
    calls: usize,
    race: Option<Race>,
}

impl FakeStore {
    fn plan(&self, faults: &[StoreFault], race: Option<Race>) {
        let mut inner = self.inner.borrow_mut();
        inner.faults = faults.to_vec();
        inner.calls = 0;
        inner.race = race;
    }

    fn before_call(&self) -> StoreFault {
        let (fault, race) = {
            let mut inner = self.inner.borrow_mut();
            let call = inner.calls;
            inner.calls += 1;
            let due = inner.race.as_ref().is_some_and(|race| race.before_call == call);
            let race = if due { inner.race.take() } else { None };
            (inner.faults.get(call).copied().unwrap_or(StoreFault::None), race)
        };
        if let Some(race) = race {
            self.commit_undisturbed(&race);
        }
        fault
    }

    /// Commits as the other operator, without faults.
    fn commit_undisturbed(&self, race: &Race) {
        let (faults, calls) = {
            let mut inner = self.inner.borrow_mut();
            (std::mem::take(&mut inner.faults), inner.calls)
        };
        // What becomes of it is seen by the first operator's conflict.
        let mut commit = commit(&race.sections, "other", 0, &race.change_id);
        commit.fleet_revision = race.fleet_revision;
        let _ = commit_sections(self, &commit);
        let mut inner = self.inner.borrow_mut();
        inner.faults = faults;
        inner.calls = calls;
    }

    fn save(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.saved = Some(inner.values.clone());
    }

    fn restore(&self) {
        let mut inner = self.inner.borrow_mut();
        let Some(saved) = inner.saved.clone() else {
            return;
        };
        inner.values = saved;
        let keys: Vec<String> = inner.values.keys().cloned().collect();
        for key in keys {
            inner.last_version += 1;
            let version = Version(inner.last_version);
            if let Some(value) = inner.values.get_mut(&key) {
                value.version = version;
            }
        }
    }
}

impl KvStore for FakeStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        match self.before_call() {
            StoreFault::None => Ok(self.inner.borrow().values.get(key).cloned()),
            _ => Err(StoreError::Unavailable("planned".into())),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        if self.before_call() != StoreFault::None {
            return Err(StoreError::Unavailable("planned".into()));
        }
        let inner = self.inner.borrow();
        let found = inner.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let item = |(key, found): (&String, &Versioned)| KeyValue {
            key: key.clone(),
            value: found.value.clone(),
            version: found.version,
        };
        Ok(found.map(item).collect())
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        expected: Version,
    ) -> Result<Option<Version>, StoreError> {
        let fault = self.before_call();
        if fault == StoreFault::Fails {
            return Err(StoreError::Unavailable("planned".into()));
        }
        let mut inner = self.inner.borrow_mut();
        let version = inner.values.get(key).map_or(Version::ABSENT, |value| value.version);
        if version != expected {
            return match fault {
                StoreFault::AnswerLost => Err(StoreError::Unavailable("planned".into())),
                _ => Ok(None),
            };
        }
        inner.last_version += 1;
        let version = Version(inner.last_version);
        inner.values.insert(key.into(), Versioned { value: value.into(), version });
        match fault {
            StoreFault::AnswerLost => Err(StoreError::Unavailable("planned".into())),
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

struct Model {
    store: FakeStore,
    nodes: Vec<ConfigState>,
    next_change: u64,
    /// Revisions that were in force at some node, by the change that made them.
    in_force: HashMap<u64, String>,
    restored: bool,
}

/// Feeds events to a store, operators and nodes.
pub fn check_store(ops: &[StoreOp]) -> Result<(), Violation> {
    let mut model = Model {
        store: FakeStore::default(),
        nodes: (0..NODES).map(|_| ConfigState::new()).collect(),
        next_change: 0,
        in_force: HashMap::new(),
        restored: false,
    };
    for op in ops {
        model.apply(op)?;
    }
    model.settle()
}

fn commit<'a>(
    sections: &'a [Section],
    author: &'a str,
    change: u64,
    change_id: &'a str,
) -> Commit<'a> {
    Commit { sections, author, change_id, at: change, base: None, fleet_revision: 0 }
}

/// Makes a configuration of a global section and a few services.
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

impl Model {
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
                // At least one node lives on: the last holder of a revision is not replaced
                // while the store has lost it.
                let node = usize::from(*node) % NODES;
                let newest = self.nodes.iter().map(ConfigState::revision).max().unwrap_or(0);
                let others = self.nodes.iter().enumerate().filter(|(i, _)| *i != node);
                if others.clone().any(|(_, other)| other.revision() == newest) {
                    self.nodes[node] = ConfigState::new();
                }
                Ok(())
            }
            StoreOp::Save => {
                self.store.save();
                Ok(())
            }
            StoreOp::Restore => {
                self.restored = true;
                self.store.restore();
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
        self.next_change += 1;
        let change_id = format!("change-{}", self.next_change);
        let fleet_revision = self.nodes.iter().map(ConfigState::revision).max().unwrap_or(0);
        let race = race.map(|at| Race {
            before_call: usize::from(at),
            sections: sections(variant.wrapping_add(5) % 16),
            change_id: format!("race-{}", self.next_change),
            fleet_revision,
        });
        self.store.plan(faults, race);
        let wanted = sections(variant);
        let author = format!("operator-{operator}");
        let mut commit = commit(&wanted, &author, self.next_change, &change_id);
        commit.fleet_revision = fleet_revision;
        let result = commit_sections(&self.store, &commit);
        self.store.plan(&[], None);
        let (head, _) = load_head(&self.store).map_err(|err| Violation::new(err.to_string()))?;
        let accepted = head.as_ref().is_some_and(|head| head.contains(&change_id));
        match result {
            Ok(Some(committed)) => {
                check!(accepted, "revision {} is said to be committed", committed.revision);
            }
            Ok(None) => check!(!accepted, "{change_id} changed nothing, but was committed"),
            Err(CommitError::Conflict { winner, .. }) => {
                check!(!accepted, "{change_id} lost to {winner}, but was committed");
            }
            Err(CommitError::StoreBehind { .. } | CommitError::Load(_)) => {
                check!(!accepted, "{change_id} failed early, but was committed");
            }
            Err(CommitError::OutcomeUnknown { .. }) => {}
        }
        Ok(())
    }

    /// What a watcher does with a head: load, or repair a store that is behind.
    fn read(&mut self, node: usize) -> Result<(), Violation> {
        let (head, version) =
            load_head(&self.store).map_err(|err| Violation::new(err.to_string()))?;
        let state = &self.nodes[node];
        let repaired = match (repair_action(head.as_ref(), state), &head) {
            (RepairAction::None, _) => Ok(false),
            (RepairAction::Recommit, Some(head)) => recommit_head(&self.store, head, version),
            _ => write_back_config(&self.store, state, version).map_err(LoadError::Store),
        };
        repaired.map_err(|err| Violation::new(format!("cannot repair: {err}")))?;
        let Some(head) = head.filter(|head| head.revision > state.revision()) else {
            return Ok(());
        };
        for base in [state.clone(), ConfigState::new()] {
            let delta = load_delta(&self.store, &head, &base)
                .map_err(|err| Violation::new(format!("cannot load {}: {err}", head.revision)))?;
            if self.adopt(node, &delta)? {
                return Ok(());
            }
        }
        Err(Violation::new(format!("node {node} takes no form of revision {}", head.revision)))
    }

    fn pull(&mut self, node: usize, from: usize) -> Result<(), Violation> {
        let since = self.nodes[node].revision();
        self.offer_older(node, from)?;
        let Some(delta) = self.nodes[from].delta_since(since) else {
            return Ok(());
        };
        if self.adopt(node, &delta)? {
            return Ok(());
        }
        let all = self.nodes[from].delta_since(0);
        let taken = all.map_or(Ok(false), |delta| self.adopt(node, &delta))?;
        check!(taken, "node {node} takes nothing of node {from}");
        Ok(())
    }

    /// Offers all of a node's configuration to one that has a newer one.
    fn offer_older(&mut self, node: usize, from: usize) -> Result<(), Violation> {
        let before = self.nodes[node].revision();
        let Some(older) = self.nodes[from].delta_since(0) else {
            return Ok(());
        };
        if older.head.revision < before {
            let taken = self.nodes[node].apply(&older).is_ok();
            check!(!taken, "node {node} fell from revision {before}");
        }
        Ok(())
    }

    fn adopt(
        &mut self,
        node: usize,
        delta: &snipehollow_config::model::ConfigDelta,
    ) -> Result<bool, Violation> {
        let before = self.nodes[node].revision();
        let result = self.nodes[node].apply(delta);
        let after = self.nodes[node].revision();
        check!(after >= before, "node {node} fell from revision {before} to {after}");
        if let Err(err) = result {
            check!(after == before, "node {node} took half of a configuration");
            // After the store lost data, two changes may bear one number for a moment.
            check!(self.restored, "node {node} refused revision {}: {err}", delta.head.revision);
            return Ok(false);
        }
        let change = delta.head.change_id().to_owned();
        let known = self.in_force.entry(after).or_insert_with(|| change.clone());
        check!(self.restored || *known == change, "revision {after} is two configurations");
        Ok(true)
    }

    /// With no more faults, every node ends at the same revision.
    fn settle(&mut self) -> Result<(), Violation> {
        self.store.plan(&[], None);
        for _ in 0..3 {
            for node in 0..NODES {
                self.read(node)?;
            }
        }
        let revisions: Vec<u64> = self.nodes.iter().map(ConfigState::revision).collect();
        check!(
            revisions.iter().all(|revision| *revision == revisions[0]),
            "nodes end at revisions {revisions:?}"
        );
        let contents: Vec<_> = self.nodes.iter().map(|n| n.head().map(|h| h.content)).collect();
        check!(contents.iter().all(|c| *c == contents[0]), "nodes end with other sections");
        let head = self.store.get(HEAD_KEY).map_err(|err| Violation::new(err.to_string()))?;
        check!(head.is_some() || revisions[0] == 0, "the store has lost the configuration");
        Ok(())
    }
}
