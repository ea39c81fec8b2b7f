//! Operator actions during the demo: draining targets, replacing balancers, changing the policy.

use std::time::Duration;

use tokio::time;

use super::deployment::Deployment;
use crate::{control::commit::CommitOutcome, proto::policy::Limits};

/// Pause after each action.
const PAUSE_MS: u64 = 1_500;

/// Repeats the operator actions until the task is aborted, on another target and balancer each
/// round.
pub async fn run(deployment: Deployment) {
    let mut round = 0;
    let mut policy_version = 1;
    loop {
        drain_target(&deployment, round).await;
        replace_balancer(&deployment, round).await;
        policy_version = change_policy(&deployment, policy_version).await;
        round += 1;
    }
}

async fn pause() {
    time::sleep(Duration::from_millis(PAUSE_MS)).await;
}

async fn drain_target(deployment: &Deployment, round: usize) {
    let service = &deployment.services[round % deployment.services.len()];
    let host = round % service.spec.hosts;
    service.agents.lock().await[host].set_draining(true);
    pause().await;
    service.agents.lock().await[host].set_draining(false);
    pause().await;
}

async fn replace_balancer(deployment: &Deployment, round: usize) {
    let count = deployment.balancers.read().await.len();
    let replaced = round % count;
    let remaining: Vec<usize> = (0..count).filter(|&index| index != replaced).collect();
    deployment.route_through(&remaining);
    let old = deployment.balancers.write().await[replaced].take();
    if let Some(old) = old {
        old.stop().await;
    }
    if let Ok(new) = deployment.start_balancer(replaced).await {
        deployment.balancers.write().await[replaced] = Some(new);
        deployment.route_through(&(0..count).collect::<Vec<_>>());
    }
    pause().await;
}

async fn change_policy(deployment: &Deployment, base_version: u64) -> u64 {
    let queue_timeout_ms = 400 + 100 * (base_version % 3);
    let limits = Limits {
        queue_timeout_ms: Some(queue_timeout_ms),
        ..Limits::default()
    };
    let outcome = deployment.change_policy(limits, base_version).await;
    pause().await;
    match outcome {
        CommitOutcome::Accepted(policy) => policy.version,
        _ => base_version,
    }
}
