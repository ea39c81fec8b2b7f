//! Keeps balancers aware of each other and of the policy's version.

use std::{net::SocketAddr, sync::Arc};

use rand::seq::IndexedRandom;

use crate::{
    control::{peers::Peers, store_contact::StoreContact},
    proto::control::{Heartbeat, control::Body},
    wire::transport::InnerSocket,
};

/// Balancers that get a heartbeat each interval.
const FANOUT: usize = 3;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Balancers that get a notice of a new version each round, and the number of rounds.
const NOTICE_FANOUT: usize = 4;
const NOTICE_ROUNDS: u32 = 4;
/// Time without a heartbeat after which a balancer counts as gone.
const PEER_TIMEOUT_MS: u64 = 5_000;
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
    heartbeat_at_ms: u64,
    notices_left: u32,
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
            peers: Peers::new(own, seeds, PEER_TIMEOUT_MS),
            own,
            name,
            failure_domain,
            epoch_ms,
            contact,
            heartbeat_at_ms: 0,
            notices_left: 0,
        }
    }

    /// Notes a heartbeat.
    pub fn heard(&mut self, source: SocketAddr, heartbeat: &Heartbeat, now_ms: u64) {
        if heartbeat.leaving {
            self.peers.mark_left(source);
            return;
        }
        self.peers.mark_alive(source, now_ms);
        if let Some(age_ms) = heartbeat.store_contact_age_ms {
            self.contact.record_peer_contact(now_ms, age_ms);
        }
        let named = heartbeat.balancers.iter();
        self.peers.add(named.filter_map(|text| text.parse().ok()));
        self.peers.remove_expired(now_ms);
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

    /// Tells of a new version of the policy, at once and with the next ticks.
    pub fn policy_changed(&mut self, inner: &InnerSocket, policy_version: u64, now_ms: u64) {
        self.notices_left = NOTICE_ROUNDS;
        self.tick(inner, policy_version, now_ms);
    }

    /// Sends heartbeats if it is time, and short notices while a version is new.
    pub fn tick(&mut self, inner: &InnerSocket, policy_version: u64, now_ms: u64) {
        if self.notices_left > 0 {
            self.notices_left -= 1;
            self.send_to_some(
                inner,
                NOTICE_FANOUT,
                &self.heartbeat(policy_version, Vec::new(), false),
            );
        }
        if now_ms >= self.heartbeat_at_ms + HEARTBEAT_INTERVAL_MS {
            self.send_heartbeats(inner, policy_version, now_ms);
        }
    }

    fn send_heartbeats(&mut self, inner: &InnerSocket, policy_version: u64, now_ms: u64) {
        self.heartbeat_at_ms = now_ms;
        let mut heartbeat = self.heartbeat(policy_version, self.shared_addresses(now_ms), false);
        heartbeat.store_contact_age_ms = self.contact.age_ms(now_ms);
        self.send_to_some(inner, FANOUT, &heartbeat);
    }

    /// Sends to some balancers drawn at random.
    fn send_to_some(&self, inner: &InnerSocket, fanout: usize, heartbeat: &Heartbeat) {
        let known = self.peers.addresses();
        for &peer in known.choose_multiple(&mut rand::rng(), fanout) {
            inner.send_control(peer, Body::Heartbeat(heartbeat.clone()));
        }
    }

    /// Sends a message to every balancer that is known.
    pub fn send_to_all(&self, inner: &InnerSocket, body: &Body) {
        for peer in self.peers.addresses() {
            inner.send_control(peer, body.clone());
        }
    }

    /// Tells the other balancers that this one leaves.
    pub fn send_goodbye(&self, inner: &InnerSocket, policy_version: u64) {
        let heartbeat = self.heartbeat(policy_version, Vec::new(), true);
        self.send_to_all(inner, &Body::Heartbeat(heartbeat));
    }

    /// Tells one process that this balancer leaves.
    pub fn send_goodbye_to(&self, inner: &InnerSocket, process: SocketAddr, policy_version: u64) {
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
