//! Agents that have announced themselves to this balancer, and the selection of one of them for a
//! new flow.

use std::{net::SocketAddrV4, sync::Arc};

use rand::Rng;

use crate::{
    proto::control::{AgentState, Announce, Sibling},
    wire::connection_id::{Epoch, Route},
};

/// Age of the last announcement at which an agent stops being assigned new flows.
pub const ANNOUNCE_FRESH_MS: u64 = 2_000;
/// Age of the last announcement at which an agent is removed from the directory.
pub const EXPIRE_AFTER_MS: u64 = 30_000;
/// Maximum number of siblings listed in an acknowledgement. A service with more agents would need
/// another way to find the owners of idempotency keys.
const MAX_SIBLINGS: usize = 64;
/// Number of randomly drawn agents whose loads are compared for a new flow.
const CANDIDATE_COUNT: usize = 2;

/// Last announcement of an agent.
#[derive(Clone, Debug)]
pub struct AgentEntry {
    /// Number of the service that the agent belongs to.
    pub service: u16,
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Name of the host on which the agent and its target run.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// The announcement as received.
    pub announce: Announce,
    /// Time at which the announcement was received, in milliseconds of this balancer's clock.
    pub received_at_ms: u64,
    /// Number of flows that this balancer has assigned to the agent since the announcement.
    pub flows_assigned: u32,
}

/// Effect of an announcement on the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnounceOutcome {
    /// The agent process was not known before.
    Added,
    /// The agent's state has changed, or the agent is gone and was removed.
    StateChanged,
    /// Only the load of the agent was updated.
    Updated,
    /// The announcement was ignored: a newer one is already recorded, or its service number is
    /// out of range.
    Stale,
}

/// Agents known to one balancer, sorted by service and address.
#[derive(Clone, Debug, Default)]
pub struct AgentDirectory {
    entries: Vec<AgentEntry>,
}

