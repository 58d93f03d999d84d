//! Configuration of a gate.

/// Configuration of a [`Gate`](super::Gate).
#[derive(Clone, Debug)]
pub struct GateConfig {
    /// Maximum number of waiting requests per announced slot.
    pub queue_per_slot: u32,
    /// Whether the concurrency limit adapts; otherwise it is `slot_share` of the announced slots.
    pub adaptive: bool,
    /// Share of the announced slots, from 0 to 1, that a fixed limit allows in flight. Ignored
    /// if the limit adapts.
    pub slot_share: f64,
}

impl GateConfig {
    /// Creates the default configuration: four waiting requests per slot and an adaptive limit.
    pub fn new() -> GateConfig {
        GateConfig { queue_per_slot: 4, adaptive: true, slot_share: 1.0 }
    }

    /// Sets whether the concurrency limit adapts.
    pub fn with_adaptive(mut self, adaptive: bool) -> GateConfig {
        self.adaptive = adaptive;
        self
    }

    /// Sets the share of the announced slots that a fixed limit allows in flight.
    pub fn with_slot_share(mut self, slot_share: f64) -> GateConfig {
        self.slot_share = slot_share;
        self
    }

    /// Sets the maximum number of waiting requests per announced slot.
    pub fn with_queue_per_slot(mut self, queue_per_slot: u32) -> GateConfig {
        self.queue_per_slot = queue_per_slot;
        self
    }
}

impl Default for GateConfig {
    fn default() -> GateConfig {
        GateConfig::new()
    }
}
