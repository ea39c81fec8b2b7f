//! Admission control for one target: which requests run, which are queued and which are refused.
//!
//! Slots are shared between classes by weighted fair queueing on service time, and between the
//! callers of a class by round robin. A request that is not expected to start before its deadline
//! is refused immediately. Time and randomness are passed in as arguments, so that decisions are
//! reproducible.

use std::{collections::VecDeque, net::IpAddr, sync::Arc};

use super::load::Ewma;

/// Expected service time of a class that has no completed request yet, in microseconds.
const DEFAULT_SERVICE_US: u64 = 10_000;
/// Factor applied to virtual time to reduce the rounding error of the division by a weight.
const VIRTUAL_TIME_SCALE: u64 = 1_000;

/// Configured limits and request classes of a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of concurrent long streams, which do not use slots.
    pub long_streams: u32,
    /// Maximum number of queued requests per class.
    pub queue_length: u32,
    /// Maximum time that a request is queued, in milliseconds.
    pub queue_timeout_ms: u64,
    /// Names and weights of the classes.
    pub classes: Vec<(Arc<str>, u32)>,
}

/// A request submitted for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Unique ID of the request.
    pub id: u64,
    /// Name of the request's class.
    pub class: Arc<str>,
    /// IP address of the caller.
    pub caller: IpAddr,
    /// Latest start time set by the caller, on the same clock as `now_ms`; `None` if the caller set
    /// none.
    pub start_by_ms: Option<u64>,
    /// Whether the request counts against `long_streams` instead of `slots`.
    pub long_stream: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The queue of the request's class is full.
    QueueFull,
    /// The request was not started, or is not expected to start, before its deadline.
    DeadlineExceeded,
    /// The limit on concurrent long streams is reached.
    LongStreamsFull,
}

/// The reason for a refusal and the suggested retry delay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Decision on a submitted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request runs immediately.
    Run,
    /// The request is queued.
    Wait,
    /// The request is refused.
    Refuse(Refusal),
}

/// Decision on a queued request, identified by its ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request leaves the queue and runs.
    Start(u64),
    /// The request leaves the queue and is refused.
    Refuse(u64, Refusal),
}

/// A request that has finished running.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// Name of the request's class.
    pub class: Arc<str>,
    /// Service time: time from the grant of the slot to its release, in microseconds.
    pub service_us: u64,
    /// Whether the request counted against `long_streams` instead of `slots`.
    pub long_stream: bool,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    id: u64,
    /// Deadline for leaving the queue: the caller's deadline or the queue timeout, whichever is
    /// earlier.
    start_by_ms: u64,
}

/// FIFO queue of one caller within a class; never empty.
#[derive(Clone, Debug)]
struct CallerQueue {
    caller: IpAddr,
    requests: VecDeque<QueuedRequest>,
}

/// Queue and fair-queueing state of one class.
#[derive(Clone, Debug)]
struct ClassQueue {
    name: Arc<str>,
    weight: u32,
    /// Callers with queued requests, in round-robin order.
    callers: VecDeque<CallerQueue>,
    /// Number of queued requests of all callers.
    waiting: u32,
    /// Service time charged so far, scaled by [`VIRTUAL_TIME_SCALE`] and divided by the weight.
    virtual_time: u64,
    /// Average service time of a request, in microseconds.
    service_us: Ewma,
}

impl ClassQueue {
    fn new(name: Arc<str>, weight: u32) -> Self {
        Self {
            name,
            weight: weight.max(1),
            callers: VecDeque::new(),
            waiting: 0,
            virtual_time: 0,
            service_us: Ewma::default(),
        }
    }

    fn expected_service_us(&self) -> u64 {
        match self.service_us.value() {
            0 => DEFAULT_SERVICE_US,
            measured => measured,
        }
    }

    /// Virtual time that is charged for a service time.
    fn virtual_cost(&self, service_us: u64) -> u64 {
        service_us * VIRTUAL_TIME_SCALE / u64::from(self.weight)
    }

    fn push(&mut self, caller: IpAddr, request: QueuedRequest) {
        self.waiting += 1;
        match self.callers.iter_mut().find(|queue| queue.caller == caller) {
            Some(queue) => queue.requests.push_back(request),
            None => self.callers.push_back(CallerQueue {
                caller,
                requests: VecDeque::from([request]),
            }),
        }
    }

    /// Removes the oldest request of the next caller in round-robin order and returns its ID.
    fn pop(&mut self) -> Option<u64> {
        let mut queue = self.callers.pop_front()?;
        let request = queue.requests.pop_front()?;
        self.waiting -= 1;
        if !queue.requests.is_empty() {
            self.callers.push_back(queue);
        }
        Some(request.id)
    }

