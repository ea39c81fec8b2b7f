//! Load generator of the demo: callers that send requests and count the outcomes. Some of them also
//! hold a long stream on a second connection.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Buf, Bytes};
use rand::Rng;
use tokio::{sync::watch, task::JoinSet, time};
use uuid::Uuid;

use super::{
    deployment::{Deployment, RunningService},
    figures::{CallerCounts, RequestOutcome},
};
use crate::demo::caller::{Call, CallError, Caller, RequestStream};

/// Range of the time that a demo request takes on its target.
const WORK_MS: std::ops::RangeInclusive<u64> = 4..=16;
/// Mean of the exponentially distributed pause of a caller between two requests.
const MEAN_PAUSE_MS: f64 = 2.0;
/// Length of the response body of a listing, in bytes.
const LISTING_LEN: usize = 2_000;
/// Pause between two chunks on a long stream.
const STREAM_PAUSE_MS: u64 = 50;
const RECONNECT_PAUSE_MS: u64 = 50;
/// Requests after which a caller opens a new connection.
const REQUESTS_PER_CONNECTION: u32 = 200;
/// On average, one request in this many is a report with an idempotency key.
const REQUESTS_PER_REPORT: u32 = 4;
/// One caller in this many also holds a long stream.
const CALLERS_PER_STREAM: usize = 4;

/// The running demo callers of a deployment.
pub struct LoadGenerator {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl LoadGenerator {
    /// Stops the callers after they finish their current requests.
    pub async fn stop(mut self, timeout: Duration) {
        self.stop.send_replace(true);
        let all_finished = async { while self.tasks.join_next().await.is_some() {} };
        // Callers that do not finish within the timeout are aborted; their last requests are not
        // counted.
        let _ = time::timeout(timeout, all_finished).await;
    }
}

/// Starts the demo callers of a deployment.
pub fn start(deployment: &Deployment) -> LoadGenerator {
    let stop = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    for (service_index, service) in deployment.services.iter().enumerate() {
        for number in 0..service.spec.callers {
            let caller = DemoCaller {
                deployment: deployment.clone(),
                service_index,
                stop: stop.subscribe(),
            };
            if number % CALLERS_PER_STREAM == 0 {
                tasks.spawn(caller.clone().hold_stream());
            }
            tasks.spawn(caller.send_requests());
        }
    }
    LoadGenerator { stop, tasks }
}

#[derive(Clone)]
struct DemoCaller {
    deployment: Deployment,
    service_index: usize,
    stop: watch::Receiver<bool>,
}

impl DemoCaller {
    fn service(&self) -> &RunningService {
        &self.deployment.services[self.service_index]
    }

    fn counts(&self) -> &CallerCounts {
        &self.service().counts
    }

    fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    /// Opens a connection, and retries until it succeeds; returns `None` once the load is stopped.
    ///
    /// Failed attempts are not counted, because no request has run on them.
    async fn connect(&self) -> Option<Arc<Caller>> {
        while !self.is_stopped() {
            let roots = self.deployment.certificate.roots();
            if let Ok(caller) = Caller::connect(&self.service().fabric, roots).await {
                self.counts().record_flow_opened();
                return Some(Arc::new(caller));
            }
            time::sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
        None
    }

    /// Sends requests one after another, with a new connection after every
    /// [`REQUESTS_PER_CONNECTION`] requests or when the current one is closed.
    async fn send_requests(self) {
        while let Some(caller) = self.connect().await {
            for _ in 0..REQUESTS_PER_CONNECTION {
                if self.is_stopped() || !caller.is_open() || !self.send_request(&caller).await {
                    break;
                }
                let pause_ms = -MEAN_PAUSE_MS * (1.0 - rand::random::<f64>()).ln();
                time::sleep(Duration::from_secs_f64(pause_ms / 1_000.0)).await;
            }
        }
    }

    /// Sends a request and records its outcome; returns whether the connection is still usable.
    async fn send_request(&self, caller: &Caller) -> bool {
        let work_ms = rand::rng().random_range(WORK_MS);
        let is_report = rand::rng().random_ratio(1, REQUESTS_PER_REPORT);
        let key = is_report.then(|| Uuid::now_v7().to_string());
        let (class, call) = demo_call(key.as_deref(), work_ms);
        let started_at = Instant::now();
        let result = caller.call(&call).await;
        if result.as_ref().is_err_and(CallError::is_not_run) {
            // The agent is draining the connection; the caller continues on a new one.
            self.counts().record_refused(key);
            return false;
        }
        let outcome = self.classify(&result, is_report);
        let latency_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or_default();
        self.counts()
            .record_request(class, outcome, latency_us, key);
        outcome != RequestOutcome::Broken
    }

    fn classify(
        &self,
        result: &Result<crate::demo::caller::CallResponse, CallError>,
        is_report: bool,
    ) -> RequestOutcome {
        let Ok(response) = result else {
            return RequestOutcome::Broken;
        };
        match response.outcome() {
            Some("not-run") => return RequestOutcome::NotRun,
            Some(_) => return RequestOutcome::Unknown,
            None => {}
        }
        let is_from_service = response
            .body
            .starts_with(self.service().spec.name.as_bytes());
        let is_complete = is_report || response.body.len() == LISTING_LEN;
        if is_from_service && is_complete {
            RequestOutcome::Answered
        } else {
            RequestOutcome::WrongAnswer
        }
    }

    /// Holds a stream for as long as the load runs, and exchanges chunks on it in both directions.
    async fn hold_stream(self) {
        let Some(caller) = self.connect().await else {
            return;
        };
        let Ok(mut stream) = caller.open(&Call::post("/scan", Bytes::new())).await else {
            self.counts().record_flow_broken();
            return;
        };
        if !self.echo(&mut stream, true).await {
            self.counts().record_flow_broken();
            return;
        }
        while !self.is_stopped() {
            time::sleep(Duration::from_millis(STREAM_PAUSE_MS)).await;
            if !self.echo(&mut stream, false).await {
                self.counts().record_flow_broken();
                return;
            }
        }
        // The demo is over, so an error no longer matters.
        let _ = stream.finish().await;
    }

    async fn echo(&self, stream: &mut RequestStream, is_first: bool) -> bool {
        let chunk = Bytes::from_static(b"scan 4711\n");
        let expected_len = chunk.len();
        if stream.send_data(chunk).await.is_err() {
            return false;
        }
        if is_first
            && !stream
                .recv_response()
                .await
                .is_ok_and(|head| head.status() == 200)
        {
            return false;
        }
        let mut received_len = 0;
        while received_len < expected_len {
            match stream.recv_data().await {
                Ok(Some(data)) => received_len += data.remaining(),
                Ok(None) | Err(_) => return false,
            }
        }
        true
    }
}

/// Builds a report if there is an idempotency key and a listing otherwise. Returns it with the
/// priority class that the initial policy of the demo assigns to it.
fn demo_call(key: Option<&str>, work_ms: u64) -> (&'static str, Call) {
    if let Some(key) = key {
        let call = Call::post(format!("/report?work_ms={work_ms}"), "tuned");
        return ("urgent", call.with_header("idempotency-key", key));
    }
    let path = format!("/listing?bytes={LISTING_LEN}&work_ms={work_ms}");
    ("normal", Call::get(path))
}
