//! Schedule of the faults of a soak.

use std::time::Duration;

use snipehollow_core::rng::Rng;

/// Fault to inject. Those with a duration are ended by the soak; the others happen at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a node and restarts it after the duration.
    KillNode,
    /// Pauses a node with SIGSTOP and resumes it after the duration.
    PauseNode,
    /// Asks a node to stop with SIGTERM and restarts it once it has exited.
    StopNode,
    /// Makes a node reload its settings with SIGHUP.
    ReloadNode,
    /// Kills an upstream and restarts it after the duration.
    KillUpstream,
    /// Multiplies the service time of an upstream by eight.
    SlowUpstream,
    /// Makes an upstream fail every request immediately.
    FailUpstream,
    /// Makes the store fail every call.
    StoreDown,
    /// Delays every call to the store.
    StoreSlow,
    /// Makes the store lose the responses to writes that took effect.
    StoreLosesResponses,
    /// Delays all traffic between callers and a node.
    DelayCallers,
    /// Holds back the responses of a node to its callers.
    StallCallerResponses,
    /// Resets the callers' connections to a node.
    ResetCallers,
    /// Holds back the requests of a node to the store.
    StallStoreRequests,
    /// Resets the connections of a node to the store and refuses new ones.
    RefuseStore,
    /// Applies a new sheet.
    ApplySheet,
    /// Makes an upstream name a rate limit.
    LimitUpstream,
    /// Makes an upstream refuse requests and write each refusal twice.
    RepeatRefusals,
}

/// Faults of which each series of the schedule draws one; each is equally likely.
///
/// Rate limits and repeated refusals are scheduled beside them, so that the schedules of earlier seeds
/// stay as they were.
pub const ALL_FAULTS: [Fault; 16] = [
    Fault::KillNode,
    Fault::PauseNode,
    Fault::StopNode,
    Fault::ReloadNode,
    Fault::KillUpstream,
    Fault::SlowUpstream,
    Fault::FailUpstream,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLosesResponses,
    Fault::DelayCallers,
    Fault::StallCallerResponses,
    Fault::ResetCallers,
    Fault::StallStoreRequests,
    Fault::RefuseStore,
    Fault::ApplySheet,
];

/// Makes the random numbers of the rate limits differ from those of the other faults.
const RATE_LIMIT_SEED: u64 = 0x7261_7465;
/// Makes the random numbers of the repeated refusals differ from those of the other faults.
const REFUSAL_SEED: u64 = 0x7265_6675;

/// Fault with its start, duration and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start of the fault, from the start of the load.
    pub at: Duration,
    /// Fault to inject.
    pub fault: Fault,
    /// Index of the affected host; unused by faults of the store and by `ApplySheet`.
    pub host: usize,
    /// How long the fault lasts; unused by faults that happen at once.
    pub duration: Duration,
}

/// Draws the schedule of one soak from a seed, sorted by start time.
///
/// The same arguments give the same schedule. Faults may overlap.
///
/// ```
/// use std::time::Duration;
/// use snipehollow_soak::plan::fault_schedule;
///
/// let length = Duration::from_secs(10);
/// assert_eq!(fault_schedule(7, 8, length), fault_schedule(7, 8, length));
/// ```
pub fn fault_schedule(seed: u64, hosts: usize, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = Rng::new(seed);
    let mut schedule = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < length {
        let fault = ALL_FAULTS[rng.below(ALL_FAULTS.len())];
        // Up to three of the same fault 150 ms apart, on the same or different hosts, because
        // signals, restarts and changes also come in bursts.
        let series = 1 + rng.below(3);
        for i in 0..series {
            schedule.push(ScheduledFault {
                at: at + Duration::from_millis(150) * i as u32,
                fault,
                host: rng.below(hosts),
                duration: Duration::from_millis(200 + rng.below(2_500) as u64),
            });
        }
        at += Duration::from_millis(200 + rng.below(1_500) as u64);
    }
    let limits = spaced(seed ^ RATE_LIMIT_SEED, Fault::LimitUpstream, hosts, length);
    let refusals = spaced(seed ^ REFUSAL_SEED, Fault::RepeatRefusals, hosts, length);
    schedule.extend(limits.into_iter().chain(refusals));
    schedule.sort_by_key(|scheduled| scheduled.at);
    schedule
}

/// Draws the times of a fault of single upstreams that lasts some seconds.
fn spaced(seed: u64, fault: Fault, hosts: usize, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = Rng::new(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(300);
    while at < length {
        faults.push(ScheduledFault {
            at,
            fault,
            host: rng.below(hosts),
            duration: Duration::from_millis(2_000 + rng.below(2_500) as u64),
        });
        at += Duration::from_millis(500 + rng.below(2_500) as u64);
    }
    faults
}
