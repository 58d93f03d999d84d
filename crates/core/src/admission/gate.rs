//! Gate: the admission controller in front of one upstream.
//!
//! A gate dispatches, queues or refuses each arriving request, depending on the concurrency
//! limit, the queue and the expected service time of the request's class.

use std::time::Duration;

use super::{
    AdaptiveLimit, GateConfig, LimitConfig, LimitSample, LoadLevel, Priority, RankedQueue,
    RateLimitChange, Tier, TokenBucket, UpstreamRateLimit, WaitingRequest,
};
use crate::class::ClassPolicy;
use crate::collections::FastMap;
use crate::ewma::Ewma;
use crate::ids::{CallerKey, ClassName, TryId};
use crate::reason::Reason;
use crate::time::Timestamp;

/// A request that arrives at the gate.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Id of the try: one request sent to this gate by the entry node.
    pub id: TryId,
    /// Policy of the request's class.
    pub class: &'a ClassPolicy,
    /// Caller of the request; the queue shares slots fairly between callers.
    pub caller: &'a CallerKey,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The response was complete and not a server error.
    Succeeded,
    /// The upstream refused the request because it is overloaded.
    Overloaded,
    /// Server error, truncated response, timeout or cancellation.
    Failed,
}

/// Decision of the gate that its owner has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the upstream.
    Dispatch(TryId),
    /// Keep the request waiting.
    Wait(TryId),
    /// Refuse the request, which has not been executed, for this reason.
    Refuse(TryId, Reason),
}

/// Counters since the gate was created.
#[derive(Clone, Copy, Debug, Default)]
pub struct GateStats {
    /// Requests sent to the upstream.
    pub dispatched: u64,
    /// Requests that were queued, whatever their outcome.
    pub queued: u64,
    /// Requests refused on arrival, evicted, or refused while waiting.
    pub refused: u64,
}

#[derive(Clone, Debug)]
struct Running {
    class: ClassName,
    started: Timestamp,
    /// Whether the limit was reached with the dispatch of this request.
    limit_reached: bool,
}

/// Maximum number of classes with a tracked service time, and with a tracked rate limit.
///
/// A class beyond it is not rate limited, and is expected to take the mean service time.
const MAX_CLASSES: usize = 256;
/// Weight of one sample in the moving averages of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Service time assumed before the first request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(5);

/// Decides which request an upstream runs next and which one is refused.
///
/// All requests to the upstream pass through its gate, so `in_flight` is exact, and the gate alone
/// can keep to the rate limit that the upstream names for all hosts together.
#[derive(Clone, Debug)]
pub struct Gate {
    cfg: GateConfig,
    limit: AdaptiveLimit,
    queue: RankedQueue,
    running: FastMap<TryId, Running>,
    rate_buckets: FastMap<ClassName, TokenBucket>,
    service_times: FastMap<ClassName, Ewma>,
    mean_service_time: Ewma,
    rate_limit: UpstreamRateLimit,
    leaving: bool,
    stats: GateStats,
}

impl Gate {
    /// Creates the gate of an upstream that announced this many slots and has run no request yet.
    pub fn new(cfg: GateConfig, slots: u32) -> Gate {
        Gate {
            cfg,
            limit: AdaptiveLimit::new(LimitConfig::new(slots)),
            queue: RankedQueue::new(),
            running: FastMap::default(),
            rate_buckets: FastMap::default(),
            service_times: FastMap::default(),
            mean_service_time: Ewma::default(),
            rate_limit: UpstreamRateLimit::default(),
            leaving: false,
            stats: GateStats::default(),
        }
    }

    /// Returns the number of requests in flight at the upstream.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests waiting for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the current limit for requests in flight.
    pub fn limit(&self) -> u32 {
        if self.cfg.adaptive {
            return self.limit.get();
        }
        ((f64::from(self.limit.slots()) * self.cfg.slot_share) as u32).max(1)
    }

    /// Returns the number of slots with which demand is compared.
    ///
    /// These are the announced slots if the limit adapts: it starts far below what the upstream
    /// can run.
    pub fn capacity(&self) -> u32 {
        self.within_rate(if self.cfg.adaptive { self.limit.slots() } else { self.limit() })
    }

    /// Returns the expected time until a request behind all waiting ones can be dispatched.
    pub fn expected_wait(&self) -> Duration {
        self.expected_wait_behind(self.queued() as u32)
    }

