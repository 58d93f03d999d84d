//! Where the daemon meets what is not its own: callers, its upstream, the operators' store.
//!
//! Each edge is a trait with the project's own protocol as the first implementation. An
//! adapter to another platform implements the traits and hands them to [`crate::Node`];
//! decisions and state stay on this side.

mod native;
mod protocol;

use std::sync::Arc;

use snipehollow_config::settings::NodeSettings;
use snipehollow_store::{ConfigSource, HttpStore, KvStore};

pub use native::NativeProtocol;
pub use protocol::{
    FailureResponse, NoticeError, Protocol, RequestHead, ResponseKind, UpstreamNotice,
    UpstreamRequest,
};

/// A store that several threads use.
pub type SharedStore = Arc<dyn KvStore + Send + Sync>;

/// What a node meets at its edges.
#[derive(Clone)]
pub struct Adapters {
    /// What callers and the upstream speak.
    pub protocol: Arc<dyn Protocol>,
    /// The platform's key-value service, if there is one.
    pub store: Option<SharedStore>,
    /// Where the operators' configuration comes from.
    pub config: ConfigSource,
}

impl Adapters {
    /// Creates the edges that the project itself speaks.
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
