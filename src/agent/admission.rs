//! Decides which requests run on a target, which wait and which are refused.
//!
//! Classes share the slots by weight, measured in time on the target. Callers of one class take
//! turns. A request that cannot start in time is refused at once. The decision has no clock and no
//! random source of its own.

use std::{collections::VecDeque, net::IpAddr, sync::Arc};

use super::load::Smoothed;

/// Time on the target that is assumed before a class has been measured, in microseconds.
const ASSUMED_SERVICE_US: u64 = 10_000;
/// Scale of the virtual time, so that division by a weight loses little.
const VIRTUAL_SCALE: u64 = 1_000;

/// Limits and classes that the decision works with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Long streams that run beside the slots.
    pub long_streams: u32,
    /// Requests of one class that may wait.
    pub queue_length: u32,
    /// How long a request may wait.
    pub queue_timeout_ms: u64,
    /// Names and weights of the classes.
    pub classes: Vec<(Arc<str>, u32)>,
}

/// A request that asks to run.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Number of the request, used once.
    pub id: u64,
    /// Name of its class.
    pub class: Arc<str>,
    /// Address of its caller.
    pub caller: IpAddr,
    /// When it must start at the latest, if its caller has said so.
    pub start_by_ms: Option<u64>,
    /// Whether it counts against long streams instead of slots.
    pub long_stream: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// Its class has as many requests waiting as may wait.
    QueueFull,
    /// It cannot start in time.
    TooLate,
    /// All long streams are in use.
    NoLongStream,
}

/// A refusal and when to try again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// When the caller may try again.
    pub retry_after_ms: u64,
}

/// Answer to a request that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It runs now.
    Run,
    /// It waits.
    Wait,
    /// It does not run.
    Refuse(Refusal),
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It runs now.
    Start(u64),
    /// It does not run.
    Refuse(u64, Refusal),
}

/// What a finished request had been.
#[derive(Clone, Debug)]
pub struct Finished {
    /// Name of its class.
    pub class: Arc<str>,
    /// Time that it took on the target, in microseconds.
    pub service_us: u64,
    /// Whether it counted against long streams.
    pub long_stream: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    id: u64,
    start_by_ms: u64,
}

#[derive(Clone, Debug)]
struct CallerQueue {
    caller: IpAddr,
    waiting: VecDeque<Waiting>,
}

#[derive(Clone, Debug)]
struct ClassQueue {
    name: Arc<str>,
    weight: u32,
    callers: VecDeque<CallerQueue>,
    waiting: u32,
    virtual_time: u64,
    service_us: Smoothed,
}

impl ClassQueue {
    fn new(name: Arc<str>, weight: u32) -> Self {
        Self {
            name,
            weight: weight.max(1),
            callers: VecDeque::new(),
            waiting: 0,
            virtual_time: 0,
            service_us: Smoothed::default(),
        }
    }

    fn estimate_us(&self) -> u64 {
        match self.service_us.value() {
            0 => ASSUMED_SERVICE_US,
            measured => measured,
        }
    }

    fn cost(&self, service_us: u64) -> u64 {
        service_us * VIRTUAL_SCALE / u64::from(self.weight)
    }

    fn push(&mut self, caller: IpAddr, waiting: Waiting) {
        self.waiting += 1;
        match self.callers.iter_mut().find(|queue| queue.caller == caller) {
            Some(queue) => queue.waiting.push_back(waiting),
            None => self.callers.push_back(CallerQueue {
                caller,
                waiting: VecDeque::from([waiting]),
            }),
        }
    }

    /// Takes the first request of the caller whose turn it is.
    fn pop(&mut self) -> Option<u64> {
        let mut queue = self.callers.pop_front()?;
        let waiting = queue.waiting.pop_front()?;
        self.waiting -= 1;
        if !queue.waiting.is_empty() {
            self.callers.push_back(queue);
        }
        Some(waiting.id)
    }

