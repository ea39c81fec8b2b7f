//! Administration API over HTTP and its client.

mod agent_api;
mod balancer_api;
pub mod client;
mod server;

pub use agent_api::router as agent_router;
pub use balancer_api::{BalancerApi, router as balancer_router};
pub use server::{AdminError, AdminServer};

use serde::{Deserialize, Serialize};

use crate::{
    balancer::status::TargetStatus,
    proto::policy::{Change, Policy},
};

/// Status of a process, as served by `/v1/status`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Version of the current policy; 0 before the first change.
    pub policy_version: u64,
    /// Inner addresses of the balancers that the process knows to be alive, without itself.
    pub balancers: Vec<String>,
    /// Events that have occurred at least once since the process started.
    pub events: Vec<EventCount>,
    /// Targets that a balancer knows; always empty for an agent.
    pub targets: Vec<TargetStatus>,
}

/// Number of occurrences of one event.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EventCount {
    /// Name of the event, as in the metrics.
    pub event: String,
    /// Occurrences since the process started.
    pub count: u64,
}

/// Request to drain or resume a target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DrainRequest {
    /// True to drain the target, false to resume it.
    pub drain: bool,
}

/// Reply to a request to change the policy.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeReply {
    /// The change took effect.
    Accepted {
        /// The stored policy, which includes the change.
        policy: Box<Policy>,
    },
    /// The policy is no longer at the base version of the request; nothing was changed.
    Conflict {
        /// Version of the policy in the store.
        current_version: u64,
        /// Changes made since the base version of the request.
        changes: Vec<Change>,
    },
    /// The change is invalid; nothing was changed.
    Refused {
        /// Validation errors, one line each.
        faults: Vec<String>,
    },
    /// The store cannot be reached; nothing was changed.
    Unavailable {
        /// Error of the store.
        reason: String,
    },
    /// A write was attempted, but the store did not confirm it; the change may have taken effect.
    Unknown {
        /// Error of the store.
        reason: String,
    },
}
