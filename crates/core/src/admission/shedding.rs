//! How much of the work below an entry has to be shed.

use std::time::Duration;

use crate::class::Rank;
use crate::ewma::Ewma;
use crate::time::Timestamp;

/// Share of the slots that admitted work is meant to fill.
const TARGET_FILL: f64 = 0.95;
/// Wait for a slot that is not worth shedding for: a tree of eight calls in a row with a target
/// of 1.5 s loses a quarter of it.
const WAIT_ALLOWED: f64 = 0.05;
/// Time in which a longer wait is worked off.
const DRAIN_TIME: f64 = 1.0;
/// Least fill that is aimed at while a wait is worked off.
const MIN_FILL: f64 = 0.5;
/// Share of the target that the demand counts for at most while nobody waits.
const CALM_DEMAND: f64 = 0.8;
/// Time over which demand is averaged: a few hundred calls at a gate.
const DEMAND_TIME: f64 = 0.25;
/// Time after which a published level shows in the demand: levels travel up a call tree in
/// about 0.3 s, and a tree that was let in makes calls for about 0.6 s.
const EFFECT_TIME: f64 = 0.7;
/// Share of an excess that one [`EFFECT_TIME`] corrects.
const GAIN_DOWN: f64 = 0.7;
/// Share of unused room that one [`EFFECT_TIME`] gives back.
const GAIN_UP: f64 = 1.0;
/// Least share of the lower ranks that is let in, to notice that demand fell.
const PROBE_SHARE: f64 = 0.02;
/// Wait for a slot at which the most urgent rank is shed too, once nothing else is left.
const WAIT_URGENT: f64 = 0.12;
/// Rise a second of the share of the most urgent rank that is shed, for a wait of twice
/// [`WAIT_URGENT`].
const URGENT_RISE: f64 = 0.25;
/// Fall a second of that share.
const URGENT_FALL: f64 = 0.6;
/// Largest excess of the wait that counts, as a multiple of [`WAIT_URGENT`].
const EXCESS_MAX: f64 = 2.0;
/// Level at which all but the most urgent rank is shed.
const LOWER_RANKS_SHED: f64 = 1.0;
/// Largest share of the most urgent rank that is shed.
const URGENT_SHED_MAX: f64 = 0.9;
/// Time in which a level that nobody reported again shrinks to a third.
const FADE: Duration = Duration::from_millis(1_500);

/// Finds the share of work to shed so that demand fits the slots of one gate.
///
/// The demand is known as it arrives, before it has become a wait, and what arrives now was
/// let in under the levels of [`EFFECT_TIME`] ago: the share let in then, times what fits,
/// by what came, is the share to let in now.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    offered: f64,
    demand: Ewma,
    admitted: f64,
    admitted_before: f64,
    urgent_shed: f64,
    /// Wait of the last sample: one that is gone a sample later was a burst.
    last_wait: f64,
    updated: Option<Timestamp>,
}

impl Default for DemandMeter {
    fn default() -> DemandMeter {
        DemandMeter {
            offered: 0.0,
            demand: Ewma::default(),
            admitted: 1.0,
            admitted_before: 1.0,
            urgent_shed: 0.0,
            last_wait: 0.0,
            updated: None,
        }
    }
}

impl DemandMeter {
    /// Takes in an arrival that is expected to hold a slot for this time.
    pub fn record_arrival(&mut self, slot_time: Duration) {
        self.offered += slot_time.as_secs_f64();
    }

    /// Ends a period: the gate has this many slots, and an arrival meets this wait for one.
    pub fn end_period(&mut self, now: Timestamp, slots: u32, wait: Duration) {
        let offered = std::mem::take(&mut self.offered);
        let last_wait = std::mem::replace(&mut self.last_wait, wait.as_secs_f64());
        let standing_wait = last_wait.min(wait.as_secs_f64());
        let Some(before) = self.updated.replace(now) else {
            return;
        };
        let passed = now.since(before).as_secs_f64().clamp(0.001, 1.0);
        let demand = offered / (f64::from(slots.max(1)) * passed);
        self.demand.add(demand, weight(passed, DEMAND_TIME));
        self.adjust(passed, standing_wait);
    }