impl AgentDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement unless a newer one from the same address is already recorded.
    ///
    /// Announcements are ordered by process start time and then by sequence number.
    pub fn record_announce(
        &mut self,
        now_ms: u64,
        address: SocketAddrV4,
        announce: Announce,
    ) -> AnnounceOutcome {
        let Ok(service) = u16::try_from(announce.service_number) else {
            return AnnounceOutcome::Stale;
        };
        let version = |announce: &Announce| (announce.epoch_ms, announce.sequence);
        let existing = self.position(service, address);
        let outcome = match existing.map(|index| &self.entries[index].announce) {
            Some(old) if version(old) >= version(&announce) => return AnnounceOutcome::Stale,
            Some(old) if old.epoch_ms != announce.epoch_ms => AnnounceOutcome::Added,
            Some(old) if old.state != announce.state => AnnounceOutcome::StateChanged,
            Some(_) => AnnounceOutcome::Updated,
            None => AnnounceOutcome::Added,
        };
        if announce.state() == AgentState::Gone {
            existing.map(|index| self.entries.remove(index));
            return AnnounceOutcome::StateChanged;
        }
        let entry = AgentEntry {
            service,
            address,
            name: announce.name.as_str().into(),
            failure_domain: announce.failure_domain.as_str().into(),
            announce,
            received_at_ms: now_ms,
            flows_assigned: 0,
        };
        self.upsert(existing, entry);
        outcome
    }

    /// Index of the entry for an address, preferably under `service` but otherwise under any
    /// service, so that an agent that changes its service keeps a single entry.
    fn position(&self, service: u16, address: SocketAddrV4) -> Option<usize> {
        let under_other_service = || {
            self.entries
                .iter()
                .position(|entry| entry.address == address)
        };
        self.search(service, address)
            .ok()
            .or_else(under_other_service)
    }

    /// Inserts an entry in sorted position, replacing the one at index `existing`.
    fn upsert(&mut self, existing: Option<usize>, entry: AgentEntry) {
        if let Some(index) = existing {
            if self.entries[index].service == entry.service {
                self.entries[index] = entry;
                return;
            }
            self.entries.remove(index);
        }
        let index = self
            .search(entry.service, entry.address)
            .unwrap_or_else(|index| index);
        self.entries.insert(index, entry);
    }

    /// Chooses an agent for a new flow: the less loaded of two random eligible agents.
    ///
    /// Returns `None` if no agent of the service is eligible.
    pub fn choose<R: Rng>(&mut self, now_ms: u64, service: u16, rng: &mut R) -> Option<Route> {
        let range = self.service_range(service);
        let eligible: Vec<usize> = range
            .filter(|&index| is_eligible(&self.entries[index], now_ms))
            .collect();
        let sampled =
            rand::seq::index::sample(rng, eligible.len(), CANDIDATE_COUNT.min(eligible.len()));
        let best = sampled
            .iter()
            .map(|position| eligible[position])
            .min_by(|&left, &right| {
                load(&self.entries[left]).total_cmp(&load(&self.entries[right]))
            })?;
        let entry = &mut self.entries[best];
        entry.flows_assigned += 1;
        Some(Route {
            agent: entry.address,
            service,
            epoch: Epoch::from_ms(entry.announce.epoch_ms),
        })
    }

    /// Other agents of the announced service with a recent announcement, to be listed in the
    /// acknowledgement.
    #[must_use]
    pub fn siblings(
        &self,
        now_ms: u64,
        address: SocketAddrV4,
        announce: &Announce,
    ) -> Vec<Sibling> {
        let service = u16::try_from(announce.service_number).unwrap_or_default();
        let others = self.entries[self.service_range(service)].iter();
        others
            .filter(|entry| entry.address != address && is_fresh(entry, now_ms))
            .take(MAX_SIBLINGS)
            .map(to_sibling)
            .collect()
    }

    /// Removes a dead agent process, unless a newer process uses its address.
    ///
    /// Returns whether an entry was removed.
    pub fn remove(&mut self, address: SocketAddrV4, epoch_ms: u64) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|entry| entry.address != address || entry.announce.epoch_ms != epoch_ms);
        self.entries.len() < before
    }

    /// Removes the agents whose last announcement is at least [`EXPIRE_AFTER_MS`] old.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.received_at_ms) < EXPIRE_AFTER_MS);
    }

    /// All agents, sorted by service and address.
    #[must_use]
    pub fn entries(&self) -> &[AgentEntry] {
        &self.entries
    }

    /// Number of agents of a service that can be assigned new flows.
    #[must_use]
    pub fn eligible_count(&self, now_ms: u64, service: u16) -> usize {
        let entries = &self.entries[self.service_range(service)];
        entries
            .iter()
            .filter(|entry| is_eligible(entry, now_ms))
            .count()
    }

    /// Range of indices of the entries of a service.
    fn service_range(&self, service: u16) -> std::ops::Range<usize> {
        let start = self
            .entries
            .partition_point(|entry| entry.service < service);
        let end = self
            .entries
            .partition_point(|entry| entry.service <= service);
        start..end
    }

    /// Index of an entry, or the index at which it would be inserted.
    fn search(&self, service: u16, address: SocketAddrV4) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(service, address), |entry| (entry.service, entry.address))
    }
}

/// Whether an agent can be assigned a new flow.
fn is_eligible(entry: &AgentEntry, now_ms: u64) -> bool {
    let announce = &entry.announce;
    announce.state() == AgentState::Accepting
        && announce.connections.saturating_add(entry.flows_assigned) < announce.connection_limit
        && is_fresh(entry, now_ms)
}

fn is_fresh(entry: &AgentEntry, now_ms: u64) -> bool {
    now_ms.saturating_sub(entry.received_at_ms) < ANNOUNCE_FRESH_MS
}

fn to_sibling(entry: &AgentEntry) -> Sibling {
    let announce = &entry.announce;
    Sibling {
        ip: (*entry.address.ip()).into(),
        port: entry.address.port().into(),
        home_since_ms: announce.home_since_ms,
        home_until_ms: announce.home_until_ms,
        running: announce.running,
        queued: announce.queued,
        slots: announce.slots,
        accepting: announce.state() == AgentState::Accepting,
        utilisation_permille: announce.utilisation_permille,
    }
}

/// Load of an agent: requests per slot plus the fraction of its connection limit in use. Flows
/// assigned since the announcement count as both a request and a connection.
fn load(entry: &AgentEntry) -> f64 {
    let announce = &entry.announce;
    let assigned = f64::from(entry.flows_assigned);
    let requests = f64::from(announce.running) + f64::from(announce.queued) + assigned;
    let connections = f64::from(announce.connections) + assigned;
    requests / f64::from(announce.slots.max(1))
        + connections / f64::from(announce.connection_limit.max(1))
}
