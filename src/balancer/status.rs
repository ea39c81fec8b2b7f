//! What a balancer tells operators of targets and other balancers.

use std::net::{SocketAddr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::directory::Entry;
use crate::proto::control::AgentState;

/// One target as operators see it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct TargetStatus {
    /// Name of the host.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Inner address of the agent.
    pub address: SocketAddrV4,
    /// State towards new work.
    pub state: String,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Smoothed time of a request on the target, in microseconds.
    pub latency_us: u64,
    /// Version of the policy in force at the agent.
    pub policy_version: u64,
    /// Age of the last announcement, in milliseconds.
    pub age_ms: u64,
}

/// What a balancer knows.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Snapshot {
    /// All targets, sorted by service and address.
    pub targets: Vec<TargetStatus>,
    /// Inner addresses of the other balancers that are alive.
    pub balancers: Vec<SocketAddr>,
}

/// Describes an agent as it last announced itself.
pub(super) fn target_status(entry: &Entry, now_ms: u64) -> TargetStatus {
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
        age_ms: now_ms.saturating_sub(entry.heard_at_ms),
    }
}
