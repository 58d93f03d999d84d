//! Settings of a node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use snipehollow_core::ids::{HostName, RegionName, ServiceName, ZoneName};

use super::bounds::Bounds;
use super::error::SettingsError;
use super::reader::{Reader, SectionSpec, read_file};

/// Minimum length of the shared secret.
const MIN_SECRET_BYTES: usize = 16;
/// A line has about 300 bytes, and the limit applies separately to warnings and errors and to less
/// severe lines, so that the log grows by at most 300 KB/s.
const DEFAULT_LOG_LINES_PER_SECOND: u64 = 500;
const DEFAULT_DRAIN_MS: u64 = 30_000;
/// Value used instead of addresses for a zone whose members are listed only in the store.
const SEEDS_IN_STORE: &str = "store";
const DEFAULT_LEAVE_NOTICE_MS: u64 = 1_500;

const SECTIONS: &[SectionSpec] = &[
    SectionSpec { name: "host", keys: &["name", "zone", "region", "service", "upstream"] },
    SectionSpec {
        name: "listen",
        keys: &["caller", "peer", "control", "upstream", "admin", "ready", "metrics"],
    },
    SectionSpec { name: "peers", keys: &["secret", "seeds", "blocked"] },
    SectionSpec { name: "store", keys: &["url", "timeout_ms"] },
    SectionSpec { name: "directory", keys: &["near_pull_ms", "far_pull_ms"] },
    SectionSpec {
        name: "bounds",
        keys: &[
            "head_bytes",
            "headers",
            "body_bytes",
            "answer_bytes",
            "held_bytes",
            "connections",
            "head_timeout_ms",
            "body_timeout_ms",
        ],
    },
    SectionSpec { name: "log", keys: &["level", "lines_per_second"] },
    SectionSpec {
        name: "run",
        keys: &[
            "traffic_threads",
            "drain_ms",
            "leave_notice_ms",
            "assert",
            "admission",
            "link_bytes_per_second",
        ],
    },
];

/// Admission control of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// Queue ordered by rank, and an adaptive concurrency limit.
    Full,
    /// Queue ordered by rank, and a fixed concurrency limit just below the announced slots; for
    /// upstreams that announce their exact capacity.
    Slots,
    /// Queue that is fair among classes but ignores ranks, callers and deadlines, and a concurrency
    /// limit fixed at the announced slots.
    FixedLimit,
    /// No admission control: every request is sent at once. For measuring the overhead of the
    /// gate.
    PassThrough,
}

/// Members of another availability zone through which a node finds its hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSeeds {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Control addresses of members; empty if they are listed only in the store.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// File that the settings were read from; `None` if they were parsed from text.
    pub file: Option<PathBuf>,
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the availability zone.
    pub region: RegionName,
    /// Listen address for callers and for calls made by the local upstream.
    pub caller: SocketAddr,
    /// Listen address for requests from other nodes.
    pub peer: SocketAddr,
    /// Listen address for control messages from other nodes.
    pub control: SocketAddr,
    /// Service of the local upstream; `None` if there is none. Sent as the calling service with
    /// requests that enter at this node, for upstreams that expect it.
    pub service: Option<ServiceName>,
    /// Address at which the local upstream accepts requests, if it is known in advance; `None` if
    /// the upstream announces it.
    pub upstream_addr: Option<SocketAddr>,
    /// Listen address for announcements of the local upstream.
    pub upstream_listener: SocketAddr,
    /// Additional listen address for readiness checks of the platform; `None` to serve them only
    /// at `admin`.
    pub ready: Option<SocketAddr>,
    /// Listen address of the admin server, for operators.
    pub admin: SocketAddr,
    /// Secret shared by all nodes, which authenticates requests between them.
    pub secret: String,
    /// Control addresses of members of this node's zone.
    pub seeds: Vec<SocketAddr>,
    /// Regions and seeds of other zones.
    pub remote_zones: Vec<ZoneSeeds>,
    /// Zones that this node exchanges no messages with, to simulate a network partition.
    pub blocked_zones: Vec<ZoneName>,
    /// URL of the store, `http://ip:port`; a node without one gets its configuration from peers.
    pub store_url: Option<String>,
    /// Additional listen address for metrics; `None` to serve them only at `admin`.
    pub metrics: Option<SocketAddr>,
    /// Interval between pulls of the directory from a zone in this node's region.
    pub near_pull_interval: Duration,
    /// Interval between pulls of the directory from a zone in another region.
    pub far_pull_interval: Duration,
    /// Time limit for a call to the store.
    pub store_timeout: Duration,
    /// Limits on requests and responses.
    pub bounds: Bounds,
    /// Minimum severity of logged records: error, warn, info, debug or trace.
    pub log_level: String,
    /// Maximum number of log lines per second, separately for warnings and errors and for the
    /// less severe lines.
    pub log_lines_per_second: u32,
    /// Number of threads that serve traffic.
    pub traffic_threads: usize,
    /// Maximum time that a shutdown waits for requests in progress.
    pub drain_timeout: Duration,
    /// How long a node that shuts down still serves callers, so that callers and members notice
    /// that it is leaving.
    pub leave_notice: Duration,
    /// Whether a release build asserts invariants.
    pub assert_invariants: bool,
    /// Admission control of the gate.
    pub admission: AdmissionMode,
    /// Bandwidth budget in bytes per second, shared by all nodes of this region, for links to other
    /// regions; applies if the configuration has no budget for a link from this region.
    pub link_bytes_per_second: u64,
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all problems if it has unknown, missing,
    /// duplicate or invalid keys.
    pub fn load(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = read_file(path)?;
        let mut settings = NodeSettings::parse(&path.display().to_string(), &text)?;
        settings.file = Some(path.to_owned());
        Ok(settings)
    }

    /// Parses settings from text; `file` is the file name for error messages.
    ///
    /// ```
    /// use snipehollow_config::settings::NodeSettings;
    ///
    /// let err = NodeSettings::parse("node.ini", "[host]\ncolour = red\n").unwrap_err();
    /// assert!(err.to_string().contains("node.ini: [host] colour is not known"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings, SettingsError> {
        let mut reader = Reader::new(file, text)?;
        let zones = read_zones(&mut reader);
        reader.check_names(SECTIONS, &["zones"]);
        let settings = read_node(&mut reader, zones);
        reader.finish(settings)
    }
}

