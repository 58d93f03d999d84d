//! Measures the time that one decision of each kind takes, in one thread and without I/O.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use snipehollow_core::admission::{Arrival, Completion, Gate, GateConfig};
use snipehollow_core::class::{ClassPolicy, Rank};
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{
    CallerKey, ClassName, Fingerprint, HostName, NameError, RegionName, ServiceName, TryId,
    ZoneName,
};
use snipehollow_core::retry::{Allowance, AllowanceTable};
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::{
    Candidate, FinishedTry, LinkBudget, RouteQuery, Router, RouterConfig, TryResult,
};
use snipehollow_core::ticket::{ProcessStartId, TicketConfig, TicketKey, TicketTable};
use snipehollow_core::time::Timestamp;

const ITERATIONS: u64 = 200_000;

fn main() -> Result<(), NameError> {
    println!("{ITERATIONS} iterations each");
    println!("decision                                    ns");
    measure_gate("gate: arrive and finish, slot free", 0)?;
    measure_gate("gate: arrive and finish, 200 waiting", 200)?;
    measure_router()?;
    measure_tickets()?;
    measure_allowances();
    Ok(())
}

fn print_mean(name: &str, started: Instant) {
    println!("{name:<40} {:>6}", started.elapsed().as_nanos() as u64 / ITERATIONS);
}

fn measure_gate(name: &str, waiting: u64) -> Result<(), NameError> {
    let class = ClassPolicy::new(ClassName::new("any")?, Rank(1)).with_deadline_ms(60_000);
    let caller = CallerKey::new("caller")?;
    let mut gate = Gate::new(GateConfig::new(), 50);
    let arrival = |id| Arrival {
        id: TryId(id),
        class: &class,
        caller: &caller,
        deadline: Timestamp::from_millis(60_000_000),
    };
    let now = Timestamp::from_millis(1);
    let filled = if waiting > 0 { u64::from(gate.limit()) + waiting.min(180) } else { 0 };
    for id in 0..filled {
        gate.handle_arrival(now, &arrival(id));
    }
    let started = Instant::now();
    for i in 0..ITERATIONS {
        black_box(gate.handle_arrival(now, &arrival(filled + i)));
        black_box(gate.finish(now, TryId(i), Completion::Succeeded, Duration::from_millis(1)));
    }
    print_mean(name, started);
    Ok(())
}

fn measure_router() -> Result<(), NameError> {
    let zone = ZoneName::new("zone")?;
    let region = RegionName::new("region")?;
    let service = ServiceName::new("service")?;
    let hosts: Vec<Candidate> = (0..9)
        .map(|i| {
            Ok(Candidate {
                host: HostName::new(&format!("host-{i}"))?,
                zone: zone.clone(),
                region: region.clone(),
                addr: SocketAddr::from(([127, 0, 0, 1], 7_000 + i)),
                slots: 50,
            })
        })
        .collect::<Result<_, NameError>>()?;
    let link = LinkBudget::new(1e6, Timestamp::ZERO);
    let mut router = Router::new(RouterConfig::new(zone, region), link);
    router.set_hosts(Timestamp::ZERO, FastMap::from_iter([(service.clone(), hosts)]));
    let mut rng = Rng::new(1);
    let now = Timestamp::from_millis(1);
    let class = ClassName::new("quote")?;
    let query = RouteQuery {
        service: &service,
        rank: Rank(1),
        class: &class,
        budget: Duration::from_millis(400),
        tried: &[],
    };
    let finished = FinishedTry {
        class: &class,
        result: TryResult::Succeeded,
        elapsed: Duration::from_millis(90),
        load_level: None,
    };
    let started = Instant::now();
    for _ in 0..ITERATIONS {
        if let Ok(route) = router.choose(now, &mut rng, &query) {
            router.start_try(&route.host.host);
            router.finish_try(now, &service, &route.host.host, &finished);
        }
    }
    print_mean("router: choose, start and finish, 9 hosts", started);
    Ok(())
}

fn measure_tickets() -> Result<(), NameError> {
    let host = HostName::new("host")?;
    let cfg = TicketConfig::new().with_max_records(1_000);
    let mut tickets: TicketTable<u64> =
        TicketTable::new(cfg, host, ProcessStartId(1), TicketKey::new([7; 32]));
    let now = Timestamp::from_millis(1);
    let started = Instant::now();
    for serial in 0..ITERATIONS {
        let ticket = tickets.issue(now);
        black_box(tickets.redeem(now, &ticket, Fingerprint(u128::from(serial))));
        tickets.complete(now, serial, serial, 1_024);
    }
    print_mean("ticket: issue, redeem and complete", started);
    Ok(())
}

fn measure_allowances() {
    let mut allowances = AllowanceTable::new();
    let started = Instant::now();
    for key in 0..ITERATIONS {
        allowances.open(key, Allowance(2));
        let delegated = allowances.delegate(key).unwrap_or_default();
        allowances.return_unspent(key, delegated, delegated);
        black_box(allowances.close(key));
    }
    print_mean("allowance: open, delegate, return, close", started);
}
