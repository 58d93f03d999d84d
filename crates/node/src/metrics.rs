//! Metrics of the process, exported in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use snipehollow_core::ids::ClassName;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::reason::Reason;

use crate::{logging, usage};

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: String,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabels {
    direction: &'static str,
}

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.024,
    4.096,
];

pub(crate) type FloatGauge = Gauge<f64, AtomicU64>;

/// All metrics of one process and their registry.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<ClassLabels, Histogram, fn() -> Histogram>,
    /// Time that a request spends at this entry node outside its tries.
    added_latency: Histogram,
    retries: Family<ClassLabels, Counter>,
    control_bytes: Family<DirectionLabels, Counter>,
    pub(crate) store_calls: Counter,
    log_lines_dropped: Gauge,
    pub(crate) in_flight: Gauge,
    pub(crate) queued: Gauge,
    pub(crate) limit: Gauge,
    /// Rate limit that the upstream names, in requests per second; -1 if it names none.
    pub(crate) rate_limit: FloatGauge,
    pub(crate) revision: Gauge,
    /// Number of times that the store was restored from an older copy.
    pub(crate) store_era: Gauge,
    pub(crate) live_members: Gauge,
    /// Bytes of request and response bodies that the process holds.
    pub(crate) held_bytes: Gauge,
    /// Entries of lists in messages of other nodes that could not be read.
    unreadable_entries: Gauge,
    process_cpu: FloatGauge,
    control_cpu: FloatGauge,
    resident_memory: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("snipehollow"),
            requests: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            added_latency: latency_histogram(),
            retries: Family::default(),
            control_bytes: Family::default(),
            store_calls: Counter::default(),
            log_lines_dropped: Gauge::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
            limit: Gauge::default(),
            rate_limit: FloatGauge::default(),
            revision: Gauge::default(),
            store_era: Gauge::default(),
            live_members: Gauge::default(),
            held_bytes: Gauge::default(),
            unreadable_entries: Gauge::default(),
            process_cpu: FloatGauge::default(),
            control_cpu: FloatGauge::default(),
            resident_memory: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests by class, outcome and reason", self.requests.clone());
        let help = "Time from request to answer at the entry";
        r.register_with_unit("latency", help, Unit::Seconds, self.latency.clone());
        let help = "Time at the entry less the time of the tries";
        r.register_with_unit("added_latency", help, Unit::Seconds, self.added_latency.clone());
        r.register("retries", "Retries made, by class", self.retries.clone());
        let help = "Bytes of control messages between nodes";
        r.register_with_unit("control", help, Unit::Bytes, self.control_bytes.clone());
        r.register("store_calls", "Calls to the key-value service", self.store_calls.clone());
        let help = "Log lines dropped since the start";
        r.register("log_lines_dropped", help, self.log_lines_dropped.clone());
        r.register("in_flight", "Requests in flight at the upstream", self.in_flight.clone());
        r.register("queued", "Requests waiting at the gate", self.queued.clone());
        r.register("limit", "Limit of the requests in flight", self.limit.clone());
        let help = "Requests per second that the upstream accepts, -1 without a limit";
        r.register("rate_limit", help, self.rate_limit.clone());
        r.register("revision", "Revision of the configuration in force", self.revision.clone());
        let help = "Times that the key-value service was restored from an older copy";
        r.register("store_era", help, self.store_era.clone());
        r.register("live_members", "Live members of the zone", self.live_members.clone());
        let help = "Request and response bodies in memory";
        r.register_with_unit("held", help, Unit::Bytes, self.held_bytes.clone());
        let help = "Unreadable entries in messages of other nodes since the start";
        r.register("unreadable_entries", help, self.unreadable_entries.clone());
        let help = "CPU time of the process";
        r.register_with_unit("process_cpu", help, Unit::Seconds, self.process_cpu.clone());
        let help = "CPU time of the control thread";
        r.register_with_unit("control_cpu", help, Unit::Seconds, self.control_cpu.clone());
        r.register_with_unit(
            "resident",
            "Resident memory",
            Unit::Bytes,
            self.resident_memory.clone(),
        );
    }

    pub(crate) fn record_request(&self, class: &ClassName, outcome: Outcome, reason: Reason) {
        let labels = RequestLabels {
            class: class.as_str().into(),
            outcome: outcome.as_str(),
            reason: reason.as_str(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn record_latency(&self, class: &ClassName, seconds: f64) {
        let labels = ClassLabels { class: class.as_str().into() };
        self.latency.get_or_create(&labels).observe(seconds);
    }

    pub(crate) fn record_added_latency(&self, seconds: f64) {
        self.added_latency.observe(seconds);
    }

    /// Records the number of unreadable entries since the start; returns whether it has risen.
    pub(crate) fn record_unreadable_entries(&self, total: u64) -> bool {
        self.unreadable_entries.set(total as i64) < total as i64
    }

    pub(crate) fn record_retry(&self, class: &ClassName) {
        let labels = ClassLabels { class: class.as_str().into() };
        self.retries.get_or_create(&labels).inc();
    }

    pub(crate) fn record_control_sent(&self, bytes: usize) {
        self.record_control(bytes, "sent");
    }

    pub(crate) fn record_control_received(&self, bytes: usize) {
        self.record_control(bytes, "received");
    }

    fn record_control(&self, bytes: usize, direction: &'static str) {
        self.control_bytes.get_or_create(&DirectionLabels { direction }).inc_by(bytes as u64);
    }

    /// Returns all metrics in the Prometheus text format, after updating those that are sampled.
    pub(crate) fn encode(&self) -> String {
        self.process_cpu.set(usage::process_cpu_seconds());
        self.control_cpu.set(usage::thread_cpu_seconds("control"));
        self.log_lines_dropped.set(logging::dropped_lines() as i64);
        self.resident_memory.set(usage::resident_bytes() as i64);
        let mut buf = String::new();
        // Writing to a `String` cannot fail.
        let _ = text::encode(&mut buf, &self.registry);
        buf
    }
}
