//! Rule CONFIG: machines are lost, among them all that wait for changes of the configuration at the
//! store, and the configuration changes right after that.

use std::io::{Error, Result};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record};
use crate::{Breaks, CONFIG, OTHER_SERVICE, SERVICE, request};

/// Each zone has instances of both services.
const MACHINES: [(&str, &str); 16] = [
    ("gauteng-a", SERVICE),
    ("wcape-a", SERVICE),
    ("gauteng-b", SERVICE),
    ("wcape-b", SERVICE),
    ("gauteng-a", OTHER_SERVICE),
    ("wcape-a", OTHER_SERVICE),
    ("gauteng-b", OTHER_SERVICE),
    ("wcape-b", OTHER_SERVICE),
    ("gauteng-a", SERVICE),
    ("wcape-a", SERVICE),
    ("gauteng-b", SERVICE),
    ("wcape-b", SERVICE),
    ("gauteng-a", OTHER_SERVICE),
    ("wcape-a", OTHER_SERVICE),
    ("gauteng-b", OTHER_SERVICE),
    ("wcape-b", OTHER_SERVICE),
];
/// Share of the machines that may be killed at once.
const MAX_SHARE: f64 = 0.55;
/// `ConfigApply` of the bounds.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);
/// Time until all machines have been in touch for longer than `StableWindow`, and the nodes that wait
/// for changes are the same for a while.
const SETTLE: Duration = Duration::from_secs(8);
const SETTLE_PERIODS: u32 = 5;
const OBSERVED: Duration = Duration::from_secs(8);
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

pub fn play(record: Record, trouble: bool) -> Result<Breaks> {
    let mut deployment = Deployment::start(record.clone(), CONFIG, &MACHINES)?;
    let watching = find_watching(&deployment)?;
    record.add(&format!("machines {watching:?} wait for changes at the store"));
    let calm: Vec<usize> = (0..MACHINES.len()).filter(|i| !watching.contains(i)).collect();
    for i in &calm {
        request(&deployment, *i, &format!("before-{i}"), "before");
    }
    if trouble {
        for i in &watching {
            deployment.kill_node(*i)?;
            deployment.kill_instance(*i)?;
        }
    }
    let target = format!(r#""Service":"{SERVICE}""#);
    let moved = CONFIG.replace(&target, &format!(r#""Service":"{OTHER_SERVICE}""#));
    deployment.store.put("op/config", &moved.replace("00000007", "00000009"));
    let acknowledged = record.now();
    record.add("version 00000009 acknowledged: the route goes to the other service");
    let sent = thread::scope(|scope| {
        let shared = &deployment;
        let clients = calm.iter().map(|i| {
            let i = *i;
            scope.spawn(move || send_until(shared, i, acknowledged + OBSERVED))
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect::<Vec<_>>()
    });
    Ok(find_breaks(&deployment, acknowledged, &sent))
}

/// Waits until the nodes know each other, and returns the machines that wait for changes.
fn find_watching(deployment: &Deployment) -> Result<Vec<usize>> {
    for _ in 0..SETTLE_PERIODS {
        thread::sleep(SETTLE);
        let watching = deployment.store.watching();
        if watching.len() as f64 <= MAX_SHARE * MACHINES.len() as f64 {
            return Ok(watching);
        }
    }
    Err(Error::other("too many machines wait for changes"))
}

/// Sends requests at a machine; returns their ids and when they were sent.
fn send_until(deployment: &Deployment, at: usize, end: Duration) -> Vec<(Duration, String)> {
    let mut sent = Vec::new();
    while deployment.record.now() < end {
        let id = format!("after-{at}-{}", sent.len());
        sent.push((deployment.record.now(), id.clone()));
        request(deployment, at, &id, "after");
        thread::sleep(REQUEST_INTERVAL);
    }
    sent
}

/// Requests that were sent later than `ConfigApply` after the acknowledgement and run by an instance
/// of the old service.
fn find_breaks(
    deployment: &Deployment,
    acknowledged: Duration,
    sent: &[(Duration, String)],
) -> Breaks {
    let runs = deployment.record.find(" runs after-");
    let old = MACHINES.iter().enumerate().filter(|(_, (_, service))| *service == SERVICE);
    let old: Vec<String> = old
        .map(|(i, _)| format!("instance {} runs ", deployment.machines[i].instance_id))
        .collect();
    let late = sent.iter().filter(|(at, _)| *at > acknowledged + CONFIG_APPLY);
    let broken = late.filter_map(|(at, id)| {
        let ran = |prefix: &&String| runs.iter().any(|(_, line)| *line == format!("{prefix}{id}"));
        let prefix = old.iter().find(ran)?;
        Some(format!(
            "CONFIG: request {id}, sent {:.1} s after the acknowledgement, was run by the old \
             service: {prefix}it",
            at.saturating_sub(acknowledged).as_secs_f64()
        ))
    });
    broken.collect()
}
