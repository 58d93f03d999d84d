//! Associates nested calls with the request that the upstream makes them for.
//!
//! A node sends an opaque context token with each request to its upstream, which passes the token
//! on with its nested calls.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_core::class::ClassPolicy;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{CallerKey, RequestId, TryId};
use snipehollow_core::time::Timestamp;
use tokio_util::sync::CancellationToken;

/// Try in progress at the local upstream, whose properties its nested calls inherit.
#[derive(Clone, Debug)]
pub(crate) struct ParentCall {
    pub(crate) id: TryId,
    pub(crate) request: RequestId,
    pub(crate) class: Arc<ClassPolicy>,
    pub(crate) caller: CallerKey,
    pub(crate) deadline: Timestamp,
    /// Cancelled when the try ends, so that its nested calls end too.
    pub(crate) ended: CancellationToken,
}

#[derive(Debug)]
struct Entry {
    parent: ParentCall,
    /// Number of nested calls in progress.
    nested_calls: u32,
    /// Start of the current period with at least one nested call in progress.
    waiting_since: Timestamp,
    /// Total length of the earlier periods with nested calls in progress.
    waited: Duration,
}

/// Tries in progress at the local upstream, by context token.
pub(crate) struct ContextTable {
    key: [u8; 32],
    last_serial: u64,
    by_token: FastMap<u128, TryId>,
    /// Context token and entry of each try in progress.
    entries: FastMap<TryId, (u128, Entry)>,
}

impl ContextTable {
    pub(crate) fn new(key: [u8; 32]) -> ContextTable {
        ContextTable {
            key,
            last_serial: 0,
            by_token: FastMap::default(),
            entries: FastMap::default(),
        }
    }

    /// Registers a try and returns its context token.
    ///
    /// The token is a keyed hash, so that other processes cannot guess the token of a try.
    pub(crate) fn register(&mut self, parent: ParentCall) -> String {
        self.last_serial += 1;
        let digest = blake3::keyed_hash(&self.key, &self.last_serial.to_le_bytes());
        let mut token = [0; 16];
        token.copy_from_slice(&digest.as_bytes()[..16]);
        let token = u128::from_le_bytes(token);
        let id = parent.id;
        let entry = Entry {
            parent,
            nested_calls: 0,
            waiting_since: Timestamp::ZERO,
            waited: Duration::ZERO,
        };
        self.by_token.insert(token, id);
        self.entries.insert(id, (token, entry));
        format!("{token:032x}")
    }

    /// Returns the try in progress that a context token belongs to.
    pub(crate) fn find(&self, token: &str) -> Option<&ParentCall> {
        let token = u128::from_str_radix(token, 16).ok()?;
        let id = self.by_token.get(&token)?;
        self.entries.get(id).map(|(_, entry)| &entry.parent)
    }

    /// Returns whether a try was registered and has not ended.
    pub(crate) fn is_registered(&self, id: TryId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Records the start of a nested call of a try.
    pub(crate) fn nested_call_started(&mut self, id: TryId, now: Timestamp) {
        if let Some((_, entry)) = self.entries.get_mut(&id) {
            if entry.nested_calls == 0 {
                entry.waiting_since = now;
            }
            entry.nested_calls += 1;
        }
    }

    /// Records the end of a nested call of a try.
    pub(crate) fn nested_call_ended(&mut self, id: TryId, now: Timestamp) {
        if let Some((_, entry)) = self.entries.get_mut(&id) {
            entry.nested_calls = entry.nested_calls.saturating_sub(1);
            if entry.nested_calls == 0 {
                entry.waited += now.since(entry.waiting_since);
            }
        }
    }

    /// Removes a try that ended and cancels its nested calls.
    ///
    /// Returns how long at least one nested call was in progress, which does not count as service
    /// time of the local upstream.
    pub(crate) fn remove(&mut self, id: TryId, now: Timestamp) -> Duration {
        let Some((token, entry)) = self.entries.remove(&id) else {
            return Duration::ZERO;
        };
        self.by_token.remove(&token);
        entry.parent.ended.cancel();
        let current_wait =
            if entry.nested_calls > 0 { now.since(entry.waiting_since) } else { Duration::ZERO };
        entry.waited + current_wait
    }
}
