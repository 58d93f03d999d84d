//! Which faults strike when.

use std::time::Duration;

use snipehollow_core::rng::Rng;

/// A fault; those of links, stores and speeds end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is killed and started again.
    KillNode,
    /// A node stands still and goes on.
    PauseNode,
    /// A node is asked to stop, and started again once it has ended.
    StopNode,
    /// A node is told to read its settings again.
    ReloadNode,
    /// An upstream is killed and started again.
    KillUpstream,
    /// An upstream is slow.
    SlowUpstream,
    /// An upstream fails everything at once.
    FailUpstream,
    /// The store fails every call.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store loses the answers of writes.
    StoreLosesResponses,
    /// The link between callers and a node is late.
    DelayCallers,
    /// What a node answers its callers is held back.
    StallCallerResponses,
    /// Callers' connections to a node are reset.
    ResetCallers,
    /// The link between a node and the store is silent.
    StallStoreRequests,
    /// A node's connections to the store are reset, and new ones refused.
    RefuseStore,
    /// The operators apply a new sheet.
    ApplySheet,
}

/// Every fault.
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

/// A fault at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time from the start of the load.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
    /// Host that it happens to.
    pub host: usize,
    /// How long it lasts.
    pub duration: Duration,
}

/// Draws the faults of one soak, in the order of their times; they overlap.
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
        // Signals, restarts and changes also come in series.
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
    schedule.sort_by_key(|scheduled| scheduled.at);
    schedule
}
