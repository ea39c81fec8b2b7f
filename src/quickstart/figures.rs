//! What callers were told and what targets ran, counted on both sides.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;

use crate::output::Table;

const PERCENTILE_SCALE: usize = 100;

/// What the callers of one service have seen.
#[derive(Debug, Default)]
pub struct CallerCounts {
    inner: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: u64,
    flows: u64,
    not_run: u64,
    outcome_unknown: u64,
    broken: u64,
    wrong_answers: u64,
    answered_keys: Vec<String>,
    refused_keys: Vec<String>,
    latencies: Vec<ClassLatencies>,
}

#[derive(Debug)]
struct ClassLatencies {
    class: &'static str,
    samples_us: Vec<u64>,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// A whole answer of the target.
    Answered,
    /// An answer of another service, or a part of one.
    WrongAnswer,
    /// Told that it was not run.
    NotRun,
    /// Told that its outcome is not known.
    Unknown,
    /// The connection or the stream broke.
    Broken,
}

impl CallerCounts {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an opened flow.
    pub fn flow_opened(&self) {
        self.lock().flows += 1;
    }

    /// Notes a broken flow that had no request under way.
    pub fn flow_broken(&self) {
        self.lock().broken += 1;
    }

    /// Notes a request that was refused and goes to another connection.
    pub fn refused(&self, key: Option<String>) {
        self.lock().refused_keys.extend(key);
    }

    /// Notes the end of a request.
    pub fn note(&self, class: &'static str, told: Told, latency_us: u64, key: Option<String>) {
        let mut counts = self.lock();
        counts.requests += 1;
        match told {
            Told::Answered => {
                counts.answered_keys.extend(key);
                counts.add_latency(class, latency_us);
            }
            Told::NotRun => {
                counts.not_run += 1;
                counts.refused_keys.extend(key);
            }
            Told::Unknown => counts.outcome_unknown += 1,
            Told::Broken => counts.broken += 1,
            Told::WrongAnswer => counts.wrong_answers += 1,
        }
    }
}

impl Counts {
    fn add_latency(&mut self, class: &'static str, latency_us: u64) {
        match self.latencies.iter_mut().find(|entry| entry.class == class) {
            Some(entry) => entry.samples_us.push(latency_us),
            None => self.latencies.push(ClassLatencies {
                class,
                samples_us: vec![latency_us],
            }),
        }
    }
}

/// What one target has done.
#[derive(Clone, Debug)]
pub struct TargetFigures {
    /// Time spent on requests, in microseconds.
    pub busy_us: u64,
    /// Keys of the requests that were run.
    pub keys: Vec<String>,
}

/// Latencies of one class, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub class: &'static str,
    /// Answered requests.
    pub answered: usize,
    /// Median latency.
    pub p50_ms: f64,
    /// Latency that one in a hundred exceeds.
    pub p99_ms: f64,
}

/// Figures of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceFigures {
    /// Name of the service.
    pub service: String,
    /// Requests whose end the callers know.
    pub requests: u64,
    /// Connections that were opened.
    pub flows: u64,
    /// Requests that were refused before they ran.
    pub not_run: u64,
    /// Requests whose outcome is not known.
    pub outcome_unknown: u64,
    /// Connections and streams that broke.
    pub broken: u64,
    /// Answers of another service, or parts of answers.
    pub wrong_answers: u64,
    /// Answered requests with a key that no target has run.
    pub lost: usize,
    /// Requests with a key that ran more than once.
    pub doubled: usize,
    /// Requests that were run although their callers were told that they were not.
    pub run_though_refused: usize,
    /// Busy time of the busiest target over the mean of all.
    pub max_over_mean: f64,
    /// Latencies by class.
    pub classes: Vec<ClassFigures>,
}

impl ServiceFigures {
    /// Compares what callers were told with what targets ran.
    #[must_use]
    pub fn new(service: &str, callers: &CallerCounts, targets: &[TargetFigures]) -> Self {
        let counts = callers.lock();
        let mut keys: Vec<&str> = targets
            .iter()
            .flat_map(|target| target.keys.iter().map(String::as_str))
            .collect();
        keys.sort_unstable();
        let is_run = |key: &&String| keys.binary_search(&key.as_str()).is_ok();
        let doubled = keys.windows(2).filter(|pair| pair[0] == pair[1]).count();
        Self {
            service: service.to_owned(),
            requests: counts.requests,
            flows: counts.flows,
            not_run: counts.not_run,
            outcome_unknown: counts.outcome_unknown,
            broken: counts.broken,
            wrong_answers: counts.wrong_answers,
            lost: counts
                .answered_keys
                .iter()
                .filter(|key| !is_run(key))
                .count(),
            doubled,
            run_though_refused: counts.refused_keys.iter().filter(is_run).count(),
            max_over_mean: max_over_mean(targets),
            classes: counts.latencies.iter().map(class_figures).collect(),
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Busy times are far below 2^52 microseconds.
fn max_over_mean(targets: &[TargetFigures]) -> f64 {
    let busy = targets.iter().map(|target| target.busy_us);
    let max = busy.clone().max().unwrap_or_default();
    let sum: u64 = busy.sum();
    if sum == 0 {
        return 1.0;
    }
    max as f64 * targets.len() as f64 / sum as f64
}

fn class_figures(latencies: &ClassLatencies) -> ClassFigures {
    let mut sorted = latencies.samples_us.clone();
    sorted.sort_unstable();
    ClassFigures {
        class: latencies.class,
        answered: sorted.len(),
        p50_ms: percentile_ms(&sorted, 50),
        p99_ms: percentile_ms(&sorted, 99),
    }
}

#[allow(clippy::cast_precision_loss)] // Latencies are far below 2^52 microseconds.
fn percentile_ms(sorted_us: &[u64], percentile: usize) -> f64 {
    let index = sorted_us.len() * percentile / PERCENTILE_SCALE;
    let sample_us = sorted_us.get(index.min(sorted_us.len().saturating_sub(1)));
    sample_us.copied().unwrap_or_default() as f64 / 1_000.0
}

/// Figures of all services.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    services: Vec<ServiceFigures>,
}

impl Report {
    /// Gathers the figures of all services.
    #[must_use]
    pub fn new(services: Vec<ServiceFigures>) -> Self {
        Self { services }
    }

    /// Whether every promise was kept.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.services.iter().all(|service| {
            service.broken == 0
                && service.wrong_answers == 0
                && service.lost == 0
                && service.doubled == 0
                && service.run_though_refused == 0
                && service.requests > 0
        })
    }

    /// The figures as tables for people.
    #[must_use]
    pub fn render(&self) -> String {
        let heading = [
            "service", "requests", "flows", "not run", "unknown", "broken", "lost", "doubled",
            "max/mean",
        ];
        let mut services = Table::new(&heading);
        let mut classes = Table::new(&["service", "class", "answered", "p50 ms", "p99 ms"]);
        for service in &self.services {
            services.push([
                service.service.clone(),
                service.requests.to_string(),
                service.flows.to_string(),
                service.not_run.to_string(),
                service.outcome_unknown.to_string(),
                service.broken.to_string(),
                service.lost.to_string(),
                service.doubled.to_string(),
                format!("{:.3}", service.max_over_mean),
            ]);
            for class in &service.classes {
                classes.push([
                    service.service.clone(),
                    class.class.to_owned(),
                    class.answered.to_string(),
                    format!("{:.1}", class.p50_ms),
                    format!("{:.1}", class.p99_ms),
                ]);
            }
        }
        format!("{}\n{}", services.render(), classes.render())
    }
}
