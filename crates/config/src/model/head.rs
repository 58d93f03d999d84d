//! Head of the configuration: the one value whose swap is a commit.

use snipehollow_core::data_type;

use super::section::{SectionDigest, SectionName};

/// Changes that the head itself lists; older ones are found in the index.
pub const RECENT_CHANGES: usize = 32;

data_type! {
    /// A section and the value it has; `None` once the section was removed.
    pub struct SectionRef {
        /// Name of the section.
        pub name: SectionName,
        /// Digest of its stored form.
        pub digest: Option<SectionDigest>,
    }

    /// One accepted change.
    pub struct Change {
        /// Revision that the change made.
        pub revision: u64,
        /// Id that the committing process chose, to recognize its own change.
        pub change_id: String,
        /// Operator who made it.
        pub author: String,
        /// Unix time in seconds on the operator's clock.
        pub at: u64,
        /// Sections that changed.
        pub sections: Vec<SectionRef>,
    }

    /// Names the stored list of every section at one revision.
    pub struct IndexRef {
        /// The revision.
        pub revision: u64,
        /// Digest of the list's stored form, which also names its key: two operators who race
        /// for one revision write two lists, not one.
        pub digest: SectionDigest,
    }

    /// Every section at one revision; immutable.
    pub struct Index {
        /// The revision.
        pub revision: u64,
        /// All sections that exist.
        pub sections: Vec<SectionRef>,
    }

    /// The newest revision.
    pub struct Head {
        /// Revision of the newest change.
        pub revision: u64,
        /// Most recent changes, oldest first.
        pub recent: Vec<Change>,
        /// The newest index; `recent` lists every change after it.
        pub index: IndexRef,
        /// Digest of every section at this revision, so that a node whose own history
        /// differs notices it.
        pub content: SectionDigest,
    }
}

impl SectionRef {
    /// Digests a list of all sections, in any order; removed ones do not count.
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
    /// Returns the newest change.
    pub fn last(&self) -> Option<&Change> {
        self.recent.last()
    }

    /// Returns the id of the newest change.
    pub fn change_id(&self) -> &str {
        self.last().map_or("", |change| change.change_id.as_str())
    }

    /// Returns the changes after a revision, or `None` if the head does not reach back so far.
    pub fn changes_after(&self, revision: u64) -> Option<&[Change]> {
        let newer = self.recent.iter().filter(|change| change.revision > revision).count();
        let changes = &self.recent[self.recent.len() - newer..];
        let expected = self.revision.saturating_sub(revision);
        (changes.len() as u64 == expected).then_some(changes)
    }

    /// Tells whether a change is among the recent ones.
    pub fn contains(&self, change_id: &str) -> bool {
        self.recent.iter().any(|change| change.change_id == change_id)
    }
}
