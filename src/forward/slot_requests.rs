//! Requests for free slots between the agents of a service, and slots kept for those who asked.
//!
//! Answers the load where dozens of balancers place flows on dozens of targets with few slots each.
//! Reports of the load are then older than the time between two flows of a target, so some targets
//! get more flows than they have slots while others are idle. Only the agent beside a target knows
//! its free slots at this moment: an agent where a SYN waits asks some siblings, and one that has a
//! free slot, or has one a little later, keeps it for the agent that asked. That costs a few
//! notices for each SYN that waits, however many instances there are.

use std::{collections::VecDeque, net::SocketAddrV4};

use crate::membership::{directory::Directory, instance::TargetState, rendezvous::weight};

/// Siblings that are asked at a time: with nine of ten targets busy, a third of the requests still
/// finds a free slot at once.
const ASKED: usize = 4;
/// Pause between two requests of an agent while SYNs wait there: about a service time, after which
/// other siblings have free slots.
const ASK_INTERVAL_MS: u64 = 20;
/// Time for which a request is remembered, until the next one replaces it.
const REQUEST_LIFE_MS: u64 = 40;
/// Requests that are remembered at most.
const MAX_REQUESTS: usize = 64;
/// Time for which a slot is kept: the notice and the SYN cross between failure domains, with room
/// for a paused process.
const GRANT_LIFE_MS: u64 = 10;

/// An agent's requests and grants.
#[derive(Clone, Debug, Default)]
pub struct SlotRequests {
    /// Siblings that have asked, oldest first, with the time of the request.
    requests: VecDeque<(SocketAddrV4, u64)>,
    /// Times at which slots were granted that were not used yet.
    grants: VecDeque<u64>,
    asked_at_ms: Option<u64>,
    rounds: u64,
}

impl SlotRequests {
    /// Makes an agent's empty list.
    ///
    /// ```
    /// use bamboowind::forward::slot_requests::SlotRequests;
    ///
    /// let sibling = "10.1.0.12:7720".parse().unwrap();
    /// let mut slots = SlotRequests::new();
    /// slots.request(sibling, 0);
    /// assert_eq!(slots.grant(0, 1), None);
    /// assert_eq!(slots.grant(1, 2), Some(sibling));
    /// assert_eq!(slots.grant(1, 3), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Siblings to ask now for a slot; none while the last request is fresh.
    pub fn asked(
        &mut self,
        directory: &Directory,
        service: &str,
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        let is_fresh = |at_ms: u64| now_ms.saturating_sub(at_ms) < ASK_INTERVAL_MS;
        if self.asked_at_ms.is_some_and(is_fresh) {
            return Vec::new();
        }
        self.asked_at_ms = Some(now_ms);
        self.rounds += 1;
        let siblings = directory.members().iter().filter(|member| {
            member.serves(service)
                && member.load.state == TargetState::Ready
                && member.is_alive(now_ms)
                && !directory.is_local(member)
        });
        let addresses: Vec<_> = siblings.map(|m| m.instance.control_address).collect();
        let len = addresses.len();
        let random = weight(now_ms, self.rounds);
        let first = usize::try_from(random % (len.max(1) as u64)).unwrap_or_default();
        let chosen = (0..len.min(ASKED)).map(|offset| addresses[(first + offset) % len]);
        chosen.collect()
    }

    /// Notes that flows wait at a sibling.
    pub fn request(&mut self, sibling: SocketAddrV4, now_ms: u64) {
        self.requests.retain(|(other, _)| *other != sibling);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push_back((sibling, now_ms));
        }
    }

    /// The sibling that a slot is granted to, of `free` that no flow uses.
    pub fn grant(&mut self, free: u32, now_ms: u64) -> Option<SocketAddrV4> {
        let is_over = |at_ms: u64, life_ms: u64| now_ms.saturating_sub(at_ms) >= life_ms;
        self.grants.retain(|at_ms| !is_over(*at_ms, GRANT_LIFE_MS));
        self.requests
            .retain(|(_, at_ms)| !is_over(*at_ms, REQUEST_LIFE_MS));
        if self.grants.len() >= usize::try_from(free).unwrap_or(usize::MAX) {
            return None;
        }
        let (sibling, _) = self.requests.pop_front()?;
        self.grants.push_back(now_ms);
        Some(sibling)
    }

    /// A flow has come that another agent had.
    pub fn grant_used(&mut self) {
        self.grants.pop_front();
    }
}
