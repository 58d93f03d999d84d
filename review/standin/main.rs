//! Stand-ins and drivers of the review's cases. Uses the standard library alone.
//!
//! `standin CASE RECORD` plays a case from the repository's root, without its disruption if
//! `TROUBLE=0` is set, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod deployment;
mod http;
mod instance;
mod late_heartbeat;
mod queued;
mod store;
mod unframed;
mod watchers;

use std::process::ExitCode;
use std::time::Duration;

use deployment::{Deployment, Record};

/// What a case found: a description of each break of the rule.
type Breaks = Vec<String>;

/// Service of the instances under test, and that of the machine with the clients.
const SERVICE: &str = "huvo11a";
const OTHER_SERVICE: &str = "wuno96b";
/// Zones and services of the machines: seven instances of the service under test, so that one of them
/// is 0.15 of it, and a machine whose clients send the requests.
const MACHINES: [(&str, &str); 8] = [
    ("gauteng-a", SERVICE),
    ("gauteng-b", SERVICE),
    ("gauteng-a", SERVICE),
    ("gauteng-b", SERVICE),
    ("gauteng-a", SERVICE),
    ("gauteng-b", SERVICE),
    ("gauteng-a", SERVICE),
    ("gauteng-a", OTHER_SERVICE),
];
/// Number of the machines with an instance of the service under test, which come first.
const INSTANCES: usize = 7;
/// A case that takes longer ends as one that couldn't run.
const TIME_LIMIT: Duration = Duration::from_secs(110);
const HOST: &str = "hulo84.example";
const PREFIX: &str = "/leny950/";
const DEADLINE: Duration = Duration::from_secs(5);

const CONFIG: &str = r#"{"Version":"00000007","BaseVersion":"00000005","Resources":[
{"EntryType":"Routes","Metadata":{"Name":"r-ctnfzs9"},"Spec":{"Hostname":"hulo84.example","Prefix":"/leny950/","RouteType":"safe","Timeout":"3000ms","TargetLatency":"1500ms","Priority":1,"Service":"huvo11a","Attempts":2}},
{"EntryType":"Services","Metadata":{"Name":"huvo11a"},"Spec":{"HealthPath":"/healthz","MaxConnections":202,"Protocol":"h1","Tls":false}},
{"EntryType":"Services","Metadata":{"Name":"wuno96b"},"Spec":{"HealthPath":"/healthz","MaxConnections":202,"Protocol":"h1","Tls":false}},
{"EntryType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}}]}"#;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if let ["instance", id, service, zone, listen, control, work, slots] = args[..] {
        return run_instance([id, service, zone, listen, control, work, slots]);
    }
    let [case, record] = args[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("could not run: not done in {TIME_LIMIT:?}");
        deployment::kill_all_nodes();
        // The instances end with their standard input.
        std::process::exit(2);
    });
    let result = Record::create(record).and_then(|record| match case {
        "unframed" => unframed::play(record.clone(), trouble).map(|breaks| (record, breaks)),
        "late-heartbeat" => {
            late_heartbeat::play(record.clone(), trouble).map(|breaks| (record, breaks))
        }
        "queued" => queued::play(record.clone(), trouble).map(|breaks| (record, breaks)),
        "watchers" => watchers::play(record.clone(), trouble).map(|breaks| (record, breaks)),
        _ => Err(std::io::Error::other("no such case")),
    });
    match result {
        Ok((record, breaks)) if breaks.is_empty() => {
            record.add("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok((record, breaks)) => {
            for text in &breaks {
                record.add(&format!("BROKEN: {text}"));
                println!("BROKEN: {text}");
            }
            ExitCode::from(1)
        }
        Err(err) => {
            eprintln!("could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn run_instance([id, service, zone, listen, control, work, slots]: [&str; 7]) -> ExitCode {
    let (Ok(listen), Ok(control)) = (listen.parse(), control.parse()) else {
        return ExitCode::from(2);
    };
    let (Ok(work), Ok(slots)) = (work.parse(), slots.parse()) else {
        return ExitCode::from(2);
    };
    let cfg = instance::Config {
        id: id.into(),
        service: service.into(),
        zone: zone.into(),
        listen,
        control,
        work: Duration::from_millis(work),
        slots,
    };
    match instance::run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("instance {id}: {err}");
            ExitCode::from(2)
        }
    }
}

/// Sends a client's GET request at a machine and records it; `None` without a whole answer.
fn request(deployment: &Deployment, at: usize, id: &str, rest: &str) -> Option<http::Response> {
    send(deployment, at, "GET", id, rest, b"")
}

/// Sends a client's request at a machine and records it; `None` without a whole answer.
fn send(
    deployment: &Deployment,
    at: usize,
    method: &str,
    id: &str,
    rest: &str,
    body: &[u8],
) -> Option<http::Response> {
    let machine = &deployment.machines[at];
    let record = &deployment.record;
    record.add(&format!("request {id} {PREFIX}{rest} sent to {}", machine.name));
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("Snipehollow-Request-Id", id),
        ("Snipehollow-Deadline-Ms", &deadline),
        ("Connection", "close"),
    ];
    let target = format!("{PREFIX}{rest}");
    let response = http::call(machine.outbound, method, &target, &headers, body, DEADLINE);
    match response {
        Ok(response) => {
            let seal = response.header("Snipehollow-Response-Seal").unwrap_or("none").to_owned();
            record.add(&format!(
                "request {id} answered {} signature {seal} body {} bytes",
                response.status,
                response.body.len()
            ));
            Some(response)
        }
        Err(err) => {
            record.add(&format!("request {id} got no whole answer: {err}"));
            None
        }
    }
}