fn read_node(reader: &mut Reader<'_>, zones: Vec<ZoneSeeds>) -> Option<NodeSettings> {
    let name_format = "1 to 128 letters, digits, '-', '_', '.' or ':'";
    let addr_format = "an IP address and port, for example 127.0.0.1:7000";
    let host = reader.required("host", "name", name_format, HostName::new);
    let zone = reader.required("host", "zone", name_format, ZoneName::new);
    let region = reader.required("host", "region", name_format, RegionName::new);
    let service = reader.optional("host", "service", name_format, ServiceName::new);
    let upstream_addr = reader.optional("host", "upstream", addr_format, str::parse::<SocketAddr>);
    let ready = reader.optional("listen", "ready", addr_format, str::parse::<SocketAddr>);
    let metrics = reader.optional("listen", "metrics", addr_format, str::parse::<SocketAddr>);
    let near_pull_ms = reader.number("directory", "near_pull_ms", 100..=600_000, 5_000);
    let far_pull_ms = reader.number("directory", "far_pull_ms", 100..=600_000, 20_000);
    let mut addr =
        |key: &str| reader.required("listen", key, addr_format, str::parse::<SocketAddr>);
    let caller = addr("caller");
    let peer = addr("peer");
    let control = addr("control");
    let upstream = addr("upstream");
    let admin = addr("admin");
    let secret =
        reader.required("peers", "secret", "at least 16 visible ASCII characters", parse_secret);
    let seeds = reader.optional("peers", "seeds", "addresses separated by spaces", parse_addrs);
    let blocked = reader.optional("peers", "blocked", "zones separated by spaces", parse_zones);
    let store_url =
        reader.optional("store", "url", "http:// and an IP address and port", parse_url);
    let store_timeout_ms = reader.number("store", "timeout_ms", 10..=60_000, 2_000);
    let bounds = read_bounds(reader);
    let log_level =
        reader.optional("log", "level", "error, warn, info, debug or trace", parse_level);
    let log_lines_per_second =
        reader.number("log", "lines_per_second", 1..=1_000_000, DEFAULT_LOG_LINES_PER_SECOND);
    let traffic_threads = reader.number("run", "traffic_threads", 1..=64, 2);
    let drain_ms = reader.number("run", "drain_ms", 0..=3_600_000, DEFAULT_DRAIN_MS);
    let leave_notice_ms =
        reader.number("run", "leave_notice_ms", 0..=3_600_000, DEFAULT_LEAVE_NOTICE_MS);
    let assert = reader.flag("run", "assert", false);
    let admission = reader.optional(
        "run",
        "admission",
        "full, fixed-limit, pass-through or slots",
        parse_admission,
    );
    let link_bytes_per_second =
        reader.number("run", "link_bytes_per_second", 0..=10_000_000_000, 3_750_000);
    Some(NodeSettings {
        file: None,
        host: host?,
        zone: zone?,
        region: region?,
        caller: caller?,
        peer: peer?,
        control: control?,
        service,
        upstream_addr,
        upstream_listener: upstream?,
        ready,
        metrics,
        near_pull_interval: Duration::from_millis(near_pull_ms),
        far_pull_interval: Duration::from_millis(far_pull_ms),
        admin: admin?,
        secret: secret?,
        seeds: seeds.unwrap_or_default(),
        remote_zones: zones,
        blocked_zones: blocked.unwrap_or_default(),
        store_url,
        store_timeout: Duration::from_millis(store_timeout_ms),
        bounds,
        log_level: log_level.unwrap_or_else(|| "info".into()),
        log_lines_per_second: log_lines_per_second as u32,
        traffic_threads: traffic_threads as usize,
        drain_timeout: Duration::from_millis(drain_ms),
        leave_notice: Duration::from_millis(leave_notice_ms),
        assert_invariants: assert,
        admission: admission.unwrap_or(AdmissionMode::Full),
        link_bytes_per_second,
    })
}

