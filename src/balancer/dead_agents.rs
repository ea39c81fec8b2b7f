//! Detection of dead agent processes, as opposed to agents that are merely silent.
//!
//! When the announcements of an agent stop, the balancer opens a TCP connection to the agent's
//! inner address. A refused connection shows that the host is up and that no process listens on
//! the port. A frozen, slow or unreachable agent accepts the connection or does not respond, and
//! is not considered dead.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use tokio::{net::TcpStream, time};

use crate::wire::connection_id::{Epoch, Route};

/// Time without an announcement after which an agent is probed.
pub const PROBE_AFTER_MS: u64 = 1_200;
/// Timeout of the probe connection.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Maximum number of recorded processes; the oldest record is evicted first.
const MAX_DEAD_AGENTS: usize = 4_096;

/// A dead agent process.
#[derive(Clone, Copy, Debug)]
struct DeadAgent {
    address: SocketAddrV4,
    epoch: Epoch,
    /// Position in the order of insertion.
    insertion: u64,
}

/// Dead agent processes, sorted by address and epoch.
#[derive(Clone, Debug, Default)]
pub struct DeadAgents {
    entries: Vec<DeadAgent>,
    /// Number of processes inserted so far.
    insertions: u64,
}

impl DeadAgents {
    /// Whether the agent process that owns a flow is dead.
    #[must_use]
    pub fn contains(&self, route: &Route) -> bool {
        self.search(route.agent, route.epoch).is_ok()
    }

    fn search(&self, address: SocketAddrV4, epoch: Epoch) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(address, epoch), |entry| (entry.address, entry.epoch))
    }

    /// Adds a process, evicting the oldest one if the limit is reached.
    fn insert(&mut self, address: SocketAddrV4, epoch: Epoch) {
        if self.search(address, epoch).is_ok() {
            return;
        }
        if self.entries.len() >= MAX_DEAD_AGENTS {
            let oldest = (0..self.entries.len()).min_by_key(|&index| self.entries[index].insertion);
            self.entries.remove(oldest.unwrap_or_default());
        }
        self.insertions += 1;
        let insertion = self.insertions;
        let index = self.search(address, epoch).unwrap_or_else(|index| index);
        self.entries.insert(
            index,
            DeadAgent {
                address,
                epoch,
                insertion,
            },
        );
    }
}

/// Shared registry of dead agent processes, limited to the most recently detected ones.
#[derive(Clone, Debug, Default)]
pub struct DeadAgentRegistry {
    agents: Arc<RwLock<Arc<DeadAgents>>>,
}

impl DeadAgentRegistry {
    /// Creates an empty registry.
    ///
    /// ```
    /// use bamboowind::balancer::dead_agents::DeadAgentRegistry;
    /// use bamboowind::wire::connection_id::{Epoch, Route};
    ///
    /// let route = Route {
    ///     agent: "10.0.0.7:7000".parse().unwrap(),
    ///     service: 1,
    ///     epoch: Epoch::from_ms(5_000_000),
    /// };
    /// let registry = DeadAgentRegistry::new();
    /// registry.insert(route.agent, route.epoch);
    /// assert!(registry.load().contains(&route));
    /// let successor = Route { epoch: Epoch::from_ms(6_000_000), ..route };
    /// assert!(!registry.load().contains(&successor));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an agent process is dead.
    pub fn insert(&self, address: SocketAddrV4, epoch: Epoch) {
        let mut agents = self.agents.write().unwrap_or_else(PoisonError::into_inner);
        Arc::make_mut(&mut agents).insert(address, epoch);
    }

    /// Returns a snapshot of the registry.
    #[must_use]
    pub fn load(&self) -> Arc<DeadAgents> {
        Arc::clone(&self.agents.read().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Whether the agent's host refuses TCP connections to the agent's port, that is, no process
/// listens on it.
pub(super) async fn is_port_closed(address: SocketAddrV4) -> bool {
    let connecting = TcpStream::connect(SocketAddr::V4(address));
    let result = time::timeout(Duration::from_millis(PROBE_TIMEOUT_MS), connecting).await;
    matches!(result, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
