//! Rule DRAIN: a node is killed and started again beside an instance that has deregistered and still
//! serves, and a heartbeat from before the departure arrives late.

use std::io::{Error, Result};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record};
use crate::{Breaks, CONFIG, MACHINES, request};

/// Machine whose instance leaves, and whose clients send the requests.
const LEAVING: usize = 0;
/// `Drain` of the bounds.
const DRAIN: Duration = Duration::from_millis(2_500);
/// `StableWindow` of the bounds.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How late the heartbeat arrives.
const LATE: Duration = Duration::from_millis(4_000);
/// How long the instance serves after its departure was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(10);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

pub fn play(record: Record, trouble: bool) -> Result<Breaks> {
    let mut deployment = Deployment::start(record.clone(), CONFIG, &MACHINES)?;
    let leaving = deployment.machines[LEAVING].instance_id.clone();
    warm_up(&deployment, &leaving)?;
    // All machines have been in touch for a while.
    thread::sleep(STABLE_WINDOW);
    if trouble {
        deployment.tell_instance(LEAVING, &format!("hold {}", LATE.as_millis()))?;
        record
            .wait_for(0, "it is held up", Duration::from_secs(3))
            .ok_or_else(|| Error::other("no heartbeat was held up"))?;
        thread::sleep(Duration::from_millis(300));
    }
    deployment.tell_instance(LEAVING, "leave")?;
    let acknowledged = record
        .wait_for(0, &format!("instance {leaving} deregister answered 200"), DRAIN)
        .ok_or_else(|| Error::other("the departure was not acknowledged"))?;
    let mut in_touch_from = Duration::ZERO;
    if trouble {
        thread::sleep(Duration::from_millis(300));
        deployment.kill_node(LEAVING)?;
        thread::sleep(Duration::from_millis(200));
        deployment.start_node(LEAVING)?;
        in_touch_from = record.now() + STABLE_WINDOW;
        deployment.wait_until_ready(LEAVING)?;
    }
    let mut sent = Vec::new();
    while record.now() < acknowledged + SERVES_ON {
        let id = format!("after-{}", sent.len());
        sent.push((record.now(), id.clone()));
        request(&deployment, LEAVING, &id, "after");
        thread::sleep(REQUEST_INTERVAL);
    }
    deployment.kill_instance(LEAVING)?;
    Ok(find_breaks(&record, &leaving, acknowledged, in_touch_from, &sent))
}

/// Waits until the instance gets requests of its own machine's clients.
fn warm_up(deployment: &Deployment, instance: &str) -> Result<()> {
    for i in 0..60 {
        request(deployment, LEAVING, &format!("warm-{i}"), "warm");
        if !deployment.record.find(&format!("instance {instance} runs")).is_empty() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(Error::other("the instance gets no requests"))
}

/// Requests that reached the instance later than `Drain` after the acknowledgement, taken from
/// their client by a machine that was in touch.
fn find_breaks(
    record: &Record,
    instance: &str,
    acknowledged: Duration,
    in_touch_from: Duration,
    sent: &[(Duration, String)],
) -> Breaks {
    let late = sent.iter().filter(|(at, _)| *at > in_touch_from).filter_map(|(_, id)| {
        let runs = record.find(&format!("instance {instance} runs {id}"));
        let (at, _) = runs.iter().find(|(_, line)| line.ends_with(&format!(" {id}")))?;
        let after = at.saturating_sub(acknowledged);
        (after > DRAIN).then(|| {
            format!(
                "DRAIN: request {id} reached instance {instance} {:.1} s after its departure was \
                 acknowledged",
                after.as_secs_f64()
            )
        })
    });
    late.collect()
}
