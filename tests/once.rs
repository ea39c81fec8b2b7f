//! A request with an idempotency key runs at most once, even if it is retried through other
//! balancers, agents and connections.

mod common;

use std::time::Duration;

use bamboowind::demo::caller::{Call, CallResponse, Caller};
use common::{TestCluster, wait_until};
use uuid::Uuid;

fn report_request(key: &str) -> Call {
    Call::post("/report", "tuned").with_header("idempotency-key", key)
}

/// Retries a request on new connections until the response no longer asks for a retry.
async fn retry_until_final(cluster: &TestCluster, call: &Call) -> CallResponse {
    loop {
        let caller = cluster.connect_caller(0).await;
        let response = caller.call(call).await.expect("failed to get a response");
        if response.header("retry-after-ms").is_empty() {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Opens 12 connections, which the balancers spread over all agents.
async fn connect_callers(cluster: &TestCluster) -> Vec<Caller> {
    let mut callers = Vec::new();
    for _ in 0..12 {
        callers.push(cluster.connect_caller(0).await);
    }
    callers
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_through_any_agent_replays_the_first_response() {
    let cluster = TestCluster::with_targets(3).await;
    let callers = connect_callers(&cluster).await;
    for _ in 0..10 {
        let key = Uuid::now_v7().to_string();
        let first = callers[0]
            .call(&report_request(&key))
            .await
            .expect("failed to get a response");
        assert_eq!(
            first.status,
            201,
            "{}",
            String::from_utf8_lossy(&first.body)
        );
        for caller in &callers {
            let replayed = caller
                .call(&report_request(&key))
                .await
                .expect("failed to get a response");
            assert_eq!(
                (replayed.status, &replayed.body),
                (first.status, &first.body)
            );
            assert_eq!(replayed.header("idempotency-replayed"), "true");
        }
        assert_eq!(cluster.run_count(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_key_run_once() {
    let cluster = TestCluster::with_targets(3).await;
    let callers = connect_callers(&cluster).await;
    let key = Uuid::now_v7().to_string();
    let call = Call::post("/report?work_ms=200", "tuned").with_header("idempotency-key", &key);
    let calls = callers.iter().map(|caller| caller.call(&call));
    let responses = futures_util::future::join_all(calls).await;
    let created = responses.iter().filter(|response| {
        response
            .as_ref()
            .is_ok_and(|response| response.status == 201)
    });
    assert_eq!(created.count(), 1);
    assert_eq!(cluster.run_count(&key), 1);
    let final_response = retry_until_final(&cluster, &call).await;
    assert_eq!(final_response.status, 201);
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_after_the_caller_disconnected_does_not_run_again() {
    let cluster = TestCluster::with_targets(2).await;
    let key = Uuid::now_v7().to_string();
    let call = Call::post("/report?work_ms=300", "tuned").with_header("idempotency-key", &key);
    let caller = cluster.connect_caller(0).await;
    let timed_out = tokio::time::timeout(Duration::from_millis(100), caller.call(&call)).await;
    assert!(timed_out.is_err());
    caller.close().await;
    let response = retry_until_final(&cluster, &call).await;
    assert_eq!(response.status, 201);
    assert_eq!(cluster.run_count(&key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_after_agents_were_killed_paused_or_added_does_not_run_again() {
    let mut cluster = TestCluster::with_targets(3).await;
    let mut keys = Vec::new();
    let caller = cluster.connect_caller(0).await;
    for _ in 0..20 {
        let key = Uuid::now_v7().to_string();
        let first = caller
            .call(&report_request(&key))
            .await
            .expect("failed to get a response");
        assert_eq!(first.status, 201);
        keys.push(key);
    }
    cluster.agents[0].signal("-STOP");
    cluster.agents[1].kill();
    cluster.add_target(0, "norte").await;
    wait_until("the new target accepts flows", || async {
        let status = cluster.status(&cluster.balancers[0]).await;
        let text = status["targets"].to_string();
        text.matches("\"accepting\"").count() >= 5
    })
    .await;
    for key in &keys {
        let caller = loop {
            let fabric = &cluster.services[0].fabric;
            let connecting = Caller::connect(fabric, cluster.certificate.roots());
            let connected = tokio::time::timeout(Duration::from_secs(2), connecting).await;
            if let Ok(Ok(caller)) = connected {
                break caller;
            }
        };
        let replayed = caller
            .call(&report_request(key))
            .await
            .expect("failed to get a response");
        let is_allowed = replayed.status == 201 || replayed.outcome() == Some("outcome-unknown");
        assert!(is_allowed, "{} {:?}", replayed.status, replayed.outcome());
    }
    cluster.agents[0].signal("-CONT");
    for key in &keys {
        let replayed = cluster
            .connect_caller(0)
            .await
            .call(&report_request(key))
            .await;
        if let Ok(replayed) = replayed {
            assert_ne!(replayed.outcome(), Some("not-run"));
        }
        assert_eq!(cluster.run_count(key), 1, "{key} ran again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_without_a_time_or_with_other_content_is_refused() {
    let cluster = TestCluster::with_targets(2).await;
    let caller = cluster.connect_caller(0).await;
    let refused = caller
        .call(&report_request("report-7"))
        .await
        .expect("failed to get a response");
    assert_eq!(
        (refused.status.as_u16(), refused.outcome()),
        (400, Some("not-run"))
    );
    let key = Uuid::now_v7().to_string();
    caller
        .call(&report_request(&key))
        .await
        .expect("failed to get a response");
    let other = Call::post("/report?work_ms=1", "other").with_header("idempotency-key", &key);
    let refused = caller.call(&other).await.expect("failed to get a response");
    assert_eq!(
        (refused.status.as_u16(), refused.outcome()),
        (422, Some("not-run"))
    );
    assert_eq!(cluster.run_count(&key), 1);
}
