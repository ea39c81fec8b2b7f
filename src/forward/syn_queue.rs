//! SYNs that wait at an agent for a free slot of its target.
//!
//! Answers the load right after an outage: callers bring at once what they could not bring before,
//! targets are slow after their start, and a target's own queue works in order of arrival, so that
//! everyone is late. Here the more urgent class goes first; within a class the SYNs that can still
//! be answered in time do, and the late ones get the slots that are left. One that cannot be served
//! before its caller gives the attempt up is refused at once.

use crate::flow::packet::FlowKey;

/// SYNs that wait at most; more cannot be served before their attempts end.
const MAX_WAITING: usize = 512;
/// Time between a SYN and its request at the target: two trips to the caller and back.
pub const HANDSHAKE_MS: u64 = 8;

/// A SYN that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: FlowKey,
    /// The packet.
    pub datagram: Vec<u8>,
    /// When it began to wait, on the clock of the process.
    pub queued_at_ms: u64,
    /// When the caller began this attempt.
    pub attempt_started_at_ms: u64,
    /// When the caller gives this attempt up.
    pub attempt_ends_at_ms: u64,
    /// Time from the beginning in which the answer is wanted.
    pub target_latency_ms: u64,
    /// Urgency of the class; 0 is the highest.
    pub priority: u8,
}

impl QueuedSyn {
    fn deadline_ms(&self) -> u64 {
        self.attempt_started_at_ms + self.target_latency_ms
    }

    fn meets_deadline(&self, now_ms: u64, service_time_ms: u64) -> bool {
        now_ms + HANDSHAKE_MS + service_time_ms <= self.deadline_ms()
    }
}

/// How fast the target works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceRate {
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Time for one request, in milliseconds.
    pub service_time_ms: u64,
}

/// The SYNs that wait.
#[derive(Clone, Debug, Default)]
pub struct SynQueue {
    syns: Vec<QueuedSyn>,
}

impl SynQueue {
    /// Makes an empty queue.
    ///
    /// ```
    /// use bamboowind::forward::syn_queue::{Pace, SynQueue};
    ///
    /// let mut queue = SynQueue::new();
    /// assert_eq!(queue.take(0, Pace { capacity: 2, service_ms: 10 }), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of SYNs that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.syns.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.syns.is_empty()
    }

    /// How long the SYN that came first has waited, in milliseconds.
    #[must_use]
    pub fn longest_wait_ms(&self, now_ms: u64) -> u64 {
        let arrivals = self.syns.iter().map(|syn| syn.queued_at_ms);
        arrivals
            .min()
            .map_or(0, |at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Whether a flow's SYN waits.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.syns.iter().any(|syn| syn.flow == flow)
    }

    /// Adds a SYN. Gives it back if it cannot be served before its attempt ends.
    ///
    /// # Errors
    ///
    /// Returns the SYN that is to be refused.
    pub fn push(
        &mut self,
        syn: QueuedSyn,
        now_ms: u64,
        rate: ServiceRate,
    ) -> Result<(), QueuedSyn> {
        let ahead = self.syns.len() as u64 + 1;
        let wait_ms = ahead * rate.service_time_ms / u64::from(rate.capacity.max(1));
        if self.syns.len() >= MAX_WAITING || now_ms + wait_ms > syn.attempt_ends_at_ms {
            return Err(syn);
        }
        self.syns.push(syn);
        Ok(())
    }

    /// Puts a SYN back that was taken and could not be served.
    pub fn put_back(&mut self, syn: QueuedSyn) {
        self.syns.push(syn);
    }

    /// Takes out the SYNs whose attempts end before they can be served.
    pub fn drain_expired(&mut self, now_ms: u64) -> impl Iterator<Item = QueuedSyn> + '_ {
        self.syns.extract_if(.., move |syn| {
            now_ms + HANDSHAKE_MS >= syn.attempt_ends_at_ms
        })
    }

    /// Takes the SYN that is to be served next.
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
