//! Watches the configuration's head and refreshes seeds in the key-value service.
//!
//! Only a few members of a zone do so, chosen by rendezvous hashing, so that the calls grow
//! with zones and not with nodes. A node that finds no other member reads the seeds once.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use snipehollow_config::model::{ConfigState, Head};
use snipehollow_store::{
    HttpStore, LoadError, RepairNeed, SeedList, StoreError, Version, load_delta, load_head,
    load_seeds, publish_seeds, reissue, repair_need, republish, watch_head,
};

use crate::NodeError;
use crate::control::adopt;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Time for which one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time for which a starting node looks for members before it turns to the store.
const JOIN_TIME: Duration = Duration::from_millis(1_200);
/// Time between two looks at whether this node should watch.
const ROLE_POLL: Duration = Duration::from_millis(500);
/// Time between two refreshes of the seeds.
const SEED_INTERVAL: Duration = Duration::from_secs(60);
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Watches the head and refreshes seeds.
pub(crate) struct StoreWatch;

impl Child for StoreWatch {
    fn name(&self) -> &'static str {
        "store"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        let Some(url) = &shared.settings.store_url else {
            return Ok(());
        };
        let store = HttpStore::new(url, shared.settings.store_timeout);
        let mut watch = Watch {
            shared: Arc::clone(shared),
            store,
            version: Version::ABSENT,
            backoff: FIRST_BACKOFF,
            seeds_done: None,
            seeds_read: false,
        };
        watch.sleep(JOIN_TIME);
        while !shared.is_stopping() {
            watch.step();
        }
        Ok(())
    }
}

struct Watch {
    shared: Arc<Shared>,
    store: HttpStore,
    version: Version,
    backoff: Duration,
    seeds_done: Option<Instant>,
    seeds_read: bool,
}

impl Watch {
    fn step(&mut self) {
        let (alone, is_watcher, is_seed_writer) = {
            let control = self.shared.control();
            let alone = control.membership.live_count() <= 1;
            (alone, control.is_watcher(), control.is_seed_writer())
        };
        if alone && !self.seeds_read {
            self.read_seeds();
            return;
        }
        if !is_watcher && !is_seed_writer {
            self.shared.control().store_reachable = None;
            self.sleep(ROLE_POLL);
            return;
        }
        if is_seed_writer && self.seeds_due() {
            self.write_seeds();
        }
        if is_watcher {
            self.watch();
        } else {
            self.sleep(ROLE_POLL);
        }
    }

    fn read_seeds(&mut self) {
        self.shared.metrics.store_calls.inc();
        match load_seeds(&self.store, &self.shared.settings.zone) {
            Ok((seeds, _)) => {
                self.seeds_read = true;
                if let Some(seeds) = seeds {
                    self.shared.control().membership.add_seeds(&seeds.addrs);
                    self.sleep(JOIN_TIME);
                }
            }
            Err(err) => self.failed(&err),
        }
    }

    fn seeds_due(&self) -> bool {
        self.seeds_done.is_none_or(|done| done.elapsed() >= SEED_INTERVAL)
    }

    fn write_seeds(&mut self) {
        let settings = &self.shared.settings;
        let seeds = SeedList {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            addrs: self.shared.control().seed_addrs(),
        };
        self.shared.metrics.store_calls.inc_by(2);
        match publish_seeds(&self.store, &seeds) {
            Ok(_) => {
                self.seeds_done = Some(Instant::now());
                self.succeeded();
            }
            Err(err) => self.failed(&err),
        }
    }

    fn watch(&mut self) {
        self.shared.metrics.store_calls.inc();
        match watch_head(&self.store, self.version, WATCH_WAIT) {
            Ok(Some((head, version))) => {
                self.version = version;
                self.succeeded();
                self.on_head(&head);
            }
            Ok(None) => {
                self.succeeded();
                self.look_for_loss();
            }
            Err(err) => self.failed(&err),
        }
    }

    /// A watch says nothing of a key that vanished, so the head is read now and then.
    fn look_for_loss(&mut self) {
        self.shared.metrics.store_calls.inc();
        match load_head(&self.store) {
            Ok((None, version)) => {
                self.version = version;
                let in_force = self.shared.control().config().clone();
                self.repair(None, &in_force);
            }
            Ok((Some(_), _)) => {}
            Err(err) => self.failed(&err),
        }
    }

    fn on_head(&mut self, head: &Head) {
        let in_force = self.shared.control().config().clone();
        if head.revision > in_force.revision() {
            self.load(head, &in_force);
        } else {
            self.repair(Some(head), &in_force);
        }
    }

    fn load(&mut self, head: &Head, in_force: &ConfigState) {
        let taken = self.load_from(head, in_force).and_then(|taken| {
            // A node whose own history differs takes all sections.
            if taken { Ok(true) } else { self.load_from(head, &ConfigState::new()) }
        });
        match taken {
            Ok(_) => {}
            Err(err) => {
                log::warn!(revision = head.revision; "cannot load the configuration: {err}");
                // The next watch must return this head again.
                self.version = Version::ABSENT;
                self.sleep(self.backoff);
            }
        }
    }

    /// Loads a head's sections and puts them in force; false if they were not taken.
    fn load_from(&self, head: &Head, base: &ConfigState) -> Result<bool, LoadError> {
        let delta = load_delta(&self.store, head, base)?;
        self.shared.metrics.store_calls.inc_by(delta.sections.len() as u64);
        Ok(adopt(&self.shared, &delta))
    }

    /// Repairs a store that came back with old data or none.
    fn repair(&mut self, head: Option<&Head>, in_force: &ConfigState) {
        let need = repair_need(head, in_force);
        if need == RepairNeed::None {
            return;
        }
        log::warn!(
            store = head.map_or(0, |head| head.revision),
            in_force = in_force.revision();
            "the store lost data and is repaired"
        );
        let result = match (need, head) {
            (RepairNeed::Reissue, Some(head)) => reissue(&self.store, head, self.version),
            _ => republish(&self.store, in_force, self.version).map_err(LoadError::Store),
        };
        match result {
            Ok(repaired) => log::info!(repaired; "repair of the store ended"),
            Err(LoadError::Store(err)) => self.failed(&err),
            Err(err @ LoadError::Missing(_)) => log::error!("cannot repair the store: {err}"),
        }
    }

    fn succeeded(&mut self) {
        self.backoff = FIRST_BACKOFF;
        let before = self.shared.control().store_reachable.replace(true);
        if before == Some(false) {
            log::info!("the key-value service answers again");
        }
    }

    fn failed(&mut self, err: &StoreError) {
        let before = self.shared.control().store_reachable.replace(false);
        if before != Some(false) {
            log::warn!("the key-value service does not answer: {err}");
        }
        self.sleep(self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Sleeps, unless the process stops.
    fn sleep(&self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until && !self.shared.is_stopping() {
            thread::sleep(Duration::from_millis(50).min(duration));
        }
    }
}
