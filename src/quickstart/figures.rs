//! Figures of the demo: compares the outcomes that callers observed with the requests that targets
//! ran.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::Serialize;

use crate::output::Table;

const PERCENT: usize = 100;

/// Outcomes observed by the callers of one service.
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
pub enum RequestOutcome {
    /// The complete response of a target of the service.
    Answered,
    /// A response of another service, or an incomplete response.
    WrongAnswer,
    /// The agent reported that the request did not run.
    NotRun,
    /// The agent reported that the outcome is unknown.
    Unknown,
    /// The connection or the stream failed.
    Broken,
}

impl CallerCounts {
    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an opened connection.
    pub fn record_flow_opened(&self) {
        self.lock().flows += 1;
    }

    /// Records a failed connection or long stream, apart from any request that
    /// [`record_request`](Self::record_request) records.
    pub fn record_flow_broken(&self) {
        self.lock().broken += 1;
    }

    /// Records a request that did not run, after which the caller opens another connection.
    ///
    /// `key` is the idempotency key of the request, if it has one. The request is not counted.
    pub fn record_refused(&self, key: Option<String>) {
        self.lock().refused_keys.extend(key);
    }

    /// Records a finished request. `key` is its idempotency key, if it has one.
    pub fn record_request(
        &self,
        class: &'static str,
        outcome: RequestOutcome,
        latency_us: u64,
        key: Option<String>,
    ) {
        let mut counts = self.lock();
        counts.requests += 1;
        match outcome {
            RequestOutcome::Answered => {
                counts.answered_keys.extend(key);
                counts.add_latency(class, latency_us);
            }
            RequestOutcome::NotRun => {
                counts.not_run += 1;
                counts.refused_keys.extend(key);
            }
            RequestOutcome::Unknown => counts.outcome_unknown += 1,
            RequestOutcome::Broken => counts.broken += 1,
            RequestOutcome::WrongAnswer => counts.wrong_answers += 1,
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

/// Requests that one target ran.
#[derive(Clone, Debug)]
pub struct TargetFigures {
    /// Total time spent on requests, in microseconds.
    pub busy_us: u64,
    /// Idempotency keys of the requests that ran, one entry per run.
    pub keys: Vec<String>,
}

/// Latencies of one class, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct ClassFigures {
    /// Name of the priority class.
    pub class: &'static str,
    /// Requests that received a complete response of their service.
    pub answered: usize,
    /// Median latency of the answered requests.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
}

/// Figures of one service, summed over its callers and targets.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceFigures {
    /// Name of the service.
    pub service: String,
    /// Finished requests; excludes requests that were rejected because the connection was closing.
    pub requests: u64,
    /// Connections that were opened.
    pub flows: u64,
    /// Requests that the agent reported as not run.
    pub not_run: u64,
    /// Requests that the agent reported to have an unknown outcome.
    pub outcome_unknown: u64,
    /// Connections and streams that failed.
    pub broken: u64,
    /// Responses of another service, or incomplete responses.
    pub wrong_answers: u64,
    /// Requests with an idempotency key that were answered although no target ran them.
    pub lost: usize,
    /// Repeated runs of requests with the same idempotency key.
    pub doubled: usize,
    /// Requests that ran although the agent reported that they did not.
    pub run_though_refused: usize,
    /// Busy time of the busiest target, divided by the mean of all targets; 1 without any load.
    pub max_over_mean: f64,
    /// Latencies of each priority class.
    pub classes: Vec<ClassFigures>,
}

impl ServiceFigures {
    /// Compares the outcomes that callers observed with the requests that targets ran.
    #[must_use]
    pub fn new(service: &str, callers: &CallerCounts, targets: &[TargetFigures]) -> Self {
        let counts = callers.lock();
        let mut keys: Vec<&str> = targets
            .iter()
            .flat_map(|target| target.keys.iter().map(String::as_str))
            .collect();
        keys.sort_unstable();
        let was_run = |key: &&String| keys.binary_search(&key.as_str()).is_ok();
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
                .filter(|key| !was_run(key))
                .count(),
            doubled,
            run_though_refused: counts.refused_keys.iter().filter(was_run).count(),
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
    let index = sorted_us.len() * percentile / PERCENT;
    let sample_us = sorted_us.get(index.min(sorted_us.len().saturating_sub(1)));
    sample_us.copied().unwrap_or_default() as f64 / 1_000.0
}

/// Figures of all services.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    services: Vec<ServiceFigures>,
}

impl Report {
    /// Creates a report from the figures of each service.
    #[must_use]
    pub fn new(services: Vec<ServiceFigures>) -> Self {
        Self { services }
    }

    /// Returns whether every service handled requests, and without any error in the figures.
    ///
    /// Requests that did not run or have an unknown outcome are not errors.
    #[must_use]
    pub fn passes_checks(&self) -> bool {
        self.services.iter().all(|service| {
            service.broken == 0
                && service.wrong_answers == 0
                && service.lost == 0
                && service.doubled == 0
                && service.run_though_refused == 0
                && service.requests > 0
        })
    }

    /// Formats the figures as tables.
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
