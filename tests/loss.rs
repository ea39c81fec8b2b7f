//! Unplanned loss: callers of a dead agent learn it soon, callers of a silent one are not cut off.

mod common;

use std::time::Duration;

use bamboowind::demo::caller::{Call, Caller};
use common::Scene;
use quinn::ConnectionError;

/// Far below the idle timeout of 30 s, and far above the time in which the loss is noticed.
const LEARN_TIMEOUT: Duration = Duration::from_secs(15);

async fn served_by(caller: &Caller) -> String {
    let answer = caller
        .call(&Call::get("/listing"))
        .await
        .expect("an answer");
    answer.header("bamboowind-target").to_owned()
}

fn agent_index(scene: &Scene, name: &str) -> usize {
    let position = scene.agents.iter().position(|agent| agent.name == name);
    position.expect("an agent with that name")
}

/// Keeps the flow busy, as a caller that waits for an answer does.
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
        () = calls => unreachable!("the loop does not end"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_killed_agent_are_reset_and_reach_another() {
    let mut scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let name = served_by(&caller).await;
    let index = agent_index(&scene, &name);
    scene.agents[index].kill();
    let reason = tokio::time::timeout(LEARN_TIMEOUT, call_until_closed(&caller)).await;
    assert!(matches!(reason, Ok(ConnectionError::Reset)), "{reason:?}");
    assert!(scene.total("reset_sent").await > 0);
    let again = scene.caller(0).await;
    assert_ne!(served_by(&again).await, name);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_restarted_agent_are_reset_by_its_successor() {
    let mut scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let index = agent_index(&scene, &served_by(&caller).await);
    scene.agents[index].kill();
    scene.agents[index].start();
    let reason = tokio::time::timeout(LEARN_TIMEOUT, call_until_closed(&caller)).await;
    assert!(matches!(reason, Ok(ConnectionError::Reset)), "{reason:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_keeps_its_flows() {
    let scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let name = served_by(&caller).await;
    let index = agent_index(&scene, &name);
    scene.agents[index].signal("-STOP");
    let reason = tokio::time::timeout(Duration::from_secs(5), call_until_closed(&caller)).await;
    scene.agents[index].signal("-CONT");
    assert!(reason.is_err(), "a frozen agent's flow ended: {reason:?}");
    assert_eq!(served_by(&caller).await, name);
    assert_eq!(scene.total("reset_sent").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_balancers_that_are_killed_one_after_the_other() {
    let mut scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    let name = served_by(&caller).await;
    for index in 0..3 {
        let others: Vec<_> = (0..3).filter(|&other| other != index).collect();
        scene.balancers[index].kill();
        scene.route_through(&others);
        assert_eq!(served_by(&caller).await, name);
        scene.balancers[index].start();
        common::wait_until("the balancer is back", || async {
            !scene.status(&scene.balancers[index]).await.is_null()
        })
        .await;
        scene.route_through(&[0, 1, 2]);
    }
    assert_eq!(served_by(&caller).await, name);
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_the_loss_of_a_third_of_the_packets() {
    let scene = Scene::with_targets(3).await;
    let caller = scene.caller(0).await;
    scene.services[0].fabric.set_loss_percent(33);
    for _ in 0..20 {
        served_by(&caller).await;
    }
}
