//! Identifiers of services, hosts, callers and tries.

use std::fmt;
use std::sync::Arc;

use displaydoc::Display;

/// Longest accepted name or request id, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a name was not accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NameError {
    /// name is empty
    Empty,
    /// name is longer than 128 bytes
    TooLong,
    /// name has a byte other than a letter, a digit, '-', '_', '.' or ':'
    BadByte,
}

impl std::error::Error for NameError {}

fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    if !name.bytes().all(allowed) {
        return Err(NameError::BadByte);
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
        #[serde(transparent)]
        pub struct $name(#[serde(serialize_with = "serialize_arc")] Arc<str>);

        impl $name {
            /// Checks and stores a name of 1 to [`MAX_NAME_BYTES`] letters, digits and `-_.:`.
            pub fn new(name: &str) -> Result<$name, NameError> {
                check_name(name)?;
                Ok($name(name.into()))
            }

            /// Returns the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(de: D) -> Result<$name, D::Error> {
                let name = std::borrow::Cow::<'de, str>::deserialize(de)?;
                $name::new(&name).map_err(serde::de::Error::custom)
            }
        }
    };
}

fn serialize_arc<S: serde::Serializer>(name: &Arc<str>, ser: S) -> Result<S::Ok, S::Error> {
    ser.serialize_str(name)
}

name_type! {
    /// Name of a service.
    ServiceName
}
name_type! {
    /// Name of a class of requests.
    ClassName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a region.
    RegionName
}
name_type! {
    /// Name of a host; unique in the fleet.
    HostName
}
name_type! {
    /// Id of a request, chosen by its caller or minted by the entry.
    RequestId
}
name_type! {
    /// Name of one start of an upstream.
    InstanceId
}
name_type! {
    /// Host name by which callers address a virtual host.
    VirtualHostName
}
name_type! {
    /// Key under which a caller's requests share fairly.
    CallerKey
}

key_type! {
    /// Number of one start of a process; a later start of the same host has a higher one.
    pub struct Incarnation(pub u64);

    /// Number of one try at a gate, unique within one incarnation.
    pub struct TryId(pub u64);

    /// Digest of a request's service, method, path and body.
    pub struct Fingerprint(pub u128);
}

impl Fingerprint {
    /// Digests a request's service, method, path and body.
    ///
    /// ```
    /// use snipehollow_core::ids::Fingerprint;
    ///
    /// let first = Fingerprint::of("orders", "POST", "/new", b"net");
    /// assert_eq!(first, Fingerprint::of("orders", "POST", "/new", b"net"));
    /// assert_ne!(first, Fingerprint::of("orders", "POST", "/new", b"rope"));
    /// ```
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(u128::from_le_bytes(digest))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
