//! What the administration API sees of a running agent.

use std::{net::SocketAddr, sync::Arc};

use super::state::Shared;
use crate::{
    control::shared_policy::SharedPolicy,
    observe::{counters::Counters, metrics::Metrics},
    proto::control::AgentState,
};

/// A view of an agent.
#[derive(Clone)]
pub struct AgentView {
    shared: Arc<Shared>,
}

impl AgentView {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Name of the host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.shared.identity.name
    }

    /// Failure domain of the host.
    #[must_use]
    pub fn failure_domain(&self) -> &str {
        &self.shared.identity.failure_domain
    }

    /// State towards new work.
    #[must_use]
    pub fn state(&self) -> AgentState {
        self.shared.state()
    }

    /// The policy in force.
    #[must_use]
    pub fn policy(&self) -> &SharedPolicy {
        &self.shared.policy
    }

    /// The counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// The metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Inner addresses of the balancers that are alive.
    #[must_use]
    pub fn balancers(&self) -> Vec<SocketAddr> {
        self.shared.peers().live(self.shared.clock.now_ms())
    }
}
