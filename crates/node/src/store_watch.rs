//! Follows the operators' configuration in the store and maintains the zones' seeds there.
//!
//! Every node reads the configuration once at its start. After that, only a few members of a zone,
//! chosen by rendezvous hashing, wait for newer revisions. Every node reads the seeds at its start
//! and once a minute; a few members of a zone write them, and refresh them at once if the store was
//! restored from an older copy.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use snipehollow_config::model::{ConfigDelta, ConfigState, Head};
use snipehollow_store::{
    ConfigFeed, ConfigSnapshot, ConfigSource, Cursor, FeedEvent, LoadError, RepairAction, SeedList,
    StoreError, Version, load_all_seeds, load_delta, load_departures, load_head, publish_seeds,
    recommit_head, repair_action, watch_head, write_back_config,
};

use crate::NodeError;
use crate::adapters::SharedStore;
use crate::clock::unix_millis;
use crate::control::apply_config_delta;
use crate::shared::Shared;
use crate::supervisor::Child;

/// Duration of one watch request. It bounds the time until a dead connection is noticed.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Minimum duration of the watch request that aligns the next ones; see [`StoreWatcher::watch_wait`].
const MIN_WATCH_WAIT: Duration = Duration::from_millis(250);
/// Time after its end by which the response to a watch is expected; the store counts as lost from then
/// on. Shorter than the time limit of the call.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);
/// Interval at which a node that does not watch checks whether it has become a watcher.
const ROLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of seed refreshes while a contact is known in every zone.
const SEED_INTERVAL: Duration = Duration::from_secs(60);
/// Interval of seed refreshes while a zone has no known contact or a write of seeds failed.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of successful refreshes after which [`SEED_RETRY_INTERVAL`] no longer applies, because a
/// zone without a known contact is then presumably empty.
const MAX_SEED_RETRIES: u32 = 16;
/// Interval of seed refreshes that replaces [`SEED_RETRY_INTERVAL`] after [`MAX_SEED_RETRIES`].
const SEED_EMPTY_INTERVAL: Duration = Duration::from_secs(5);
/// Backoff after the first failed call; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff, short enough that a store which recovers is used again within two seconds.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Number of watchers of a zone that call the store again after [`MAX_BACKOFF`].
const REGULAR_WATCHERS: usize = 2;
/// Maximum backoff of those who watch in place of others.
const SUBSTITUTE_BACKOFF: Duration = Duration::from_secs(2);
/// Author under which configurations from a feed are recorded.
const FEED_AUTHOR: &str = "feed";

/// Child that follows the configuration and refreshes the seeds.
pub(crate) struct StoreWatch;

impl Child for StoreWatch {
    fn name(&self) -> &'static str {
        "store"
    }

    fn run(&self, shared: &Arc<Shared>) -> Result<(), NodeError> {
        let Some(store) = shared.adapters.store.clone() else {
            return Ok(());
        };
        let mut watcher = StoreWatcher::new(Arc::clone(shared), store);
        while !shared.is_stopping() {
            watcher.step();
        }
        Ok(())
    }
}

struct StoreWatcher {
    shared: Arc<Shared>,
    store: SharedStore,
    /// Version of the configuration head that was last read.
    head_version: Version,
    /// Position in the feed; `None` if the next step must read the newest configuration.
    cursor: Option<Cursor>,
    /// Era of the feed; `None` before the first response.
    era: Option<u64>,
    /// Era in which the seeds were last refreshed; 0 before an era is known.
    seeds_era: u64,
    backoff: Duration,
    /// Rank of this node among the watchers of its zone in the last step; `None` if it was none.
    rank: Option<usize>,
    /// Whether the next step must read the newest configuration at once.
    reads_at_once: bool,
    /// Whether this process has read the configuration once.
    config_was_read: bool,
    /// Whether this process has read the departures of its upstreams.
    departures_were_read: bool,
    next_seed_refresh: Instant,
    /// Number of successful seed refreshes.
    seed_reads: u32,
}

