//! Errors of a settings file.

use displaydoc::Display;

/// One problem in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsProblem {
    /// {file}: section [{section}] is not known; allowed: {allowed}
    UnknownSection {
        /// Name of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Sections that are known.
        allowed: String,
    },
    /// {file}: [{section}] {key} is not known; allowed: {allowed}
    UnknownKey {
        /// Name of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Keys that are known in the section.
        allowed: String,
    },
    /// {file}: [{section}] {key} is missing; expected {expected}
    Missing {
        /// Name of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// What the value should be.
        expected: String,
    },
    /// {file}: [{section}] {key} = "{value}" is not valid; expected {expected}
    BadValue {
        /// Name of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// The value.
        value: String,
        /// What the value should be.
        expected: String,
    },
    /// {file}: [{section}] {key} is given more than once
    Duplicate {
        /// Name of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// {file}: cannot be read: {cause}
    Unreadable {
        /// Name of the file.
        file: String,
        /// Why.
        cause: String,
    },
}

/// All problems of one settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The problems, in order of the file.
    pub problems: Vec<SettingsProblem>,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
