//! Tests of the choice of a host for a try and of a target for a route.

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

struct Fixture {
    router: Router,
    rng: Rng,
    service: ServiceName,
    class: ClassName,
    now: Timestamp,
}

impl Fixture {
    /// Creates a router in zone `z1` with the hosts `home` in the same zone, `near` in another zone
    /// of the same region and `far` in another region.
    fn new() -> Fixture {
        let zone = |name: &str| ZoneName::new(name).unwrap();
        let region = |name: &str| RegionName::new(name).unwrap();
        let service = ServiceName::new("pricing").unwrap();
        let candidate = |host: &str, zone_name: &str, region_name: &str| Candidate {
            host: HostName::new(host).unwrap(),
            zone: zone(zone_name),
            region: region(region_name),
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
        router.set_hosts(Timestamp::ZERO, FastMap::from_iter([(service.clone(), hosts)]));
        let class = ClassName::new("quote").unwrap();
        Fixture { router, rng: Rng::new(1), service, class, now: Timestamp::from_millis(1) }
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

    /// Records a try with this latency and result at a host.
    fn record_try(&mut self, host: &str, millis: u64, result: TryResult) {
        let host = HostName::new(host).unwrap();
        let elapsed = Duration::from_millis(millis);
        let finished = FinishedTry { class: &self.class, result, elapsed, load_level: None };
        self.router.start_try(&host);
        self.router.finish_try(self.now, &self.service, &host, &finished);
    }

    /// Returns the share of 1,000 choices that go to a host.
    fn share_of(&mut self, host: &str) -> f64 {
        let chosen = (0..1_000).filter(|_| self.choose().0 == host).count();
        chosen as f64 / 1_000.0
    }
}

#[test]
fn choose_prefers_own_zone_without_observations() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.share_of("home"), 1.0);
}

#[test]
fn choose_prefers_own_zone_while_its_latency_is_safe() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.record_try("home", 120, TryResult::Succeeded);
        fixture.record_try("near", 70, TryResult::Succeeded);
    }
    assert_eq!(fixture.share_of("home"), 1.0);
}

#[test]
fn choose_avoids_a_slow_host() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.record_try("home", 440, TryResult::Succeeded);
        fixture.record_try("near", 90, TryResult::Succeeded);
    }
    assert_eq!(fixture.share_of("near"), 1.0);
}

/// A host that fails at once has a low latency, which must not attract more requests.
#[test]
fn choose_avoids_a_host_that_fails_fast() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.record_try("near", 90, TryResult::Succeeded);
    }
    for _ in 0..3 {
        fixture.record_try("home", 1, TryResult::Failed);
    }
    assert_eq!(fixture.share_of("near"), 1.0);
}

#[test]
fn choose_returns_to_a_slow_host_after_its_observations_expire() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.record_try("home", 440, TryResult::Succeeded);
        fixture.record_try("near", 90, TryResult::Succeeded);
    }
    fixture.now = fixture.now + Duration::from_secs(10);
    for _ in 0..20 {
        fixture.record_try("near", 90, TryResult::Succeeded);
    }
    assert!(fixture.share_of("home") > 0.5);
}

#[test]
fn weighted_choice_is_exact_over_a_cycle() {
    let mut choice = WeightedChoice::starting_at(&[90, 10], 37);
    let mut counts = [0; 2];
    for _ in 0..1_000 {
        counts[choice.next(&[90, 10]).unwrap()] += 1;
    }
    assert_eq!(counts, [900, 100]);
}

#[test]
fn weighted_choice_without_positive_weight_returns_none() {
    assert_eq!(WeightedChoice::default().next(&[0, 0]), None);
    assert_eq!(WeightedChoice::default().next(&[]), None);
    assert_eq!(WeightedChoice::starting_at(&[0], 5).next(&[0]), None);
}

/// Guards against a request with a ticket that finds no host once its host is leaving, although the
/// host would still respond that it has not run the request.
#[test]
fn find_returns_a_host_that_was_listed_recently() {
    let mut fixture = Fixture::new();
    let (service, home) = (fixture.service.clone(), HostName::new("home").unwrap());
    let rest = fixture.router.hosts(&service)[1..].to_vec();
    let left = Timestamp::from_millis(5_000);
    fixture.router.set_hosts(left, FastMap::from_iter([(service.clone(), rest)]));
    let is_found = |router: &Router, after: Duration| {
        router.find(left + after, &service, &home).is_some_and(|found| found.host == home)
    };
    assert!(is_found(&fixture.router, Duration::from_secs(10)));
    assert!(!is_found(&fixture.router, Duration::from_secs(60)));
    let other = ServiceName::new("orders").unwrap();
    assert!(fixture.router.find(left, &other, &home).is_none());
    fixture.now = left;
    assert_eq!(fixture.share_of("home"), 0.0, "no other request is sent to it");
}
