//! Sends the requests of a run at their scheduled times and collects the report.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::HeaderMap;
use snipehollow_core::outcome::Outcome;
use snipehollow_core::rng::Rng;
use snipehollow_wire::headers;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::client::{CallResult, CallerClient};
use super::config::{LoadConfig, RequestKind};
use super::report::{INTERVAL, LoadReport};

/// Number of caller names; nodes divide capacity fairly among callers.
const CALLER_COUNT: usize = 40;

struct Arrival {
    number: u64,
    kind: RequestKind,
    target: SocketAddr,
    interval_index: usize,
    caller_index: usize,
}

/// Runs a load and returns its report when the last request has ended.
pub async fn run_load(cfg: &LoadConfig) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let client = CallerClient::new();
    let mut rng = Rng::new(cfg.seed);
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut phase_end = Duration::ZERO;
    let mut number = 0;
    for phase in &cfg.phases {
        phase_end += phase.duration;
        loop {
            let gap = -(1.0 - rng.unit()).ln() / phase.rate;
            due += Duration::from_secs_f64(gap);
            if due >= phase_end {
                due = phase_end;
                break;
            }
            sleep_until((start + due).into()).await;
            let arrival = next_arrival(cfg, &mut rng, number, due);
            number += 1;
            let (client, report) = (client.clone(), Arc::clone(&report));
            let retries = cfg.immediate_retries;
            tasks.spawn(async move { send_request(&client, &arrival, retries, &report).await });
        }
    }
    while tasks.join_next().await.is_some() {}
    let mut report = report.lock().expect("a panic while holding the lock poisoned the report");
    std::mem::take(&mut *report)
}

fn next_arrival(cfg: &LoadConfig, rng: &mut Rng, number: u64, due: Duration) -> Arrival {
    let total: f64 = cfg.kinds.iter().map(|kind| kind.share).sum();
    let mut pick = rng.unit() * total;
    let mut chosen = &cfg.kinds[0];
    for kind in &cfg.kinds {
        chosen = kind;
        pick -= kind.share;
        if pick < 0.0 {
            break;
        }
    }
    Arrival {
        number,
        kind: chosen.clone(),
        target: cfg.targets[rng.below(cfg.targets.len())],
        interval_index: (due.as_millis() / INTERVAL.as_millis()) as usize,
        caller_index: rng.below(CALLER_COUNT),
    }
}

async fn send_request(
    client: &CallerClient,
    arrival: &Arrival,
    retries: u32,
    report: &Mutex<LoadReport>,
) {
    let started = Instant::now();
    let mut calls = 0;
    let mut ticket = None;
    let result = loop {
        calls += 1;
        let result = send_attempt(client, arrival, ticket.as_deref()).await;
        if result.ticket.is_some() {
            ticket = result.ticket;
            continue;
        }
        let may_retry = calls <= retries && started.elapsed() < arrival.kind.deadline;
        if result.is_ok() || !may_retry {
            break result;
        }
    };
    let mut report = report.lock().expect("a panic while holding the lock poisoned the report");
    record_result(&mut report, arrival, calls, started.elapsed(), &result);
}

async fn send_attempt(
    client: &CallerClient,
    arrival: &Arrival,
    ticket: Option<&str>,
) -> CallResult {
    let mut map = HeaderMap::new();
    headers::set(&mut map, headers::CALLER, format!("caller-{}", arrival.caller_index));
    if let Some(ticket) = ticket {
        headers::set(&mut map, headers::TICKET, ticket);
    }
    let kind = &arrival.kind;
    let correlation_id = format!("m-{}", arrival.number);
    let body = format!("{}-{}", kind.name, arrival.number);
    client.call(arrival.target, &kind.method, &kind.path, &correlation_id, map, &body).await
}

fn record_result(
    report: &mut LoadReport,
    arrival: &Arrival,
    calls: u32,
    elapsed: Duration,
    result: &CallResult,
) {
    if report.intervals.len() <= arrival.interval_index {
        report.intervals.resize_with(arrival.interval_index + 1, Default::default);
    }
    let in_time = elapsed <= arrival.kind.deadline;
    let good = result.is_ok() && in_time;
    report.intervals[arrival.interval_index].requests += 1;
    report.intervals[arrival.interval_index].good += u64::from(good);
    let kind = report.kinds.entry(arrival.kind.name.clone()).or_default();
    kind.requests += 1;
    kind.calls += u64::from(calls);
    kind.mismatched += u64::from(result.mismatched);
    if good {
        kind.good += 1;
        kind.latencies_us.push(elapsed.as_micros() as u32);
    } else if result.is_ok() {
        kind.late += 1;
    } else {
        match result.outcome {
            Some(Outcome::NotRun) => kind.not_run += 1,
            _ => kind.unknown += 1,
        }
        let reason = result.reason.map_or("no-answer", |reason| reason.as_str());
        *kind.reasons.entry(reason.into()).or_default() += 1;
    }
}
