//! Callers send requests with idempotency keys and retry them while random faults are injected.
//! The outcomes that callers received are then compared with the requests that targets ran.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bamboowind::demo::{
    caller::{Call, Caller},
    certificate::DemoCertificate,
    fabric::Fabric,
};
use common::TestCluster;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use uuid::Uuid;

/// Environment variable that replaces [`DEFAULT_SEED`], the seed of CI.
const SEED_ENV: &str = "HISTORY_SEED";
const DEFAULT_SEED: u64 = 20_261_204;
const CALLER_COUNT: usize = 12;
const FAULT_COUNT: usize = 8;
const MAX_ATTEMPTS: usize = 4;
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

fn seed() -> u64 {
    let value = std::env::var(SEED_ENV).ok();
    value
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

/// Outcomes that a caller received for one idempotency key, over all its attempts.
#[derive(Debug, Default)]
struct KeyOutcomes {
    key: String,
    /// Attempts that received the response of the target.
    responses: usize,
    /// Attempts after which the caller knew that the request had not run.
    not_run: usize,
    /// Attempts after which the request may or may not have run.
    unknown: usize,
}

/// Sends requests with idempotency keys until `is_stopped` is set.
///
/// Each request is retried until it has a response, and with a probability of 1/5 also after that,
/// up to [`MAX_ATTEMPTS`] attempts in total.
async fn send_reports(
    is_stopped: Arc<AtomicBool>,
    fabric: Fabric,
    certificate: DemoCertificate,
    seed: u64,
) -> Vec<KeyOutcomes> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut history = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        let mut outcomes = KeyOutcomes {
            key: Uuid::now_v7().to_string(),
            ..KeyOutcomes::default()
        };
        let work_ms = random.random_range(0..60);
        let call = Call::post(format!("/report?work_ms={work_ms}"), "tuned")
            .with_header("idempotency-key", &outcomes.key);
        for _ in 0..MAX_ATTEMPTS {
            send_once(&fabric, &certificate, &call, &mut outcomes).await;
            let retries_after_response = random.random_ratio(1, 5);
            if outcomes.responses > 0 && !retries_after_response {
                break;
            }
        }
        history.push(outcomes);
    }
    history
}

/// Sends a request once on a new connection and records the outcome.
async fn send_once(
    fabric: &Fabric,
    certificate: &DemoCertificate,
    call: &Call,
    outcomes: &mut KeyOutcomes,
) {
    let connecting = Caller::connect(fabric, certificate.roots());
    let Ok(Ok(caller)) = tokio::time::timeout(ATTEMPT_TIMEOUT, connecting).await else {
        outcomes.not_run += 1;
        return;
    };
    match tokio::time::timeout(ATTEMPT_TIMEOUT, caller.call(call)).await {
        Ok(Ok(response)) => match response.outcome() {
            None => outcomes.responses += 1,
            Some("not-run") => outcomes.not_run += 1,
            Some(_) => outcomes.unknown += 1,
        },
        Ok(Err(error)) if error.is_not_run() => outcomes.not_run += 1,
        Ok(Err(_)) | Err(_) => outcomes.unknown += 1,
    }
}

/// Injects random faults one at a time; each is repaired before the next.
async fn inject_faults(cluster: &mut TestCluster) {
    let mut random = StdRng::seed_from_u64(seed());
    for _ in 0..FAULT_COUNT {
        let agent = random.random_range(0..3);
        let balancer = random.random_range(0..3);
        let fault_duration = Duration::from_millis(random.random_range(300..2_500));
        match *["pause", "kill", "replace", "drain", "balancer"]
            .choose(&mut random)
            .expect("list of faults is empty")
        {
            "pause" => {
                cluster.agents[agent].signal("-STOP");
                tokio::time::sleep(fault_duration).await;
                cluster.agents[agent].signal("-CONT");
            }
            "kill" => {
                cluster.agents[agent].kill();
                tokio::time::sleep(fault_duration).await;
                cluster.agents[agent].start();
            }
            "replace" => {
                cluster.agents[agent].signal("-TERM");
                assert_eq!(cluster.agents[agent].wait_for_exit().await, Some(0));
                cluster.agents[agent].start();
            }
            "drain" => {
                let name = cluster.agents[agent].name.clone();
                cluster.run_command(&["target", "drain", &name]);
                tokio::time::sleep(fault_duration).await;
                cluster.run_command(&["target", "drain", &name, "--cancel"]);
            }
            _ => {
                cluster.balancers[balancer].kill();
                tokio::time::sleep(fault_duration).await;
                cluster.balancers[balancer].start();
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reported_outcomes_match_the_runs_under_random_faults() {
    let mut cluster = TestCluster::with_targets(3).await;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let fabric = cluster.services[0].fabric.clone();
            let certificate = cluster.certificate.clone();
            let seed = seed() + u64::try_from(number).expect("caller number out of range");
            tokio::spawn(send_reports(
                Arc::clone(&is_stopped),
                fabric,
                certificate,
                seed,
            ))
        })
        .collect();
    inject_faults(&mut cluster).await;
    is_stopped.store(true, Ordering::Relaxed);
    let mut history = Vec::new();
    for caller in callers {
        history.extend(caller.await.expect("caller task panicked"));
    }
    // A request may still be running on its target after the caller has given up on it.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let responded = history
        .iter()
        .filter(|outcomes| outcomes.responses > 0)
        .count();
    assert!(
        responded > 100,
        "only {responded} of {} keys got a response",
        history.len()
    );
    for outcomes in &history {
        let runs = cluster.run_count(&outcomes.key);
        assert!(runs <= 1, "{outcomes:?} ran {runs} times");
        if outcomes.responses > 0 {
            assert_eq!(runs, 1, "{outcomes:?} got a response but never ran");
        } else if outcomes.unknown == 0 {
            assert_eq!(
                runs, 0,
                "{outcomes:?} ran although it was reported as not run"
            );
        }
    }
    let unknown = history
        .iter()
        .filter(|outcomes| outcomes.responses == 0 && outcomes.unknown > 0)
        .count();
    println!(
        "{} keys: {responded} with a response, {unknown} with an unknown outcome",
        history.len()
    );
}