impl StoreWatcher {
    fn new(shared: Arc<Shared>, store: SharedStore) -> StoreWatcher {
        StoreWatcher {
            shared,
            store,
            head_version: Version::ABSENT,
            cursor: None,
            era: None,
            seeds_era: 0,
            backoff: INITIAL_BACKOFF,
            rank: None,
            reads_at_once: true,
            config_was_read: false,
            departures_were_read: false,
            next_seed_refresh: Instant::now(),
            seed_reads: 0,
        }
    }

    fn step(&mut self) {
        if Instant::now() >= self.next_seed_refresh || self.may_have_lost_seeds() {
            self.refresh_seeds();
        }
        if !self.departures_were_read {
            self.read_departures();
        }
        let rank = self.shared.control().watcher_rank();
        // The configuration may have changed since, and the watchers before may have missed it.
        self.reads_at_once |= rank.is_some() && self.rank.is_none();
        self.rank = rank;
        if rank.is_some() || !self.config_was_read {
            match self.shared.adapters.config.clone() {
                ConfigSource::Sheet => self.follow_head(),
                ConfigSource::Feed(feed) => self.follow_feed(&*feed),
            }
        } else {
            self.shared.control().store_reachable = None;
            self.sleep(ROLE_POLL_INTERVAL);
        }
    }

    /// Returns whether the store was restored since the last refresh of the seeds, and this node
    /// writes those of its zone.
    fn may_have_lost_seeds(&mut self) -> bool {
        let control = self.shared.control();
        let era = control.store_era();
        if self.seeds_era == 0 {
            self.seeds_era = era;
        }
        era > self.seeds_era && control.is_seed_writer()
    }

    /// Reads the seeds of all zones and, if this node is a seed writer, updates those of its own
    /// zone.
    fn refresh_seeds(&mut self) {
        self.shared.metrics.store_calls.inc();
        let era = self.shared.control().store_era();
        let on_malformed = |err: &StoreError| log::warn!("malformed seeds ignored: {err}");
        let lists = match load_all_seeds(&*self.store, on_malformed) {
            Ok(lists) => lists,
            Err(err) => return self.record_failure(&err),
        };
        self.record_success();
        self.seeds_era = era;
        self.seed_reads += 1;
        let mut listed_version = Version::ABSENT;
        let mut listed = Vec::new();
        for (seeds, version) in lists {
            if seeds.zone == self.shared.settings.zone {
                listed_version = version;
                listed = seeds.addrs.clone();
            }
            self.shared.control().add_seeds(&seeds);
        }
        let (complete, write) = {
            let control = self.shared.control();
            let own = control.seed_list(&listed);
            let write = control.is_seed_writer() && own.addrs != listed;
            (control.has_contact_in_every_zone(), write.then_some(own))
        };
        let written = write.is_none_or(|own| self.write_seeds(&own, listed_version));
        self.next_seed_refresh = Instant::now()
            + match (complete && written, self.seed_reads < MAX_SEED_RETRIES) {
                (true, _) => SEED_INTERVAL,
                (false, true) => SEED_RETRY_INTERVAL,
                (false, false) => SEED_EMPTY_INTERVAL,
            };
    }

    /// Writes the seeds of the own zone; returns whether the write took effect.
    fn write_seeds(&mut self, seeds: &SeedList, listed_version: Version) -> bool {
        self.shared.metrics.store_calls.inc();
        match publish_seeds(&*self.store, seeds, listed_version) {
            Ok(written) => {
                log::info!(written, members = seeds.addrs.len(), version = listed_version.0; "seeds of the zone sent to the store");
                written
            }
            Err(err) => {
                self.record_failure(&err);
                false
            }
        }
    }

    /// Reads the departures that were acknowledged on this host before this process started.
    fn read_departures(&mut self) {
        self.shared.metrics.store_calls.inc();
        let departures = match load_departures(&*self.store, &self.shared.settings.host) {
            Ok(departures) => departures,
            Err(err @ StoreError::Malformed { .. }) => {
                log::warn!("malformed departures ignored: {err}");
                Vec::new()
            }
            Err(err) => {
                self.shared.host().record_unread_departures();
                return self.record_failure(&err);
            }
        };
        self.record_success();
        self.departures_were_read = true;
        if !departures.is_empty() {
            log::info!(departures = departures.len(); "earlier departures of upstreams restored");
        }
        let now = self.shared.clock.now();
        let info = self.shared.host().restore_departures(now, departures);
        self.shared.control().set_upstream(now, info);
    }

