//! Which agent's target holds a flow, as far as this process remembers.

use std::{collections::HashMap, net::SocketAddrV4};

use super::packet::FlowKey;

/// Flows that one process remembers at most; further ones are looked up for every packet.
const MAX_FLOWS: usize = 200_000;

#[derive(Clone, Copy, Debug)]
struct Entry {
    owner: SocketAddrV4,
    used_at_ms: u64,
}

/// Owners of flows.
///
/// A hash table and not a sorted vector: a balancer adds thousands of flows a second, and each
/// insertion into a sorted vector moves half of it.
#[derive(Clone, Debug, Default)]
pub struct FlowTable {
    entries: HashMap<FlowKey, Entry, ahash::RandomState>,
}

impl FlowTable {
    /// Makes an empty table.
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
    /// table.forget_idle(100, 50);
    /// assert_eq!(table.owner(flow, 101), None);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The owner of a flow, which counts as used now.
    pub fn owner(&mut self, flow: FlowKey, now_ms: u64) -> Option<SocketAddrV4> {
        let entry = self.entries.get_mut(&flow)?;
        entry.used_at_ms = now_ms;
        Some(entry.owner)
    }

    /// Remembers the owner of a flow.
    pub fn insert(&mut self, flow: FlowKey, owner: SocketAddrV4, now_ms: u64) {
        if self.entries.len() >= MAX_FLOWS && !self.entries.contains_key(&flow) {
            return;
        }
        let entry = Entry {
            owner,
            used_at_ms: now_ms,
        };
        self.entries.insert(flow, entry);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: FlowKey) {
        self.entries.remove(&flow);
    }

    /// Forgets the flows that were not used for `idle_ms`.
    pub fn forget_idle(&mut self, now_ms: u64, idle_ms: u64) {
        self.entries
            .retain(|_, entry| now_ms.saturating_sub(entry.used_at_ms) < idle_ms);
    }

    /// Number of flows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no flow is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
