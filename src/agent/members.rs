//! Membership of a service as known to one of its agents: owners of idempotency keys and load of
//! the other agents.
//!
//! The owner of a key is chosen by rendezvous hashing among the agents that were members when the
//! key was created. A planned change of membership is announced [`JOIN_DELAY_MS`] before the
//! creation time from which it applies, so that all agents agree on the members at any creation
//! time although they learn of changes at different times. The wire fields `home_since_ms` and
//! `home_until_ms` carry the period in which an agent owns keys.

use std::net::SocketAddrV4;

use super::load::Utilisation;

/// Delay from an agent's first acknowledgement to the creation time of the first keys that it may
/// own, and from the start of its drain to the creation time of the first keys that it no longer
/// owns.
pub const JOIN_DELAY_MS: u64 = 2_000;
/// Time since the last acknowledgement after which an agent no longer decides on newer keys.
pub const FENCE_AFTER_MS: u64 = 1_200;
/// Time since the last report of a member after which newer keys are owned by other members.
pub const MEMBER_TIMEOUT_MS: u64 = 3_000;
/// Excess over the mean utilisation, as a fraction of the own utilisation, up to which no requests
/// are moved to other targets.
const REBALANCE_TOLERANCE: f64 = 0.02;
/// Maximum tolerated offset of a key's creation time into the future.
pub const MAX_CLOCK_SKEW_MS: u64 = 10_000;

/// State of another agent, as announced by it and passed on by a balancer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberReport {
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Creation time from which the agent may own keys; `None` if it has not been acknowledged yet.
    pub owner_since_ms: Option<u64>,
    /// Creation time from which the agent no longer owns keys; `None` if it is not leaving.
    pub owner_until_ms: Option<u64>,
    /// Number of running and queued requests.
    pub outstanding: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Whether the agent accepts handed-over requests.
    pub is_accepting: bool,
    /// Smoothed share of the agent's slots in use.
    pub utilisation: Utilisation,
}

/// Range of creation times in which an agent is a candidate for the ownership of keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct OwnershipPeriod {
    address: SocketAddrV4,
    /// First creation time of the period.
    since_ms: u64,
    /// Announced end of the period, exclusive.
    until_ms: Option<u64>,
    /// End that is presumed because reports of the agent have stopped; cleared by the next report.
    presumed_end_ms: Option<u64>,
}

impl OwnershipPeriod {
    fn new(address: SocketAddrV4, since_ms: u64, until_ms: Option<u64>) -> Self {
        Self {
            address,
            since_ms,
            until_ms,
            presumed_end_ms: None,
        }
    }

    /// The earlier of the announced and the presumed end.
    fn end_ms(&self) -> Option<u64> {
        [self.until_ms, self.presumed_end_ms]
            .into_iter()
            .flatten()
            .min()
    }

    fn covers(&self, created_at_ms: u64) -> bool {
        self.since_ms <= created_at_ms && self.end_ms().is_none_or(|end_ms| created_at_ms < end_ms)
    }
}

/// The latest report of an agent and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    report: MemberReport,
    received_at_ms: u64,
}

/// The agent that owns an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// This agent.
    Local,
    /// Another agent, by its inner address.
    Remote(SocketAddrV4),
    /// No agent is known to have been a member when the key was created.
    Unknown,
}

/// The members of a service, as known to one agent. All times are in milliseconds since the Unix
/// epoch.
#[derive(Clone, Debug)]
pub struct Members {
    own_address: SocketAddrV4,
    /// Time of the last acknowledgement; `None` before the first one and after fencing.
    last_ack_at_ms: Option<u64>,
    /// Start of this agent's current ownership period.
    own_since_ms: Option<u64>,
    /// End of this agent's current ownership period; `None` unless the agent drains.
    own_until_ms: Option<u64>,
    /// Ownership periods of all members, including this agent.
    periods: Vec<OwnershipPeriod>,
    /// Latest reports of the other members, sorted by address.
    reports: Vec<ReceivedReport>,
    /// Time for which outcomes are stored.
    retention_ms: u64,
    /// Creation time of the oldest keys whose outcomes are stored; never decreases.
    retention_cutoff_ms: u64,
}

impl Members {
    /// Creates a membership without other members. Ownership periods that ended more than
    /// `retention_ms` ago are removed.
    #[must_use]
    pub fn new(own_address: SocketAddrV4, retention_ms: u64) -> Self {
        Self {
            own_address,
            last_ack_at_ms: None,
            own_since_ms: None,
            own_until_ms: None,
            periods: Vec::new(),
            reports: Vec::new(),
            retention_ms,
            retention_cutoff_ms: 0,
        }
    }

    /// Sets the time for which outcomes are stored. A longer time does not move the retention
    /// cutoff back, since older outcomes may already have been removed.
    pub fn set_retention_ms(&mut self, now_ms: u64, retention_ms: u64) {
        self.advance_retention_cutoff(now_ms);
        self.retention_ms = retention_ms;
        self.advance_retention_cutoff(now_ms);
    }

