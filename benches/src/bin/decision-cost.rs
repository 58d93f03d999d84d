//! Time of one decision of each kind, and memory of what is remembered.

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
use snipehollow_core::retry::{Allowance, AllowanceLedger};
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::{
    Candidate, LinkBudget, RouteQuery, Router, RouterConfig, TryEnd, TryResult,
};
use snipehollow_core::ticket::{BookConfig, StartId, TicketBook, TicketKey};
use snipehollow_core::time::Timestamp;

const REPEATS: u64 = 200_000;

fn main() -> Result<(), NameError> {
    println!("{REPEATS} repeats each");
    println!("decision                                    ns");
    gate("gate: arrive and finish, slot free", 0)?;
    gate("gate: arrive and finish, 200 waiting", 200)?;
    router()?;
    tickets()?;
    ledger();
    Ok(())
}

fn report(name: &str, started: Instant) {
    println!("{name:<40} {:>6}", started.elapsed().as_nanos() as u64 / REPEATS);
}

fn gate(name: &str, waiting: u64) -> Result<(), NameError> {
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
    for i in 0..REPEATS {
        black_box(gate.handle_arrival(now, &arrival(filled + i)));
        black_box(gate.finish(now, TryId(i), Completion::Succeeded, Duration::from_millis(1)));
    }
    report(name, started);
    Ok(())
}

fn router() -> Result<(), NameError> {
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
    router.set_hosts(FastMap::from_iter([(service.clone(), hosts)]));
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
    let end = TryEnd {
        class: &class,
        result: TryResult::Answered,
        elapsed: Duration::from_millis(90),
        level: None,
    };
    let started = Instant::now();
    for _ in 0..REPEATS {
        if let Ok(route) = router.choose(now, &mut rng, &query) {
            router.start(&route.host.host);
            router.finish(now, &service, &route.host.host, &end);
        }
    }
    report("router: choose, start and finish, 9 hosts", started);
    Ok(())
}

fn tickets() -> Result<(), NameError> {
    let host = HostName::new("host")?;
    let cfg = BookConfig::new().with_max_records(1_000);
    let mut book: TicketBook<u64> = TicketBook::new(cfg, host, StartId(1), TicketKey::new([7; 32]));
    let now = Timestamp::from_millis(1);
    let started = Instant::now();
    for serial in 0..REPEATS {
        let ticket = book.issue(now);
        black_box(book.present(now, &ticket, Fingerprint(u128::from(serial))));
        book.complete(now, serial, serial, 1_024);
    }
    report("ticket: issue, present and complete", started);
    Ok(())
}

fn ledger() {
    let mut ledger = AllowanceLedger::new();
    let started = Instant::now();
    for key in 0..REPEATS {
        ledger.open(key, Allowance(2));
        let loan = ledger.borrow(key).unwrap_or_default();
        ledger.give_back(key, loan, loan);
        black_box(ledger.close(key));
    }
    report("allowance: open, lend, give back, close", started);
}
