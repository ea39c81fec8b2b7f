//! The balancers that a process knows: a limited view, refreshed by heartbeats.

use std::net::SocketAddr;

/// Largest number of balancers that are remembered.
pub const MAX_PEERS: usize = 64;

/// One balancer and when it was heard last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Peer {
    address: SocketAddr,
    heard_at_ms: Option<u64>,
    is_seed: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64, timeout_ms: u64) -> bool {
        let heard_at_ms = self.heard_at_ms;
        heard_at_ms.is_some_and(|heard| now_ms.saturating_sub(heard) < timeout_ms)
    }
}

/// The balancers known to a process, sorted by address.
#[derive(Clone, Debug)]
pub struct Peers {
    own: SocketAddr,
    timeout_ms: u64,
    entries: Vec<Peer>,
}

impl Peers {
    /// Starts from the addresses in the settings, which are never forgotten; a balancer counts as
    /// gone after `timeout_ms` without a sign of life.
    ///
    /// ```
    /// use bamboowind::control::peers::Peers;
    ///
    /// let own = "10.0.0.1:7000".parse().unwrap();
    /// let seed = "10.0.0.2:7000".parse().unwrap();
    /// let mut peers = Peers::new(own, &[own, seed], 1_500);
    /// assert!(peers.live(100).is_empty());
    /// peers.heard(seed, 100);
    /// assert_eq!(peers.live(100), [seed]);
    /// ```
    #[must_use]
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], timeout_ms: u64) -> Self {
        let mut peers = Self {
            own,
            timeout_ms,
            entries: Vec::new(),
        };
        for &seed in seeds {
            peers.insert(seed, true);
        }
        peers
    }

    /// Notes a sign of life.
    pub fn heard(&mut self, address: SocketAddr, now_ms: u64) {
        self.insert(address, false);
        if let Ok(index) = self.search(address) {
            self.entries[index].heard_at_ms = Some(now_ms);
        }
    }

    /// Notes addresses that another process named; they count as alive once heard.
    pub fn learn(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            self.insert(address, false);
        }
    }

    /// Notes that a balancer has said goodbye.
    pub fn left(&mut self, address: SocketAddr) {
        if let Ok(index) = self.search(address) {
            self.entries[index].heard_at_ms = None;
        }
    }

    /// Forgets balancers that were not heard for long, other than the settings' own.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries
            .retain(|peer| peer.is_seed || peer.is_live(now_ms, self.timeout_ms));
    }

    /// Addresses of the balancers that are alive, sorted.
    #[must_use]
    pub fn live(&self, now_ms: u64) -> Vec<SocketAddr> {
        let live = self.entries.iter();
        let live = live.filter(|peer| peer.is_live(now_ms, self.timeout_ms));
        live.map(|peer| peer.address).collect()
    }

    /// Addresses of all balancers that are known, alive or not, sorted.
    #[must_use]
    pub fn known(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|peer| peer.address).collect()
    }

    /// Whether this balancer was heard lately.
    #[must_use]
    pub fn is_live(&self, address: SocketAddr, now_ms: u64) -> bool {
        self.search(address)
            .is_ok_and(|index| self.entries[index].is_live(now_ms, self.timeout_ms))
    }

    fn insert(&mut self, address: SocketAddr, is_seed: bool) {
        if address == self.own || self.entries.len() >= MAX_PEERS && !is_seed {
            return;
        }
        if let Err(index) = self.search(address) {
            let peer = Peer {
                address,
                heard_at_ms: None,
                is_seed,
            };
            self.entries.insert(index, peer);
        }
    }

    fn search(&self, address: SocketAddr) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&address, |peer| peer.address)
    }
}
