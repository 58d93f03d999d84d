//! The platform's key-value service, and what this project keeps in it.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `config/head` | newest revision; its swap is the commit | the command line |
//! | `config/section/DIGEST` | one immutable section | the command line |
//! | `config/index/DIGEST` | every section at one revision, immutable | the command line |
//! | `seeds/ZONE` | a few control addresses of one zone | two members of the zone |
//!
//! [`KvStore`] is the edge of the process: [`HttpStore`] speaks to the service, tests use
//! fakes in memory. No lease is used: nothing here is harmed by a duplicate.

mod client;
mod commit;
mod error;
mod feed;
mod load;
mod seeds;

pub use client::{HttpStore, KeyValue, KvStore, Version, Versioned};
pub use commit::{Commit, CommitError, commit_sections, load_config};
pub use error::StoreError;
pub use feed::{ConfigFeed, ConfigSnapshot, ConfigSource, Cursor, FeedEvent};
pub use load::{
    LoadError, RepairAction, load_delta, load_head, recommit_head, repair_action, watch_head,
    write_back_config,
};
pub use seeds::{SeedList, load_all_seeds, publish_seeds};

/// Key of the configuration's head.
pub const HEAD_KEY: &str = "config/head";
