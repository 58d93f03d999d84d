//! Measures three scenarios: a flood of one class, a slow service at the end of a call chain, and
//! kills of hosts under orders that must never be repeated.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use clap::Parser;
use snipehollow_benches::sheets::{RankedClass, ranked_sheet, single_class_sheet};
use snipehollow_standins::error::StandinError;
use snipehollow_standins::load::{LoadConfig, LoadReport, Phase, RequestKind, run_load};
use snipehollow_standins::mesh::{Mesh, MeshPlan, ServicePlan};
use snipehollow_standins::upstream::Behaviour;
use tokio::runtime::Runtime;

/// Measures a flood of one class, a slow service at the end of a call chain, and kills of hosts
/// under orders that must never be repeated.
#[derive(Parser)]
struct Args {
    /// Duration of each load, in seconds.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Seed of arrival times and random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

const CLASSES: [RankedClass<'static>; 3] = [
    RankedClass { name: "urgent", rank: 0, deadline_ms: 1_000, retries: 2 },
    RankedClass { name: "normal", rank: 1, deadline_ms: 1_000, retries: 1 },
    RankedClass { name: "bulk", rank: 2, deadline_ms: 2_000, retries: 0 },
];
const ORDER_SHEET: &str = "\
kind,name,rank,deadline_ms,worth,repeat,retries,service,method,path,class,refusals\n\
class,order,0,4000,10,never,2,,,,,\n\
service,orders,,,,,,,,,,untrusted\n\
rule,,,,,,,orders,*,/,order,\n";

fn main() -> ExitCode {
    let args = Args::parse();
    match measure(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("scenarios: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure(args: &Args) -> Result<(), StandinError> {
    let runtime = Runtime::new().map_err(StandinError::io("start the runtime"))?;
    println!("{} s each, seed {}", args.seconds, args.seed);
    println!("\nfloods: capacity 200/s, the flooding kind at 2000/s, the others at 40/s each");
    for flooding in ["bulk", "urgent"] {
        measure_flood(&runtime, args, flooding, false)?;
    }
    measure_flood(&runtime, args, "urgent", true)?;
    println!(
        "\nchain of four services, the last one four times slower, demand at its normal capacity"
    );
    for mode in ["full", "pass-through"] {
        measure_slow_chain(&runtime, args, mode)?;
    }
    println!("\norders with tickets at 100/s while two of four hosts are killed and restarted");
    measure_kills(&runtime, args)
}

fn start_mesh(services: Vec<ServicePlan>, mode: &str, sheet: &str) -> Result<Mesh, StandinError> {
    let mut plan = MeshPlan::new(&[("zone-a", "region-a")], services);
    plan.run_settings.push_str(&format!("admission = {mode}\n"));
    let mesh = Mesh::start(plan, &Mesh::find_bin_dir()?)?;
    mesh.apply_sheet(sheet)?;
    mesh.wait_ready(1)?;
    Ok(mesh)
}

fn load(
    args: &Args,
    targets: Vec<std::net::SocketAddr>,
    rate: f64,
    kinds: &[String],
) -> LoadConfig {
    LoadConfig {
        targets,
        phases: vec![Phase { rate, duration: Duration::from_secs(args.seconds) }],
        kinds: kinds.iter().filter_map(|kind| RequestKind::parse(kind)).collect(),
        immediate_retries: 2,
        seed: args.seed,
    }
}

fn measure_flood(
    runtime: &Runtime,
    args: &Args,
    flooding: &str,
    limited: bool,
) -> Result<(), StandinError> {
    let mut sheet = ranked_sheet(&["pricing"], &CLASSES);
    if limited {
        // 50 requests per second at each of the two gates: half of the capacity in all.
        sheet = sheet.replace(
            "class,urgent,0,1000,1,may-repeat,2,,",
            "class,urgent,0,1000,1,may-repeat,2,50,50",
        );
    }
    let mesh = start_mesh(vec![ServicePlan::new("pricing", 2, 10, 100)], "full", &sheet)?;
    let kinds: Vec<String> = CLASSES
        .iter()
        .map(|class| {
            let share = if class.name == flooding { 2_000 } else { 40 };
            format!("{0},GET,/pricing/{0},{share},{1}", class.name, class.deadline_ms)
        })
        .collect();
    let report = runtime.block_on(run_load(&load(args, mesh.plan.caller_addrs(), 2_080.0, &kinds)));
    let limit = if limited { ", rate limit 50/s per gate" } else { "" };
    println!("flood of {flooding}{limit}: {}", format_good_shares(&report));
    Ok(())
}

fn format_good_shares(report: &LoadReport) -> String {
    let kind = |name: &str| {
        report.kinds.get(name).map_or_else(String::new, |kind| {
            format!("{name} {:.2}% of {}", kind.good_share() * 100.0, kind.requests)
        })
    };
    format!("{}, {}, {}", kind("urgent"), kind("normal"), kind("bulk"))
}

fn measure_slow_chain(runtime: &Runtime, args: &Args, mode: &str) -> Result<(), StandinError> {
    let chain = vec![
        ServicePlan::new("a", 2, 30, 5).with_downstream_call("/b/x"),
        ServicePlan::new("b", 2, 30, 5).with_downstream_call("/c/x"),
        ServicePlan::new("c", 2, 30, 5).with_downstream_call("/d/x"),
        ServicePlan::new("d", 2, 5, 40),
    ];
    let mesh = start_mesh(chain, mode, &single_class_sheet(&["a", "b", "c", "d"], 1_000, 2))?;
    let slow = Behaviour { service_time_percent: 400, ..Behaviour::normal() };
    for host in mesh.plan.hosts.iter().filter(|host| host.name.starts_with("d-")) {
        mesh.set_behaviour(host, &slow)?;
    }
    let entries: Vec<_> = mesh.plan.hosts.iter().take(2).map(|host| host.caller_addr()).collect();
    let kinds = ["any,GET,/a/x,1,1000".to_owned()];
    let report = runtime.block_on(run_load(&load(args, entries, 250.0, &kinds)));
    // Wait for requests in progress to end, so that all runs are counted.
    thread::sleep(Duration::from_secs(1));
    let mut deepest_started = 0;
    for host in mesh.plan.hosts.iter().filter(|host| host.name.starts_with("d-")) {
        deepest_started += mesh.upstream_stats(host)?.started;
    }
    let good = report.good();
    let wasted = 100.0 * (deepest_started as f64 - good as f64) / deepest_started.max(1) as f64;
    println!(
        "{mode:<12} goodput {:.1}/s of a capacity of 62.5/s; deepest service ran {deepest_started}, \
         of which wasted {wasted:.1}%",
        good as f64 / args.seconds as f64
    );
    Ok(())
}

fn measure_kills(runtime: &Runtime, args: &Args) -> Result<(), StandinError> {
    let mut mesh = start_mesh(vec![ServicePlan::new("orders", 4, 20, 10)], "full", ORDER_SHEET)?;
    let kinds = ["order,POST,/orders/new,1,4000,ticket".to_owned()];
    let entries = mesh.plan.caller_addrs().split_off(2);
    let cfg = load(args, entries, 100.0, &kinds);
    let load_task = runtime.spawn(async move { run_load(&cfg).await });
    for host in [0, 1] {
        thread::sleep(Duration::from_secs(1));
        mesh.kill_host(host);
        thread::sleep(Duration::from_secs(1));
        mesh.start_node(host)?;
        mesh.start_upstream(host)?;
    }
    let report = runtime
        .block_on(load_task)
        .map_err(|err| StandinError::Invalid(format!("the load ended early: {err}")))?;
    let mut duplicates = 0;
    for host in &mesh.plan.hosts {
        duplicates += mesh.upstream_stats(host)?.duplicates;
    }
    if let Some(orders) = report.kinds.get("order") {
        println!(
            "{} orders: {} good, {} not run, {} unknown ({:.2}%), {duplicates} run twice; {:?}",
            orders.requests,
            orders.good,
            orders.not_run,
            orders.unknown,
            100.0 * orders.unknown as f64 / orders.requests.max(1) as f64,
            orders.reasons
        );
    }
    Ok(())
}
