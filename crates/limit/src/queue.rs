//! Wait queues: calls that wait for a slot of their service, by class.

use std::collections::HashMap;

use base::prelude::*;
use world::prelude::*;

use crate::average::DecayingAverage;
use crate::class_queue::{ClassQueue, Waiter};
use crate::refusal::{RefusalKind, RefusalReason};

/// Id of a waiting call. Ids increase with each arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaiterId(pub u64);

/// A waiter that was removed from the queue without a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedWaiter {
    /// The waiter.
    pub waiter: WaiterId,
    /// Why it was removed, and when its caller may retry.
    pub reason: RefusalReason,
}

/// Order in which the waiters of one class are dequeued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// First in, first out.
    Fifo,
    /// Last in, first out while the queue is standing, otherwise first in, first out.
    AdaptiveLifo,
}

/// Parameters of the wait queue. Arrays are indexed by [`WorkClass::index`]. A wait unit is the
/// latency objective of the service, but at least `wait_unit_min`.
#[derive(Clone, Debug)]
pub struct QueueTuning {
    /// Order in which the waiters of one class are dequeued.
    pub order: QueueOrder,
    /// Delay that is added to the arrival of a waiter of each class when classes are compared, in
    /// wait units. A waiter overtakes calls of the most urgent class that arrive later than this
    /// after it.
    pub class_delay: [f64; 3],
    /// Longest wait while the queue is standing, in wait units. It exceeds the sum of the delay of
    /// the class and the longest wait of the most urgent class; otherwise waiters would be dropped
    /// before they can overtake, and their class would starve.
    pub overload_wait: [f64; 3],
    /// At most one dequeue in this many takes a waiter that overtakes more urgent ones. Without
    /// this limit, waiters that have aged take all capacity from urgent calls in a long overload.
    pub aged_interval: u32,
    /// Fraction of the queue limit up to which the waiters of each class cannot be displaced,
    /// `0.0..1.0`. In a long overload, all less urgent waiters would otherwise be displaced before
    /// they age.
    pub protected_share: f64,
    /// Lower bound of the wait unit.
    pub wait_unit_min: ClockSpan,
    /// A queue that has not been empty for this long is standing: it holds a backlog instead of a
    /// short burst.
    pub standing_span: ClockSpan,
    /// Whether waiters that cannot finish before their deadline are dropped before it passes.
    pub early_drop: bool,
    /// Weight of a new sample in the moving averages.
    pub sample_weight: f64,
    /// Shortest time after which a refused caller may retry, before jitter.
    pub retry_after_min: ClockSpan,
    /// Longest time after which a refused caller may retry, before jitter.
    pub retry_after_max: ClockSpan,
    /// Jitter of the time before a retry, in both directions, as a fraction of it, `0.0..1.0`.
    pub retry_jitter: f64,
}

impl Default for QueueTuning {
    fn default() -> Self {
        Self {
            order: QueueOrder::AdaptiveLifo,
            class_delay: [0.0, 4.0, 20.0],
            overload_wait: [1.0, 6.0, 30.0],
            aged_interval: 8,
            protected_share: 0.0625,
            wait_unit_min: ClockSpan::from_millis(20),
            standing_span: ClockSpan::from_millis(100),
            early_drop: true,
            sample_weight: 0.1,
            retry_after_min: ClockSpan::from_secs(1),
            retry_after_max: ClockSpan::from_secs(10),
            retry_jitter: 0.5,
        }
    }
}

impl QueueTuning {
    /// Returns parameters for interfaces whose callers accept less than a second as the time before
    /// a retry. Their calls have deadlines of 1 to 2 s, so that a retry after the default of 1 s
    /// often comes too late. A slot becomes free after the duration of a call, 50 ms for the
    /// shortest ones; no caller waits longer than 2 s.
    pub fn short_retry_after() -> Self {
        Self {
            retry_after_min: ClockSpan::from_millis(50),
            retry_after_max: ClockSpan::from_secs(2),
            ..Self::default()
        }
    }
}

#[derive(Debug)]
struct ServiceQueue {
    limit: usize,
    objective: ClockSpan,
    classes: [ClassQueue; 3],
    call_time: DecayingAverage,
    dequeue_interval: DecayingAverage,
    /// Dequeues since a waiter overtook more urgent ones.
    dequeues_since_aged: u32,
    /// Time of the last dequeue, or of the first arrival in the empty queue.
    last_dequeue: ClockTime,
}

