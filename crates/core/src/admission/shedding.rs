//! Shedding levels, from which entry nodes compute the share of root requests to refuse.
//!
//! Each gate measures its demand with a [`DemandMeter`] and reports the resulting level with its
//! responses as [`SheddingLevels`]. Entry nodes average the reported levels in a
//! [`ReportedLevel`] and admit root requests at the [`admitted_share`] of their rank.
//!
//! Rank 0 is the most urgent one. All other ranks are called the lower ranks here; they are shed
//! first and share one level.

use std::time::Duration;

use crate::class::Rank;
use crate::ewma::Ewma;
use crate::time::Timestamp;

/// Share of the slots that admitted requests should occupy.
const TARGET_UTILIZATION: f64 = 0.95;
/// Wait for a slot, in seconds, up to which the target utilization is not lowered. With this wait
/// at each of eight sequential calls, a call tree loses a quarter of a target latency of 1.5 s.
const TOLERATED_WAIT_SECS: f64 = 0.05;
/// Time, in seconds, in which a longer wait should fall to the tolerated one: the target
/// utilization is lowered by the excess wait divided by this time.
const QUEUE_DRAIN_SECS: f64 = 1.0;
/// Minimum target utilization while the wait is longer than tolerated.
const MIN_TARGET_UTILIZATION: f64 = 0.5;
/// Maximum demand that counts while the wait is below [`TOLERATED_WAIT_SECS`], as a share of the
/// target utilization.
///
/// The measured demand is only an estimate: a gate at which requests hardly wait is not
/// overloaded. Because the limit is below 1, the admitted share grows while it applies.
const MAX_DEMAND_WITHOUT_WAIT: f64 = 0.8;
/// Time constant of the average demand, in seconds; a gate receives a few hundred calls in it.
const DEMAND_AVERAGING_SECS: f64 = 0.25;
/// Time in seconds until a changed level takes effect on the demand: levels take about 0.3 s to
/// reach the entry nodes, and an admitted call tree makes calls for about 0.6 s.
const EFFECT_DELAY_SECS: f64 = 0.7;
/// Share of the excess demand, on a logarithmic scale, that is corrected per
/// [`EFFECT_DELAY_SECS`].
const SHEDDING_GAIN: f64 = 0.7;
/// Share of the unused capacity, on a logarithmic scale, that is admitted again per
/// [`EFFECT_DELAY_SECS`].
const RECOVERY_GAIN: f64 = 1.0;
/// Minimum share of the lower ranks that is admitted. Without admitted requests, a gate could
/// not measure that demand has fallen.
const MIN_ADMITTED_SHARE: f64 = 0.02;
/// Wait for a slot, in seconds, above which rank 0 is shed too, once the lower ranks are down to
/// [`MIN_ADMITTED_SHARE`].
const URGENT_SHEDDING_WAIT_SECS: f64 = 0.12;
/// Increase per second of the share of rank 0 that is shed, at a wait of twice
/// [`URGENT_SHEDDING_WAIT_SECS`]; proportional to the excess wait.
const URGENT_SHEDDING_RISE_PER_SEC: f64 = 0.25;
/// Decrease per second of the share of rank 0 that is shed.
const URGENT_SHEDDING_FALL_PER_SEC: f64 = 0.6;
/// Maximum excess wait that counts, as a multiple of [`URGENT_SHEDDING_WAIT_SECS`].
const MAX_EXCESS_WAIT: f64 = 2.0;
/// Level at which all ranks but 0 are shed, down to [`MIN_ADMITTED_SHARE`]; higher levels shed
/// rank 0 as well.
const LOWER_RANKS_SHED_LEVEL: f64 = 1.0;
/// Maximum share of rank 0 that is shed.
const MAX_URGENT_SHED: f64 = 0.9;
/// Time constant with which a level decays while no response reports it: about a third is left
/// after this time.
const LEVEL_DECAY_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Computes the shedding level at which demand fits the slots of one gate.
///
/// Demand is measured on arrival, before it turns into waiting time. Requests that arrive now
/// were admitted under the level of `EFFECT_DELAY_SECS` ago, so the share to admit now is the
/// share admitted then, multiplied by the target utilization and divided by the demand.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    /// Expected slot time of the arrivals in the current period, in seconds.
    arrived_slot_secs: f64,
    /// Average demand, as a multiple of the slots.
    demand: Ewma,
    /// Share of the lower ranks to admit now.
    admitted: f64,
    /// Share of the lower ranks under which the requests that arrive now were admitted: `admitted`
    /// smoothed over [`EFFECT_DELAY_SECS`].
    delayed_admitted: f64,
    /// Share of rank 0 to shed now.
    urgent_shed: f64,
    /// Wait at the end of the previous period, in seconds. The shorter of two consecutive waits
    /// counts, so that a burst which is gone a period later causes no shedding.
    previous_wait: f64,
    updated: Option<Timestamp>,
}