    /// Returns the rate limit that the upstream names, in requests per second; `None` if it names
    /// none.
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.per_second()
    }

    /// Records the rate limit that a response names, in requests per second. The response belongs
    /// to a request that was dispatched at `dispatched`.
    pub fn observe_rate_limit(
        &mut self,
        now: Timestamp,
        dispatched: Timestamp,
        named: Option<f64>,
    ) -> Option<RateLimitChange> {
        self.rate_limit.observe(now, dispatched, named)
    }

    /// Adopts a rate limit that an entry node learned before this gate was created, unless a
    /// response of the upstream was observed already. Returns whether the limit changed.
    pub fn adopt_rate_limit(&mut self, now: Timestamp, reported: f64) -> bool {
        self.rate_limit.adopt(now, reported)
    }

    /// Returns the time until the rate limit allows the next waiting request to be dispatched;
    /// `None` if none waits or the rate limit does not hold it back.
    pub fn time_to_next_dispatch(&self, now: Timestamp) -> Option<Duration> {
        if self.queue.is_empty() || self.running.len() >= self.limit() as usize {
            return None;
        }
        self.rate_limit.time_to_tokens(now, 1).filter(|wait| !wait.is_zero())
    }

    /// Returns the counters since the gate was created.
    pub fn stats(&self) -> GateStats {
        self.stats
    }

    /// Returns whether the upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Sets the number of announced slots and dispatches waiting requests to new free ones.
    pub fn set_slots(&mut self, now: Timestamp, slots: u32) -> Vec<Action> {
        self.limit.set_slots(slots);
        self.fill_slots(now)
    }

    /// Marks the upstream as leaving: waiting requests are refused, requests in flight may finish.
    pub fn mark_leaving(&mut self) -> Vec<Action> {
        self.leaving = true;
        let mut actions = Vec::new();
        while let Some(waiting) = self.queue.pop_first() {
            self.stats.refused += 1;
            actions.push(Action::Refuse(waiting.id, Reason::Leaving));
        }
        actions
    }

    /// Clears the leaving mark of an upstream that announced itself as serving again.
    pub fn resume(&mut self) {
        self.leaving = false;
    }

    /// Dispatches, queues or refuses an arriving request.
    ///
    /// A queued request may evict a less important one, so there can be several actions.
    ///
    /// ```
    /// use snipehollow_core::admission::{Action, Arrival, Gate, GateConfig};
    /// use snipehollow_core::class::{ClassPolicy, Rank};
    /// use snipehollow_core::ids::{CallerKey, ClassName, TryId};
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let mut gate = Gate::new(GateConfig::new(), 4);
    /// let class = ClassPolicy::new(ClassName::new("quote").unwrap(), Rank(0));
    /// let caller = CallerKey::new("branch-7").unwrap();
    /// let arrival = Arrival {
    ///     id: TryId(1),
    ///     class: &class,
    ///     caller: &caller,
    ///     deadline: Timestamp::from_millis(500),
    /// };
    /// assert_eq!(gate.handle_arrival(Timestamp::ZERO, &arrival), [Action::Dispatch(TryId(1))]);
    /// ```
    pub fn handle_arrival(&mut self, now: Timestamp, arrival: &Arrival<'_>) -> Vec<Action> {
        if self.leaving {
            return vec![self.refuse(arrival.id, Reason::Leaving)];
        }
        if arrival.deadline <= now {
            return vec![self.refuse(arrival.id, Reason::DeadlinePassed)];
        }
        let waiting = self.new_waiting_request(now, arrival);
        if self.queue.is_empty() && self.can_dispatch(now) {
            return vec![self.dispatch(now, waiting.id, waiting.class)];
        }
        if self.is_predicted_late(now, &waiting) {
            return vec![self.refuse(arrival.id, Reason::PredictedLate)];
        }
        self.enqueue(now, waiting)
    }

    /// Records the end of a dispatched request and fills the freed slot.
    ///
    /// `own_time` is the service time without the time spent waiting for downstream calls.
    /// Does nothing if the request is not in flight.
    pub fn finish(
        &mut self,
        now: Timestamp,
        id: TryId,
        completion: Completion,
        own_time: Duration,
    ) -> Vec<Action> {
        let Some(running) = self.running.remove(&id) else {
            return Vec::new();
        };
        let sample = LimitSample {
            class: &running.class,
            own_time,
            succeeded: completion == Completion::Succeeded,
            overloaded: completion == Completion::Overloaded,
        };
        self.limit.observe(now, &sample, running.limit_reached);
        if completion == Completion::Succeeded {
            self.record_service_time(&running.class, now.since(running.started));
        }
        self.fill_slots(now)
    }

    /// Removes a waiting request whose caller disconnected; returns false if it is not queued.
    pub fn cancel_waiting(&mut self, id: TryId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Moves the deadline of a waiting request forward; returns whether the request waits.
    ///
    /// It is refused once it could no longer end by then.
    pub fn shorten_deadline(&mut self, id: TryId, deadline: Timestamp) -> bool {
        self.queue.shorten_deadline(id, deadline)
    }

    /// Refuses waiting requests whose deadline has passed, and dispatches those that the rate limit
    /// allows by now.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Action> {
        let expired: Vec<TryId> =
            self.queue.iter().filter(|w| w.deadline <= now).map(|w| w.id).collect();
        let mut actions = Vec::new();
        for id in expired {
            self.queue.remove(id);
            actions.push(self.refuse(id, Reason::DeadlinePassed));
        }
        actions.extend(self.fill_slots(now));
        actions
    }

    /// Returns the load that is reported to entry nodes.
    pub fn load_level(&self) -> LoadLevel {
        LoadLevel {
            in_flight: self.in_flight() as u32,
            limit: self.within_rate(self.limit()),
            queued: self.queued() as u32,
            admits_rank: self.least_urgent_admitted_rank(),
        }
    }

    /// Returns the least urgent rank that an arriving request may have to be admitted now.
    ///
    /// With a full queue, an arrival must be more important than the last waiting request, which
    /// it evicts.
    fn least_urgent_admitted_rank(&self) -> Option<u8> {
        if self.leaving {
            return None;
        }
        if self.queue.len() < self.max_queued() {
            return Some(u8::MAX);
        }
        let last = self.queue.last()?;
        match last.priority.tier {
            Tier::Excess => Some(u8::MAX),
            Tier::Regular => last.priority.rank.0.checked_sub(1),
        }
    }

    fn max_queued(&self) -> usize {
        (self.limit.slots() * self.cfg.queue_per_slot) as usize
    }

    /// Returns whether a slot is free and the rate limit allows another request.
    fn can_dispatch(&self, now: Timestamp) -> bool {
        let rate_allows = self.rate_limit.time_to_tokens(now, 1).is_none_or(|wait| wait.is_zero());
        rate_allows && self.running.len() < self.limit() as usize
    }

    /// Reduces a number of slots to those that requests occupy, on average, at the rate limit.
    fn within_rate(&self, slots: u32) -> u32 {
        match self.rate_limit.per_second() {
            Some(rate) => {
                slots.min((rate * self.mean_service_time().as_secs_f64()).ceil() as u32).max(1)
            }
            None => slots,
        }
    }

    /// Returns the expected time until the last of `waiting` requests can be dispatched.
    fn expected_wait_behind(&self, waiting: u32) -> Duration {
        let slots = f64::from(self.within_rate(self.limit()).max(1));
        self.mean_service_time().mul_f64(f64::from(waiting) / slots)
    }

    fn new_waiting_request(&mut self, now: Timestamp, arrival: &Arrival<'_>) -> WaitingRequest {
        let tier = self.assign_tier(now, arrival.class);
        WaitingRequest {
            id: arrival.id,
            priority: Priority { tier, rank: arrival.class.rank },
            class: arrival.class.name.clone(),
            caller: arrival.caller.clone(),
            worth: arrival.class.worth,
            deadline: arrival.deadline,
            expected_service_us: self.expected_service_time(&arrival.class.name).as_micros() as u64,
        }
    }

    /// Takes a token of the class's rate limit; without one, the request is an excess request.
    fn assign_tier(&mut self, now: Timestamp, class: &ClassPolicy) -> Tier {
        let Some(limit) = &class.rate_limit else {
            return Tier::Regular;
        };
        if self.rate_buckets.len() >= MAX_CLASSES && !self.rate_buckets.contains_key(&class.name) {
            return Tier::Regular;
        }
        let bucket = self
            .rate_buckets
            .entry(class.name.clone())
            .or_insert_with(|| TokenBucket::new(limit.clone(), now));
        if bucket.limit() != limit {
            *bucket = TokenBucket::new(limit.clone(), now);
        }
        if bucket.take(now) { Tier::Regular } else { Tier::Excess }
    }

    /// Returns whether the request is expected to end after its deadline.
    ///
    /// Only waiting requests that would be dispatched before it count towards its wait.
    fn is_predicted_late(&self, now: Timestamp, waiting: &WaitingRequest) -> bool {
        let ahead = self.queue.count_ahead_of(waiting.priority) as u32 + 1;
        let wait = self
            .expected_wait_behind(ahead)
            .max(self.rate_limit.time_to_tokens(now, ahead).unwrap_or_default());
        let service = self.expected_service_time(&waiting.class);
        now + wait + service > waiting.deadline
    }

    fn enqueue(&mut self, now: Timestamp, waiting: WaitingRequest) -> Vec<Action> {
        let id = waiting.id;
        let priority = waiting.priority;
        self.queue.push(waiting);
        let mut actions = Vec::new();
        if self.queue.len() > self.max_queued() {
            actions.extend(self.evict(id, priority));
        }
        if actions.contains(&Action::Refuse(id, Reason::QueueFull)) {
            return actions;
        }
        self.stats.queued += 1;
        actions.push(Action::Wait(id));
        actions.extend(self.fill_slots(now));
        actions
    }

    /// Evicts the least important waiting request, which may be the one that just arrived.
    fn evict(&mut self, arrived: TryId, arrived_priority: Priority) -> Option<Action> {
        let evicted = self.queue.pop_last()?;
        invariant!(
            evicted.priority >= arrived_priority
                && self.queue.last().is_none_or(|last| last.priority <= evicted.priority),
            "shed try {} of rank {} while a less important request waits",
            evicted.id.0,
            evicted.priority.rank.0
        );
        let reason = if evicted.id == arrived { Reason::QueueFull } else { Reason::Evicted };
        Some(self.refuse(evicted.id, reason))
    }

    fn fill_slots(&mut self, now: Timestamp) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.can_dispatch(now) {
            let Some(waiting) = self.queue.pop_first() else {
                break;
            };
            actions.push(self.dispatch_or_refuse(now, waiting));
        }
        actions
    }

    fn dispatch_or_refuse(&mut self, now: Timestamp, waiting: WaitingRequest) -> Action {
        invariant!(
            self.queue.first().is_none_or(|next| next.priority >= waiting.priority),
            "dispatch of try {} before a more important request",
            waiting.id.0
        );
        if waiting.deadline <= now {
            return self.refuse(waiting.id, Reason::DeadlinePassed);
        }
        if now + self.expected_service_time(&waiting.class) > waiting.deadline {
            return self.refuse(waiting.id, Reason::PredictedLate);
        }
        self.dispatch(now, waiting.id, waiting.class)
    }

    fn dispatch(&mut self, now: Timestamp, id: TryId, class: ClassName) -> Action {
        invariant!(!self.leaving, "dispatch of try {} to a leaving upstream", id.0);
        invariant!(
            self.running.len() < self.limit.slots() as usize,
            "{} requests in flight at an upstream of {} slots",
            self.running.len() + 1,
            self.limit.slots()
        );
        self.rate_limit.take(now);
        let limit_reached = self.running.len() + 1 >= self.limit() as usize;
        let replaced = self.running.insert(id, Running { class, started: now, limit_reached });
        invariant!(replaced.is_none(), "try {} dispatched twice", id.0);
        self.stats.dispatched += 1;
        Action::Dispatch(id)
    }

    fn refuse(&mut self, id: TryId, reason: Reason) -> Action {
        self.stats.refused += 1;
        Action::Refuse(id, reason)
    }

    fn record_service_time(&mut self, class: &ClassName, time: Duration) {
        let micros = time.as_micros() as f64;
        self.mean_service_time.add(micros, SERVICE_TIME_WEIGHT);
        if self.service_times.len() < MAX_CLASSES || self.service_times.contains_key(class) {
            self.service_times.entry(class.clone()).or_default().add(micros, SERVICE_TIME_WEIGHT);
        }
    }

    fn mean_service_time(&self) -> Duration {
        let micros =
            self.mean_service_time.get().unwrap_or(INITIAL_SERVICE_TIME.as_micros() as f64);
        Duration::from_micros(micros as u64)
    }

    /// Returns how long a request of a class is expected to hold a slot.
    ///
    /// Falls back to the mean of all classes while the class has no sample.
    pub fn expected_service_time(&self, class: &ClassName) -> Duration {
        match self.service_times.get(class).and_then(Ewma::get) {
            Some(micros) => Duration::from_micros(micros as u64),
            None => self.mean_service_time(),
        }
    }
}
