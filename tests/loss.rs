//! Unplanned failures: flows of a dead agent are reset soon, while flows of a paused agent and
//! flows through killed balancers or a lossy network stay open.

mod common;

use std::time::Duration;

use bamboowind::demo::caller::{Call, Caller};
use common::TestCluster;
use quinn::ConnectionError;

/// Time in which a flow must be reset: far below the idle timeout of 30 s, and far above the time
/// that balancers need to detect a dead agent.
const RESET_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends a request and returns the name of the target that served it.
async fn serving_target(caller: &Caller) -> String {
    let response = caller
        .call(&Call::get("/listing"))
        .await
        .expect("failed to get a response");
    response.header("bamboowind-target").to_owned()
}

fn agent_index(cluster: &TestCluster, name: &str) -> usize {
    let position = cluster.agents.iter().position(|agent| agent.name == name);
    position.expect("no agent has this name")
}

/// Sends requests until the connection is closed and returns the reason.
///
/// A reset is sent only in reply to a packet of the flow, so the caller must keep sending.
async fn call_until_closed(caller: &Caller) -> ConnectionError {
    let call = Call::get("/listing");
    let calls = async {
        loop {
            let _ = tokio::time::timeout(Duration::from_millis(200), caller.call(&call)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        reason = caller.closed() => reason,
        () = calls => unreachable!("the request loop never ends"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_a_killed_agent_are_reset_and_new_flows_reach_another() {
    let mut cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let name = serving_target(&caller).await;
    let index = agent_index(&cluster, &name);
    cluster.agents[index].kill();
    let reason = tokio::time::timeout(RESET_TIMEOUT, call_until_closed(&caller)).await;
    assert!(matches!(reason, Ok(ConnectionError::Reset)), "{reason:?}");
    assert!(cluster.balancer_event_count("reset_sent").await > 0);
    let new_caller = cluster.connect_caller(0).await;
    assert_ne!(serving_target(&new_caller).await, name);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_of_a_killed_and_restarted_agent_are_reset() {
    let mut cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let index = agent_index(&cluster, &serving_target(&caller).await);
    cluster.agents[index].kill();
    cluster.agents[index].start();
    let reason = tokio::time::timeout(RESET_TIMEOUT, call_until_closed(&caller)).await;
    assert!(matches!(reason, Ok(ConnectionError::Reset)), "{reason:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_agent_keeps_its_flows() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let name = serving_target(&caller).await;
    let index = agent_index(&cluster, &name);
    cluster.agents[index].signal("-STOP");
    let reason = tokio::time::timeout(Duration::from_secs(5), call_until_closed(&caller)).await;
    cluster.agents[index].signal("-CONT");
    assert!(
        reason.is_err(),
        "the flow of a paused agent was closed: {reason:?}"
    );
    assert_eq!(serving_target(&caller).await, name);
    assert_eq!(cluster.balancer_event_count("reset_sent").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_when_every_balancer_is_killed_in_turn() {
    let mut cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    let name = serving_target(&caller).await;
    for index in 0..3 {
        let others: Vec<_> = (0..3).filter(|&other| other != index).collect();
        cluster.balancers[index].kill();
        cluster.route_through(&others);
        assert_eq!(serving_target(&caller).await, name);
        cluster.balancers[index].start();
        common::wait_until("the restarted balancer responds", || async {
            !cluster.status(&cluster.balancers[index]).await.is_null()
        })
        .await;
        cluster.route_through(&[0, 1, 2]);
    }
    assert_eq!(serving_target(&caller).await, name);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_33_percent_packet_loss() {
    let cluster = TestCluster::with_targets(3).await;
    let caller = cluster.connect_caller(0).await;
    cluster.services[0].fabric.set_loss_percent(33);
    for _ in 0..20 {
        serving_target(&caller).await;
    }
}