impl ServiceQueue {
    fn new(contract: &ServiceContract) -> Self {
        Self {
            limit: contract.queue_limit as usize,
            objective: contract.objective.latency,
            classes: Default::default(),
            call_time: DecayingAverage::default(),
            dequeue_interval: DecayingAverage::default(),
            dequeues_since_aged: u32::MAX,
            last_dequeue: ClockTime::ZERO,
        }
    }

    fn len(&self) -> usize {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Returns the expected time between two dequeues. While calls wait, it is at least the time
    /// since the last dequeue, so that a service that frees no more slots is noticed.
    fn expected_interval(&self, now: ClockTime) -> ClockSpan {
        let idle = if self.len() == 0 { ClockSpan::ZERO } else { now.since(self.last_dequeue) };
        self.dequeue_interval.value(now).max(idle)
    }

    /// Returns the expected wait of a new call. Waiters of less urgent classes that overtake it by
    /// age are ignored, because few dequeues take them.
    fn expected_wait(&self, class: WorkClass, now: ClockTime) -> ClockSpan {
        let ahead: usize = self.classes[..=class.index()].iter().map(ClassQueue::len).sum();
        self.expected_interval(now).scaled(ahead as f64)
    }

    fn overload_wait(&self, tuning: &QueueTuning, class: usize) -> ClockSpan {
        self.wait_unit(tuning).scaled(tuning.overload_wait[class])
    }

    fn class_delay(&self, tuning: &QueueTuning, class: usize) -> ClockSpan {
        self.wait_unit(tuning).scaled(tuning.class_delay[class])
    }

    fn wait_unit(&self, tuning: &QueueTuning) -> ClockSpan {
        self.objective.max(tuning.wait_unit_min)
    }

    fn misses_deadline(&self, tuning: &QueueTuning, deadline: ClockTime, now: ClockTime) -> bool {
        let needed = if tuning.early_drop { self.call_time.value(now) } else { ClockSpan::ZERO };
        deadline <= now + needed
    }

    /// Returns the id and class index of the next waiter to dequeue.
    ///
    /// Its class is the one whose oldest waiter has the earliest arrival plus class delay. LIFO
    /// order applies only to the most urgent class that waits: a class that is selected because its
    /// oldest waiter has aged must dequeue that waiter.
    fn select(&self, tuning: &QueueTuning, now: ClockTime) -> Option<(u64, usize)> {
        let most_urgent = self.classes.iter().position(|class_queue| class_queue.len() > 0)?;
        let heads = self.classes.iter().enumerate().filter_map(|(class, class_queue)| {
            let (id, waiter) = class_queue.oldest()?;
            Some((waiter.arrived + self.class_delay(tuning, class), class, id))
        });
        let (_, class, oldest) = heads.min()?;
        if class != most_urgent
            && self.dequeues_since_aged >= tuning.aged_interval.saturating_sub(1)
        {
            return Some((oldest, class));
        }
        let class_queue = &self.classes[most_urgent];
        let is_lifo = tuning.order == QueueOrder::AdaptiveLifo
            && class_queue.is_standing(tuning.standing_span, now);
        let (id, _) = if is_lifo { class_queue.newest()? } else { class_queue.oldest()? };
        Some((id, most_urgent))
    }

    /// Removes waiters that cannot finish before their deadline or have waited too long in a
    /// standing queue.
    fn drop_overdue(&mut self, tuning: &QueueTuning, now: ClockTime) -> Vec<(u64, RefusalKind)> {
        let mut dropped = Vec::new();
        let needed = if tuning.early_drop { self.call_time.value(now) } else { ClockSpan::ZERO };
        for class in 0..self.classes.len() {
            let longest = self.overload_wait(tuning, class);
            let class_queue = &mut self.classes[class];
            let late = class_queue.take_due(now + needed);
            dropped.extend(late.into_iter().map(|id| (id, RefusalKind::DeadlineTooShort)));
            if class_queue.is_standing(tuning.standing_span, now) {
                let stale = class_queue.take_stale(longest, now);
                dropped.extend(stale.into_iter().map(|id| (id, RefusalKind::Overloaded)));
            }
        }
        dropped
    }
}

#[derive(Debug)]
struct QueueState {
    services: NameMap<ServiceQueue>,
    /// Service and class index of each waiter.
    locations: HashMap<u64, (SharedName, usize)>,
    dropped: Vec<DroppedWaiter>,
    next_id: u64,
    random: RandomSource,
}

impl QueueState {
    fn refusal(
        &mut self,
        tuning: &QueueTuning,
        service: &str,
        kind: RefusalKind,
        now: ClockTime,
    ) -> RefusalReason {
        let backlog_time = self.services.get(service).map_or(ClockSpan::ZERO, |queue| {
            queue.expected_interval(now).scaled(queue.len() as f64)
        });
        let base = backlog_time.clamp(tuning.retry_after_min, tuning.retry_after_max);
        let jitter = 1.0 + tuning.retry_jitter * (2.0 * self.random.unit() - 1.0);
        RefusalReason { kind, retry_after: base.scaled(jitter) }
    }