    /// Waits for the next configuration of the feed and applies it.
    fn follow_feed(&mut self, feed: &dyn ConfigFeed) {
        self.shared.metrics.store_calls.inc();
        let wait = self.watch_wait();
        let reads_at_once = std::mem::take(&mut self.reads_at_once);
        let event = match self.cursor.filter(|_| !reads_at_once) {
            None => {
                self.expect_response(Duration::ZERO);
                feed.read_latest()
            }
            Some(cursor) => {
                self.expect_response(wait);
                feed.wait_for_update(cursor, wait)
            }
        };
        self.shared.control().store_response_due = None;
        match event {
            Ok(FeedEvent::Published(snapshot, cursor)) => {
                self.record_success();
                self.record_position(cursor);
                self.config_was_read = true;
                self.apply_snapshot(&snapshot);
            }
            Ok(FeedEvent::Unchanged(cursor)) => {
                self.record_success();
                self.record_position(cursor);
                self.config_was_read = true;
            }
            Ok(FeedEvent::Malformed(cause, cursor)) => {
                self.record_success();
                self.record_position(cursor);
                log::error!("malformed configuration in the feed ignored: {cause}");
            }
            Ok(FeedEvent::CursorExpired) => {
                log::info!(
                    "cursor of the configuration feed expired, reading the newest configuration"
                );
                self.cursor = None;
            }
            Err(err) => {
                // The configuration may have changed while the store was unreachable.
                self.cursor = None;
                self.record_failure(&err);
            }
        }
    }

    /// Returns how long the next watch waits.
    ///
    /// Those of every other watcher end half of [`WATCH_WAIT`] later by the wall clock, so that the first
    /// of them to notice that the store is lost does so sooner.
    fn watch_wait(&self) -> Duration {
        let period = WATCH_WAIT.as_millis() as u64;
        let is_odd = self.rank.is_some_and(|rank| rank % 2 == 1);
        let offset = if is_odd { period / 2 } else { 0 };
        let left = Duration::from_millis(period - (unix_millis() + offset) % period);
        if left < MIN_WATCH_WAIT { left + WATCH_WAIT } else { left }
    }

    /// Records when the store should have responded to a call that waits for up to `wait`.
    fn expect_response(&self, wait: Duration) {
        let due = self.shared.clock.now() + wait + RESPONSE_MARGIN;
        self.shared.control().store_response_due = Some(due);
    }

    /// Records the position from which the next watch continues.
    fn record_position(&mut self, cursor: Cursor) {
        if let Some(before) = self.era.replace(cursor.era)
            && before != cursor.era
        {
            log::warn!(
                before,
                era = cursor.era,
                watched_from = self.cursor.map_or(-1, |old| old.revision as i64),
                revision = cursor.revision;
                "store was restored from an older copy"
            );
        }
        self.shared.control().record_store_era(cursor.era);
        self.shared.metrics.store_era.set(cursor.era as i64);
        self.cursor = Some(cursor);
    }

    fn apply_snapshot(&self, snapshot: &ConfigSnapshot) {
        let in_force = self.shared.control().config().revision();
        if snapshot.revision <= in_force {
            if snapshot.revision < in_force {
                let revision = snapshot.revision;
                log::warn!(revision, in_force; "older configuration in the feed ignored");
            }
            return;
        }
        let delta = ConfigDelta::full(snapshot.revision, FEED_AUTHOR, &snapshot.sections);
        apply_config_delta(&self.shared, &delta);
    }

    /// Waits for a change of the configuration head and handles it.
    fn follow_head(&mut self) {
        self.shared.metrics.store_calls.inc();
        let wait = self.watch_wait();
        let head = if std::mem::take(&mut self.reads_at_once) || !self.config_was_read {
            self.expect_response(Duration::ZERO);
            load_head(&*self.store).map(|(head, version)| head.map(|head| (head, version)))
        } else {
            self.expect_response(wait);
            watch_head(&*self.store, self.head_version, wait)
        };
        self.shared.control().store_response_due = None;
        match head {
            Ok(Some((head, version))) => {
                self.record_success();
                self.config_was_read = true;
                self.head_version = version;
                self.apply_or_repair_head(&head);
            }
            Ok(None) => {
                self.record_success();
                self.config_was_read = true;
                self.check_for_lost_head();
            }
            Err(err) => self.record_failure(&err),
        }
    }

