//! Rendezvous hashing (highest random weight) of flows to the agents of a service.
//!
//! The first agents in a flow's order store the flow's owner, and a search for a flow visits the
//! agents in this order.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::flow::packet::FlowKey;

/// Hash of a flow; identical in every process.
#[must_use]
pub fn flow_hash(flow: FlowKey) -> u64 {
    xxh3_64(&flow.to_bytes())
}

/// 16-bit hash of the name of an instance or a service that identifies it in packets; never 0.
///
/// ```
/// assert_ne!(bamboowind::membership::rendezvous::tag("balancer-1"), 0);
/// ```
#[must_use]
pub fn tag(name: &str) -> u16 {
    let truncated = xxh3_64(name.as_bytes()) & 0xffff;
    u16::try_from(truncated).unwrap_or_default().max(1)
}

/// Rendezvous weight of an instance for a flow; the instance with the highest weight is the first
/// in the flow's order.
#[must_use]
pub fn weight(flow_hash: u64, name_hash: u64) -> u64 {
    xxh3_64_with_seed(&flow_hash.to_le_bytes(), name_hash)
}

/// Hash of an instance's name, as passed to [`weight`].
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