    /// Advances the retention cutoff to the current time and returns it: the creation time of the
    /// oldest keys that are decided on. Outcomes of older keys may be removed.
    pub fn advance_retention_cutoff(&mut self, now_ms: u64) -> u64 {
        let cutoff_ms = now_ms.saturating_sub(self.retention_ms);
        self.retention_cutoff_ms = self.retention_cutoff_ms.max(cutoff_ms);
        self.retention_cutoff_ms
    }

    /// Records an acknowledgement of this agent by a balancer. The first one, also after fencing,
    /// starts a new ownership period.
    pub fn record_ack(&mut self, now_ms: u64) {
        self.fence(now_ms);
        self.last_ack_at_ms = Some(now_ms);
        if self.own_since_ms.is_none() && self.own_until_ms.is_none() {
            let since_ms = now_ms + JOIN_DELAY_MS;
            self.own_since_ms = Some(since_ms);
            self.periods
                .push(OwnershipPeriod::new(self.own_address, since_ms, None));
        }
    }

    /// Ends this agent's ownership period if the last acknowledgement is older than
    /// [`FENCE_AFTER_MS`].
    fn fence(&mut self, now_ms: u64) {
        let Some(fence_ms) = self.fence_ms().filter(|&fence_ms| fence_ms < now_ms) else {
            return;
        };
        self.end_periods(self.own_address, fence_ms);
        self.own_since_ms = None;
        self.last_ack_at_ms = None;
    }

    /// Latest creation time of keys that this agent may decide on without another acknowledgement.
    fn fence_ms(&self) -> Option<u64> {
        self.last_ack_at_ms
            .map(|acked_ms| acked_ms + FENCE_AFTER_MS)
    }

    /// Schedules the end of this agent's ownership period, at the start of a drain.
    pub fn leave(&mut self, now_ms: u64) {
        let until_ms = now_ms + JOIN_DELAY_MS;
        if self.own_until_ms.is_none() {
            self.own_until_ms = Some(until_ms);
            self.end_periods(self.own_address, until_ms);
        }
    }

    /// Cancels [`Members::leave`]: the next acknowledgement starts a new ownership period.
    pub fn cancel_leave(&mut self) {
        if self.own_until_ms.take().is_some() {
            self.own_since_ms = None;
        }
    }

    /// Start and end of this agent's ownership period, as creation times of keys.
    #[must_use]
    pub fn own_period(&self) -> (Option<u64>, Option<u64>) {
        (self.own_since_ms, self.own_until_ms)
    }

    /// Whether the ownership period has started, from which on the agent accepts flows.
    #[must_use]
    pub fn has_joined(&self, now_ms: u64) -> bool {
        self.own_since_ms.is_some_and(|since_ms| since_ms <= now_ms)
    }

    /// Applies the reports of a balancer about other agents.
    pub fn apply_reports(&mut self, now_ms: u64, reports: impl IntoIterator<Item = MemberReport>) {
        for report in reports {
            if report.address != self.own_address {
                self.apply_report(now_ms, report);
            }
        }
        self.expire(now_ms);
    }

    fn apply_report(&mut self, now_ms: u64, report: MemberReport) {
        let received = ReceivedReport {
            report,
            received_at_ms: now_ms,
        };
        match self
            .reports
            .binary_search_by_key(&report.address, |received| received.report.address)
        {
            Ok(index) => self.reports[index] = received,
            Err(index) => self.reports.insert(index, received),
        }
        let Some(since_ms) = report.owner_since_ms else {
            return;
        };
        let is_known = |period: &&mut OwnershipPeriod| {
            period.address == report.address && period.since_ms == since_ms
        };
        if let Some(period) = self.periods.iter_mut().find(is_known) {
            let ends = [period.until_ms, report.owner_until_ms];
            period.until_ms = ends.into_iter().flatten().min();
            period.presumed_end_ms = None;
            return;
        }
        // A member that comes back starts a new period.
        self.end_periods(report.address, since_ms);
        self.periods.push(OwnershipPeriod::new(
            report.address,
            since_ms,
            report.owner_until_ms,
        ));
    }

    /// Presumes the end of the periods of members without recent reports, and removes periods that
    /// ended before the retention cutoff.
    fn expire(&mut self, now_ms: u64) {
        let silent: Vec<ReceivedReport> = self
            .reports
            .iter()
            .filter(|received| received.received_at_ms + MEMBER_TIMEOUT_MS <= now_ms)
            .copied()
            .collect();
        for received in silent {
            let address = received.report.address;
            let end_ms = Some(received.received_at_ms + MEMBER_TIMEOUT_MS);
            let periods = self
                .periods
                .iter_mut()
                .filter(|period| period.address == address);
            periods.for_each(|period| period.presumed_end_ms = period.presumed_end_ms.or(end_ms));
            self.reports.retain(|other| other.report.address != address);
        }
        let cutoff_ms = self.advance_retention_cutoff(now_ms);
        self.periods
            .retain(|period| period.end_ms().is_none_or(|end_ms| end_ms >= cutoff_ms));
    }

