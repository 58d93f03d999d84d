//! Case about refusals that an instance writes once more.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, Load, TWO_ZONES, sleep_until};
use crate::record::Record;

const LOAD: Load = Load {
    interval: Duration::from_millis(150),
    work: Duration::from_millis(80),
    unique_bodies: false,
};
/// How long the second node is down.
const DOWN: Duration = Duration::from_millis(3_500);
/// How long it is up again before the next kill.
const UP: Duration = Duration::from_secs(5);
const KILLS: u32 = 8;
/// How long after a kill the instance refuses a part of the requests.
const SHEDDING: Duration = Duration::from_millis(400);
/// Number of refusals after each kill that it writes once more.
const REPEATED: u64 = 1;
/// Largest share of its answers that a faulty instance spoils, in hundredths.
const MAX_SPOILT_SHARE: u64 = 3;
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The node of one machine is killed now and then; the instance of the other machine refuses a part of
/// the requests for a moment then, and writes some of the refusals once more.
pub fn repeated_refusal(scratch: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start(TWO_ZONES, &[1, 1], LOAD, scratch, record) else {
        return Verdict::NotRun;
    };
    let faulty = Arc::clone(&deployment.instances[0]);
    thread::sleep(UP);
    for _ in 0..KILLS {
        let next = Instant::now() + DOWN + UP;
        if trouble {
            record.add(&format!("the node of {} is killed", deployment.machines[1].name));
            faulty.faults().repeated.store(REPEATED, Ordering::SeqCst);
            faulty.faults().sheds.store(true, Ordering::SeqCst);
            deployment.machines[1].kill();
            thread::sleep(SHEDDING);
            faulty.faults().sheds.store(false, Ordering::SeqCst);
            sleep_until(next - UP);
            deployment.machines[1].start();
        }
        sleep_until(next);
    }
    let (answers, refusals, copies) = faulty.counts();
    record.add(&format!("i-1: {answers} answers, {refusals} refusals, {copies} of them twice"));
    if copies * 100 > answers * MAX_SPOILT_SHARE {
        return Verdict::NotRun;
    }
    let instances = deployment.instances.iter();
    let runs: Vec<String> =
        instances.flat_map(|instance| instance.runs()).map(|(_, id)| id).collect();
    let answered = deployment.answered.lock().unwrap();
    let broken: Vec<_> = answered
        .iter()
        .filter(|(id, status)| PROMISES.contains(status) && runs.contains(id))
        .collect();
    for (id, status) in &broken {
        record.add(&format!("{id} was answered {status} and ran"));
    }
    if broken.is_empty() { Verdict::Held } else { Verdict::Broken }
}
