//! Follows the operators' configuration and keeps the zones' seeds in the store.
//!
//! Every node reads the configuration once when it starts; from then on only a few members of a
//! zone, chosen by rendezvous hashing, wait for newer ones. Every node reads the seeds at its
//! start and once a minute; a few members of a zone write them.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use snipehollow_config::model::{ConfigDelta, ConfigState, Head};
use snipehollow_store::{
    ConfigFeed, ConfigSnapshot, ConfigSource, Cursor, FeedEvent, LoadError, RepairAction, SeedList,
    StoreError, Version, load_all_seeds, load_delta, load_head, publish_seeds, recommit_head,
    repair_action, watch_head, write_back_config,
};

use crate::NodeError;
use crate::control::apply_config_delta;
use crate::edges::SharedStore;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Time for which one watch waits; a watch whose connection fell silent is noticed after it.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Time between two looks at whether this node should watch.
const ROLE_POLL: Duration = Duration::from_millis(200);
/// Time between two refreshes of the seeds where every zone is known.
const SEED_INTERVAL: Duration = Duration::from_secs(60);
/// Time between two refreshes of the seeds while a zone has no known member.
const SEED_RETRY: Duration = Duration::from_millis(500);
/// Refreshes at the pace of [`SEED_RETRY`] before a zone is taken as empty.
const SEED_RETRIES: u32 = 16;
/// Time between two refreshes while a zone is taken as empty.
const SEED_EMPTY_INTERVAL: Duration = Duration::from_secs(5);
/// First pause after a failed call; doubled with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause, so that a store that comes back is used again within two seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Name under which configurations of a feed are recorded.
const FEED_AUTHOR: &str = "feed";

/// Follows the configuration and refreshes seeds.
pub(crate) struct StoreWatch;

impl Child for StoreWatch {
    fn name(&self) -> &'static str {
        "store"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        let Some(store) = shared.edges.store.clone() else {
            return Ok(());
        };
        let mut watch = Watch::new(Arc::clone(shared), store);
        while !shared.is_stopping() {
            watch.step();
        }
        Ok(())
    }
}

struct Watch {
    shared: Arc<Shared>,
    store: SharedStore,
    version: Version,
    cursor: Option<Cursor>,
    backoff: Duration,
    config_read: bool,
    next_seeds: Instant,
    seed_reads: u32,
}

impl Watch {
    fn new(shared: Arc<Shared>, store: SharedStore) -> Watch {
        Watch {
            shared,
            store,
            version: Version::ABSENT,
            cursor: None,
            backoff: FIRST_BACKOFF,
            config_read: false,
            next_seeds: Instant::now(),
            seed_reads: 0,
        }
    }

    fn step(&mut self) {
        if Instant::now() >= self.next_seeds {
            self.refresh_seeds();
        }
        let is_watcher = self.shared.control().is_watcher();
        if is_watcher || !self.config_read {
            match self.shared.edges.config.clone() {
                ConfigSource::Sheet => self.watch(),
                ConfigSource::Feed(feed) => self.follow(&*feed),
            }
        } else {
            self.shared.control().store_reachable = None;
            self.sleep(ROLE_POLL);
        }
    }

    /// Reads the seeds of all zones and writes those of the own zone if they changed.
    fn refresh_seeds(&mut self) {
        self.shared.metrics.store_calls.inc();
        let unreadable = |err: &StoreError| log::warn!("seeds are left out: {err}");
        let lists = match load_all_seeds(&*self.store, unreadable) {
            Ok(lists) => lists,
            Err(err) => return self.failed(&err),
        };
        self.succeeded();
        self.seed_reads += 1;
        let mut known = Version::ABSENT;
        let mut listed = Vec::new();
        for (seeds, version) in lists {
            if seeds.zone == self.shared.settings.zone {
                known = version;
                listed = seeds.addrs.clone();
            }
            self.shared.control().add_contacts(&seeds);
        }
        let (complete, write) = {
            let control = self.shared.control();
            let own = control.seed_list(&listed);
            let write = control.is_seed_writer() && own.addrs != listed;
            (control.knows_every_zone(), write.then_some(own))
        };
        let written = write.is_none_or(|own| self.write_seeds(&own, known));
        self.next_seeds = Instant::now()
            + match (complete && written, self.seed_reads < SEED_RETRIES) {
                (true, _) => SEED_INTERVAL,
                (false, true) => SEED_RETRY,
                (false, false) => SEED_EMPTY_INTERVAL,
            };
    }

