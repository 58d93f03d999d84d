//! Access to the platform's key-value service, and the data that is stored in it.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `config/head` | newest revision; replaced by compare-and-swap to commit | the command line |
//! | `config/section/DIGEST` | one immutable section | the command line |
//! | `config/index/DIGEST` | immutable list of all sections at one revision | the command line |
//! | `seeds/ZONE` | a few control addresses of one zone | two members of the zone |
//! | `departures/HOST` | recent departures of the upstreams of one host | the node of the host |
//!
//! Nodes write the configuration's keys only to repair a store that lost data.
//!
//! [`KvStore`] abstracts the service: [`HttpStore`] is the client for it, and tests use
//! in-memory fakes. No leases are used, because duplicate writes do no harm.

mod client;
mod commit;
mod departures;
mod error;
mod feed;
mod load;
mod seeds;

pub use client::{HttpStore, KeyValue, KvStore, Version, Versioned};
pub use commit::{Commit, CommitError, commit_sections, load_config};
pub use departures::{add_departures, load_departures};
pub use error::StoreError;
pub use feed::{ConfigFeed, ConfigSnapshot, ConfigSource, Cursor, FeedEvent};
pub use load::{
    LoadError, RepairAction, load_delta, load_head, recommit_head, repair_action, watch_head,
    write_back_config,
};
pub use seeds::{SeedList, load_all_seeds, publish_seeds};

/// Store key of the configuration's head.
pub const HEAD_KEY: &str = "config/head";
