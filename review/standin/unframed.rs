//! Rule MIXED: an instance crashes in the middle of an answer that has no length.

use std::io::{Error, Result};
use std::thread;
use std::time::Duration;

use crate::deployment::{Deployment, Record};
use crate::instance::body_of;
use crate::{Breaks, CONFIG, INSTANCES, MACHINES, request};

/// Machine whose clients send the requests.
const CLIENTS: usize = INSTANCES;
const ROUNDS: usize = 4;
/// How long a crashed instance is down.
const DOWN: Duration = Duration::from_secs(3);

pub fn play(record: Record, trouble: bool) -> Result<Breaks> {
    let mut deployment = Deployment::start(record, CONFIG, &MACHINES)?;
    warm_up(&deployment)?;
    let mut breaks = Breaks::new();
    for round in 0..ROUNDS {
        breaks.extend(play_round(&mut deployment, round, trouble)?);
    }
    Ok(breaks)
}

/// Waits until requests are served.
fn warm_up(deployment: &Deployment) -> Result<()> {
    for i in 0..60 {
        let response = request(deployment, CLIENTS, &format!("warm-{i}"), "warm");
        if i >= 20 && response.is_some_and(|response| response.status == 200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(Error::other("no request is served"))
}

/// Sends one request that is answered without a length. With `trouble`, the first instance that has
/// half answered it crashes, and is back after some seconds.
fn play_round(deployment: &mut Deployment, round: usize, trouble: bool) -> Result<Option<String>> {
    let id = format!("unframed-{round}");
    let record = deployment.record.clone();
    let from = record.len();
    let mut victim = None;
    let response = thread::scope(|scope| {
        let shared = &*deployment;
        let client = scope.spawn(|| request(shared, CLIENTS, &id, "unframed"));
        record.wait_for(from, &format!("half-answered {id}"), Duration::from_secs(3));
        let half = record.find(&format!("half-answered {id}"));
        victim = (0..INSTANCES).find(|i| {
            let instance = format!("instance {} ", shared.machines[*i].instance_id);
            half.first().is_some_and(|(_, line)| line.starts_with(&instance))
        });
        if trouble && let Some(victim) = victim {
            shared.kill_instance(victim)?;
        }
        client.join().map_err(|_| Error::other("the client panicked"))
    })?;
    let victim = victim.ok_or_else(|| Error::other("no instance answered"))?;
    if trouble {
        thread::sleep(DOWN);
        deployment.start_instance(victim)?;
        thread::sleep(DOWN);
    }
    let whole = body_of(&id);
    let broken = response.filter(|response| {
        let signed = response.header("Snipehollow-Response-Seal").is_some();
        (200..300).contains(&response.status) && signed && response.body != whole
    });
    Ok(broken.map(|response| {
        format!(
            "MIXED: request {id} got {} with the signature of {} and {} of {} bytes",
            response.status,
            deployment.machines[victim].name,
            response.body.len(),
            whole.len()
        )
    }))
}
