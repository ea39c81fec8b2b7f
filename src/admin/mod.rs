//! The administration API over HTTP, and its client.

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

/// What a process has seen.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Version of the policy in force.
    pub policy_version: u64,
    /// Inner addresses of the other balancers that are alive.
    pub balancers: Vec<String>,
    /// Counts of the events that have happened.
    pub events: Vec<EventCount>,
    /// All targets that are known.
    pub targets: Vec<TargetStatus>,
}

/// How often an event has happened.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EventCount {
    /// Name of the event.
    pub event: String,
    /// How often it has happened.
    pub count: u64,
}

/// Order to drain or resume a target.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DrainRequest {
    /// True to drain, false to resume.
    pub drain: bool,
}

/// Answer to a change of the policy.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeReply {
    /// The change is accepted.
    Accepted {
        /// The policy in the store.
        policy: Box<Policy>,
    },
    /// Another change came first; nothing was changed.
    Conflict {
        /// Version in the store.
        current_version: u64,
        /// Changes since the version that the operator had seen.
        changes: Vec<Change>,
    },
    /// The change is not valid; nothing was changed.
    Refused {
        /// What is wrong, a line each.
        faults: Vec<String>,
    },
    /// The store cannot be reached; nothing was changed.
    Unavailable {
        /// What failed.
        reason: String,
    },
    /// The store cannot say whether the change took effect.
    Unknown {
        /// What failed.
        reason: String,
    },
}
