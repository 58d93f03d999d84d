//! Interface of the key-value service, and a client for it.

use std::time::Duration;

use snipehollow_core::key_type;
use snipehollow_core::lenient::readable_entries;

use crate::StoreError;

/// Maximum size of a value that the service accepts.
const MAX_VALUE_BYTES: usize = 1 << 20;
const VERSION_HEADER: &str = "x-version";
const CONFLICT: u16 = 409;
const NOT_FOUND: u16 = 404;
const NO_CONTENT: u16 = 204;
/// Time added to the requested wait of a watch before the call times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

key_type! {
    /// Version of a value; increases with every write to its key.
    #[derive(Default)]
    pub struct Version(pub u64);
}

impl Version {
    /// Version of a key that does not exist; a write that expects it creates the key.
    pub const ABSENT: Version = Version(0);
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Value as text.
    pub value: String,
    /// Version of the value.
    pub version: Version,
}

/// A key with its value and version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KeyValue {
    /// Full key, including the prefix that was listed.
    pub key: String,
    /// Value as text.
    pub value: String,
    /// Version of the value.
    pub version: Version,
}

/// Response to a list. Others write to the service too, so unreadable entries are left out.
#[derive(serde::Deserialize)]
struct KeyValues(#[serde(deserialize_with = "readable_entries")] Vec<KeyValue>);

/// The operations of the key-value service that this project uses.
pub trait KvStore {
    /// Reads a value. Returns `None` if the key does not exist.
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Reads all keys that begin with a prefix. The result need not be a consistent snapshot.
    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError>;

    /// Writes a value if the key has the expected version (compare-and-swap).
    ///
    /// Returns the new version, or `None` if the key has another version.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed; the write may have taken effect nonetheless.
    fn put(&self, key: &str, value: &str, expected: Version)
    -> Result<Option<Version>, StoreError>;

    /// Waits until the key's version differs from `known`, and returns the new value.
    ///
    /// Returns `None` if there was no change within `wait`.
    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;
}

/// HTTP client for the key-value service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    agent: ureq::Agent,
    url: String,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client for the service at `url`, for example `http://127.0.0.1:7900`.
    ///
    /// `timeout` is the time limit for each call, except for watches.
    pub fn new(url: &str, timeout: Duration) -> HttpStore {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        let url = url.trim_end_matches('/').to_owned();
        HttpStore { agent: config.new_agent(), url, timeout }
    }

    fn read(&self, url: &str, timeout: Duration) -> Result<(u16, Option<Versioned>), StoreError> {
        let request = self.agent.get(url).config().timeout_global(Some(timeout)).build();
        let mut response = request.call().map_err(unavailable)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Ok((status, None));
        }
        let version = version_of(&response)?;
        let body = response.body_mut().with_config().limit(MAX_VALUE_BYTES as u64 + 1);
        let value = body.read_to_string().map_err(unavailable)?;
        Ok((status, Some(Versioned { value, version })))
    }
}

impl KvStore for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let url = format!("{}/v1/kv/{key}", self.url);
        match self.read(&url, self.timeout)? {
            (200, value) => Ok(value),
            (NOT_FOUND, _) => Ok(None),
            (status, _) => Err(StoreError::Status(status)),
        }
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyValue>, StoreError> {
        let url = format!("{}/v1/list/{prefix}", self.url);
        let request = self.agent.get(&url).config().timeout_global(Some(self.timeout)).build();
        let mut response = request.call().map_err(unavailable)?;
        match response.status().as_u16() {
            200 => response
                .body_mut()
                .read_json()
                .map(|KeyValues(readable)| readable)
                .map_err(unavailable),
            status => Err(StoreError::Status(status)),
        }
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        expected: Version,
    ) -> Result<Option<Version>, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { key: key.into(), bytes: value.len() });
        }
        let url = format!("{}/v1/kv/{key}?version={}", self.url, expected.0);
        let request = self.agent.put(&url).config().timeout_global(Some(self.timeout)).build();
        let response = request.send(value).map_err(unavailable)?;
        match response.status().as_u16() {
            200 => version_of(&response).map(Some),
            CONFLICT => Ok(None),
            status => Err(StoreError::Status(status)),
        }
    }

    fn watch(
        &self,
        key: &str,
        known: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let url =
            format!("{}/v1/watch/{key}?known={}&wait_ms={}", self.url, known.0, wait.as_millis());
        match self.read(&url, wait + WATCH_TIMEOUT_MARGIN)? {
            (200, value) => Ok(value),
            (NO_CONTENT, _) => Ok(None),
            (status, _) => Err(StoreError::Status(status)),
        }
    }
}

fn unavailable(err: ureq::Error) -> StoreError {
    StoreError::Unavailable(err.to_string())
}

fn version_of<B>(response: &ureq::http::Response<B>) -> Result<Version, StoreError> {
    let header = response.headers().get(VERSION_HEADER);
    let version = header.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    version
        .map(Version)
        .ok_or_else(|| StoreError::Unavailable(format!("response has no valid {VERSION_HEADER}")))
}
