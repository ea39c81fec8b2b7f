//! Keeps balancers aware of each other and of the policy's version.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::IndexedRandom;

use crate::{
    control::{peers::Peers, store_contact::StoreContact},
    proto::control::{Heartbeat, control::Body},
    wire::transport::InnerLink,
};

/// Balancers that get a heartbeat each interval.
const FANOUT: usize = 4;
/// Addresses that a heartbeat or an acknowledgement names.
const SHARED_ADDRESSES: usize = 8;

/// This balancer's side of the exchange between balancers.
#[derive(Clone, Debug)]
pub struct Gossip {
    peers: Peers,
    own: SocketAddr,
    name: Arc<str>,
    failure_domain: Arc<str>,
    epoch_ms: u64,
    contact: StoreContact,
}

impl Gossip {
    /// Starts with the peers of the settings.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        seeds: &[SocketAddr],
        name: Arc<str>,
        failure_domain: Arc<str>,
        epoch_ms: u64,
        contact: StoreContact,
    ) -> Self {
        Self {
            peers: Peers::new(own, seeds),
            own,
            name,
            failure_domain,
            epoch_ms,
            contact,
        }
    }

    /// Notes a heartbeat.
    pub fn heard(&mut self, source: SocketAddr, heartbeat: &Heartbeat, now_ms: u64) {
        if heartbeat.leaving {
            self.peers.left(source);
            return;
        }
        self.peers.heard(source, now_ms);
        if let Some(age_ms) = heartbeat.store_contact_age_ms {
            self.contact.heard(now_ms, age_ms);
        }
        let named = heartbeat.balancers.iter();
        self.peers.learn(named.filter_map(|text| text.parse().ok()));
        self.peers.expire(now_ms);
    }

    /// Balancers that are alive.
    #[must_use]
    pub fn live(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers.live(now_ms)
    }

    /// Some balancers that are alive, this one first.
    #[must_use]
    pub fn shared_addresses(&self, now_ms: u64) -> Vec<String> {
        let live = self.peers.live(now_ms);
        let others = live.choose_multiple(&mut rand::rng(), SHARED_ADDRESSES);
        std::iter::once(&self.own)
            .chain(others)
            .map(ToString::to_string)
            .collect()
    }

    /// Sends a heartbeat to some balancers drawn at random.
    pub fn send_heartbeats(&mut self, inner: &InnerLink, policy_version: u64, now_ms: u64) {
        let known = self.peers.known();
        let mut heartbeat = self.heartbeat(policy_version, self.shared_addresses(now_ms), false);
        heartbeat.store_contact_age_ms = self.contact.age_ms(now_ms);
        for &peer in known.choose_multiple(&mut rand::rng(), FANOUT) {
            inner.send_control(peer, Body::Heartbeat(heartbeat.clone()));
        }
    }

    /// Tells the other balancers that this one leaves.
    pub fn send_goodbye(&self, inner: &InnerLink, policy_version: u64) {
        for peer in self.peers.known() {
            self.send_goodbye_to(inner, peer, policy_version);
        }
    }

    /// Tells one process that this balancer leaves.
    pub fn send_goodbye_to(&self, inner: &InnerLink, process: SocketAddr, policy_version: u64) {
        let heartbeat = self.heartbeat(policy_version, Vec::new(), true);
        inner.send_control(process, Body::Heartbeat(heartbeat));
    }

    fn heartbeat(&self, policy_version: u64, balancers: Vec<String>, leaving: bool) -> Heartbeat {
        Heartbeat {
            name: self.name.to_string(),
            failure_domain: self.failure_domain.to_string(),
            epoch_ms: self.epoch_ms,
            policy_version,
            balancers,
            leaving,
            store_contact_age_ms: None,
        }
    }
}