impl Default for DemandMeter {
    fn default() -> DemandMeter {
        DemandMeter {
            arrived_slot_secs: 0.0,
            demand: Ewma::default(),
            admitted: 1.0,
            delayed_admitted: 1.0,
            urgent_shed: 0.0,
            previous_wait: 0.0,
            updated: None,
        }
    }
}

impl DemandMeter {
    /// Records an arrival that is expected to hold a slot for this time.
    pub fn record_arrival(&mut self, slot_time: Duration) {
        self.arrived_slot_secs += slot_time.as_secs_f64();
    }

    /// Ends a measurement period and updates the level.
    ///
    /// `slots` is the number of slots of the gate, `wait` the expected wait of an arrival for one.
    pub fn end_period(&mut self, now: Timestamp, slots: u32, wait: Duration) {
        let arrived_slot_secs = std::mem::take(&mut self.arrived_slot_secs);
        let previous_wait = std::mem::replace(&mut self.previous_wait, wait.as_secs_f64());
        let standing_wait = previous_wait.min(wait.as_secs_f64());
        let Some(before) = self.updated.replace(now) else {
            return;
        };
        let passed = now.since(before).as_secs_f64().clamp(0.001, 1.0);
        let demand = arrived_slot_secs / (f64::from(slots.max(1)) * passed);
        self.demand.add(demand, weight(passed, DEMAND_AVERAGING_SECS));
        self.adjust(passed, standing_wait);
    }

    /// Updates the shares to admit and to shed, from a period and a wait in seconds.
    fn adjust(&mut self, passed: f64, wait: f64) {
        let target = (TARGET_UTILIZATION
            - (wait - TOLERATED_WAIT_SECS).max(0.0) / QUEUE_DRAIN_SECS)
            .max(MIN_TARGET_UTILIZATION);
        let demand = self.demand.get().unwrap_or(0.0).max(0.01);
        let demand = if wait < TOLERATED_WAIT_SECS {
            demand.min(MAX_DEMAND_WITHOUT_WAIT * target)
        } else {
            demand
        };
        let gain = if demand > target { SHEDDING_GAIN } else { RECOVERY_GAIN };
        let share = self.delayed_admitted * (target / demand).powf(gain);
        self.admitted = share.clamp(MIN_ADMITTED_SHARE, 1.0);
        self.delayed_admitted +=
            weight(passed, EFFECT_DELAY_SECS) * (self.admitted - self.delayed_admitted);
        let excess = (wait / URGENT_SHEDDING_WAIT_SECS - 1.0).min(MAX_EXCESS_WAIT);
        if self.admitted <= MIN_ADMITTED_SHARE && excess > 0.0 {
            self.urgent_shed += URGENT_SHEDDING_RISE_PER_SEC * passed * excess;
        } else {
            self.urgent_shed -= URGENT_SHEDDING_FALL_PER_SEC * passed;
        }
        self.urgent_shed = self.urgent_shed.clamp(0.0, MAX_URGENT_SHED);
    }