    /// Limits the end of all periods of an agent to `until_ms`.
    fn end_periods(&mut self, address: SocketAddrV4, until_ms: u64) {
        let open = self
            .periods
            .iter_mut()
            .filter(|period| period.address == address);
        for period in open {
            period.until_ms = Some(
                period
                    .until_ms
                    .map_or(until_ms, |end_ms| end_ms.min(until_ms)),
            );
        }
    }

    /// The owner of a key: the member with the highest rendezvous weight among the members at the
    /// key's creation time.
    #[must_use]
    pub fn key_owner(&self, key: &str, created_at_ms: u64) -> KeyOwner {
        let members = self
            .periods
            .iter()
            .filter(|period| period.covers(created_at_ms));
        let owner = members
            .map(|period| period.address)
            .max_by_key(|&address| rendezvous_weight(key, address));
        match owner {
            Some(address) if address == self.own_address => KeyOwner::Local,
            Some(address) => KeyOwner::Remote(address),
            None => KeyOwner::Unknown,
        }
    }

    /// Whether this agent may decide on claims of a key. It must be the key's owner according to
    /// the known membership, the membership must have been fresh when the key was created, and
    /// outcomes of that age must still be stored.
    #[must_use]
    pub fn may_decide(&mut self, key: &str, created_at_ms: u64, now_ms: u64) -> bool {
        let is_fresh = self
            .fence_ms()
            .is_some_and(|fence_ms| created_at_ms <= fence_ms);
        let is_kept = created_at_ms >= self.advance_retention_cutoff(now_ms);
        is_fresh && is_kept && self.key_owner(key, created_at_ms) == KeyOwner::Local
    }

    /// Other agents that accept handed-over requests, in descending order of free slots.
    #[must_use]
    pub fn by_free_slots(&self) -> Vec<SlotAvailability> {
        let accepting = self
            .reports
            .iter()
            .map(|received| received.report)
            .filter(|report| report.is_accepting);
        let mut candidates: Vec<SlotAvailability> = accepting
            .map(|report| SlotAvailability {
                address: report.address,
                free_slots: report.slots.saturating_sub(report.outstanding),
            })
            .collect();
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.free_slots));
        candidates
    }

    /// Selects requests to hand over, even if a slot is free at this agent, so that the utilisation
    /// of the targets converges. Returns the agent that should get the request, or `None` to keep
    /// it. `sample` is a uniformly random number in `[0, 1)`.
    ///
    /// The fraction of requests that are handed over is the fraction of this target's utilisation
    /// above the mean. They are distributed in proportion to how far each other target is below the
    /// mean.
    #[must_use]
    pub fn rebalance_destination(&self, own: Utilisation, sample: f64) -> Option<SocketAddrV4> {
        let others = self
            .reports
            .iter()
            .map(|received| received.report)
            .filter(|report| report.is_accepting);
        let others: Vec<(SocketAddrV4, f64)> = others
            .map(|report| (report.address, report.utilisation.value()))
            .collect();
        let members = f64::from(u32::try_from(others.len() + 1).ok()?);
        let sum: f64 = others.iter().map(|(_, utilisation)| utilisation).sum();
        let mean = (sum + own.value()) / members;
        let surplus = own.value() - mean;
        if surplus <= own.value() * REBALANCE_TOLERANCE {
            return None;
        }
        let deficits: f64 = others
            .iter()
            .map(|(_, utilisation)| (mean - utilisation).max(0.0))
            .sum();
        // A sample below `surplus / own` selects the request. Scaled to the sum of the deficits, it
        // also selects the destination.
        let mut remaining = sample * own.value() / surplus * deficits;
        for (address, utilisation) in others {
            remaining -= (mean - utilisation).max(0.0);
            if remaining < 0.0 {
                return Some(address);
            }
        }
        None
    }

    /// Updates another agent's number of outstanding requests from its own reply.
    pub fn set_outstanding(&mut self, address: SocketAddrV4, outstanding: u32) {
        if let Ok(index) = self
            .reports
            .binary_search_by_key(&address, |received| received.report.address)
        {
            self.reports[index].report.outstanding = outstanding;
        }
    }
}

/// Free slots of another agent, as far as known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotAvailability {
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Free slots according to the latest report or reply.
    pub free_slots: u32,
}

/// Weight of an agent for a key in rendezvous hashing.
fn rendezvous_weight(key: &str, address: SocketAddrV4) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&address.ip().octets());
    hasher.update(&address.port().to_be_bytes());
    hasher.update(key.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}
