//! Order in which the agents of a service keep and look for a flow.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::flow::packet::FlowKey;

/// Hash of a flow; the same in every process.
#[must_use]
pub fn flow_hash(flow: FlowKey) -> u64 {
    xxh3_64(&flow.to_bytes())
}

/// Short name of an instance or a service inside packets; never 0.
///
/// ```
/// assert_ne!(bamboowind::membership::rendezvous::tag("balancer-1"), 0);
/// ```
#[must_use]
pub fn tag(name: &str) -> u16 {
    let folded = xxh3_64(name.as_bytes()) & 0xffff;
    u16::try_from(folded).unwrap_or_default().max(1)
}

/// Weight of an instance for a flow; the highest comes first.
#[must_use]
pub fn weight(flow_hash: u64, name_hash: u64) -> u64 {
    xxh3_64_with_seed(&flow_hash.to_le_bytes(), name_hash)
}

/// Hash of an instance's name for [`weight`].
#[must_use]
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