    /// Reads the head after a watch without a change, because a watch does not report a deleted
    /// key.
    fn check_for_lost_head(&mut self) {
        self.shared.metrics.store_calls.inc();
        match load_head(&*self.store) {
            Ok((None, version)) => {
                self.head_version = version;
                let in_force = self.shared.control().config().clone();
                self.repair(None, &in_force);
            }
            Ok((Some(_), _)) => {}
            Err(err) => self.record_failure(&err),
        }
    }

    /// Applies the configuration of a newer head, or repairs the store if its head is too old.
    fn apply_or_repair_head(&mut self, head: &Head) {
        let in_force = self.shared.control().config().clone();
        if head.revision > in_force.revision() {
            self.load_config(head, &in_force);
        } else {
            self.repair(Some(head), &in_force);
        }
    }

    fn load_config(&mut self, head: &Head, in_force: &ConfigState) {
        let applied = self.load_and_apply(head, in_force).and_then(|applied| {
            // If the delta does not apply because this node's history differs, load all sections.
            if applied { Ok(true) } else { self.load_and_apply(head, &ConfigState::new()) }
        });
        match applied {
            Ok(_) => {}
            Err(err) => {
                log::warn!(revision = head.revision; "loading the configuration failed, retrying after backoff: {err}");
                // Make the next watch return this head again.
                self.head_version = Version::ABSENT;
                self.sleep(self.backoff);
            }
        }
    }

    /// Loads the sections of a head that changed since `base`, and applies them.
    ///
    /// Returns false if they do not apply to the configuration in force.
    fn load_and_apply(&self, head: &Head, base: &ConfigState) -> Result<bool, LoadError> {
        let delta = load_delta(&*self.store, head, base)?;
        self.shared.metrics.store_calls.inc_by(delta.sections.len() as u64);
        Ok(apply_config_delta(&self.shared, &delta))
    }

    /// Repairs a store that lost data, such as one restored from an old backup.
    fn repair(&mut self, head: Option<&Head>, in_force: &ConfigState) {
        let action = repair_action(head, in_force);
        if action == RepairAction::None {
            return;
        }
        log::warn!(
            store = head.map_or(0, |head| head.revision),
            in_force = in_force.revision();
            "store lost data, repairing it"
        );
        let result = match (action, head) {
            (RepairAction::Recommit, Some(head)) => {
                recommit_head(&*self.store, head, self.head_version)
            }
            _ => write_back_config(&*self.store, in_force, self.head_version)
                .map_err(LoadError::Store),
        };
        match result {
            Ok(repaired) => log::info!(repaired; "store repair finished"),
            Err(LoadError::Store(err)) => self.record_failure(&err),
            Err(err @ LoadError::Missing(_)) => log::error!("store repair failed: {err}"),
        }
    }

    fn record_success(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        let before = self.shared.control().store_reachable.replace(true);
        if before == Some(false) {
            log::info!("store reachable again");
        }
    }

    fn record_failure(&mut self, err: &StoreError) {
        let before = self.shared.control().store_reachable.replace(false);
        if before != Some(false) {
            log::warn!("store unreachable, retrying after backoff: {err}");
        }
        self.sleep(self.backoff);
        let is_substitute = self.rank.is_some_and(|rank| rank >= REGULAR_WATCHERS);
        let max_backoff = if is_substitute { SUBSTITUTE_BACKOFF } else { MAX_BACKOFF };
        self.backoff = (self.backoff * 2).min(max_backoff);
    }

    /// Sleeps for `duration`, or until the process stops if that is sooner.
    fn sleep(&self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until && !self.shared.is_stopping() {
            thread::sleep(Duration::from_millis(50).min(duration));
        }
    }
}
