//! Reads the keys of an INI file and collects all problems.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::Path;

use ini::Ini;

use super::error::{SettingsError, SettingsProblem};

/// Reads the text of a settings file.
pub(super) fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|err| {
        let file = path.display().to_string();
        let problem = SettingsProblem::Unreadable { file, cause: err.to_string() };
        SettingsError { problems: vec![problem] }
    })
}

/// A section and the keys that are allowed in it.
pub(super) struct SectionSpec {
    pub(super) name: &'static str,
    pub(super) keys: &'static [&'static str],
}

/// Reads values from a parsed file. Problems are collected, and [`Reader::finish`] returns them
/// together.
pub(super) struct Reader<'a> {
    file: &'a str,
    ini: Ini,
    problems: Vec<SettingsProblem>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &str) -> Result<Reader<'a>, SettingsError> {
        let text = text.trim_start_matches('\u{feff}');
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Ok(Reader { file, ini, problems: Vec::new() }),
            Err(err) => {
                let problem =
                    SettingsProblem::Unreadable { file: file.into(), cause: err.to_string() };
                Err(SettingsError { problems: vec![problem] })
            }
        }
    }

    /// Reports unknown sections, unknown keys and duplicate keys.
    ///
    /// The keys of the sections in `free_sections` are not checked.
    pub(super) fn check_names(&mut self, specs: &[SectionSpec], free_sections: &[&str]) {
        let mut known: Vec<&str> = specs.iter().map(|spec| spec.name).collect();
        known.extend(free_sections);
        for (section, properties) in &self.ini {
            let name = section.unwrap_or("");
            if free_sections.contains(&name) {
                continue;
            }
            let Some(spec) = specs.iter().find(|spec| spec.name == name) else {
                if !(section.is_none() && properties.is_empty()) {
                    self.problems.push(SettingsProblem::UnknownSection {
                        file: self.file.into(),
                        section: name.into(),
                        allowed: known.join(", "),
                    });
                }
                continue;
            };
            for (key, _) in properties.iter() {
                if !spec.keys.contains(&key) {
                    self.problems.push(SettingsProblem::UnknownKey {
                        file: self.file.into(),
                        section: name.into(),
                        key: key.into(),
                        allowed: spec.keys.join(", "),
                    });
                }
            }
        }
        self.check_duplicates(specs);
    }

    fn check_duplicates(&mut self, specs: &[SectionSpec]) {
        for spec in specs {
            for key in spec.keys {
                let count: usize = self
                    .ini
                    .section_all(Some(spec.name))
                    .map(|properties| properties.get_all(*key).count())
                    .sum();
                if count > 1 {
                    self.problems.push(SettingsProblem::Duplicate {
                        file: self.file.into(),
                        section: spec.name.into(),
                        key: (*key).into(),
                    });
                }
            }
        }
    }

    /// Reads an optional value. Returns `None` if it is missing, or invalid and reported.
    pub(super) fn optional<T, E: Display>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let value = self.ini.get_from(Some(section), key)?.trim().to_owned();
        match parse(&value) {
            Ok(parsed) => Some(parsed),
            Err(_) => {
                self.bad_value(section, key, &value, expected);
                None
            }
        }
    }

    /// Reads a mandatory value. Returns `None` after reporting that it is missing or invalid.
    pub(super) fn required<T, E: Display>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.problems.push(SettingsProblem::Missing {
                file: self.file.into(),
                section: section.into(),
                key: key.into(),
                expected: expected.into(),
            });
            return None;
        }
        self.optional(section, key, expected, parse)
    }

    /// Reads an integer within a range. Returns the default if it is missing or invalid.
    pub(super) fn number(
        &mut self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let expected = format!("an integer from {} to {}", range.start(), range.end());
        let parse = |text: &str| match text.parse::<u64>() {
            Ok(number) if range.contains(&number) => Ok(number),
            _ => Err("out of range"),
        };
        self.optional(section, key, &expected, parse).unwrap_or(default)
    }

    /// Reads `yes` or `no`. Returns the default if the value is missing or invalid.
    pub(super) fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        let parse = |text: &str| match text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err("neither"),
        };
        self.optional(section, key, "yes or no", parse).unwrap_or(default)
    }

    /// Returns all keys and values of a section.
    pub(super) fn section(&self, section: &str) -> Vec<(String, String)> {
        let properties = self.ini.section(Some(section));
        properties
            .map(|p| p.iter().map(|(k, v)| (k.to_owned(), v.to_owned())).collect())
            .unwrap_or_default()
    }

    pub(super) fn bad_value(&mut self, section: &str, key: &str, value: &str, expected: &str) {
        self.problems.push(SettingsProblem::BadValue {
            file: self.file.into(),
            section: section.into(),
            key: key.into(),
            value: value.into(),
            expected: expected.into(),
        });
    }

    /// Returns the settings, or all problems if there were any.
    pub(super) fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(SettingsError { problems: self.problems }),
        }
    }
}