    /// Takes the newest request of the caller with the most, if that is more than `caller` has.
    fn displace(&mut self, caller: IpAddr) -> Option<u64> {
        let own = self.callers.iter().find(|queue| queue.caller == caller);
        let own_len = own.map_or(0, |queue| queue.waiting.len());
        let longest = self
            .callers
            .iter_mut()
            .max_by_key(|queue| queue.waiting.len())?;
        if longest.waiting.len() <= own_len + 1 {
            return None;
        }
        let displaced = longest.waiting.pop_back()?;
        self.waiting -= 1;
        Some(displaced.id)
    }

    fn remove(&mut self, id: u64) {
        for queue in &mut self.callers {
            let before = queue.waiting.len();
            queue.waiting.retain(|waiting| waiting.id != id);
            if queue.waiting.len() < before {
                self.waiting -= 1;
            }
        }
        self.callers.retain(|queue| !queue.waiting.is_empty());
    }

    fn overdue(&self, now_ms: u64) -> Vec<u64> {
        let all = self.callers.iter().flat_map(|queue| &queue.waiting);
        all.filter(|waiting| waiting.start_by_ms <= now_ms)
            .map(|waiting| waiting.id)
            .collect()
    }
}

/// The slots of one target and the requests that wait for them.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    classes: Vec<ClassQueue>,
    running: u32,
    long_streams: u32,
    virtual_time: u64,
    displaced: VecDeque<(u64, Refusal)>,
}

impl Admission {
    /// Starts with free slots.
    ///
    /// ```
    /// use bamboowind::agent::admission::{Admission, AdmissionLimits, Ticket, Verdict};
    ///
    /// let mut admission = Admission::new(AdmissionLimits {
    ///     slots: 1,
    ///     long_streams: 1,
    ///     queue_length: 1,
    ///     queue_timeout_ms: 500,
    ///     classes: vec![("normal".into(), 1)],
    /// });
    /// let ticket = |id| Ticket {
    ///     id,
    ///     class: "normal".into(),
    ///     caller: "10.9.0.1".parse().unwrap(),
    ///     start_by_ms: None,
    ///     long_stream: false,
    /// };
    /// assert_eq!(admission.arrive(0, &ticket(1), 0), Verdict::Run);
    /// assert_eq!(admission.arrive(0, &ticket(2), 0), Verdict::Wait);
    /// assert!(matches!(admission.arrive(0, &ticket(3), 0), Verdict::Refuse(_)));
    /// ```
    #[must_use]
    pub fn new(limits: AdmissionLimits) -> Self {
        let mut admission = Self {
            limits,
            classes: Vec::new(),
            running: 0,
            long_streams: 0,
            virtual_time: 0,
            displaced: VecDeque::new(),
        };
        admission.rebuild_classes();
        admission
    }

    /// Puts other limits in force; requests that wait keep their places.
    pub fn set_limits(&mut self, limits: AdmissionLimits) {
        if limits != self.limits {
            self.limits = limits;
            self.rebuild_classes();
        }
    }

