//! The agents of a service as one of them sees them: where a key has its home, and who has room.
//!
//! The home of a key is fixed by the agents that were members when the key was born. A member is
//! announced well before its first key can be born and after its last, so that all agents agree on
//! the members of a moment although they learn of changes at different times.

use std::net::SocketAddrV4;

use super::load::Utilisation;

/// Time between an agent's first acknowledgement and the birth of the first key that may have its
/// home there, and between its leaving and the birth of the first key that may not.
pub const JOIN_DELAY_MS: u64 = 2_000;
/// Time without an acknowledgement after which an agent no longer acts as a home for newer keys.
pub const FENCE_AFTER_MS: u64 = 1_200;
/// Time without news of a member after which newer keys have their home elsewhere.
pub const MEMBER_TIMEOUT_MS: u64 = 3_000;
/// Share of a target's use above the mean that is left as it is.
const TOLERATED_SURPLUS: f64 = 0.02;
/// How far a key's birth may lie in the future.
pub const MAX_CLOCK_ERROR_MS: u64 = 10_000;

/// An agent as it announces itself to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Birth time of the first keys that may have their home there; `None` before it is known.
    pub home_since_ms: Option<u64>,
    /// Birth time of the first keys that no longer have; `None` for no end.
    pub home_until_ms: Option<u64>,
    /// Requests that run or wait.
    pub work: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Whether requests may be handed over to it.
    pub is_accepting: bool,
    /// Share of its slots in use, smoothed over seconds.
    pub utilisation: Utilisation,
}

/// A time in which an agent is the home of the keys that are born.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Term {
    address: SocketAddrV4,
    since_ms: u64,
    until_ms: Option<u64>,
    /// End that is assumed because the agent is not heard; it is lifted when it is heard again.
    silent_from_ms: Option<u64>,
}

impl Term {
    fn new(address: SocketAddrV4, since_ms: u64, until_ms: Option<u64>) -> Self {
        Self {
            address,
            since_ms,
            until_ms,
            silent_from_ms: None,
        }
    }

    fn end_ms(&self) -> Option<u64> {
        [self.until_ms, self.silent_from_ms]
            .into_iter()
            .flatten()
            .min()
    }

    fn covers(&self, birth_ms: u64) -> bool {
        self.since_ms <= birth_ms && self.end_ms().is_none_or(|end_ms| birth_ms < end_ms)
    }
}

/// The latest notice of an agent and when it came.
#[derive(Clone, Copy, Debug)]
struct Seen {
    notice: Notice,
    seen_at_ms: u64,
}

/// Where a key has its home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Home {
    /// At this agent.
    Own,
    /// At another agent.
    Other(SocketAddrV4),
    /// No agent is known to have been a member when the key was born.
    Unknown,
}

/// The members of a service, as one agent knows them. All times are Unix times in milliseconds.
#[derive(Clone, Debug)]
pub struct Members {
    own: SocketAddrV4,
    acked_at_ms: Option<u64>,
    own_since_ms: Option<u64>,
    own_until_ms: Option<u64>,
    terms: Vec<Term>,
    seen: Vec<Seen>,
    retention_ms: u64,
    oldest_birth_ms: u64,
}

impl Members {
    /// Starts with no other member; terms are remembered for `retention_ms`.
    #[must_use]
    pub fn new(own: SocketAddrV4, retention_ms: u64) -> Self {
        Self {
            own,
            acked_at_ms: None,
            own_since_ms: None,
            own_until_ms: None,
            terms: Vec::new(),
            seen: Vec::new(),
            retention_ms,
            oldest_birth_ms: 0,
        }
    }

    /// Sets how long outcomes are kept; what was forgotten before stays forgotten.
    pub fn set_retention_ms(&mut self, now_ms: u64, retention_ms: u64) {
        self.forget_old(now_ms);
        self.retention_ms = retention_ms;
        self.forget_old(now_ms);
    }

    /// Birth time of the oldest keys that are decided on; outcomes of older ones may be forgotten.
    pub fn forget_old(&mut self, now_ms: u64) -> u64 {
        let oldest_ms = now_ms.saturating_sub(self.retention_ms);
        self.oldest_birth_ms = self.oldest_birth_ms.max(oldest_ms);
        self.oldest_birth_ms
    }

