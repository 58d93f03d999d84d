//! Ties deeper calls to the request that an upstream makes them for.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_core::class::ClassPolicy;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{CallerKey, RequestId, TryId};
use snipehollow_core::time::Timestamp;
use tokio_util::sync::CancellationToken;

/// What a deeper call inherits.
#[derive(Clone, Debug)]
pub(crate) struct ParentCall {
    pub(crate) id: TryId,
    pub(crate) request: RequestId,
    pub(crate) class: Arc<ClassPolicy>,
    pub(crate) caller: CallerKey,
    pub(crate) deadline: Timestamp,
    /// Cancelled when the parent ends.
    pub(crate) ended: CancellationToken,
}

#[derive(Debug)]
struct Entry {
    parent: ParentCall,
    children: u32,
    waiting_since: Timestamp,
    waited: Duration,
}

/// Active tries by the opaque text that their upstream passes on with deeper calls.
pub(crate) struct ContextTable {
    key: [u8; 32],
    next: u64,
    by_token: FastMap<u128, TryId>,
    entries: FastMap<TryId, (u128, Entry)>,
}

impl ContextTable {
    pub(crate) fn new(key: [u8; 32]) -> ContextTable {
        ContextTable { key, next: 0, by_token: FastMap::default(), entries: FastMap::default() }
    }

    /// Registers a try and returns its text, which nobody can guess.
    pub(crate) fn open(&mut self, parent: ParentCall) -> String {
        self.next += 1;
        let digest = blake3::keyed_hash(&self.key, &self.next.to_le_bytes());
        let mut token = [0; 16];
        token.copy_from_slice(&digest.as_bytes()[..16]);
        let token = u128::from_le_bytes(token);
        let id = parent.id;
        let entry =
            Entry { parent, children: 0, waiting_since: Timestamp::ZERO, waited: Duration::ZERO };
        self.by_token.insert(token, id);
        self.entries.insert(id, (token, entry));
        format!("{token:032x}")
    }

    /// Finds the active try of a text.
    pub(crate) fn find(&self, token: &str) -> Option<&ParentCall> {
        let token = u128::from_str_radix(token, 16).ok()?;
        let id = self.by_token.get(&token)?;
        self.entries.get(id).map(|(_, entry)| &entry.parent)
    }

    /// Tells whether a try is active.
    pub(crate) fn is_open(&self, id: TryId) -> bool {
        self.entries.contains_key(&id)
    }

    /// Records that the upstream waits for a deeper call.
    pub(crate) fn child_started(&mut self, id: TryId, now: Timestamp) {
        if let Some((_, entry)) = self.entries.get_mut(&id) {
            if entry.children == 0 {
                entry.waiting_since = now;
            }
            entry.children += 1;
        }
    }

    /// Records the end of a deeper call.
    pub(crate) fn child_ended(&mut self, id: TryId, now: Timestamp) {
        if let Some((_, entry)) = self.entries.get_mut(&id) {
            entry.children = entry.children.saturating_sub(1);
            if entry.children == 0 {
                entry.waited += now.since(entry.waiting_since);
            }
        }
    }

    /// Ends a try: its deeper calls are cancelled. Returns the time that the upstream only
    /// waited for them.
    pub(crate) fn close(&mut self, id: TryId, now: Timestamp) -> Duration {
        let Some((token, entry)) = self.entries.remove(&id) else {
            return Duration::ZERO;
        };
        self.by_token.remove(&token);
        entry.parent.ended.cancel();
        let open = if entry.children > 0 { now.since(entry.waiting_since) } else { Duration::ZERO };
        entry.waited + open
    }
}
