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
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Dead {
    address: SocketAddrV4,
    epoch: Epoch,
}

/// The processes that have ended, the latest last.
#[derive(Clone, Debug, Default)]
pub struct DeathRegister {
    dead: Arc<RwLock<Arc<Vec<Dead>>>>,
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
    /// assert!(register.is_dead(&route));
    /// let successor = Route { epoch: Epoch::from_ms(6_000_000), ..route };
    /// assert!(!register.is_dead(&successor));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a process has ended.
    pub fn note(&self, address: SocketAddrV4, epoch: Epoch) {
        let entry = Dead { address, epoch };
        let mut dead = self.dead.write().unwrap_or_else(PoisonError::into_inner);
        if dead.contains(&entry) {
            return;
        }
        let surplus = (dead.len() + 1).saturating_sub(MAX_DEAD);
        let kept = dead.iter().skip(surplus).copied();
        *dead = Arc::new(kept.chain([entry]).collect());
    }

    /// Whether the process that owns a flow has ended.
    #[must_use]
    pub fn is_dead(&self, route: &Route) -> bool {
        let dead = self.dead.read().unwrap_or_else(PoisonError::into_inner);
        let entry = Dead {
            address: route.agent,
            epoch: route.epoch,
        };
        !dead.is_empty() && dead.contains(&entry)
    }
}

/// Whether the host of an agent says that no process holds the agent's port.
pub(super) async fn is_refused(address: SocketAddrV4) -> bool {
    let connecting = TcpStream::connect(SocketAddr::V4(address));
    let result = time::timeout(Duration::from_millis(EXAMINE_TIMEOUT_MS), connecting).await;
    matches!(result, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