    fn adjust(&mut self, passed: f64, wait: f64) {
        let target = (TARGET_FILL - (wait - WAIT_ALLOWED).max(0.0) / DRAIN_TIME).max(MIN_FILL);
        let demand = self.demand.get().unwrap_or(0.0).max(0.01);
        let demand = if wait < WAIT_ALLOWED { demand.min(CALM_DEMAND * target) } else { demand };
        let gain = if demand > target { GAIN_DOWN } else { GAIN_UP };
        let wanted = self.admitted_before * (target / demand).powf(gain);
        self.admitted = wanted.clamp(PROBE_SHARE, 1.0);
        self.admitted_before +=
            weight(passed, EFFECT_TIME) * (self.admitted - self.admitted_before);
        let excess = (wait / WAIT_URGENT - 1.0).min(EXCESS_MAX);
        if self.admitted <= PROBE_SHARE && excess > 0.0 {
            self.urgent_shed += URGENT_RISE * passed * excess;
        } else {
            self.urgent_shed -= URGENT_FALL * passed;
        }
        self.urgent_shed = self.urgent_shed.clamp(0.0, URGENT_SHED_MAX);
    }

    /// Returns the level: up to 1 the share of the lower ranks to shed, above 1 also the
    /// share of the most urgent.
    pub fn level(&self) -> f64 {
        if self.urgent_shed > 0.0 {
            LOWER_RANKS_SHED + self.urgent_shed
        } else {
            1.0 - self.admitted
        }
    }

    /// Returns the demand as a multiple of the slots.
    pub fn demand(&self) -> f64 {
        self.demand.get().unwrap_or(0.0)
    }
}

/// Returns the weight of a sample over a period in an average over a time, both in seconds.
fn weight(period: f64, time: f64) -> f64 {
    1.0 - (-period / time).exp()
}

data_type! {
    /// What a gate says of a class with its answer.
    #[derive(Copy, Default)]
    pub struct SheddingLevels {
        /// Highest level of the gates that requests of the class reach, in thousandths.
        pub level_milli: u16,
        /// Level of the gate itself, in thousandths.
        pub gate_milli: u16,
        /// Whether requests of the class begin a call tree.
        pub is_root: bool,
    }
}

impl SheddingLevels {
    /// Creates the pressure of a class from the levels of the gate and of those below it.
    pub fn new(gate: f64, below: f64, is_root: bool) -> SheddingLevels {
        let milli = |level: f64| (level * 1_000.0) as u16;
        SheddingLevels { level_milli: milli(gate.max(below)), gate_milli: milli(gate), is_root }
    }

    /// Reads the header form, `LEVEL/GATE/root` or `LEVEL/GATE/inner`.
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
        let place = if self.is_root { "root" } else { "inner" };
        write!(f, "{}/{}/{place}", self.level_milli, self.gate_milli)
    }
}

/// A level that answers report, averaged over the gates that they come from.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLevel {
    level: Ewma,
    updated: Timestamp,
}

/// Time over which the levels that answers report are averaged.
const ANSWER_TIME: f64 = 0.05;
/// Least weight of one answer: answers of several gates come in turns.
const MIN_ANSWER_WEIGHT: f64 = 0.05;

impl ReportedLevel {
    /// Takes in a level, in thousandths.
    pub fn record_level(&mut self, now: Timestamp, milli: u16) {
        let period = now.since(self.updated).as_secs_f64();
        let weight = weight(period, ANSWER_TIME).max(MIN_ANSWER_WEIGHT);
        self.level.add(f64::from(milli) / 1_000.0, weight);
        self.updated = now;
    }

    /// Returns the level; it fades while no answer reports it.
    pub fn get(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.level.get().unwrap_or(0.0) * (-age / FADE.as_secs_f64()).exp()
    }
}

/// Returns the share of a rank's requests to let in at a level, from 0 to 1.
pub fn admitted_share(level: f64, rank: Rank) -> f64 {
    let share =
        if rank == Rank(0) { 1.0 - (level - LOWER_RANKS_SHED).max(0.0) } else { 1.0 - level };
    share.clamp(PROBE_SHARE, 1.0)
}
