//! A request with a key runs at most once, whichever balancers, agents and connections it takes.

mod common;

use std::time::Duration;

use bamboowind::demo::caller::{Call, CallResponse, Caller};
use common::{Scene, wait_until};
use uuid::Uuid;

fn report(key: &str) -> Call {
    Call::post("/report", "tuned").with_header("idempotency-key", key)
}

/// Repeats a call on new connections until nothing runs any more.
async fn repeat_until_settled(scene: &Scene, call: &Call) -> CallResponse {
    loop {
        let caller = scene.caller(0).await;
        let answer = caller.call(call).await.expect("an answer");
        if answer.header("retry-after-ms").is_empty() {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn connections_to_all_agents(scene: &Scene) -> Vec<Caller> {
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(scene.caller(0).await);
    }
    callers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_through_any_agent_gets_the_first_answer() {
    let scene = Scene::with_targets(3).await;
    let callers = connections_to_all_agents(&scene).await;
    for _ in 0..10 {
        let key = Uuid::now_v7().to_string();
        let first = callers[0].call(&report(&key)).await.expect("an answer");
        assert_eq!(
            first.status,
            201,
            "{}",
            String::from_utf8_lossy(&first.body)
        );
        for caller in &callers {
            let again = caller.call(&report(&key)).await.expect("an answer");
            assert_eq!((again.status, &again.body), (first.status, &first.body));
            assert_eq!(again.header("idempotency-replayed"), "true");
        }
        assert_eq!(scene.runs_of(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn simultaneous_repeats_run_once() {
    let scene = Scene::with_targets(3).await;
    let callers = connections_to_all_agents(&scene).await;
    let key = Uuid::now_v7().to_string();
    let call = Call::post("/report?work_ms=200", "tuned").with_header("idempotency-key", &key);
    let calls = callers.iter().map(|caller| caller.call(&call));
    let answers = futures_util::future::join_all(calls).await;
    let created = answers
        .iter()
        .filter(|answer| answer.as_ref().is_ok_and(|answer| answer.status == 201));
    assert_eq!(created.count(), 1);
    assert_eq!(scene.runs_of(&key), 1);
    let settled = repeat_until_settled(&scene, &call).await;
    assert_eq!(settled.status, 201);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_after_the_caller_left_does_not_run_again() {
    let scene = Scene::with_targets(2).await;
    let key = Uuid::now_v7().to_string();
    let call = Call::post("/report?work_ms=300", "tuned").with_header("idempotency-key", &key);
    let caller = scene.caller(0).await;
    let abandoned = tokio::time::timeout(Duration::from_millis(100), caller.call(&call)).await;
    assert!(abandoned.is_err());
    caller.close().await;
    let answer = repeat_until_settled(&scene, &call).await;
    assert_eq!(answer.status, 201);
    assert_eq!(scene.runs_of(&key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_after_agents_died_froze_or_joined_does_not_run_again() {
    let mut scene = Scene::with_targets(3).await;
    let mut keys = Vec::new();
    let caller = scene.caller(0).await;
    for _ in 0..20 {
        let key = Uuid::now_v7().to_string();
        let first = caller.call(&report(&key)).await.expect("an answer");
        assert_eq!(first.status, 201);
        keys.push(key);
    }
    scene.agents[0].signal("-STOP");
    scene.agents[1].kill();
    scene.add_target(0, "norte").await;
    wait_until("the new target takes flows", || async {
        let status = scene.status(&scene.balancers[0]).await;
        let text = status["targets"].to_string();
        text.matches("\"accepting\"").count() >= 5
    })
    .await;
    for key in &keys {
        let caller = loop {
            let fabric = &scene.services[0].fabric;
            let connecting = Caller::connect(fabric, scene.certificate.roots());
            let connected = tokio::time::timeout(Duration::from_secs(2), connecting).await;
            if let Ok(Ok(caller)) = connected {
                break caller;
            }
        };
        let again = caller.call(&report(key)).await.expect("an answer");
        let is_honest = again.status == 201 || again.outcome() == Some("outcome-unknown");
        assert!(is_honest, "{} {:?}", again.status, again.outcome());
    }
    scene.agents[0].signal("-CONT");
    for key in &keys {
        let again = scene.caller(0).await.call(&report(key)).await;
        if let Ok(again) = again {
            assert_ne!(again.outcome(), Some("not-run"));
        }
        assert_eq!(scene.runs_of(key), 1, "{key} ran again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_tells_no_time_or_another_content_is_refused() {
    let scene = Scene::with_targets(2).await;
    let caller = scene.caller(0).await;
    let refused = caller.call(&report("report-7")).await.expect("an answer");
    assert_eq!(
        (refused.status.as_u16(), refused.outcome()),
        (400, Some("not-run"))
    );
    let key = Uuid::now_v7().to_string();
    caller.call(&report(&key)).await.expect("an answer");
    let other = Call::post("/report?work_ms=1", "other").with_header("idempotency-key", &key);
    let refused = caller.call(&other).await.expect("an answer");
    assert_eq!(
        (refused.status.as_u16(), refused.outcome()),
        (422, Some("not-run"))
    );
    assert_eq!(scene.runs_of(&key), 1);
}
