//! Demonstration: starts a mesh, applies a sheet, sends a load, prints the results and stops the
//! mesh.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use snipehollow_standins::error::StandinError;
use snipehollow_standins::load::{LoadConfig, LoadReport, Phase, RequestKind, run_load};
use snipehollow_standins::mesh::{Mesh, MeshPlan, cartago, koppiesrand};

/// Starts a mesh, applies a sheet, sends a load, prints the results and stops the mesh.
#[derive(Parser)]
struct Args {
    /// Site whose mesh to start.
    #[arg(long, value_enum, default_value_t = Site::Koppiesrand)]
    site: Site,
    /// CSV file of the sheet to apply.
    #[arg(long)]
    sheet: PathBuf,
    /// Mean requests per second.
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of arrival times and random choices.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Clone, Copy, ValueEnum)]
enum Site {
    Koppiesrand,
    Cartago,
}

fn main() -> ExitCode {
    match demonstrate(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("mesh-demo: {err}");
            ExitCode::FAILURE
        }
    }
}

fn demonstrate(args: &Args) -> Result<(), StandinError> {
    let (plan, kinds) = site(args.site);
    let bin = Mesh::find_bin_dir()?;
    println!("starting {} nodes and upstreams", plan.hosts.len());
    let mesh = Mesh::start(plan, &bin)?;
    let sheet = std::fs::read_to_string(&args.sheet).map_err(StandinError::io("read the sheet"))?;
    let applied = mesh.apply_sheet(&sheet)?;
    print!(
        "{}{}",
        String::from_utf8_lossy(&applied.stdout),
        String::from_utf8_lossy(&applied.stderr)
    );
    if !applied.status.success() {
        return Err(StandinError::Invalid("the sheet was not applied".into()));
    }
    mesh.wait_ready(1)?;
    println!("the mesh is ready; {} requests/s for {} s", args.rate, args.seconds);
    let cfg = LoadConfig {
        targets: mesh.plan.caller_addrs(),
        phases: vec![Phase { rate: args.rate, duration: Duration::from_secs(args.seconds) }],
        kinds,
        immediate_retries: 0,
        seed: args.seed,
    };
    let runtime = tokio::runtime::Runtime::new().map_err(StandinError::io("start the runtime"))?;
    let report = runtime.block_on(run_load(&cfg));
    print_report(&report, args.seconds);
    print_upstream_totals(&mesh)
}

fn print_report(report: &LoadReport, seconds: u64) {
    print!("{}", report.table());
    println!(
        "goodput: {:.1} successful responses per second within the deadline",
        report.good() as f64 / seconds as f64
    );
    for (name, kind) in &report.kinds {
        for (reason, count) in &kind.reasons {
            println!("{name}: {count} failed, {reason}");
        }
    }
}

fn print_upstream_totals(mesh: &Mesh) -> Result<(), StandinError> {
    let (mut completed, mut cancelled, mut duplicates) = (0, 0, 0);
    for host in &mesh.plan.hosts {
        let stats = mesh.upstream_stats(host)?;
        completed += stats.completed;
        cancelled += stats.cancelled;
        duplicates += stats.duplicates;
    }
    println!("upstreams: {completed} completed, {cancelled} cancelled, {duplicates} run twice");
    Ok(())
}

fn site(site: Site) -> (MeshPlan, Vec<RequestKind>) {
    match site {
        Site::Koppiesrand => (
            koppiesrand(),
            kinds(&[
                "quote,GET,/pricing/quote/7,30,800",
                "order,POST,/orders/new,10,3000,ticket",
                "cut-sheet,GET,/documents/cut-sheets/3,15,2000",
                "stock,GET,/catalogue/stock/9,25,1000",
                "price-list,GET,/catalogue/list,20,2000",
            ]),
        ),
        Site::Cartago => (
            cartago(),
            kinds(&[
                "booking,POST,/booking/new,10,3000,ticket",
                "bench-check,GET,/scheduling/benches,30,1000",
                "browse,GET,/courses/list,40,1500",
                "manual,GET,/library/manual/2,20,4000",
            ]),
        ),
    }
}

fn kinds(texts: &[&str]) -> Vec<RequestKind> {
    texts.iter().filter_map(|text| RequestKind::parse(text)).collect()
}
