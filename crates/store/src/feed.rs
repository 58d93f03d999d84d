//! Configurations that another party publishes whole.

use std::sync::Arc;
use std::time::Duration;

use snipehollow_config::model::Section;
use snipehollow_core::key_type;

use crate::StoreError;

key_type! {
    /// Place in a feed's history.
    #[derive(Default)]
    pub struct Cursor(pub u64);
}

/// One configuration, whole.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// Revision; it rises with each configuration, in steps of any size.
    pub revision: u64,
    /// All sections.
    pub sections: Vec<Section>,
}

/// What a wait for a newer configuration brought.
#[derive(Clone, Debug)]
pub enum FeedEvent {
    /// A configuration was published.
    Published(Box<ConfigSnapshot>, Cursor),
    /// Nothing changed within the wait.
    Unchanged(Cursor),
    /// A configuration was published that cannot be read; the one before stays in force.
    Malformed(String, Cursor),
    /// The history does not reach back so far: read the newest one.
    CursorExpired,
}

/// Configurations that another party publishes whole, each in place of the one before.
pub trait ConfigFeed: Send + Sync {
    /// Reads the newest configuration; [`FeedEvent::Unchanged`] if there is none.
    fn read_latest(&self) -> Result<FeedEvent, StoreError>;

    /// Waits until a configuration is published after `cursor`, at most for `wait`.
    fn wait_for_update(&self, cursor: Cursor, wait: Duration) -> Result<FeedEvent, StoreError>;
}

/// Where the operators' configuration comes from.
#[derive(Clone)]
pub enum ConfigSource {
    /// The sheet that `snipehollow sheet apply` commits to the store.
    Sheet,
    /// Another party's feed.
    Feed(Arc<dyn ConfigFeed>),
}
