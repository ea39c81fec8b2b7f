//! Table of the flows known to a process and the agents that own them.

use std::{collections::HashMap, net::SocketAddrV4};

use super::packet::FlowKey;

/// Maximum number of flows in the table; the owner of any further flow is looked up for every
/// packet.
const MAX_FLOWS: usize = 200_000;

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Packet address of the agent that owns the flow.
    owner: SocketAddrV4,
    /// Time of the last insertion.
    inserted_at_ms: u64,
    /// Time of the last insertion or lookup.
    last_used_at_ms: u64,
}

/// A flow with its owner, as a table holds them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OwnedFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Packet address of the agent that owns the flow.
    pub owner: SocketAddrV4,
    /// Time at which the owner was last inserted.
    pub inserted_at_ms: u64,
}

/// Table of flow owners.
///
/// This is a hash table because a balancer adds thousands of flows per second, and each insertion
/// into a sorted vector would move half of its entries on average.
#[derive(Clone, Debug, Default)]
pub struct FlowTable {
    entries: HashMap<FlowKey, Entry, ahash::RandomState>,
}

impl FlowTable {
    /// Creates an empty table.
    ///
    /// ```
    /// use bamboowind::flow::{packet::FlowKey, table::FlowTable};
    ///
    /// let flow = FlowKey {
    ///     caller: "100.64.0.7:40001".parse().unwrap(),
    ///     service: "198.18.0.1:443".parse().unwrap(),
    /// };
    /// let mut table = FlowTable::new();
    /// table.insert(flow, "10.1.0.12:8172".parse().unwrap(), 5);
    /// table.remove_idle(100, 50);
    /// assert_eq!(table.owner(flow, 101), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Looks up the owner of a flow and updates the time of its last use.
    pub fn owner(&mut self, flow: FlowKey, now_ms: u64) -> Option<SocketAddrV4> {
        let entry = self.entries.get_mut(&flow)?;
        entry.last_used_at_ms = now_ms;
        Some(entry.owner)
    }

    /// Inserts or replaces the owner of a flow; a new flow is ignored if the table is full.
    pub fn insert(&mut self, flow: FlowKey, owner: SocketAddrV4, now_ms: u64) {
        if self.entries.len() >= MAX_FLOWS && !self.entries.contains_key(&flow) {
            return;
        }
        let entry = Entry {
            owner,
            inserted_at_ms: now_ms,
            last_used_at_ms: now_ms,
        };
        self.entries.insert(flow, entry);
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowKey) {
        self.entries.remove(&flow);
    }

    /// Removes the flows that have not been used for at least `idle_ms`.
    pub fn remove_idle(&mut self, now_ms: u64, idle_ms: u64) {
        self.entries
            .retain(|_, entry| now_ms.saturating_sub(entry.last_used_at_ms) < idle_ms);
    }

    /// Whether the table has an owner of a flow.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.entries.contains_key(&flow)
    }

    /// All flows with their owners, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = OwnedFlow> + '_ {
        self.entries.iter().map(|(&flow, entry)| OwnedFlow {
            flow,
            owner: entry.owner,
            inserted_at_ms: entry.inserted_at_ms,
        })
    }

    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
