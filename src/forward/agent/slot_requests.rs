//! Requests for free slots between the agents of a service, and the grants in response.
//!
//! When dozens of balancers place flows on dozens of targets with few slots each, load reports are
//! older than the time between two flows of a target. Some targets then receive more flows than
//! they have slots while others are idle. Only the agent of a target knows its free slots at any
//! moment. An agent with a queued SYN therefore requests a slot from some sibling agents, and one
//! that has a free slot now or shortly afterwards reserves it for that agent. This costs a few
//! notices per queued SYN, regardless of the number of instances.

use std::{collections::VecDeque, net::SocketAddrV4};

use crate::{
    membership::{directory::Directory, instance::TargetState, rendezvous::weight},
    placement,
};

/// Number of siblings that receive each request. With nine of ten targets busy, a third of the
/// requests still find a free slot at once.
const REQUEST_FANOUT: usize = 4;
/// Interval between two requests while SYNs are queued: about one service time, after which slots
/// have become free at other siblings.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Time for which a received request is valid. It is longer than `REQUEST_INTERVAL_MS`, so the next
/// request arrives first.
const REQUEST_TTL_MS: u64 = 40;
/// Maximum number of stored requests.
const MAX_REQUESTS: usize = 64;
/// Time for which a granted slot is reserved. It covers the notice and the SYN crossing between
/// failure domains, with a margin for a paused process.
const GRANT_TTL_MS: u64 = 10;

/// Slot requests received and slots granted by an agent, and the times of its own requests.
#[derive(Clone, Debug, Default)]
pub struct SlotRequests {
    /// Siblings that have requested a slot, oldest first, with the time of the request.
    requests: VecDeque<(SocketAddrV4, u64)>,
    /// Times of the grants that have not been used yet, oldest first.
    grants: VecDeque<u64>,
    /// Time of the last request sent to siblings; `None` before the first one.
    requested_at_ms: Option<u64>,
    /// Number of times that requests were sent, which varies the choice of siblings.
    rounds: u64,
}

impl SlotRequests {
    /// Creates a state without requests or grants.
    ///
    /// ```
    /// use bamboowind::forward::agent::slot_requests::SlotRequests;
    ///
    /// let sibling = "10.1.0.12:7720".parse().unwrap();
    /// let mut slots = SlotRequests::new();
    /// slots.record_request(sibling, 0);
    /// assert_eq!(slots.grant(0, 1), None);
    /// assert_eq!(slots.grant(1, 2), Some(sibling));
    /// assert_eq!(slots.grant(1, 3), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Control addresses of the siblings to send a request to; empty if the last request was sent
    /// less than `REQUEST_INTERVAL_MS` ago.
    pub fn next_recipients(
        &mut self,
        directory: &Directory,
        service: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < REQUEST_INTERVAL_MS;
        if self.requested_at_ms.is_some_and(is_fresh) {
            return Vec::new();
        }
        self.requested_at_ms = Some(now_ms);
        self.rounds += 1;
        let avoids_suspects = placement::avoids_suspects(directory, service, now_ms);
        let siblings = directory.members().iter().filter(|member| {
            member.serves(service)
                && member.load.state == TargetState::Ready
                && !(avoids_suspects && member.load.is_suspect)
                && member.is_staying(now_ms)
                && !directory.is_evacuated(member)
                && !directory.is_local(member)
        });
        let addresses: Vec<_> = siblings.map(|m| m.instance.control_address).collect();
        let len = addresses.len();
        let random = weight(now_ms, self.rounds);
        let first = usize::try_from(random % (len.max(1) as u64)).unwrap_or_default();
        let chosen = (0..len.min(REQUEST_FANOUT)).map(|offset| addresses[(first + offset) % len]);
        chosen.collect()
    }

    /// Records a request from a sibling. It replaces an earlier one of the same sibling, and is
    /// ignored if too many are stored.
    pub fn record_request(&mut self, sibling: SocketAddrV4, now_ms: u64) {
        self.requests.retain(|(other, _)| *other != sibling);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push_back((sibling, now_ms));
        }
    }

    /// Grants a slot to the sibling that has waited longest and returns its control address; `None`
    /// if there is no request or all `free` slots are reserved.
    pub fn grant(&mut self, free: u32, now_ms: u64) -> Option<SocketAddrV4> {
        let is_expired = |at_ms: u64, ttl_ms: u64| now_ms.saturating_sub(at_ms) >= ttl_ms;
        self.grants
            .retain(|at_ms| !is_expired(*at_ms, GRANT_TTL_MS));
        self.requests
            .retain(|(_, at_ms)| !is_expired(*at_ms, REQUEST_TTL_MS));
        if self.grants.len() >= usize::try_from(free).unwrap_or(usize::MAX) {
            return None;
        }
        let (sibling, _) = self.requests.pop_front()?;
        self.grants.push_back(now_ms);
        Some(sibling)
    }

    /// Releases the oldest reservation when a SYN from another agent has arrived.
    pub fn record_grant_used(&mut self) {
        self.grants.pop_front();
    }
}