    /// Returns the shedding level, from 0 to 1.9.
    ///
    /// Up to 1 it is the share of the lower ranks to shed. Above 1, the lower ranks are shed and
    /// the excess over 1 is the share of rank 0 to shed.
    pub fn level(&self) -> f64 {
        if self.urgent_shed > 0.0 {
            LOWER_RANKS_SHED_LEVEL + self.urgent_shed
        } else {
            1.0 - self.admitted
        }
    }

    /// Returns the average demand as a multiple of the slots; 0 before the second period ends.
    pub fn demand(&self) -> f64 {
        self.demand.get().unwrap_or(0.0)
    }
}

/// Returns the weight of a sample that covers `period` in a moving average with this time
/// constant, both in seconds.
fn weight(period: f64, time_constant: f64) -> f64 {
    1.0 - (-period / time_constant).exp()
}

data_type! {
    /// Shedding levels that a gate reports for a class with each response.
    #[derive(Copy, Default)]
    pub struct SheddingLevels {
        /// Highest level of this gate and of the gates of the class's downstream dependencies, in
        /// thousandths.
        pub level_milli: u16,
        /// Level of the reporting gate alone, in thousandths.
        pub gate_milli: u16,
        /// Whether requests of the class are root requests, each of which begins a call tree.
        pub is_root: bool,
    }
}

impl SheddingLevels {
    /// Creates the levels of a class from that of the reporting gate and the highest one of its
    /// downstream dependencies.
    pub fn new(gate: f64, dependencies: f64, is_root: bool) -> SheddingLevels {
        let milli = |level: f64| (level * 1_000.0) as u16;
        SheddingLevels {
            level_milli: milli(gate.max(dependencies)),
            gate_milli: milli(gate),
            is_root,
        }
    }

    /// Parses the header form, `LEVEL/GATE/root` or `LEVEL/GATE/inner`; `None` if the text is
    /// malformed.
    pub fn parse(text: &str) -> Option<SheddingLevels> {
        let mut fields = text.split('/');
        let level_milli = fields.next()?.parse().ok()?;
        let gate_milli = fields.next()?.parse().ok()?;
        let is_root = match fields.next()? {
            "root" => true,
            "inner" => false,
            _ => return None,
        };
        fields.next().is_none().then_some(SheddingLevels { level_milli, gate_milli, is_root })
    }
}

impl std::fmt::Display for SheddingLevels {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let position = if self.is_root { "root" } else { "inner" };
        write!(f, "{}/{}/{position}", self.level_milli, self.gate_milli)
    }
}

/// Shedding level reported by responses, averaged over the gates that sent them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLevel {
    level: Ewma,
    updated: Timestamp,
}

/// Time constant of the average of reported levels, in seconds.
const RESPONSE_AVERAGING_SECS: f64 = 0.05;
/// Minimum weight of one response in that average. Responses of several gates alternate, and
/// without a minimum, one that arrives right after another would hardly count.
const MIN_RESPONSE_WEIGHT: f64 = 0.05;

impl ReportedLevel {
    /// Records a level in thousandths, as a response reports it.
    pub fn record_level(&mut self, now: Timestamp, milli: u16) {
        let period = now.since(self.updated).as_secs_f64();
        let weight = weight(period, RESPONSE_AVERAGING_SECS).max(MIN_RESPONSE_WEIGHT);
        self.level.add(f64::from(milli) / 1_000.0, weight);
        self.updated = now;
    }

    /// Returns the level, which decays while no response reports one; 0 before the first report.
    pub fn get(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.level.get().unwrap_or(0.0) * (-age / LEVEL_DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Returns the share of the requests of a rank to admit at a level, from 0 to 1.
pub fn admitted_share(level: f64, rank: Rank) -> f64 {
    let share =
        if rank == Rank(0) { 1.0 - (level - LOWER_RANKS_SHED_LEVEL).max(0.0) } else { 1.0 - level };
    share.clamp(MIN_ADMITTED_SHARE, 1.0)
}