fn read_bounds(reader: &mut Reader<'_>) -> Bounds {
    let default = Bounds::new();
    let mut size = |key: &str, range, default: usize| {
        reader.number("bounds", key, range, default as u64) as usize
    };
    let max_head_bytes = size("head_bytes", 8_192..=1_048_576, default.max_head_bytes);
    let max_headers = size("headers", 8..=1_024, default.max_headers);
    let max_body_bytes = size("body_bytes", 0..=1_073_741_824, default.max_body_bytes);
    let max_response_bytes =
        size("answer_bytes", 1_024..=1_073_741_824, default.max_response_bytes);
    let max_held_bytes = size("held_bytes", 65_536..=68_719_476_736, default.max_held_bytes);
    let max_connections = size("connections", 1..=65_536, default.max_connections);
    let head_timeout =
        size("head_timeout_ms", 10..=600_000, default.head_timeout.as_millis() as usize);
    let body_timeout =
        size("body_timeout_ms", 10..=600_000, default.body_timeout.as_millis() as usize);
    Bounds {
        max_head_bytes,
        max_headers,
        max_body_bytes,
        max_response_bytes,
        max_held_bytes,
        max_connections,
        head_timeout: Duration::from_millis(head_timeout as u64),
        body_timeout: Duration::from_millis(body_timeout as u64),
    }
}

/// Reads section `[zones]`. Entries are `NAME = REGION ADDRESS...` or `NAME = REGION store`.
fn read_zones(reader: &mut Reader<'_>) -> Vec<ZoneSeeds> {
    let expected = "a region, then control addresses or \"store\", separated by spaces";
    let mut zones = Vec::new();
    for (key, value) in reader.section("zones") {
        match parse_zone(&key, &value) {
            Some(zone) => zones.push(zone),
            None => reader.bad_value("zones", &key, &value, expected),
        }
    }
    zones
}

fn parse_zone(name: &str, value: &str) -> Option<ZoneSeeds> {
    let zone = ZoneName::new(name).ok()?;
    let (region, addrs) = value.trim().split_once(' ')?;
    let region = RegionName::new(region).ok()?;
    let seeds = match addrs.trim() {
        SEEDS_IN_STORE => Vec::new(),
        addrs => parse_addrs(addrs).ok()?,
    };
    Some(ZoneSeeds { zone, region, seeds })
}

pub(super) fn parse_addrs(text: &str) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split_whitespace().map(str::parse).collect()
}

fn parse_zones(text: &str) -> Result<Vec<ZoneName>, snipehollow_core::ids::NameError> {
    text.split_whitespace().map(ZoneName::new).collect()
}

fn parse_secret(text: &str) -> Result<String, &'static str> {
    let visible = text.bytes().all(|b| b.is_ascii_graphic());
    if visible && text.len() >= MIN_SECRET_BYTES {
        Ok(text.into())
    } else {
        Err("too short, or not visible ASCII")
    }
}

pub(super) fn parse_url(text: &str) -> Result<String, &'static str> {
    let addr = text.strip_prefix("http://").ok_or("scheme is not http")?;
    addr.parse::<SocketAddr>().map_err(|_| "not an IP address and port")?;
    Ok(text.into())
}

fn parse_level(text: &str) -> Result<String, &'static str> {
    match text {
        "error" | "warn" | "info" | "debug" | "trace" => Ok(text.into()),
        _ => Err("unknown level"),
    }
}

fn parse_admission(text: &str) -> Result<AdmissionMode, &'static str> {
    match text {
        "full" => Ok(AdmissionMode::Full),
        "slots" => Ok(AdmissionMode::Slots),
        "fixed-limit" => Ok(AdmissionMode::FixedLimit),
        "pass-through" => Ok(AdmissionMode::PassThrough),
        _ => Err("unknown admission mode"),
    }
}
