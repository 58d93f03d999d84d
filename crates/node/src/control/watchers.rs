//! Keeps the watchers of the configuration complete: replaces those that do not respond or have lost
//! the store.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::thread::gossip_to_member;
use crate::shared::Shared;

/// Ticks between two checks of the member before this node in the order of the watchers. With the
/// time limits of two checks, the watchers are replaced within 1.2 s.
const WATCH_CHECK_TICKS: u64 = 5;
/// Number of members that are checked at once after one did not respond.
const WATCH_CHECK_FAN_OUT: usize = 16;
/// Number of members after this node in the order of the watchers that are notified when it loses the
/// store.
const STORE_LOSS_FAN_OUT: usize = 8;
/// Ticks between two such notifications while the store is lost.
const STORE_LOSS_TICKS: u64 = 10;

/// Advances the timers of the order of the watchers; returns whether this node has lost the store.
pub(super) fn tick(shared: &Arc<Shared>, ticks: u64) -> bool {
    let (has_changed, lost_store) = {
        let mut control = shared.control();
        (control.update_store_losses(shared.clock.now()), control.has_lost_store())
    };
    if has_changed {
        log::info!(lost_store; "members after this one in the order of watchers are notified");
    }
    if has_changed || (lost_store && ticks.is_multiple_of(STORE_LOSS_TICKS)) {
        notify_successors(shared);
    }
    if ticks.is_multiple_of(WATCH_CHECK_TICKS) {
        tokio::spawn(check_predecessors(Arc::clone(shared)));
    }
    lost_store
}

/// Checks the member before this node in the order of the watchers and, if it does not respond, those
/// further ahead, until one responds or this node is a watcher itself.
async fn check_predecessors(shared: Arc<Shared>) {
    let mut count = 1;
    loop {
        let ahead = shared.control().watch_predecessors(count);
        if ahead.is_empty() {
            return;
        }
        let mut checks: JoinSet<bool> = ahead
            .into_iter()
            .map(|member| {
                let shared = Arc::clone(&shared);
                async move {
                    let responded = gossip_to_member(&shared, member.control).await;
                    if !responded {
                        shared.control().record_unresponsive(&member.host);
                    }
                    responded
                }
            })
            .collect();
        let mut responded = false;
        while let Some(result) = checks.join_next().await {
            responded |= result.unwrap_or(false);
        }
        if responded {
            return;
        }
        count = WATCH_CHECK_FAN_OUT;
    }
}

/// Notifies the next members in the order of the watchers whether this node has lost the store, for
/// whoever has to watch in its place.
fn notify_successors(shared: &Arc<Shared>) {
    let successors = shared.control().watch_successors(STORE_LOSS_FAN_OUT);
    for member in successors {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { gossip_to_member(&shared, member.control).await });
    }
}