    /// Makes room for a request of `caller`: removes the newest request of the caller with the most
    /// queued requests and returns its ID. Returns `None` unless that caller would still have more
    /// queued requests than `caller` had.
    fn evict_for(&mut self, caller: IpAddr) -> Option<u64> {
        let own_queue = self.callers.iter().find(|queue| queue.caller == caller);
        let own_len = own_queue.map_or(0, |queue| queue.requests.len());
        let longest = self
            .callers
            .iter_mut()
            .max_by_key(|queue| queue.requests.len())?;
        if longest.requests.len() <= own_len + 1 {
            return None;
        }
        let evicted = longest.requests.pop_back()?;
        self.waiting -= 1;
        Some(evicted.id)
    }

    fn remove(&mut self, id: u64) {
        for queue in &mut self.callers {
            let before = queue.requests.len();
            queue.requests.retain(|request| request.id != id);
            if queue.requests.len() < before {
                self.waiting -= 1;
            }
        }
        self.callers.retain(|queue| !queue.requests.is_empty());
    }

    /// IDs of the queued requests whose deadline has passed.
    fn expired(&self, now_ms: u64) -> Vec<u64> {
        let requests = self.callers.iter().flat_map(|queue| &queue.requests);
        requests
            .filter(|request| request.start_by_ms <= now_ms)
            .map(|request| request.id)
            .collect()
    }
}

/// The slots of one target and the requests queued for them.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    /// Sorted by name; never empty.
    classes: Vec<ClassQueue>,
    /// Occupied slots.
    running: u32,
    /// Running long streams.
    long_streams: u32,
    /// Virtual start time of the request that was started last.
    virtual_time: u64,
    /// Requests evicted from a full queue whose refusal has not been returned yet.
    evicted: VecDeque<(u64, Refusal)>,
}

