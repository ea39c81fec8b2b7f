//! Agents that are known to be dead, not merely silent.
//!
//! The evidence is a refused TCP connection to the agent's inner address after its announcements
//! have stopped: the host answers and no process holds the port. A frozen, slow or unreachable
//! agent accepts or ignores the connection, and is not taken for dead.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use tokio::{net::TcpStream, time};

use crate::wire::connection_id::{Epoch, Route};

/// Silence after which an agent is examined.
pub const EXAMINE_AFTER_MS: u64 = 1_200;
const EXAMINE_TIMEOUT_MS: u64 = 500;
/// Dead agents that are remembered, the latest ones.
const MAX_DEAD: usize = 4_096;

/// One process of an agent that has ended.
#[derive(Clone, Copy, Debug)]
struct Dead {
    address: SocketAddrV4,
    epoch: Epoch,
    noted: u64,
}

/// The processes that have ended, sorted by address and epoch.
#[derive(Clone, Debug, Default)]
pub struct DeadProcesses {
    entries: Vec<Dead>,
    noted: u64,
}

impl DeadProcesses {
    /// Whether the process that owns a flow has ended.
    #[must_use]
    pub fn has(&self, route: &Route) -> bool {
        self.search(route.agent, route.epoch).is_ok()
    }

    fn search(&self, address: SocketAddrV4, epoch: Epoch) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&(address, epoch), |dead| (dead.address, dead.epoch))
    }

    fn note(&mut self, address: SocketAddrV4, epoch: Epoch) {
        if self.search(address, epoch).is_ok() {
            return;
        }
        if self.entries.len() >= MAX_DEAD {
            let oldest = (0..self.entries.len()).min_by_key(|&index| self.entries[index].noted);
            self.entries.remove(oldest.unwrap_or_default());
        }
        self.noted += 1;
        let noted = self.noted;
        let index = self.search(address, epoch).unwrap_or_else(|index| index);
        self.entries.insert(
            index,
            Dead {
                address,
                epoch,
                noted,
            },
        );
    }
}

/// Shares the processes that have ended; the latest ones are remembered.
#[derive(Clone, Debug, Default)]
pub struct DeathRegister {
    dead: Arc<RwLock<Arc<DeadProcesses>>>,
}

impl DeathRegister {
    /// Makes an empty register.
    ///
    /// ```
    /// use bamboowind::balancer::lost::DeathRegister;
    /// use bamboowind::wire::connection_id::{Epoch, Route};
    ///
    /// let route = Route {
    ///     agent: "10.0.0.7:7000".parse().unwrap(),
    ///     service: 1,
    ///     epoch: Epoch::from_ms(5_000_000),
    /// };
    /// let register = DeathRegister::new();
    /// register.note(route.agent, route.epoch);
    /// assert!(register.load().has(&route));
    /// let successor = Route { epoch: Epoch::from_ms(6_000_000), ..route };
    /// assert!(!register.load().has(&successor));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a process has ended.
    pub fn note(&self, address: SocketAddrV4, epoch: Epoch) {
        let mut dead = self.dead.write().unwrap_or_else(PoisonError::into_inner);
        Arc::make_mut(&mut dead).note(address, epoch);
    }

    /// The processes that have ended, as of now.
    #[must_use]
    pub fn load(&self) -> Arc<DeadProcesses> {
        Arc::clone(&self.dead.read().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Whether the host of an agent says that no process holds the agent's port.
pub(super) async fn is_refused(address: SocketAddrV4) -> bool {
    let connecting = TcpStream::connect(SocketAddr::V4(address));
    let result = time::timeout(Duration::from_millis(EXAMINE_TIMEOUT_MS), connecting).await;
    matches!(result, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
