//! Errors in a settings file.

use displaydoc::Display;

/// One problem in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SettingsProblem {
    /// {file}: section [{section}] is not known; expected one of: {allowed}
    UnknownSection {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Known sections, separated by commas.
        allowed: String,
    },
    /// {file}: [{section}] {key} is not known; expected one of: {allowed}
    UnknownKey {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Known keys of the section, separated by commas.
        allowed: String,
    },
    /// {file}: [{section}] {key} is missing; expected {expected}
    Missing {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Description of a valid value.
        expected: String,
    },
    /// {file}: [{section}] {key} = "{value}" is not valid; expected {expected}
    BadValue {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value in the file.
        value: String,
        /// Description of a valid value.
        expected: String,
    },
    /// {file}: [{section}] {key} is given more than once
    Duplicate {
        /// Path of the file.
        file: String,
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
    },
    /// {file}: cannot read the file: {cause}
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system or of the INI parser.
        cause: String,
    },
}

/// All problems of one settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Problems, in the order in which they were found.
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
