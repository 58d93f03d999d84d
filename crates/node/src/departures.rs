//! Passes departures of upstreams on to the store and to the other members, so that they bind the node
//! after its restart too.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use snipehollow_core::membership::RecordedDeparture;
use snipehollow_store::{KvStore, add_departures};

use crate::clock::unix_millis;
use crate::shared::Shared;

/// How long the acknowledgement of a departure waits until it is saved; an upstream waits for it
/// for a second.
const SAVE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a write that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Saves the departures that were recorded since the last call, and waits for that for up to
/// [`SAVE_TIMEOUT`]. Returns at once if there are none.
///
/// The other members are sent them too, because the store may be out of reach until this process
/// ends.
pub(crate) async fn save(shared: &Arc<Shared>) {
    let unsaved = shared.host().take_unsaved_departures();
    if unsaved.is_empty() {
        return;
    }
    shared.control().gossip_departures(&unsaved);
    shared.notification_pending.store(true, Ordering::Release);
    let Some(store) = shared.adapters.store.clone() else {
        return;
    };
    let node = Arc::clone(shared);
    let write = tokio::task::spawn_blocking(move || save_until_expired(&node, &*store, &unsaved));
    if tokio::time::timeout(SAVE_TIMEOUT, write).await.is_err() {
        log::warn!("departures of upstreams acknowledged before they were saved");
    }
}

/// Saves departures, again and again until they have expired or the process stops.
fn save_until_expired(shared: &Shared, store: &dyn KvStore, unsaved: &[RecordedDeparture]) {
    let is_current = |departure: &RecordedDeparture| departure.time_left(unix_millis()).is_some();
    while unsaved.iter().any(is_current) && !shared.is_stopping() {
        shared.metrics.store_calls.inc_by(2);
        match add_departures(store, &shared.settings.host, unsaved, unix_millis()) {
            Ok(true) => {
                log::info!(departures = unsaved.len(); "departures of upstreams saved");
                return;
            }
            Ok(false) => log::warn!("departures of upstreams not saved: others wrote first"),
            Err(err) => log::warn!("departures of upstreams not saved: {err}"),
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}
