//! An accepted policy is in force everywhere and never reverts, whatever the store does.

mod common;

use std::time::Duration;

use bamboowind::control::memory_store::StoreFaults;
use common::{Scene, shown, wait_until};
use insta::assert_snapshot;

#[tokio::test(flavor = "multi_thread")]
async fn operators_change_defaults_and_exceptions() {
    let scene = Scene::with_targets(3).await;
    let run = |arguments: &[&str]| shown(&scene.run(arguments));
    assert_snapshot!(run(&["policy", "set", "slots=6", "queue_timeout_ms=300"]), @r"
    exit code 0
    --- stdout
    accepted: the policy is at version 1
    --- stderr
    ");
    let except = [
        "policy",
        "except",
        "slow-disk",
        "--reason",
        "disk is being replaced",
        "--host",
        "catalogo-0",
        "slots=2",
    ];
    assert_snapshot!(run(&except), @r"
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
    scene.policy_in_force(2).await;
    wait_until("the exception is in force on its host alone", || async {
        let status = scene.status(&scene.balancers[1]).await;
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
async fn a_conflicting_change_is_reported_and_overwrites_nothing() {
    let scene = Scene::start(2).await;
    scene.ready(0).await;
    scene.run(&["policy", "set", "slots=6"]);
    let late = scene.run(&["policy", "set", "slots=9", "--base-version", "0"]);
    let text = String::from_utf8_lossy(&late.stderr);
    assert_eq!(late.status.code(), Some(1));
    assert!(
        text.contains("another change came first; the policy is at version 1"),
        "{text}"
    );
    assert!(text.contains(r#"set defaults {"slots":6}"#), "{text}");
    let shown = scene.run(&["policy", "show"]);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("slots: 6"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_reply_is_settled_and_a_store_that_is_down_refuses() {
    let scene = Scene::start(2).await;
    scene.ready(0).await;
    scene.store.store().set_faults(StoreFaults {
        lost_write_replies: 1,
        ..StoreFaults::default()
    });
    let output = scene.run(&["policy", "set", "slots=6"]);
    assert_eq!(output.status.code(), Some(0), "{}", shown(&output));
    scene.policy_in_force(1).await;
    let history = scene.run(&["policy", "history", "--json"]);
    let changes: Vec<serde_json::Value> =
        serde_json::from_slice(&history.stdout).expect("a list of changes");
    assert_eq!(changes.len(), 1, "the change was made twice");
    scene.store.store().set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let output = scene.run(&["policy", "set", "slots=7"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("not changed") && text.contains("try again later"),
        "{text}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn newcomers_learn_the_policy_from_peers_while_the_store_is_down() {
    let mut scene = Scene::with_targets(3).await;
    scene.run(&["policy", "set", "slots=6"]);
    scene.policy_in_force(1).await;
    scene.store.store().set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    scene.balancers[1].kill();
    scene.balancers[1].start();
    let agent = scene.add_target(0, "norte").await;
    wait_until("the newcomers have the policy", || async {
        let balancer = scene.status(&scene.balancers[1]).await;
        let agent = scene.status(&scene.agents[agent]).await;
        balancer["policy_version"] == 1 && agent["policy_version"] == 1
    })
    .await;
    scene.store.store().set_faults(StoreFaults::default());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_balancer_that_wakes_brings_nothing_older_back() {
    let scene = Scene::with_targets(3).await;
    scene.run(&["policy", "set", "slots=6"]);
    scene.policy_in_force(1).await;
    scene.balancers[2].signal("-STOP");
    scene.run(&["policy", "set", "slots=7"]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    scene.balancers[2].signal("-CONT");
    scene.policy_in_force(2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    scene.policy_in_force(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_listed_drained_and_resumed() {
    let scene = Scene::with_targets(2).await;
    let run = |arguments: &[&str]| shown(&scene.run(arguments));
    assert_snapshot!(run(&["target", "drain", "catalogo-1"]), @r"
    exit code 0
    --- stdout
    catalogo-1 is draining
    --- stderr
    ");
    for _ in 0..10 {
        let caller = scene.caller(0).await;
        let call = bamboowind::demo::caller::Call::get("/listing");
        let answer = caller.call(&call).await.expect("an answer");
        assert_ne!(answer.header("bamboowind-target"), "catalogo-1");
    }
    let list = scene.run(&["target", "list"]);
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
    scene.run(&["target", "drain", "catalogo-1", "--cancel"]);
    scene.ready(6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_administration_api_needs_its_token() {
    let scene = Scene::start(1).await;
    scene.ready(0).await;
    let url = format!("http://{}", scene.balancers[0].admin);
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
        let response = request.send().await.expect("an answer");
        assert_eq!(response.status().as_u16(), status, "{path} with {token:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_calls_of_the_store_do_not_grow_with_the_balancers() {
    let scene = Scene::start(10).await;
    scene.ready(0).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut before = Vec::new();
    for balancer in &scene.balancers {
        before.push(scene.events(balancer).await.of("store_called"));
    }
    // Longer than a third of a lease, in which every watcher renews its seat.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut callers = 0;
    for (balancer, before) in scene.balancers.iter().zip(before) {
        callers += usize::from(scene.events(balancer).await.of("store_called") > before);
    }
    assert!(
        (1..=4).contains(&callers),
        "{callers} balancers call the store"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_delays_a_change_and_nothing_else() {
    let scene = Scene::with_targets(2).await;
    scene.store.store().set_faults(StoreFaults {
        delay_ms: 700,
        ..StoreFaults::default()
    });
    let output = scene.run(&["policy", "set", "slots=6"]);
    assert_eq!(output.status.code(), Some(0), "{}", shown(&output));
    scene.policy_in_force(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_have_histograms_by_class_and_caller_group() {
    let scene = Scene::with_targets(2).await;
    let policy = "\
classes: [{name: urgent, weight: 4}, {name: normal, weight: 2}]
rules: [{service: catalogo, path_prefix: /listing, class: urgent}]
caller_groups: [{name: resellers, network: 127.0.0.0/8}]
";
    std::fs::write(scene.folder.path().join("policy.yaml"), policy).expect("write");
    let output = scene.run(&["policy", "set", "--file", "policy.yaml"]);
    assert_eq!(output.status.code(), Some(0), "{}", shown(&output));
    scene.policy_in_force(1).await;
    let caller = scene.caller(0).await;
    let call = bamboowind::demo::caller::Call::get("/listing");
    let answer = caller.call(&call).await.expect("an answer");
    let name = answer.header("bamboowind-target").to_owned();
    assert!(!name.is_empty());
    let mut metrics = String::new();
    for agent in &scene.agents {
        let response = reqwest::get(format!("http://{}/metrics", agent.admin)).await;
        metrics += &response.expect("an answer").text().await.expect("metrics");
    }
    let wanted = metrics.lines().find(|line| {
        line.starts_with("bamboowind_request_duration_ms_count")
            && line.contains("class=\"urgent\"")
            && line.contains("caller_group=\"resellers\"")
            && line.contains("outcome=\"request_answered\"")
    });
    assert!(wanted.is_some_and(|line| line.ends_with(" 1")), "{metrics}");
}
