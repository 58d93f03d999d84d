//! Configurations that an outside system publishes, each as a complete snapshot.
//!
//! A node follows such a feed in place of the sheet if the platform owns the configuration.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_config::model::Section;
use snipehollow_core::key_type;

use crate::StoreError;

key_type! {
    /// Position in the history of a feed.
    #[derive(Default)]
    pub struct Cursor {
        /// Number of times that the feed was restored from an older copy. Each restoration
        /// starts a new history.
        pub era: u64,
        /// Position in the history of the era.
        pub revision: u64,
    }
}

/// A complete configuration at one revision.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// Revision; increases with each configuration, by steps of any size.
    pub revision: u64,
    /// All sections of the configuration.
    pub sections: Vec<Section>,
}

/// Result of reading a feed. The cursor is the position from which to continue.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// A new configuration was published.
    Published(Box<ConfigSnapshot>, Cursor),
    /// Nothing was published within the wait.
    Unchanged(Cursor),
    /// A configuration was published that cannot be parsed, for the given reason. The previous
    /// one stays in force.
    Malformed(String, Cursor),
    /// The feed no longer has the history after the cursor, or was restored from an older copy. The
    /// caller must read the newest configuration and continue from there.
    CursorExpired,
}

/// A feed of complete configurations, each of which replaces the previous one.
pub trait ConfigFeed: Send + Sync {
    /// Reads the newest configuration.
    ///
    /// Returns [`FeedEvent::Unchanged`] if none has been published.
    fn read_latest(&self) -> Result<FeedEvent, StoreError>;

    /// Waits up to `wait` for a configuration that is published after `cursor`.
    fn wait_for_update(&self, cursor: Cursor, wait: Duration) -> Result<FeedEvent, StoreError>;
}

/// Source of the operators' configuration.
#[derive(Clone)]
pub enum ConfigSource {
    /// The store, to which `snipehollow sheet apply` commits a sheet.
    Sheet,
    /// A feed that an outside system publishes.
    Feed(Arc<dyn ConfigFeed>),
}
