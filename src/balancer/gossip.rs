//! Gossip between balancers: membership, policy versions and contact with the store.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::IndexedRandom;

use crate::{
    control::{peers::Peers, store_contact::StoreContact},
    proto::control::{Heartbeat, control::Body},
    wire::transport::InnerSocket,
};

/// Number of balancers that are sent a heartbeat in each interval.
const HEARTBEAT_FANOUT: usize = 3;
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Number of balancers that a new policy version is announced to in each round.
const POLICY_UPDATE_FANOUT: usize = 4;
/// Number of rounds in which a new policy version is announced.
const POLICY_UPDATE_ROUNDS: u32 = 4;
/// Time without a heartbeat after which a balancer is considered dead.
const PEER_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of addresses of other balancers in a heartbeat or an acknowledgement.
const MAX_SHARED_ADDRESSES: usize = 8;

/// Gossip state of this balancer.
#[derive(Clone, Debug)]
pub struct Gossip {
    peers: Peers,
    /// Inner address of this balancer.
    local_address: SocketAddr,
    name: Arc<str>,
    failure_domain: Arc<str>,
    /// Start time of this process, in milliseconds since the Unix epoch.
    epoch_ms: u64,
    store_contact: StoreContact,
    /// Time at which heartbeats were last sent.
    last_heartbeat_at_ms: u64,
    /// Remaining rounds in which the current policy version is announced.
    policy_update_rounds_left: u32,
}

impl Gossip {
    /// Creates the state with the seed peers from the settings.
    #[must_use]
    pub fn new(
        local_address: SocketAddr,
        seeds: &[SocketAddr],
        name: Arc<str>,
        failure_domain: Arc<str>,
        epoch_ms: u64,
        store_contact: StoreContact,
    ) -> Self {
        Self {
            peers: Peers::new(local_address, seeds, PEER_TIMEOUT_MS),
            local_address,
            name,
            failure_domain,
            epoch_ms,
            store_contact,
            last_heartbeat_at_ms: 0,
            policy_update_rounds_left: 0,
        }
    }

    /// Handles a heartbeat from another balancer.
    pub fn handle_heartbeat(&mut self, source: SocketAddr, heartbeat: &Heartbeat, now_ms: u64) {
        if heartbeat.leaving {
            self.peers.mark_left(source);
            return;
        }
        self.peers.mark_alive(source, now_ms);
        if let Some(age_ms) = heartbeat.store_contact_age_ms {
            self.store_contact.record_peer_contact(now_ms, age_ms);
        }
        let addresses = heartbeat.balancers.iter();
        self.peers
            .add(addresses.filter_map(|address| address.parse().ok()));
        self.peers.remove_expired(now_ms);
    }

    /// Addresses of the other balancers that are alive.
    #[must_use]
    pub fn live(&self, now_ms: u64) -> Vec<SocketAddr> {
        self.peers.live(now_ms)
    }

    /// Addresses to share with another process: this balancer, followed by a random sample of the
    /// other live balancers.
    #[must_use]
    pub fn shared_addresses(&self, now_ms: u64) -> Vec<String> {
        let live = self.peers.live(now_ms);
        let others = live.choose_multiple(&mut rand::rng(), MAX_SHARED_ADDRESSES);
        std::iter::once(&self.local_address)
            .chain(others)
            .map(ToString::to_string)
            .collect()
    }

    /// Announces a new policy version immediately and in the following ticks.
    pub fn policy_changed(&mut self, inner: &InnerSocket, policy_version: u64, now_ms: u64) {
        self.policy_update_rounds_left = POLICY_UPDATE_ROUNDS;
        self.tick(inner, policy_version, now_ms);
    }

    /// Sends heartbeats if they are due, and heartbeats without addresses while the policy version
    /// is new.
    pub fn tick(&mut self, inner: &InnerSocket, policy_version: u64, now_ms: u64) {
        if self.policy_update_rounds_left > 0 {
            self.policy_update_rounds_left -= 1;
            self.send_to_random(
                inner,
                POLICY_UPDATE_FANOUT,
                &self.heartbeat(policy_version, Vec::new(), false),
            );
        }
        if now_ms >= self.last_heartbeat_at_ms + HEARTBEAT_INTERVAL_MS {
            self.send_heartbeats(inner, policy_version, now_ms);
        }
    }

    fn send_heartbeats(&mut self, inner: &InnerSocket, policy_version: u64, now_ms: u64) {
        self.last_heartbeat_at_ms = now_ms;
        let mut heartbeat = self.heartbeat(policy_version, self.shared_addresses(now_ms), false);
        heartbeat.store_contact_age_ms = self.store_contact.age_ms(now_ms);
        self.send_to_random(inner, HEARTBEAT_FANOUT, &heartbeat);
    }

    /// Sends a heartbeat to `fanout` randomly chosen balancers, whether or not they are alive.
    fn send_to_random(&self, inner: &InnerSocket, fanout: usize, heartbeat: &Heartbeat) {
        let peers = self.peers.addresses();
        for &peer in peers.choose_multiple(&mut rand::rng(), fanout) {
            inner.send_control(peer, Body::Heartbeat(heartbeat.clone()));
        }
    }

    /// Sends a message to every known balancer.
    pub fn send_to_all(&self, inner: &InnerSocket, body: &Body) {
        for peer in self.peers.addresses() {
            inner.send_control(peer, body.clone());
        }
    }

    /// Notifies the other balancers that this one is about to exit.
    pub fn broadcast_leave(&self, inner: &InnerSocket, policy_version: u64) {
        let heartbeat = self.heartbeat(policy_version, Vec::new(), true);
        self.send_to_all(inner, &Body::Heartbeat(heartbeat));
    }

    /// Notifies one process that this balancer is about to exit.
    pub fn send_leave(&self, inner: &InnerSocket, destination: SocketAddr, policy_version: u64) {
        let heartbeat = self.heartbeat(policy_version, Vec::new(), true);
        inner.send_control(destination, Body::Heartbeat(heartbeat));
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
