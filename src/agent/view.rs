//! Read-only handle to a running agent for the administration API.

use std::{net::SocketAddr, sync::Arc};

use super::state::Shared;
use crate::{
    control::shared_policy::SharedPolicy,
    observe::{counters::Counters, metrics::Metrics},
    proto::control::AgentState,
};

/// Read-only handle to a running agent.
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

    /// State of the agent, which determines whether it accepts new flows.
    #[must_use]
    pub fn state(&self) -> AgentState {
        self.shared.state()
    }

    /// Current policy.
    #[must_use]
    pub fn policy(&self) -> &SharedPolicy {
        &self.shared.policy
    }

    /// Event counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Request metrics.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Inner addresses of the live balancers.
    #[must_use]
    pub fn balancers(&self) -> Vec<SocketAddr> {
        self.shared.peers().live(self.shared.clock.now_ms())
    }
}