    fn write_seeds(&mut self, seeds: &SeedList, known: Version) -> bool {
        self.shared.metrics.store_calls.inc();
        match publish_seeds(&*self.store, seeds, known) {
            Ok(written) => {
                log::info!(written, members = seeds.addrs.len(), version = known.0; "seeds of the zone offered to the store");
                written
            }
            Err(err) => {
                self.failed(&err);
                false
            }
        }
    }

    /// Waits for a configuration of a feed and puts it in force.
    fn follow(&mut self, feed: &dyn ConfigFeed) {
        self.shared.metrics.store_calls.inc();
        let event = match self.cursor {
            None => feed.read_latest(),
            Some(cursor) => feed.wait_for_update(cursor, WATCH_WAIT),
        };
        match event {
            Ok(FeedEvent::Published(published, cursor)) => {
                self.succeeded();
                self.cursor = Some(cursor);
                self.config_read = true;
                self.take_published(&published);
            }
            Ok(FeedEvent::Unchanged(cursor)) => {
                self.succeeded();
                self.cursor = Some(cursor);
                self.config_read = true;
            }
            Ok(FeedEvent::Malformed(cause, cursor)) => {
                self.succeeded();
                self.cursor = Some(cursor);
                log::error!("a configuration cannot be read and is not taken: {cause}");
            }
            Ok(FeedEvent::CursorExpired) => {
                log::info!("the store dropped its history: the newest configuration is read");
                self.cursor = None;
            }
            Err(err) => {
                // The configuration may have changed while the store was out of reach.
                self.cursor = None;
                self.failed(&err);
            }
        }
    }

    fn take_published(&self, published: &ConfigSnapshot) {
        if published.revision <= self.shared.control().config().revision() {
            return;
        }
        let delta = ConfigDelta::full(published.revision, FEED_AUTHOR, &published.sections);
        apply_config_delta(&self.shared, &delta);
    }

    fn watch(&mut self) {
        self.shared.metrics.store_calls.inc();
        let head = if self.config_read {
            watch_head(&*self.store, self.version, WATCH_WAIT)
        } else {
            load_head(&*self.store).map(|(head, version)| head.map(|head| (head, version)))
        };
        match head {
            Ok(Some((head, version))) => {
                self.succeeded();
                self.config_read = true;
                self.version = version;
                self.on_head(&head);
            }
            Ok(None) => {
                self.succeeded();
                self.config_read = true;
                self.look_for_loss();
            }
            Err(err) => self.failed(&err),
        }
    }

    /// A watch says nothing of a key that vanished, so the head is read now and then.
    fn look_for_loss(&mut self) {
        self.shared.metrics.store_calls.inc();
        match load_head(&*self.store) {
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
        let delta = load_delta(&*self.store, head, base)?;
        self.shared.metrics.store_calls.inc_by(delta.sections.len() as u64);
        Ok(apply_config_delta(&self.shared, &delta))
    }

    /// Repairs a store that came back with old data or none.
    fn repair(&mut self, head: Option<&Head>, in_force: &ConfigState) {
        let need = repair_action(head, in_force);
        if need == RepairAction::None {
            return;
        }
        log::warn!(
            store = head.map_or(0, |head| head.revision),
            in_force = in_force.revision();
            "the store lost data and is repaired"
        );
        let result = match (need, head) {
            (RepairAction::Recommit, Some(head)) => recommit_head(&*self.store, head, self.version),
            _ => write_back_config(&*self.store, in_force, self.version).map_err(LoadError::Store),
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
