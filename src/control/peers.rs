//! Bounded set of the balancers known to a process, with the time of the last message from each.

use std::net::SocketAddr;

/// Number of known balancers at which no more are added, except seeds.
pub const MAX_PEERS: usize = 64;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Peer {
    address: SocketAddr,
    /// Time of the last message, by the clock of the process; `None` if there was none or the
    /// balancer has left.
    last_seen_ms: Option<u64>,
    /// Listed in the settings.
    is_seed: bool,
}

impl Peer {
    fn is_live(&self, now_ms: u64, timeout_ms: u64) -> bool {
        let last_seen_ms = self.last_seen_ms;
        last_seen_ms.is_some_and(|seen_ms| now_ms.saturating_sub(seen_ms) < timeout_ms)
    }
}

/// Known balancers, sorted by address; excludes the process itself.
#[derive(Clone, Debug)]
pub struct Peers {
    local_address: SocketAddr,
    timeout_ms: u64,
    entries: Vec<Peer>,
}

impl Peers {
    /// Creates the set from the seed addresses in the settings, which are never removed. A balancer
    /// counts as live for `timeout_ms` after its last message.
    ///
    /// ```
    /// use bamboowind::control::peers::Peers;
    ///
    /// let local_address = "10.0.0.1:7000".parse().unwrap();
    /// let seed = "10.0.0.2:7000".parse().unwrap();
    /// let mut peers = Peers::new(local_address, &[local_address, seed], 1_500);
    /// assert!(peers.live(100).is_empty());
    /// peers.mark_alive(seed, 100);
    /// assert_eq!(peers.live(100), [seed]);
    /// ```
    #[must_use]
    pub fn new(local_address: SocketAddr, seeds: &[SocketAddr], timeout_ms: u64) -> Self {
        let mut peers = Self {
            local_address,
            timeout_ms,
            entries: Vec::new(),
        };
        for &seed in seeds {
            peers.insert(seed, true);
        }
        peers
    }

    /// Records a message from a balancer, adding the balancer if it is unknown.
    pub fn mark_alive(&mut self, address: SocketAddr, now_ms: u64) {
        self.insert(address, false);
        if let Ok(index) = self.search(address) {
            self.entries[index].last_seen_ms = Some(now_ms);
        }
    }

    /// Adds addresses reported by another process. They are not live until a message arrives from
    /// them.
    pub fn add(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            self.insert(address, false);
        }
    }

    /// Records that a balancer has announced its shutdown.
    pub fn mark_left(&mut self, address: SocketAddr) {
        if let Ok(index) = self.search(address) {
            self.entries[index].last_seen_ms = None;
        }
    }

    /// Removes all balancers that are not live, except seeds.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.entries
            .retain(|peer| peer.is_seed || peer.is_live(now_ms, self.timeout_ms));
    }

    /// Returns the addresses of the live balancers, sorted.
    #[must_use]
    pub fn live(&self, now_ms: u64) -> Vec<SocketAddr> {
        let live = self.entries.iter();
        let live = live.filter(|peer| peer.is_live(now_ms, self.timeout_ms));
        live.map(|peer| peer.address).collect()
    }

    /// Returns the addresses of all known balancers, sorted.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|peer| peer.address).collect()
    }

    /// Returns whether the balancer with this address is live.
    #[must_use]
    pub fn is_live(&self, address: SocketAddr, now_ms: u64) -> bool {
        self.search(address)
            .is_ok_and(|index| self.entries[index].is_live(now_ms, self.timeout_ms))
    }

    fn insert(&mut self, address: SocketAddr, is_seed: bool) {
        if address == self.local_address || self.entries.len() >= MAX_PEERS && !is_seed {
            return;
        }
        if let Err(index) = self.search(address) {
            let peer = Peer {
                address,
                last_seen_ms: None,
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
