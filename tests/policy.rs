//! An accepted policy reaches every process and never reverts, also while the store fails.
//! The tests also cover the operator commands, the administration API and the metrics.

mod common;

use std::time::Duration;

use bamboowind::control::memory_store::StoreFaults;
use common::{TestCluster, format_output, wait_until};
use insta::assert_snapshot;

#[tokio::test(flavor = "multi_thread")]
async fn operators_change_defaults_and_exceptions() {
    let cluster = TestCluster::with_targets(3).await;
    let run = |arguments: &[&str]| format_output(&cluster.run_command(arguments));
    assert_snapshot!(run(&["policy", "set", "slots=6", "queue_timeout_ms=300"]), @r"
    exit code 0
    --- stdout
    accepted: the policy is at version 1
    --- stderr
    ");
    let add_exception = [
        "policy",
        "except",
        "slow-disk",
        "--reason",
        "disk is being replaced",
        "--host",
        "catalogo-0",
        "slots=2",
    ];
    assert_snapshot!(run(&add_exception), @r"
    exit code 0
    --- stdout
    accepted: the policy is at version 2
    --- stderr
    ");
    let show = run(&["policy", "show"]);
    let change_id = show
        .lines()
        .find_map(|line| line.strip_prefix("change_id: "))
        .unwrap_or_default();
    assert_snapshot!(show.replace(change_id, "CHANGE"), @r"
    exit code 0
    --- stdout
    version: 2
    change_id: CHANGE
    defaults:
      slots: 6
      queue_timeout_ms: 300
    classes:
    - name: urgent
      weight: 4
    - name: normal
      weight: 2
    - name: bulk
      weight: 1
    exceptions:
    - name: slow-disk
      reason: disk is being replaced
      host: catalogo-0
      limits:
        slots: 2
    --- stderr
    ");
    cluster.wait_for_policy(2).await;
    wait_until("the exception applies to its host only", || async {
        let status = cluster.status(&cluster.balancers[1]).await;
        let targets = status["targets"].as_array().cloned().unwrap_or_default();
        targets.iter().all(|target| {
            let slots = if target["name"] == "catalogo-0" { 2 } else { 6 };
            target["slots"] == slots
        })
    })
    .await;
    assert_snapshot!(run(&["policy", "unexcept", "unheard-of"]), @r"
    exit code 1
    --- stdout
    --- stderr
    bamboowind: refused: there is no exception named unheard-of
    ");
    assert_snapshot!(run(&["policy", "set", "slots=0"]), @r"
    exit code 2
    --- stdout
    --- stderr
    bamboowind: defaults.slots: found 0; expected a whole number from 1 to 100000
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn conflicting_change_is_refused() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_for_targets(0).await;
    cluster.run_command(&["policy", "set", "slots=6"]);
    let conflicting = cluster.run_command(&["policy", "set", "slots=9", "--base-version", "0"]);
    let text = String::from_utf8_lossy(&conflicting.stderr);
    assert_eq!(conflicting.status.code(), Some(1));
    assert!(
        text.contains("another change came first; the policy is at version 1"),
        "{text}"
    );
    assert!(text.contains(r#"set defaults {"slots":6}"#), "{text}");
    let output = cluster.run_command(&["policy", "show"]);
    assert!(String::from_utf8_lossy(&output.stdout).contains("slots: 6"));
}

#[tokio::test(flavor = "multi_thread")]
async fn change_with_a_lost_reply_is_accepted_and_a_change_without_store_is_refused() {
    let cluster = TestCluster::start(2).await;
    cluster.wait_for_targets(0).await;
    cluster.store.store().set_faults(StoreFaults {
        lost_write_replies: 1,
        ..StoreFaults::default()
    });
    let output = cluster.run_command(&["policy", "set", "slots=6"]);
    assert_eq!(output.status.code(), Some(0), "{}", format_output(&output));
    cluster.wait_for_policy(1).await;
    let history = cluster.run_command(&["policy", "history", "--json"]);
    let changes: Vec<serde_json::Value> =
        serde_json::from_slice(&history.stdout).expect("output is not a list of changes");
    assert_eq!(changes.len(), 1, "the change was applied more than once");
    cluster.store.store().set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let output = cluster.run_command(&["policy", "set", "slots=7"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("not changed") && text.contains("try again later"),
        "{text}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn new_processes_fetch_the_policy_from_peers_while_the_store_is_down() {
    let mut cluster = TestCluster::with_targets(3).await;
    cluster.run_command(&["policy", "set", "slots=6"]);
    cluster.wait_for_policy(1).await;
    cluster.store.store().set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    cluster.balancers[1].kill();
    cluster.balancers[1].start();
    let agent = cluster.add_target(0, "norte").await;
    wait_until("the new processes use the policy", || async {
        let balancer = cluster.status(&cluster.balancers[1]).await;
        let agent = cluster.status(&cluster.agents[agent]).await;
        balancer["policy_version"] == 1 && agent["policy_version"] == 1
    })
    .await;
    cluster.store.store().set_faults(StoreFaults::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_balancer_does_not_bring_back_an_older_policy() {
    let cluster = TestCluster::with_targets(3).await;
    cluster.run_command(&["policy", "set", "slots=6"]);
    cluster.wait_for_policy(1).await;
    cluster.balancers[2].signal("-STOP");
    cluster.run_command(&["policy", "set", "slots=7"]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.balancers[2].signal("-CONT");
    cluster.wait_for_policy(2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.wait_for_policy(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn target_is_listed_drained_and_resumed() {
    let cluster = TestCluster::with_targets(2).await;
    let run = |arguments: &[&str]| format_output(&cluster.run_command(arguments));
    assert_snapshot!(run(&["target", "drain", "catalogo-1"]), @r"
    exit code 0
    --- stdout
    catalogo-1 is draining
    --- stderr
    ");
    for _ in 0..10 {
        let caller = cluster.connect_caller(0).await;
        let call = bamboowind::demo::caller::Call::get("/listing");
        let response = caller.call(&call).await.expect("failed to get a response");
        assert_ne!(response.header("bamboowind-target"), "catalogo-1");
    }
    let list = cluster.run_command(&["target", "list"]);
    let text = String::from_utf8_lossy(&list.stdout).into_owned();
    assert!(
        text.lines()
            .any(|line| line.starts_with("catalogo-1") && line.contains("draining"))
    );
    assert_snapshot!(run(&["target", "drain", "unheard-of"]), @r"
    exit code 1
    --- stdout
    --- stderr
    bamboowind: the request failed with status 404 Not Found: no target named unheard-of
    ");
    cluster.run_command(&["target", "drain", "catalogo-1", "--cancel"]);
    cluster.wait_for_targets(6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn administration_api_requires_the_token() {
    let cluster = TestCluster::start(1).await;
    cluster.wait_for_targets(0).await;
    let url = format!("http://{}", cluster.balancers[0].admin_address);
    let client = reqwest::Client::new();
    for (path, token, status) in [
        ("/v1/status", "", 401),
        ("/v1/status", "wrong", 401),
        ("/v1/status", common::TOKEN, 200),
        ("/health/live", "", 200),
        ("/health/ready", "", 200),
        ("/metrics", "", 200),
    ] {
        let request = client.get(format!("{url}{path}")).bearer_auth(token);
        let response = request.send().await.expect("failed to get a response");
        assert_eq!(response.status().as_u16(), status, "{path} with {token:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn number_of_balancers_that_call_the_store_is_bounded() {
    let cluster = TestCluster::start(10).await;
    cluster.wait_for_targets(0).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut before = Vec::new();
    for balancer in &cluster.balancers {
        before.push(cluster.events(balancer).await.count("store_called"));
    }
    // Longer than a third of the lease time, the interval at which each watcher renews its lease.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut calling_count = 0;
    for (balancer, before) in cluster.balancers.iter().zip(before) {
        calling_count += usize::from(cluster.events(balancer).await.count("store_called") > before);
    }
    assert!(
        (1..=4).contains(&calling_count),
        "{calling_count} balancers call the store"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_accepted_by_a_slow_store() {
    let cluster = TestCluster::with_targets(2).await;
    cluster.store.store().set_faults(StoreFaults {
        delay_ms: 700,
        ..StoreFaults::default()
    });
    let output = cluster.run_command(&["policy", "set", "slots=6"]);
    assert_eq!(output.status.code(), Some(0), "{}", format_output(&output));
    cluster.wait_for_policy(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_have_histograms_by_class_and_caller_group() {
    let cluster = TestCluster::with_targets(2).await;
    let policy = "\
classes: [{name: urgent, weight: 4}, {name: normal, weight: 2}]
rules: [{service: catalogo, path_prefix: /listing, class: urgent}]
caller_groups: [{name: resellers, network: 127.0.0.0/8}]
";
    std::fs::write(cluster.temp_dir.path().join("policy.yaml"), policy).expect("write failed");
    let output = cluster.run_command(&["policy", "set", "--file", "policy.yaml"]);
    assert_eq!(output.status.code(), Some(0), "{}", format_output(&output));
    cluster.wait_for_policy(1).await;
    let caller = cluster.connect_caller(0).await;
    let call = bamboowind::demo::caller::Call::get("/listing");
    let response = caller.call(&call).await.expect("failed to get a response");
    let name = response.header("bamboowind-target").to_owned();
    assert!(!name.is_empty());
    let mut metrics = String::new();
    for agent in &cluster.agents {
        let response = reqwest::get(format!("http://{}/metrics", agent.admin_address)).await;
        metrics += &response
            .expect("failed to get a response")
            .text()
            .await
            .expect("failed to read the metrics");
    }
    let sample = metrics.lines().find(|line| {
        line.starts_with("bamboowind_request_duration_ms_count")
            && line.contains("class=\"urgent\"")
            && line.contains("caller_group=\"resellers\"")
            && line.contains("outcome=\"request_answered\"")
    });
    assert!(sample.is_some_and(|line| line.ends_with(" 1")), "{metrics}");
}
