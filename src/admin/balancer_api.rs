//! The administration API of a balancer.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    extract::{Path, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use kameo::actor::ActorRef;
use slog::{Logger, info};
use tokio::time;

use super::{ChangeReply, DrainRequest, EventCount, Status};
use crate::{
    balancer::{
        control::{ControlActor, SendDrainOrder, TakeSnapshot},
        status::{Snapshot, TargetStatus},
    },
    clock::unix_ms,
    control::{
        commit::{self, CommitContext, CommitOutcome},
        policy::ChangeError,
        shared_policy::SharedPolicy,
        store::Store,
    },
    observe::{counters::Counters, metrics::Metrics},
    proto::policy::{ChangeRequest, Policy},
};

/// Number of times a drain order is sent before the target is reported as unconfirmed.
const MAX_DRAIN_ORDER_ATTEMPTS: u32 = 20;
const DRAIN_ORDER_INTERVAL_MS: u64 = 100;

/// State that the request handlers of the API share.
#[derive(Clone)]
pub struct BalancerApi<S> {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Actor that holds the balancer's view of agents and other balancers.
    pub control: ActorRef<ControlActor>,
    /// Current policy.
    pub policy: SharedPolicy,
    /// Event counters.
    pub counters: Counters,
    /// Metrics served at `/metrics`.
    pub metrics: Metrics,
    /// Store and key of the policy; `None` when the settings configure no store, in which case
    /// policy changes are rejected.
    pub store: Option<(S, Arc<str>)>,
    /// Records drain orders and policy changes.
    pub log: Logger,
}

/// Builds the router that serves the API from `api`.
pub fn router<S: Store>(api: BalancerApi<S>) -> Router {
    Router::new()
        .route("/health/live", get(|| async { "live\n" }))
        .route("/health/ready", get(ready::<S>))
        .route("/metrics", get(metrics::<S>))
        .route("/v1/status", get(status::<S>))
        .route("/v1/targets", get(targets::<S>))
        .route("/v1/targets/{name}/drain", post(drain::<S>))
        .route("/v1/policy", get(policy::<S>))
        .route("/v1/policy/changes", post(change::<S>))
        .with_state(api)
}

impl<S: Store> BalancerApi<S> {
    async fn snapshot(&self) -> Snapshot {
        let empty = Snapshot {
            targets: Vec::new(),
            balancers: Vec::new(),
        };
        self.control.ask(TakeSnapshot).await.unwrap_or(empty)
    }

    async fn target(&self, name: &str) -> Option<TargetStatus> {
        let targets = self.snapshot().await.targets;
        targets.into_iter().find(|target| target.name == name)
    }
}

async fn ready<S: Store>(State(api): State<BalancerApi<S>>) -> Response {
    if api.control.is_alive() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "stopping\n").into_response()
}

async fn metrics<S: Store>(State(api): State<BalancerApi<S>>) -> String {
    api.metrics.render()
}

async fn status<S: Store>(State(api): State<BalancerApi<S>>) -> Json<Status> {
    let snapshot = api.snapshot().await;
    Json(Status {
        name: api.name.to_string(),
        failure_domain: api.failure_domain.to_string(),
        policy_version: api.policy.version(),
        balancers: snapshot.balancers.iter().map(ToString::to_string).collect(),
        events: event_counts(&api.counters),
        targets: snapshot.targets,
    })
}

pub(super) fn event_counts(counters: &Counters) -> Vec<EventCount> {
    let nonzero = counters.nonzero();
    nonzero
        .map(|(event, count)| EventCount {
            event: event.name().to_owned(),
            count,
        })
        .collect()
}

async fn targets<S: Store>(State(api): State<BalancerApi<S>>) -> Json<Vec<TargetStatus>> {
    Json(api.snapshot().await.targets)
}

/// Orders a target to drain or resume, and waits until its announcement shows the new state.
async fn drain<S: Store>(
    State(api): State<BalancerApi<S>>,
    Path(name): Path<String>,
    Json(request): Json<DrainRequest>,
) -> Response {
    let expected_state = if request.drain {
        "draining"
    } else {
        "accepting"
    };
    for _ in 0..MAX_DRAIN_ORDER_ATTEMPTS {
        let order = SendDrainOrder {
            target: name.as_str().into(),
            drain: request.drain,
        };
        if !api.control.ask(order).await.unwrap_or(false) {
            return (StatusCode::NOT_FOUND, format!("no target named {name}\n")).into_response();
        }
        time::sleep(Duration::from_millis(DRAIN_ORDER_INTERVAL_MS)).await;
        let target = api.target(&name).await;
        if let Some(target) = target.filter(|target| target.state == expected_state) {
            info!(api.log, "target drain ordered"; "target" => name, "drain" => request.drain);
            return Json(target).into_response();
        }
    }
    let text = format!("{name} has not confirmed; look at `target list` and try again\n");
    (StatusCode::GATEWAY_TIMEOUT, text).into_response()
}

async fn policy<S: Store>(State(api): State<BalancerApi<S>>) -> Json<Policy> {
    Json((*api.policy.current()).clone())
}

async fn change<S: Store>(
    State(api): State<BalancerApi<S>>,
    Json(request): Json<ChangeRequest>,
) -> Response {
    let Some((store, key)) = &api.store else {
        let reason = "this balancer's settings name no store".to_owned();
        return reply_response(ChangeReply::Unavailable { reason });
    };
    let initial = initial_policy(&api.policy);
    let known = api.policy.current();
    let context = CommitContext {
        initial: &initial,
        known: &known,
        changed_at_ms: unix_ms(),
    };
    let outcome = commit::commit(store, key, &request, &context).await;
    if let CommitOutcome::Accepted(policy) = &outcome {
        api.policy.update_if_newer((**policy).clone());
        info!(api.log, "policy changed"; "version" => policy.version,
            "operator" => &request.operator, "change_id" => &request.change_id);
    }
    reply_response(change_reply(outcome))
}

/// Returns the policy that a change applies to while the store holds none.
fn initial_policy(policy: &SharedPolicy) -> Policy {
    let current = policy.current();
    if current.version == 0 {
        return (*current).clone();
    }
    crate::control::policy::initial()
}

fn change_reply(outcome: CommitOutcome) -> ChangeReply {
    match outcome {
        CommitOutcome::Accepted(policy) => ChangeReply::Accepted { policy },
        CommitOutcome::Conflict {
            current_version,
            changes,
        } => ChangeReply::Conflict {
            current_version,
            changes,
        },
        CommitOutcome::Refused(refusal) => ChangeReply::Refused {
            faults: refusal_messages(refusal),
        },
        CommitOutcome::Unavailable(error) => ChangeReply::Unavailable {
            reason: error.to_string(),
        },
        CommitOutcome::Unknown(error) => ChangeReply::Unknown {
            reason: error.to_string(),
        },
    }
}

fn refusal_messages(refusal: ChangeError) -> Vec<String> {
    match refusal {
        ChangeError::Invalid(faults) => faults.iter().map(ToString::to_string).collect(),
        ChangeError::ExceptionNotFound(name) => vec![format!("there is no exception named {name}")],
        ChangeError::Empty => vec!["the request does not say what to change".to_owned()],
    }
}

fn reply_response(reply: ChangeReply) -> Response {
    let status = match &reply {
        ChangeReply::Accepted { .. } => StatusCode::OK,
        ChangeReply::Conflict { .. } => StatusCode::CONFLICT,
        ChangeReply::Refused { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeReply::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeReply::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    (status, Json(reply)).into_response()
}
