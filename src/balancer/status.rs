//! Status of targets and other balancers, as reported to operators.

use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::directory::AgentEntry;
use crate::proto::control::AgentState;

/// Status of one target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetStatus {
    /// Name of the target's host.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// State of the agent: `accepting`, `draining`, `joining`, `gone` or `unknown`.
    pub state: String,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of open connections.
    pub connections: u32,
    /// Smoothed service time of a request on the target, in microseconds.
    pub latency_us: u64,
    /// Version of the policy that the agent applies.
    pub policy_version: u64,
    /// Time since the last announcement was received, in milliseconds.
    pub age_ms: u64,
}

/// Targets and balancers known to a balancer.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// Targets, sorted by service and address.
    pub targets: Vec<TargetStatus>,
    /// Inner addresses of the other balancers that are alive.
    pub balancers: Vec<SocketAddr>,
}

/// Status of a target according to its agent's last announcement.
pub(super) fn target_status(entry: &AgentEntry, now_ms: u64) -> TargetStatus {
    let announce = &entry.announce;
    let state = match announce.state() {
        AgentState::Accepting => "accepting",
        AgentState::Draining => "draining",
        AgentState::Joining => "joining",
        AgentState::Gone => "gone",
        AgentState::Unspecified => "unknown",
    };
    TargetStatus {
        name: entry.name.to_string(),
        service: announce.service.clone(),
        failure_domain: entry.failure_domain.to_string(),
        address: entry.address,
        state: state.to_owned(),
        running: announce.running,
        queued: announce.queued,
        slots: announce.slots,
        connections: announce.connections,
        latency_us: announce.latency_us,
        policy_version: announce.policy_version,
        age_ms: now_ms.saturating_sub(entry.received_at_ms),
    }
}