    /// Notes that a balancer has acknowledged this agent.
    pub fn acknowledged(&mut self, now_ms: u64) {
        self.fence(now_ms);
        self.acked_at_ms = Some(now_ms);
        if self.own_since_ms.is_none() && self.own_until_ms.is_none() {
            let since_ms = now_ms + JOIN_DELAY_MS;
            self.own_since_ms = Some(since_ms);
            self.terms.push(Term::new(self.own, since_ms, None));
        }
    }

    /// Ends this agent's term when it has gone without an acknowledgement for too long.
    fn fence(&mut self, now_ms: u64) {
        let Some(fence_ms) = self.fence_ms().filter(|&fence_ms| fence_ms < now_ms) else {
            return;
        };
        self.end_term(self.own, fence_ms);
        self.own_since_ms = None;
        self.acked_at_ms = None;
    }

    fn fence_ms(&self) -> Option<u64> {
        self.acked_at_ms.map(|acked_ms| acked_ms + FENCE_AFTER_MS)
    }

    /// Notes that this agent drains.
    pub fn leave(&mut self, now_ms: u64) {
        let until_ms = now_ms + JOIN_DELAY_MS;
        if self.own_until_ms.is_none() {
            self.own_until_ms = Some(until_ms);
            self.end_term(self.own, until_ms);
        }
    }

    /// Notes that this agent no longer drains.
    pub fn stay(&mut self) {
        if self.own_until_ms.take().is_some() {
            self.own_since_ms = None;
        }
    }

    /// Birth times between which keys may have their home here.
    #[must_use]
    pub fn own_term(&self) -> (Option<u64>, Option<u64>) {
        (self.own_since_ms, self.own_until_ms)
    }

    /// Whether this agent is known to the others for long enough to take flows.
    #[must_use]
    pub fn has_joined(&self, now_ms: u64) -> bool {
        self.own_since_ms.is_some_and(|since_ms| since_ms <= now_ms)
    }

    /// Notes what a balancer says of the other agents.
    pub fn observe(&mut self, now_ms: u64, notices: impl IntoIterator<Item = Notice>) {
        for notice in notices {
            if notice.address != self.own {
                self.observe_one(now_ms, notice);
            }
        }
        self.expire(now_ms);
    }

    fn observe_one(&mut self, now_ms: u64, notice: Notice) {
        let seen = Seen {
            notice,
            seen_at_ms: now_ms,
        };
        match self
            .seen
            .binary_search_by_key(&notice.address, |seen| seen.notice.address)
        {
            Ok(index) => self.seen[index] = seen,
            Err(index) => self.seen.insert(index, seen),
        }
        let Some(since_ms) = notice.home_since_ms else {
            return;
        };
        let is_known =
            |term: &&mut Term| term.address == notice.address && term.since_ms == since_ms;
        if let Some(term) = self.terms.iter_mut().find(is_known) {
            let ends = [term.until_ms, notice.home_until_ms];
            term.until_ms = ends.into_iter().flatten().min();
            term.silent_from_ms = None;
            return;
        }
        // A member that was away and comes back begins a new term.
        self.end_term(notice.address, since_ms);
        self.terms
            .push(Term::new(notice.address, since_ms, notice.home_until_ms));
    }

    /// Ends the terms of silent members and forgets terms that no living key can need.
    fn expire(&mut self, now_ms: u64) {
        let silent: Vec<Seen> = self
            .seen
            .iter()
            .filter(|seen| seen.seen_at_ms + MEMBER_TIMEOUT_MS <= now_ms)
            .copied()
            .collect();
        for seen in silent {
            let address = seen.notice.address;
            let silent_from_ms = Some(seen.seen_at_ms + MEMBER_TIMEOUT_MS);
            let terms = self.terms.iter_mut().filter(|term| term.address == address);
            terms.for_each(|term| term.silent_from_ms = term.silent_from_ms.or(silent_from_ms));
            self.seen.retain(|other| other.notice.address != address);
        }
        let oldest_ms = self.forget_old(now_ms);
        self.terms
            .retain(|term| term.end_ms().is_none_or(|end_ms| end_ms >= oldest_ms));
    }

