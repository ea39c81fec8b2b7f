//! Random callers, repeats and faults: what callers were told is compared with what targets ran.

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
use common::Scene;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use uuid::Uuid;

/// Variable with another seed than the one that CI uses.
const SEED_VARIABLE: &str = "HISTORY_SEED";
const DEFAULT_SEED: u64 = 20_261_204;
const CALLERS: usize = 12;
const FAULTS: usize = 8;
const MAX_TRIES: usize = 4;
const TRY_TIMEOUT: Duration = Duration::from_millis(1_500);

fn seed() -> u64 {
    let given = std::env::var(SEED_VARIABLE).ok();
    given
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

/// What a caller was told of one key, over all its tries.
#[derive(Debug, Default)]
struct Told {
    key: String,
    answers: usize,
    not_run: usize,
    unknown: usize,
}

/// Sends reports with keys, and repeats the ones whose answer is lost or uncertain.
async fn report_until(
    is_over: Arc<AtomicBool>,
    fabric: Fabric,
    certificate: DemoCertificate,
    seed: u64,
) -> Vec<Told> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut history = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let mut told = Told {
            key: Uuid::now_v7().to_string(),
            ..Told::default()
        };
        let work_ms = random.random_range(0..60);
        let call = Call::post(format!("/report?work_ms={work_ms}"), "tuned")
            .with_header("idempotency-key", &told.key);
        for _ in 0..MAX_TRIES {
            attempt(&fabric, &certificate, &call, &mut told).await;
            let repeats_all_the_same = random.random_ratio(1, 5);
            if told.answers > 0 && !repeats_all_the_same {
                break;
            }
        }
        history.push(told);
    }
    history
}

/// One try on a connection of its own, through whichever balancers and agent it gets.
async fn attempt(fabric: &Fabric, certificate: &DemoCertificate, call: &Call, told: &mut Told) {
    let connecting = Caller::connect(fabric, certificate.roots());
    let Ok(Ok(caller)) = tokio::time::timeout(TRY_TIMEOUT, connecting).await else {
        told.not_run += 1;
        return;
    };
    match tokio::time::timeout(TRY_TIMEOUT, caller.call(call)).await {
        Ok(Ok(answer)) => match answer.outcome() {
            None => told.answers += 1,
            Some("not-run") => told.not_run += 1,
            Some(_) => told.unknown += 1,
        },
        Ok(Err(error)) if error.is_not_run() => told.not_run += 1,
        Ok(Err(_)) | Err(_) => told.unknown += 1,
    }
}

/// One fault at a time, drawn at random, each mended before the next.
async fn break_things(scene: &mut Scene) {
    let mut random = StdRng::seed_from_u64(seed());
    for _ in 0..FAULTS {
        let agent = random.random_range(0..3);
        let balancer = random.random_range(0..3);
        let pause = Duration::from_millis(random.random_range(300..2_500));
        match *["freeze", "kill", "replace", "drain", "balancer"]
            .choose(&mut random)
            .expect("one")
        {
            "freeze" => {
                scene.agents[agent].signal("-STOP");
                tokio::time::sleep(pause).await;
                scene.agents[agent].signal("-CONT");
            }
            "kill" => {
                scene.agents[agent].kill();
                tokio::time::sleep(pause).await;
                scene.agents[agent].start();
            }
            "replace" => {
                scene.agents[agent].signal("-TERM");
                assert_eq!(scene.agents[agent].wait().await, Some(0));
                scene.agents[agent].start();
            }
            "drain" => {
                let name = scene.agents[agent].name.clone();
                scene.run(&["target", "drain", &name]);
                tokio::time::sleep(pause).await;
                scene.run(&["target", "drain", &name, "--cancel"]);
            }
            _ => {
                scene.balancers[balancer].kill();
                tokio::time::sleep(pause).await;
                scene.balancers[balancer].start();
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_the_truth_under_random_faults() {
    let mut scene = Scene::with_targets(3).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let fabric = scene.services[0].fabric.clone();
            let certificate = scene.certificate.clone();
            let seed = seed() + u64::try_from(number).expect("small");
            tokio::spawn(report_until(
                Arc::clone(&is_over),
                fabric,
                certificate,
                seed,
            ))
        })
        .collect();
    break_things(&mut scene).await;
    is_over.store(true, Ordering::Relaxed);
    let mut history = Vec::new();
    for caller in callers {
        history.extend(caller.await.expect("a caller"));
    }
    // A request that was sent may still run on its target.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answered = history.iter().filter(|told| told.answers > 0).count();
    assert!(
        answered > 100,
        "only {answered} of {} keys were answered",
        history.len()
    );
    for told in &history {
        let runs = scene.runs_of(&told.key);
        assert!(runs <= 1, "{told:?} ran {runs} times");
        if told.answers > 0 {
            assert_eq!(runs, 1, "{told:?} was answered and never ran");
        } else if told.unknown == 0 {
            assert_eq!(
                runs, 0,
                "{told:?} ran, and its caller was told that it did not"
            );
        }
    }
    let unknown = history
        .iter()
        .filter(|told| told.answers == 0 && told.unknown > 0)
        .count();
    println!(
        "{} keys: {answered} answered, {unknown} of unknown outcome",
        history.len()
    );
}
