//! Interfaces to the systems around a node: callers, the local upstream, the key-value store and
//! the source of the operators' configuration.
//!
//! Each interface is a trait that this crate or `snipehollow-store` implements for the project's
//! own protocols. To run a node on another platform, implement the traits there and pass them to
//! [`crate::Node`]. Adapters only translate: all decisions and state are kept by the node.

mod native;
mod protocol;

use std::sync::Arc;

use snipehollow_config::settings::NodeSettings;
use snipehollow_store::{ConfigSource, HttpStore, KvStore};

pub use native::NativeProtocol;
pub use protocol::{
    FailureResponse, NoticeError, Protocol, RateSignal, RequestHead, ResponseKind, UpstreamNotice,
    UpstreamRequest, UpstreamSignals,
};

/// Key-value store shared between the node's threads.
pub type SharedStore = Arc<dyn KvStore + Send + Sync>;

/// The adapters that a node runs with.
#[derive(Clone)]
pub struct Adapters {
    /// Encoding of requests, responses and notices exchanged with callers and the upstream.
    pub protocol: Arc<dyn Protocol>,
    /// Key-value store; `None` runs the node without a store.
    pub store: Option<SharedStore>,
    /// Source of the operators' configuration.
    pub config: ConfigSource,
}

impl Adapters {
    /// Creates the adapters for the project's own protocols, with the store that the settings name.
    pub fn native(settings: &NodeSettings) -> Adapters {
        let connect =
            |url: &String| -> SharedStore { Arc::new(HttpStore::new(url, settings.store_timeout)) };
        Adapters {
            protocol: Arc::new(NativeProtocol),
            store: settings.store_url.as_ref().map(connect),
            config: ConfigSource::Sheet,
        }
    }
}
