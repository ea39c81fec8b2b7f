//! Queue of SYNs that wait at an agent for a free slot of the local target.
//!
//! After an outage, callers open at once the flows that they could not open before, and targets
//! that have just started are slow. A target's own queue is first in, first out, so that every
//! response would be late. This queue serves the class with the highest priority first. Within a
//! class, SYNs that can still meet their latency target come first, and the others get the
//! remaining slots. A SYN that cannot be served before its caller abandons the attempt is refused
//! at once.

use crate::flow::packet::FlowKey;

/// Maximum number of queued SYNs. More could not be served before their attempts end.
const MAX_QUEUED: usize = 512;
/// Time from sending a SYN to the target until the request arrives: two round trips to the caller.
pub const HANDSHAKE_MS: u64 = 8;

/// A queued SYN.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedSyn {
    /// The flow that the SYN opens.
    pub flow: FlowKey,
    /// The packet as received.
    pub datagram: Vec<u8>,
    /// Time at which the SYN was queued, on the clock of this process.
    pub queued_at_ms: u64,
    /// Time at which the caller started this attempt.
    pub attempt_started_at_ms: u64,
    /// Time at which the caller abandons this attempt.
    pub attempt_ends_at_ms: u64,
    /// Latency target of the class: time from the start of the attempt within which the caller
    /// wants a response.
    pub target_latency_ms: u64,
    /// Priority of the class; 0 is the highest.
    pub priority: u8,
}

impl QueuedSyn {
    /// Time at which the latency target expires.
    fn deadline_ms(&self) -> u64 {
        self.attempt_started_at_ms + self.target_latency_ms
    }

    /// Whether the response can start before the deadline if the SYN is served now.
    fn meets_deadline(&self, now_ms: u64, service_time_ms: u64) -> bool {
        now_ms + HANDSHAKE_MS + service_time_ms <= self.deadline_ms()
    }
}

/// Rate at which a target serves requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceRate {
    /// Number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Mean service time of a request, in milliseconds.
    pub service_time_ms: u64,
}

/// Queued SYNs, ordered when they are removed.
#[derive(Clone, Debug, Default)]
pub struct SynQueue {
    syns: Vec<QueuedSyn>,
}

impl SynQueue {
    /// Creates an empty queue.
    ///
    /// ```
    /// use bamboowind::forward::agent::syn_queue::{ServiceRate, SynQueue};
    ///
    /// let mut queue = SynQueue::new();
    /// assert_eq!(queue.pop(0, ServiceRate { capacity: 2, service_time_ms: 10 }), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of queued SYNs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.syns.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.syns.is_empty()
    }

    /// Time that the oldest SYN has spent in the queue, in milliseconds; 0 if the queue is empty.
    #[must_use]
    pub fn longest_wait_ms(&self, now_ms: u64) -> u64 {
        let arrivals = self.syns.iter().map(|syn| syn.queued_at_ms);
        arrivals
            .min()
            .map_or(0, |at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Whether the SYN of a flow is queued.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.syns.iter().any(|syn| syn.flow == flow)
    }

    /// Queues a SYN.
    ///
    /// # Errors
    ///
    /// Returns the SYN if it cannot be served before its attempt ends or the queue is full.
    pub fn push(
        &mut self,
        syn: QueuedSyn,
        now_ms: u64,
        rate: ServiceRate,
    ) -> Result<(), QueuedSyn> {
        let ahead = self.syns.len() as u64 + 1;
        let wait_ms = ahead * rate.service_time_ms / u64::from(rate.capacity.max(1));
        if self.syns.len() >= MAX_QUEUED || now_ms + wait_ms > syn.attempt_ends_at_ms {
            return Err(syn);
        }
        self.syns.push(syn);
        Ok(())
    }

    /// Puts a SYN back that was removed but could not be served.
    pub fn put_back(&mut self, syn: QueuedSyn) {
        self.syns.push(syn);
    }

    /// Removes the SYNs whose attempts end before they can be served.
    pub fn drain_expired(&mut self, now_ms: u64) -> impl Iterator<Item = QueuedSyn> + '_ {
        self.syns.extract_if(.., move |syn| {
            now_ms + HANDSHAKE_MS >= syn.attempt_ends_at_ms
        })
    }

    /// Removes and returns the SYN to serve next; `None` if the queue is empty.
    pub fn pop(&mut self, now_ms: u64, rate: ServiceRate) -> Option<QueuedSyn> {
        let rank = |syn: &QueuedSyn| {
            if syn.meets_deadline(now_ms, rate.service_time_ms) {
                (syn.priority, 0, syn.deadline_ms())
            } else {
                (syn.priority, 1, u64::MAX - syn.attempt_started_at_ms)
            }
        };
        let indexed = self.syns.iter().enumerate();
        let (index, _) = indexed.min_by_key(|(_, syn)| rank(syn))?;
        Some(self.syns.swap_remove(index))
    }
}