    fn drop_waiter(
        &mut self,
        tuning: &QueueTuning,
        service: &str,
        id: u64,
        kind: RefusalKind,
        now: ClockTime,
    ) {
        self.locations.remove(&id);
        let reason = self.refusal(tuning, service, kind, now);
        self.dropped.push(DroppedWaiter { waiter: WaiterId(id), reason });
    }

    fn drop_overdue(&mut self, tuning: &QueueTuning, service: &str, now: ClockTime) {
        let overdue = self
            .services
            .get_mut(service)
            .map(|queue| queue.drop_overdue(tuning, now))
            .unwrap_or_default();
        for (id, kind) in overdue {
            self.drop_waiter(tuning, service, id, kind, now);
        }
    }

    /// Makes room for a call of `class` in a full queue by dropping the newest waiter of the least
    /// urgent class with unprotected waiters. Returns false if no such class is less urgent than
    /// `class`.
    fn displace(
        &mut self,
        tuning: &QueueTuning,
        service: &str,
        class: WorkClass,
        now: ClockTime,
    ) -> bool {
        let Some(queue) = self.services.get_mut(service) else { return false };
        let protected = (queue.limit as f64 * tuning.protected_share) as usize;
        let mut classes = queue.classes[class.index() + 1..].iter_mut().rev();
        let Some(class_queue) = classes.find(|entry| entry.len() > protected) else { return false };
        let Some((id, _)) = class_queue.newest() else { return false };
        class_queue.remove(id);
        self.drop_waiter(tuning, service, id, RefusalKind::Displaced, now);
        true
    }

    /// Returns why a call is refused, or `None` if it may wait. Displaces a waiter if necessary.
    fn check_enqueue(
        &mut self,
        tuning: &QueueTuning,
        request: &CallerRequest,
        now: ClockTime,
    ) -> Option<RefusalKind> {
        let Some(queue) = self.services.get(&request.service) else {
            return Some(RefusalKind::UnknownService);
        };
        let class = request.class;
        let wait = queue.expected_wait(class, now);
        if queue.misses_deadline(tuning, request.deadline - wait, now) {
            return Some(RefusalKind::DeadlineTooShort);
        }
        let standing = queue.classes[class.index()].is_standing(tuning.standing_span, now);
        if standing && wait > queue.overload_wait(tuning, class.index()) {
            return Some(RefusalKind::Overloaded);
        }
        let full = queue.len() >= queue.limit;
        let room =
            !full || (queue.limit > 0 && self.displace(tuning, &request.service, class, now));
        (!room).then_some(RefusalKind::QueueFull)
    }
}

/// Calls that wait for a slot, for each service. More urgent classes are dequeued first, but a
/// waiter that has aged overtakes them, at most once in `aged_interval` dequeues.
#[derive(Debug)]
pub struct WaitQueue {
    tuning: QueueTuning,
    state: RankedMutex<QueueState>,
}

impl WaitQueue {
    /// Returns a queue without services. The seed is that of the jitter of retry times.
    pub fn new(tuning: QueueTuning, seed: u64) -> Self {
        let state = QueueState {
            services: NameMap::default(),
            locations: HashMap::new(),
            dropped: Vec::new(),
            next_id: 1,
            random: RandomSource::from_seed(seed),
        };
        Self { tuning, state: RankedMutex::new(LockRank::WaitQueue, state) }
    }

    /// Applies the contracts of an environment. Waiters of removed services are dropped.
    pub fn apply(&self, map: &EnvironmentMap, now: ClockTime) {
        let mut state = self.state.lock();
        let removed: Vec<SharedName> =
            state.services.keys().filter(|name| map.contract(name).is_none()).cloned().collect();
        for name in removed {
            let ids: Vec<u64> = state.services.remove(&name).map_or_else(Vec::new, |queue| {
                queue
                    .classes
                    .iter()
                    .flat_map(|class_queue| class_queue.ids().collect::<Vec<_>>())
                    .collect()
            });
            for id in ids {
                state.drop_waiter(&self.tuning, &name, id, RefusalKind::UnknownService, now);
            }
        }
        for contract in &map.contracts {
            let queue = state
                .services
                .entry(contract.name.clone())
                .or_insert_with(|| ServiceQueue::new(contract));
            queue.limit = contract.queue_limit as usize;
            queue.objective = contract.objective.latency;
        }
    }

