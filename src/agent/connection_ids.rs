//! QUIC connection IDs that encode the route to this agent.

use std::time::Duration;

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid};

use crate::wire::{
    connection_id::{self, CONNECTION_ID_LEN, NONCE_BITS, Route},
    key_ring::SharedKeyRing,
};

/// Lifetime of a connection ID. IDs are replaced regularly, so that retired key phases can be
/// removed.
const CONNECTION_ID_LIFETIME_MS: u64 = 600_000;

/// Generates connection IDs that balancers route to this agent.
pub(crate) struct AgentConnectionIdGenerator {
    keys: SharedKeyRing,
    /// Route that is sealed into every connection ID.
    route: Route,
}

impl AgentConnectionIdGenerator {
    pub fn new(keys: SharedKeyRing, route: Route) -> Self {
        Self { keys, route }
    }
}

impl ConnectionIdGenerator for AgentConnectionIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce = rand::random::<u32>() >> (u32::BITS - NONCE_BITS);
        ConnectionId::new(&connection_id::seal(&self.keys.load(), &self.route, nonce))
    }

    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        let route = connection_id::open(&self.keys.load(), id);
        let is_own = route.is_some_and(|route| {
            route.agent == self.route.agent && route.service == self.route.service
        });
        if is_own { Ok(()) } else { Err(InvalidCid) }
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(Duration::from_millis(CONNECTION_ID_LIFETIME_MS))
    }
}
