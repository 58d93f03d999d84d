//! Settings of the operators' command line.

use std::net::SocketAddr;
use std::path::Path;

use super::error::SettingsError;
use super::node::{parse_addrs, parse_url};
use super::reader::{Reader, SectionSpec, read_file};

const SECTIONS: &[SectionSpec] = &[
    SectionSpec { name: "store", keys: &["url"] },
    SectionSpec { name: "nodes", keys: &["admin"] },
];

/// Settings of the operators' command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// URL of the store, `http://ip:port`; `None` if not set.
    pub store_url: Option<String>,
    /// Admin addresses of the nodes to query.
    pub nodes: Vec<SocketAddr>,
}

impl OperatorSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all problems if it has unknown, duplicate or
    /// invalid keys.
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let text = read_file(path)?;
        OperatorSettings::parse(&path.display().to_string(), &text)
    }

    /// Parses settings from text; `file` is the file name for error messages.
    ///
    /// ```
    /// use snipehollow_config::settings::OperatorSettings;
    ///
    /// let text = "[nodes]\nadmin = 127.0.0.1:7004\n";
    /// assert_eq!(OperatorSettings::parse("op.ini", text).unwrap().nodes.len(), 1);
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
        let mut reader = Reader::new(file, text)?;
        reader.check_names(SECTIONS, &[]);
        let url_format = "http:// and an IP address and port";
        let store_url = reader.optional("store", "url", url_format, parse_url);
        let addr_format = "addresses separated by spaces";
        let nodes = reader.optional("nodes", "admin", addr_format, parse_addrs);
        let settings = OperatorSettings { store_url, nodes: nodes.unwrap_or_default() };
        reader.finish(Some(settings))
    }
}