    /// Requests that run in slots.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.classes.iter().map(|class| class.waiting).sum()
    }

    /// Decides on a request that asks to run; `jitter` spreads the time of a new try.
    pub fn arrive(&mut self, now_ms: u64, ticket: &Ticket, jitter: u32) -> Verdict {
        if ticket.long_stream {
            return self.arrive_long(jitter);
        }
        let index = self.class_index(&ticket.class);
        if self.running < self.limits.slots && self.waiting() == 0 {
            self.start(index);
            return Verdict::Run;
        }
        let latest = now_ms + self.limits.queue_timeout_ms;
        let start_by_ms = ticket
            .start_by_ms
            .map_or(latest, |start_by| start_by.min(latest));
        let wait_ms = self.expected_wait_ms(index);
        let refuse = |reason| Refusal {
            reason,
            retry_after_ms: spread(wait_ms, jitter),
        };
        if now_ms + wait_ms > start_by_ms {
            return Verdict::Refuse(refuse(RefusalReason::TooLate));
        }
        if self.classes[index].waiting >= self.limits.queue_length {
            let refusal = refuse(RefusalReason::QueueFull);
            match self.classes[index].displace(ticket.caller) {
                Some(id) => self.displaced.push_back((id, refusal)),
                None => return Verdict::Refuse(refusal),
            }
        }
        self.enqueue(index, ticket, start_by_ms);
        Verdict::Wait
    }

    /// Notes that a request has finished and left its slot.
    pub fn finish(&mut self, finished: &Finished) {
        if finished.long_stream {
            self.long_streams = self.long_streams.saturating_sub(1);
            return;
        }
        self.running = self.running.saturating_sub(1);
        let index = self.class_index(&finished.class);
        let class = &mut self.classes[index];
        let estimated = class.cost(class.estimate_us());
        let actual = class.cost(finished.service_us);
        class.virtual_time = (class.virtual_time + actual).saturating_sub(estimated);
        class.service_us.add(finished.service_us.max(1));
    }

    /// Forgets a waiting request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        for class in &mut self.classes {
            class.remove(id);
        }
    }

    /// The next thing that becomes of a waiting request; call it until it returns `None`.
    pub fn next_effect(&mut self, now_ms: u64) -> Option<Effect> {
        if let Some((id, refusal)) = self.displaced.pop_front() {
            return Some(Effect::Refuse(id, refusal));
        }
        if let Some(id) = self
            .classes
            .iter()
            .find_map(|class| class.overdue(now_ms).first().copied())
        {
            self.cancel(id);
            let refusal = Refusal {
                reason: RefusalReason::TooLate,
                retry_after_ms: self.limits.queue_timeout_ms,
            };
            return Some(Effect::Refuse(id, refusal));
        }
        if self.running >= self.limits.slots {
            return None;
        }
        let backlogged = (0..self.classes.len()).filter(|&index| self.classes[index].waiting > 0);
        let next = backlogged.min_by_key(|&index| self.classes[index].virtual_time)?;
        let id = self.classes[next].pop()?;
        self.start(next);
        Some(Effect::Start(id))
    }

    fn arrive_long(&mut self, jitter: u32) -> Verdict {
        if self.long_streams < self.limits.long_streams {
            self.long_streams += 1;
            return Verdict::Run;
        }
        Verdict::Refuse(Refusal {
            reason: RefusalReason::NoLongStream,
            retry_after_ms: spread(self.limits.queue_timeout_ms, jitter),
        })
    }

    fn enqueue(&mut self, index: usize, ticket: &Ticket, start_by_ms: u64) {
        let virtual_time = self.virtual_time;
        let class = &mut self.classes[index];
        if class.waiting == 0 {
            // An idle class saves no credit up for later.
            class.virtual_time = class.virtual_time.max(virtual_time);
        }
        class.push(
            ticket.caller,
            Waiting {
                id: ticket.id,
                start_by_ms,
            },
        );
    }

    fn start(&mut self, index: usize) {
        self.running += 1;
        let class = &mut self.classes[index];
        class.virtual_time = class.virtual_time.max(self.virtual_time);
        self.virtual_time = class.virtual_time;
        class.virtual_time += class.cost(class.estimate_us());
    }

    /// How long a new request of a class would wait, given the share of the classes that wait.
    fn expected_wait_ms(&self, index: usize) -> u64 {
        let class = &self.classes[index];
        let others = self.classes.iter().enumerate();
        let contending: u32 = others
            .filter(|&(other, queue)| other == index || queue.waiting > 0)
            .map(|(_, queue)| queue.weight)
            .sum();
        let slots = u64::from(self.limits.slots.max(1));
        let ahead = u64::from(class.waiting) + 1;
        let work_us = ahead * class.estimate_us() * u64::from(contending);
        work_us / (slots * u64::from(class.weight)) / 1_000
    }

    /// Index of a class; an unknown one shares the first.
    fn class_index(&self, name: &str) -> usize {
        self.classes
            .binary_search_by(|class| (*class.name).cmp(name))
            .unwrap_or_default()
    }

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
            for waiting in queue.waiting {
                self.classes[0].push(queue.caller, waiting);
            }
        }
    }
}

/// Between one and two times `wait_ms`, and never zero.
fn spread(wait_ms: u64, jitter: u32) -> u64 {
    let base_ms = wait_ms.max(1);
    base_ms + u64::from(jitter) * base_ms / u64::from(u32::MAX)
}
