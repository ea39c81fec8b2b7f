//! The agents that announced themselves, and the choice among them for a new flow.

use std::{net::SocketAddrV4, sync::Arc};

use rand::Rng;

use crate::{
    proto::control::{AgentState, Announce, Sibling},
    wire::connection_id::{Epoch, Route},
};

/// Age of an announcement beyond which an agent gets no new flow.
pub const FRESH_FOR_MS: u64 = 2_000;
/// Age of an announcement beyond which an agent is forgotten.
pub const FORGET_AFTER_MS: u64 = 30_000;
/// Agents that an acknowledgement names; a service with more needs another way to find homes.
const MAX_SIBLINGS: usize = 64;
/// Agents that are compared for one flow.
const CANDIDATES: usize = 2;

/// One agent as it last announced itself.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Number of the service.
    pub service: u16,
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// Name of the host.
    pub name: Arc<str>,
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// The announcement itself.
    pub announce: Announce,
    /// When the announcement came, by this balancer's clock.
    pub heard_at_ms: u64,
    /// Flows that this balancer has sent there since the announcement.
    pub assigned: u32,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnounceOutcome {
    /// The agent was not known before.
    Added,
    /// The agent has changed its state.
    StateChanged,
    /// The agent's load was updated.
    Updated,
    /// A newer announcement is known already.
    Stale,
}

/// All agents known to one balancer, sorted by service and address.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: Vec<Entry>,
}

impl Directory {
    /// Makes an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an announcement; an older one of the same address changes nothing.
    pub fn announce(
        &mut self,
        now_ms: u64,
        address: SocketAddrV4,
        announce: Announce,
    ) -> AnnounceOutcome {
        let Ok(service) = u16::try_from(announce.service_number) else {
            return AnnounceOutcome::Stale;
        };
        let age = |announce: &Announce| (announce.epoch_ms, announce.sequence);
        let known = self.position(service, address);
        let outcome = match known.map(|index| &self.entries[index].announce) {
            Some(other) if age(other) >= age(&announce) => return AnnounceOutcome::Stale,
            Some(other) if other.epoch_ms != announce.epoch_ms => AnnounceOutcome::Added,
            Some(other) if other.state != announce.state => AnnounceOutcome::StateChanged,
            Some(_) => AnnounceOutcome::Updated,
            None => AnnounceOutcome::Added,
        };
        if announce.state() == AgentState::Gone {
            known.map(|index| self.entries.remove(index));
            return AnnounceOutcome::StateChanged;
        }
        let entry = Entry {
            service,
            address,
            name: announce.name.as_str().into(),
            failure_domain: announce.failure_domain.as_str().into(),
            announce,
            heard_at_ms: now_ms,
            assigned: 0,
        };
        self.put(known, entry);
        outcome
    }

    /// Index of an address, under whatever service it was known.
    fn position(&self, service: u16, address: SocketAddrV4) -> Option<usize> {
        let elsewhere = || {
            self.entries
                .iter()
                .position(|entry| entry.address == address)
        };
        self.search(service, address).ok().or_else(elsewhere)
    }

    fn put(&mut self, known: Option<usize>, entry: Entry) {
        if let Some(index) = known {
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

    /// Chooses an agent for a new flow: the less loaded of two drawn at random.
    pub fn choose<R: Rng>(&mut self, now_ms: u64, service: u16, random: &mut R) -> Option<Route> {
        let range = self.service_range(service);
        let eligible: Vec<usize> = range
            .filter(|&index| is_eligible(&self.entries[index], now_ms))
            .collect();
        let drawn =
            rand::seq::index::sample(random, eligible.len(), CANDIDATES.min(eligible.len()));
        let best = drawn
            .iter()
            .map(|position| eligible[position])
            .min_by(|&one, &other| {
                load(&self.entries[one]).total_cmp(&load(&self.entries[other]))
            })?;
        let entry = &mut self.entries[best];
        entry.assigned += 1;
        Some(Route {
            agent: entry.address,
            service,
            epoch: Epoch::from_ms(entry.announce.epoch_ms),
        })
    }

    /// What an announcing agent is told of the other agents of its service.
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
            .map(sibling)
            .collect()
    }

    /// Forgets a process that has ended, unless its address has a newer one.
    pub fn forget(&mut self, address: SocketAddrV4, epoch_ms: u64) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|entry| entry.address != address || entry.announce.epoch_ms != epoch_ms);
        self.entries.len() < before
    }

    /// Forgets agents that have been silent for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries
            .retain(|entry| now_ms.saturating_sub(entry.heard_at_ms) < FORGET_AFTER_MS);
    }

    /// All agents, sorted by service and address.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Number of agents of a service that take new flows.
    #[must_use]
    pub fn eligible(&self, now_ms: u64, service: u16) -> usize {
        let entries = &self.entries[self.service_range(service)];
        entries
            .iter()
            .filter(|entry| is_eligible(entry, now_ms))
            .count()
    }

    fn service_range(&self, service: u16) -> std::ops::Range<usize> {
        let start = self
            .entries
            .partition_point(|entry| entry.service < service);
        let end = self
            .entries
            .partition_point(|entry| entry.service <= service);
        start..end
    }

    fn search(&self, service: u16, address: SocketAddrV4) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(service, address), |entry| (entry.service, entry.address))
    }
}

fn is_eligible(entry: &Entry, now_ms: u64) -> bool {
    let announce = &entry.announce;
    announce.state() == AgentState::Accepting
        && announce.connections.saturating_add(entry.assigned) < announce.connection_limit
        && is_fresh(entry, now_ms)
}

fn is_fresh(entry: &Entry, now_ms: u64) -> bool {
    now_ms.saturating_sub(entry.heard_at_ms) < FRESH_FOR_MS
}

fn sibling(entry: &Entry) -> Sibling {
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

/// Work per slot plus the share of connections in use.
fn load(entry: &Entry) -> f64 {
    let announce = &entry.announce;
    let work = announce.running + announce.queued + entry.assigned;
    let connections = announce.connections + entry.assigned;
    f64::from(work) / f64::from(announce.slots.max(1))
        + f64::from(connections) / f64::from(announce.connection_limit.max(1))
}