    /// Adds a call to the queue of its service. In a full queue the call displaces the newest
    /// waiter of the least urgent class with unprotected waiters, if that class is less urgent than
    /// its own.
    ///
    /// # Errors
    ///
    /// Refuses calls of unknown services, calls that could not finish before their deadline or
    /// would wait too long in a standing queue, and calls that find the queue full.
    pub fn enqueue(
        &self,
        request: &CallerRequest,
        now: ClockTime,
    ) -> Result<WaiterId, RefusalReason> {
        let mut state = self.state.lock();
        state.drop_overdue(&self.tuning, &request.service, now);
        if let Some(kind) = state.check_enqueue(&self.tuning, request, now) {
            return Err(state.refusal(&self.tuning, &request.service, kind, now));
        }
        let id = state.next_id;
        state.next_id += 1;
        let class = request.class.index();
        state.locations.insert(id, (request.service.clone(), class));
        if let Some(queue) = state.services.get_mut(&request.service) {
            if queue.len() == 0 {
                queue.last_dequeue = now;
            }
            queue.classes[class].push(id, Waiter { arrived: now, deadline: request.deadline });
        }
        Ok(WaiterId(id))
    }

    /// Grants a free slot of `service` to the next waiter, which leaves the queue.
    pub fn dequeue(&self, service: &str, now: ClockTime) -> Option<WaiterId> {
        let mut state = self.state.lock();
        state.drop_overdue(&self.tuning, service, now);
        let queue = state.services.get_mut(service)?;
        let (id, class) = queue.select(&self.tuning, now)?;
        let overtakes = queue.classes[..class].iter().any(|class_queue| class_queue.len() > 0);
        queue.dequeues_since_aged =
            if overtakes { 0 } else { queue.dequeues_since_aged.saturating_add(1) };
        queue.classes[class].remove(id);
        queue.dequeue_interval.record(
            now.since(queue.last_dequeue),
            self.tuning.sample_weight,
            now,
        );
        queue.last_dequeue = now;
        state.locations.remove(&id);
        Some(WaiterId(id))
    }

    /// Removes a waiter whose call was cancelled. Returns false if it was no longer waiting; a slot
    /// that [`WaitQueue::dequeue`] granted to it must then be passed on.
    pub fn cancel(&self, waiter: WaiterId) -> bool {
        let mut state = self.state.lock();
        let Some((service, class)) = state.locations.remove(&waiter.0) else { return false };
        state
            .services
            .get_mut(&service)
            .is_some_and(|queue| queue.classes[class].remove(waiter.0).is_some())
    }

    /// Drops waiters that are overdue, and returns those that were dropped since the last call of
    /// `expire` or `take_dropped`.
    pub fn expire(&self, now: ClockTime) -> Vec<WaiterId> {
        self.take_dropped(now).into_iter().map(|dropped| dropped.waiter).collect()
    }

    /// Like [`WaitQueue::expire`], with the reasons.
    pub fn take_dropped(&self, now: ClockTime) -> Vec<DroppedWaiter> {
        let mut state = self.state.lock();
        let services: Vec<SharedName> = state
            .services
            .iter()
            .filter(|(_, queue)| queue.len() > 0)
            .map(|(name, _)| name.clone())
            .collect();
        for service in services {
            state.drop_overdue(&self.tuning, &service, now);
        }
        std::mem::take(&mut state.dropped)
    }

    /// Records how long a finished call took at its upstream.
    pub fn record_call(&self, service: &str, latency: ClockSpan, now: ClockTime) {
        if let Some(queue) = self.state.lock().services.get_mut(service) {
            queue.call_time.record(latency, self.tuning.sample_weight, now);
        }
    }

    /// Returns the number of calls that wait for a slot of `service`.
    pub fn len(&self, service: &str) -> usize {
        self.state.lock().services.get(service).map_or(0, ServiceQueue::len)
    }

    /// Returns whether no call waits for a slot of `service`.
    pub fn is_empty(&self, service: &str) -> bool {
        self.len(service) == 0
    }
}
