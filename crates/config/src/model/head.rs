//! Head of the configuration: the value that a commit replaces by compare-and-swap.

use snipehollow_core::data_type;

use super::section::{SectionDigest, SectionName};

/// Maximum number of changes listed in the head; the effect of older ones is found in the index.
pub const RECENT_CHANGES: usize = 32;

data_type! {
    /// A section and the digest of its value.
    pub struct SectionRef {
        /// Name of the section.
        pub name: SectionName,
        /// Digest of the stored form; `None` if the section was removed.
        pub digest: Option<SectionDigest>,
    }

    /// One committed change of the configuration.
    pub struct Change {
        /// Revision that the change created.
        pub revision: u64,
        /// Unique id chosen by the committing process, so that it can recognize its own change
        /// after a lost response.
        pub change_id: String,
        /// Operator or process that made the change.
        pub author: String,
        /// Unix time in seconds on the operator's clock; 0 if the change came from a feed.
        pub at: u64,
        /// Sections that were added, changed or removed.
        pub sections: Vec<SectionRef>,
    }

    /// Reference to a stored [`Index`].
    pub struct IndexRef {
        /// Revision that the index describes.
        pub revision: u64,
        /// Digest of the index's stored form. It is part of the store key, so two operators who
        /// compete for the same revision do not overwrite each other's index.
        pub digest: SectionDigest,
    }

    /// Immutable list of all sections at one revision.
    pub struct Index {
        /// Revision that the index describes.
        pub revision: u64,
        /// All sections that exist at this revision.
        pub sections: Vec<SectionRef>,
    }

    /// Description of the newest revision.
    pub struct Head {
        /// Revision of the newest change.
        pub revision: u64,
        /// Most recent changes, oldest first; at most [`RECENT_CHANGES`].
        pub recent: Vec<Change>,
        /// Newest index; `recent` lists every change made after it.
        pub index: IndexRef,
        /// Digest over all sections at this revision. A node whose history differs from the
        /// store's detects it by comparing this digest with that of its own sections.
        pub content: SectionDigest,
    }
}

impl SectionRef {
    /// Returns the digest over a list of sections.
    ///
    /// The order of the list does not matter, and removed sections are ignored.
    pub fn digest_all(sections: &[SectionRef]) -> SectionDigest {
        let mut existing: Vec<&SectionRef> =
            sections.iter().filter(|section| section.digest.is_some()).collect();
        existing.sort_by(|a, b| a.name.cmp(&b.name));
        let mut text = String::new();
        for section in existing {
            let digest = section.digest.map_or_else(String::new, |digest| digest.to_string());
            text.push_str(&format!("{} {digest}\n", section.name));
        }
        SectionDigest::of(&text)
    }
}

impl Head {
    /// Returns the newest change, or `None` if the head lists no changes.
    pub fn last(&self) -> Option<&Change> {
        self.recent.last()
    }

    /// Returns the id of the newest change; empty if the head lists no changes.
    pub fn change_id(&self) -> &str {
        self.last().map_or("", |change| change.change_id.as_str())
    }

    /// Returns the changes made after a revision, or `None` if the head no longer lists all of
    /// them.
    pub fn changes_after(&self, revision: u64) -> Option<&[Change]> {
        let newer = self.recent.iter().filter(|change| change.revision > revision).count();
        let changes = &self.recent[self.recent.len() - newer..];
        let expected = self.revision.saturating_sub(revision);
        (changes.len() as u64 == expected).then_some(changes)
    }

    /// Returns whether the recent changes include the one with this id.
    pub fn contains(&self, change_id: &str) -> bool {
        self.recent.iter().any(|change| change.change_id == change_id)
    }
}
