//! Choice of hosts and of a route's targets.

use std::time::Duration;

use snipehollow_core::class::Rank;
use snipehollow_core::collections::FastMap;
use snipehollow_core::ids::{ClassName, HostName, RegionName, ServiceName, ZoneName};
use snipehollow_core::rng::Rng;
use snipehollow_core::routing::{
    Candidate, Distance, FinishedTry, LinkBudget, RouteQuery, Router, RouterConfig, TryResult,
    WeightedChoice,
};
use snipehollow_core::time::Timestamp;

const BUDGET: Duration = Duration::from_millis(400);

struct Bench {
    router: Router,
    rng: Rng,
    service: ServiceName,
    class: ClassName,
    now: Timestamp,
}

impl Bench {
    /// Hosts `home` in the own zone, `near` in the own region, `far` in another one.
    fn new() -> Bench {
        let zone = |name: &str| ZoneName::new(name).unwrap();
        let region = |name: &str| RegionName::new(name).unwrap();
        let service = ServiceName::new("pricing").unwrap();
        let candidate = |host: &str, z: &str, r: &str| Candidate {
            host: HostName::new(host).unwrap(),
            zone: zone(z),
            region: region(r),
            addr: "127.0.0.1:1".parse().unwrap(),
            slots: 17,
        };
        let hosts = vec![
            candidate("home", "z1", "r1"),
            candidate("near", "z2", "r1"),
            candidate("far", "z3", "r2"),
        ];
        let link = LinkBudget::new(1e9, Timestamp::ZERO);
        let mut router = Router::new(RouterConfig::new(zone("z1"), region("r1")), link);
        router.set_hosts(FastMap::from_iter([(service.clone(), hosts)]));
        let class = ClassName::new("quote").unwrap();
        Bench { router, rng: Rng::new(1), service, class, now: Timestamp::from_millis(1) }
    }

    fn choose(&mut self) -> (String, Distance) {
        let query = RouteQuery {
            service: &self.service,
            rank: Rank(0),
            class: &self.class,
            budget: BUDGET,
            tried: &[],
        };
        let route = self.router.choose(self.now, &mut self.rng, &query).unwrap();
        (route.host.host.to_string(), route.distance)
    }

    fn observe(&mut self, host: &str, millis: u64, result: TryResult) {
        let host = HostName::new(host).unwrap();
        let elapsed = Duration::from_millis(millis);
        let end = FinishedTry { class: &self.class, result, elapsed, level: None };
        self.router.start_try(&host);
        self.router.finish_try(self.now, &self.service, &host, &end);
    }

    fn share_of(&mut self, host: &str) -> f64 {
        let chosen = (0..1_000).filter(|_| self.choose().0 == host).count();
        chosen as f64 / 1_000.0
    }
}

#[test]
fn choose_own_zone_while_nothing_is_known() {
    let mut bench = Bench::new();
    assert_eq!(bench.share_of("home"), 1.0);
}

#[test]
fn choose_own_zone_while_it_is_quick_enough() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.observe("home", 120, TryResult::Succeeded);
        bench.observe("near", 70, TryResult::Succeeded);
    }
    assert_eq!(bench.share_of("home"), 1.0);
}

#[test]
fn choose_leaves_a_host_that_became_slow() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.observe("home", 440, TryResult::Succeeded);
        bench.observe("near", 90, TryResult::Succeeded);
    }
    assert_eq!(bench.share_of("near"), 1.0);
}

#[test]
fn choose_leaves_a_host_that_fails_at_once() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.observe("near", 90, TryResult::Succeeded);
    }
    for _ in 0..3 {
        bench.observe("home", 1, TryResult::Failed);
    }
    assert_eq!(bench.share_of("near"), 1.0);
}

#[test]
fn choose_tries_a_slow_host_again_after_a_while() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.observe("home", 440, TryResult::Succeeded);
        bench.observe("near", 90, TryResult::Succeeded);
    }
    bench.now = bench.now + Duration::from_secs(10);
    for _ in 0..20 {
        bench.observe("near", 90, TryResult::Succeeded);
    }
    assert!(bench.share_of("home") > 0.5);
}

#[test]
fn weighted_choice_exact_over_a_cycle() {
    let mut choice = WeightedChoice::starting_at(&[90, 10], 37);
    let mut counts = [0; 2];
    for _ in 0..1_000 {
        counts[choice.next(&[90, 10]).unwrap()] += 1;
    }
    assert_eq!(counts, [900, 100]);
}

#[test]
fn weighted_choice_without_any_weight() {
    assert_eq!(WeightedChoice::default().next(&[0, 0]), None);
    assert_eq!(WeightedChoice::default().next(&[]), None);
    assert_eq!(WeightedChoice::starting_at(&[0], 5).next(&[0]), None);
}