    fn end_term(&mut self, address: SocketAddrV4, until_ms: u64) {
        let open = self.terms.iter_mut().filter(|term| term.address == address);
        for term in open {
            term.until_ms = Some(
                term.until_ms
                    .map_or(until_ms, |end_ms| end_ms.min(until_ms)),
            );
        }
    }

    /// The home of a key: the member at its birth with the highest hash.
    #[must_use]
    pub fn home(&self, key: &str, birth_ms: u64) -> Home {
        let members = self.terms.iter().filter(|term| term.covers(birth_ms));
        let home = members
            .map(|term| term.address)
            .max_by_key(|&address| weight(key, address));
        match home {
            Some(address) if address == self.own => Home::Own,
            Some(address) => Home::Other(address),
            None => Home::Unknown,
        }
    }

    /// Whether this agent may decide on a key: it is the key's home by its own knowledge, that
    /// knowledge was fresh when the key was born, and outcomes of that age are still kept.
    #[must_use]
    pub fn may_decide(&mut self, key: &str, birth_ms: u64, now_ms: u64) -> bool {
        let is_fresh = self.fence_ms().is_some_and(|fence_ms| birth_ms <= fence_ms);
        let is_kept = birth_ms >= self.forget_old(now_ms);
        is_fresh && is_kept && self.home(key, birth_ms) == Home::Own
    }

    /// Other agents that requests may be handed to, the one with the most free slots first.
    #[must_use]
    pub fn by_room(&self) -> Vec<Room> {
        let accepting = self
            .seen
            .iter()
            .map(|seen| seen.notice)
            .filter(|notice| notice.is_accepting);
        let mut rooms: Vec<Room> = accepting
            .map(|notice| Room {
                address: notice.address,
                free_slots: notice.slots.saturating_sub(notice.work),
            })
            .collect();
        rooms.sort_by_key(|room| std::cmp::Reverse(room.free_slots));
        rooms
    }

    /// The agent that a request should go to although there is a slot here, to even out the use of
    /// the targets; `draw` is a random number between 0 and 1.
    ///
    /// The share of requests that go elsewhere is the share of this target's use above the mean, and
    /// they go to the others by how far each lies below it.
    #[must_use]
    pub fn even_out(&self, own: Utilisation, draw: f64) -> Option<SocketAddrV4> {
        let others = self
            .seen
            .iter()
            .map(|seen| seen.notice)
            .filter(|notice| notice.is_accepting);
        let others: Vec<(SocketAddrV4, f64)> = others
            .map(|notice| (notice.address, notice.utilisation.value()))
            .collect();
        let members = f64::from(u32::try_from(others.len() + 1).ok()?);
        let sum: f64 = others.iter().map(|(_, used)| used).sum();
        let mean = (sum + own.value()) / members;
        let surplus = own.value() - mean;
        if surplus <= own.value() * TOLERATED_SURPLUS {
            return None;
        }
        let deficits: f64 = others.iter().map(|(_, used)| (mean - used).max(0.0)).sum();
        // The draw first decides whether the request goes, and then, stretched, where to.
        let mut left = draw * own.value() / surplus * deficits;
        for (address, used) in others {
            left -= (mean - used).max(0.0);
            if left < 0.0 {
                return Some(address);
            }
        }
        None
    }

    /// Corrects what is known of another agent's work after asking it.
    pub fn correct_work(&mut self, address: SocketAddrV4, work: u32) {
        if let Ok(index) = self
            .seen
            .binary_search_by_key(&address, |seen| seen.notice.address)
        {
            self.seen[index].notice.work = work;
        }
    }
}

/// Room at another agent, as far as it is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Slots that were free when it was heard last.
    pub free_slots: u32,
}

fn weight(key: &str, address: SocketAddrV4) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&address.ip().octets());
    hasher.update(&address.port().to_be_bytes());
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}
