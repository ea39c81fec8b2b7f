//! Connection IDs that name this agent.

use std::time::Duration;

use quinn_proto::{ConnectionId, ConnectionIdGenerator, InvalidCid};

use crate::wire::{
    connection_id::{self, CONNECTION_ID_LEN, NONCE_BITS, Route},
    key_ring::SharedKeyRing,
};

/// Time after which a connection ID is replaced, so that old key phases fall out of use.
const CONNECTION_ID_LIFETIME_MS: u64 = 600_000;

/// Yields connection IDs that name one agent.
pub(crate) struct AgentConnectionIds {
    keys: SharedKeyRing,
    route: Route,
}

impl AgentConnectionIds {
    pub fn new(keys: SharedKeyRing, route: Route) -> Self {
        Self { keys, route }
    }
}

impl ConnectionIdGenerator for AgentConnectionIds {
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