impl Admission {
    /// Creates an admission control with all slots free and empty queues.
    ///
    /// ```
    /// use bamboowind::agent::admission::{Admission, AdmissionLimits, AdmissionRequest, Verdict};
    ///
    /// let mut admission = Admission::new(AdmissionLimits {
    ///     slots: 1,
    ///     long_streams: 1,
    ///     queue_length: 1,
    ///     queue_timeout_ms: 500,
    ///     classes: vec![("normal".into(), 1)],
    /// });
    /// let request = |id| AdmissionRequest {
    ///     id,
    ///     class: "normal".into(),
    ///     caller: "10.9.0.1".parse().unwrap(),
    ///     start_by_ms: None,
    ///     long_stream: false,
    /// };
    /// assert_eq!(admission.submit(0, &request(1), 0), Verdict::Run);
    /// assert_eq!(admission.submit(0, &request(2), 0), Verdict::Wait);
    /// assert!(matches!(admission.submit(0, &request(3), 0), Verdict::Refuse(_)));
    /// ```
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let mut admission = Self {
            limits,
            classes: Vec::new(),
            running: 0,
            long_streams: 0,
            virtual_time: 0,
            evicted: VecDeque::new(),
        };
        admission.rebuild_classes();
        admission
    }

    /// Replaces the limits. Queued requests keep their positions; those of a removed class move to
    /// the first class.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        if limits != self.limits {
            self.limits = limits;
            self.rebuild_classes();
        }
    }

    /// Number of occupied slots.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.classes.iter().map(|class| class.waiting).sum()
    }

    /// Decides whether a request runs, is queued or is refused. `jitter` is a uniformly random
    /// number that spreads the retries of refused requests over time.
    ///
    /// The decision on a queued request is returned by [`Admission::next_queue_decision`].
    pub fn submit(&mut self, now_ms: u64, request: &AdmissionRequest, jitter: u32) -> Verdict {
        if request.long_stream {
            return self.submit_long_stream(jitter);
        }
        let index = self.class_index(&request.class);
        if self.running < self.limits.slots && self.waiting() == 0 {
            self.start(index);
            return Verdict::Run;
        }
        let latest = now_ms + self.limits.queue_timeout_ms;
        let start_by_ms = request
            .start_by_ms
            .map_or(latest, |start_by| start_by.min(latest));
        let wait_ms = self.expected_wait_ms(index);
        let refuse = |reason| Refusal {
            reason,
            retry_after_ms: with_jitter(wait_ms, jitter),
        };
        if now_ms + wait_ms > start_by_ms {
            return Verdict::Refuse(refuse(RefusalReason::DeadlineExceeded));
        }
        if self.classes[index].waiting >= self.limits.queue_length {
            let refusal = refuse(RefusalReason::QueueFull);
            match self.classes[index].evict_for(request.caller) {
                Some(id) => self.evicted.push_back((id, refusal)),
                None => return Verdict::Refuse(refusal),
            }
        }
        self.enqueue(index, request, start_by_ms);
        Verdict::Wait
    }

    /// Releases the slot of a finished request and charges its class for the actual service time.
    pub fn finish(&mut self, finished: &FinishedRequest) {
        if finished.long_stream {
            self.long_streams = self.long_streams.saturating_sub(1);
            return;
        }
        self.running = self.running.saturating_sub(1);
        let index = self.class_index(&finished.class);
        let class = &mut self.classes[index];
        let estimated = class.virtual_cost(class.expected_service_us());
        let actual = class.virtual_cost(finished.service_us);
        class.virtual_time = (class.virtual_time + actual).saturating_sub(estimated);
        class.service_us.add(finished.service_us.max(1));
    }

    /// Removes a queued request, for example because its caller has disconnected.
    pub fn cancel(&mut self, id: u64) {
        for class in &mut self.classes {
            class.remove(id);
        }
    }

    /// Returns the next decision on a queued request. Must be called until it returns `None`, after
    /// every other change and at regular intervals, since queued requests expire.
    pub fn next_queue_decision(&mut self, now_ms: u64) -> Option<QueueDecision> {
        if let Some((id, refusal)) = self.evicted.pop_front() {
            return Some(QueueDecision::Refuse(id, refusal));
        }
        if let Some(id) = self
            .classes
            .iter()
            .find_map(|class| class.expired(now_ms).first().copied())
        {
            self.cancel(id);
            let refusal = Refusal {
                reason: RefusalReason::DeadlineExceeded,
                retry_after_ms: self.limits.queue_timeout_ms,
            };
            return Some(QueueDecision::Refuse(id, refusal));
        }
        if self.running >= self.limits.slots {
            return None;
        }
        let backlogged = (0..self.classes.len()).filter(|&index| self.classes[index].waiting > 0);
        let next = backlogged.min_by_key(|&index| self.classes[index].virtual_time)?;
        let id = self.classes[next].pop()?;
        self.start(next);
        Some(QueueDecision::Start(id))
    }

    fn submit_long_stream(&mut self, jitter: u32) -> Verdict {
        if self.long_streams < self.limits.long_streams {
            self.long_streams += 1;
            return Verdict::Run;
        }
        Verdict::Refuse(Refusal {
            reason: RefusalReason::LongStreamsFull,
            retry_after_ms: with_jitter(self.limits.queue_timeout_ms, jitter),
        })
    }

    fn enqueue(&mut self, index: usize, request: &AdmissionRequest, start_by_ms: u64) {
        let virtual_time = self.virtual_time;
        let class = &mut self.classes[index];
        if class.waiting == 0 {
            // A class accumulates no credit while it has no queued requests.
            class.virtual_time = class.virtual_time.max(virtual_time);
        }
        class.push(
            request.caller,
            QueuedRequest {
                id: request.id,
                start_by_ms,
            },
        );
    }

    /// Occupies a slot for a request of a class and charges the class for the expected service
    /// time.
    fn start(&mut self, index: usize) {
        self.running += 1;
        let class = &mut self.classes[index];
        class.virtual_time = class.virtual_time.max(self.virtual_time);
        self.virtual_time = class.virtual_time;
        class.virtual_time += class.virtual_cost(class.expected_service_us());
    }

    /// Expected queueing time of a new request of a class, in milliseconds, given the class's share
    /// of the slots among the classes with queued requests.
    fn expected_wait_ms(&self, index: usize) -> u64 {
        let class = &self.classes[index];
        let others = self.classes.iter().enumerate();
        let contending: u32 = others
            .filter(|&(other, queue)| other == index || queue.waiting > 0)
            .map(|(_, queue)| queue.weight)
            .sum();
        let slots = u64::from(self.limits.slots.max(1));
        let ahead = u64::from(class.waiting) + 1;
        let work_us = ahead * class.expected_service_us() * u64::from(contending);
        work_us / (slots * u64::from(class.weight)) / 1_000
    }

    /// Index of the class with this name, or of the first class if the name is unknown.
    fn class_index(&self, name: &str) -> usize {
        self.classes
            .binary_search_by(|class| (*class.name).cmp(name))
            .unwrap_or_default()
    }

    /// Rebuilds the class queues from the limits.
    fn rebuild_classes(&mut self) {
        let mut classes: Vec<ClassQueue> = Vec::new();
        for (name, weight) in &self.limits.classes {
            let kept = self.classes.iter().position(|class| class.name == *name);
            let mut class = match kept {
                Some(index) => self.classes.swap_remove(index),
                None => ClassQueue::new(Arc::clone(name), *weight),
            };
            class.weight = (*weight).max(1);
            classes.push(class);
        }
        if classes.is_empty() {
            classes.push(ClassQueue::new("normal".into(), 1));
        }
        classes.sort_by(|one, other| one.name.cmp(&other.name));
        let removed = std::mem::replace(&mut self.classes, classes);
        for queue in removed.into_iter().flat_map(|class| class.callers) {
            for request in queue.requests {
                self.classes[0].push(queue.caller, request);
            }
        }
    }
}

/// Maps `jitter` linearly to a delay between one and two times `wait_ms`, and at least 1 ms.
fn with_jitter(wait_ms: u64, jitter: u32) -> u64 {
    let base_ms = wait_ms.max(1);
    base_ms + u64::from(jitter) * base_ms / u64::from(u32::MAX)
}
