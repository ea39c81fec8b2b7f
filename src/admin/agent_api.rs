//! The administration API of an agent.

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::get,
};

use super::{Status, balancer_api::event_counts};
use crate::{agent::AgentView, proto::control::AgentState};

/// Builds the router that serves the API from `view`.
pub fn router(view: AgentView) -> Router {
    Router::new()
        .route("/health/live", get(|| async { "live\n" }))
        .route("/health/ready", get(ready))
        .route("/metrics", get(metrics))
        .route("/v1/status", get(status))
        .with_state(Arc::new(view))
}

async fn ready(State(view): State<Arc<AgentView>>) -> Response {
    if view.state() == AgentState::Accepting {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "draining\n").into_response()
}

async fn metrics(State(view): State<Arc<AgentView>>) -> String {
    view.metrics().render()
}

async fn status(State(view): State<Arc<AgentView>>) -> Json<Status> {
    Json(Status {
        name: view.name().to_owned(),
        failure_domain: view.failure_domain().to_owned(),
        policy_version: view.policy().version(),
        balancers: view.balancers().iter().map(ToString::to_string).collect(),
        events: event_counts(view.counters()),
        targets: Vec::new(),
    })
}
