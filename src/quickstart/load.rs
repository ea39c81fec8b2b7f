//! The demo callers: each holds a connection, a long stream or both, and counts what it is told.

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
    figures::{CallerCounts, Told},
};
use crate::demo::caller::{Call, CallError, Caller, RequestStream};

/// Time that a demo request takes on its target, at least and at most.
const WORK_MS: std::ops::RangeInclusive<u64> = 4..=16;
/// Mean pause of a caller between two requests.
const MEAN_PAUSE_MS: f64 = 2.0;
const LISTING_LEN: usize = 2_000;
const STREAM_PAUSE_MS: u64 = 50;
const RECONNECT_PAUSE_MS: u64 = 50;
/// Requests after which a caller opens a new connection.
const REQUESTS_PER_FLOW: u32 = 200;
/// One request in this many is a report with a key.
const REPORT_SHARE: u32 = 4;
/// One caller in this many holds a long stream.
const STREAM_SHARE: usize = 4;

/// The running callers of a deployment.
pub struct Load {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Lets every caller end what it has begun.
    pub async fn stop(mut self, patience: Duration) {
        self.stop.send_replace(true);
        let all = async { while self.tasks.join_next().await.is_some() {} };
        // Callers that do not end in time are cut off; their requests are not counted.
        let _ = time::timeout(patience, all).await;
    }
}

/// Starts the callers of a deployment.
pub fn start(deployment: &Deployment) -> Load {
    let stop = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    for (index, service) in deployment.services.iter().enumerate() {
        for number in 0..service.plan.callers {
            let caller = DemoCaller {
                deployment: deployment.clone(),
                index,
                stop: stop.subscribe(),
            };
            if number % STREAM_SHARE == 0 {
                tasks.spawn(caller.clone().stream());
            }
            tasks.spawn(caller.request());
        }
    }
    Load { stop, tasks }
}

#[derive(Clone)]
struct DemoCaller {
    deployment: Deployment,
    index: usize,
    stop: watch::Receiver<bool>,
}

impl DemoCaller {
    fn service(&self) -> &RunningService {
        &self.deployment.services[self.index]
    }

    fn counts(&self) -> &CallerCounts {
        &self.service().counts
    }

    fn is_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    /// Opens a connection; one that cannot be opened has run nothing and is tried again.
    async fn connect(&self) -> Option<Arc<Caller>> {
        while !self.is_stopped() {
            let roots = self.deployment.certificate.roots();
            if let Ok(caller) = Caller::connect(&self.service().fabric, roots).await {
                self.counts().flow_opened();
                return Some(Arc::new(caller));
            }
            time::sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
        None
    }

    /// Sends requests one after the other.
    async fn request(self) {
        while let Some(caller) = self.connect().await {
            for _ in 0..REQUESTS_PER_FLOW {
                if self.is_stopped() || !caller.is_open() || !self.one_request(&caller).await {
                    break;
                }
                let pause_ms = -MEAN_PAUSE_MS * (1.0 - rand::random::<f64>()).ln();
                time::sleep(Duration::from_secs_f64(pause_ms / 1_000.0)).await;
            }
        }
    }

    /// Sends a request; returns whether the connection can be used further.
    async fn one_request(&self, caller: &Caller) -> bool {
        let work_ms = rand::rng().random_range(WORK_MS);
        let is_report = rand::rng().random_ratio(1, REPORT_SHARE);
        let key = is_report.then(|| Uuid::now_v7().to_string());
        let (class, call) = demo_call(key.as_deref(), work_ms);
        let started_at = Instant::now();
        let result = caller.call(&call).await;
        if result.as_ref().is_err_and(CallError::is_not_run) {
            // The connection drains; the caller goes on with another.
            self.counts().refused(key);
            return false;
        }
        let told = self.told(&result, is_report);
        let latency_us = u64::try_from(started_at.elapsed().as_micros()).unwrap_or_default();
        self.counts().note(class, told, latency_us, key);
        told != Told::Broken
    }

    fn told(
        &self,
        result: &Result<crate::demo::caller::Answer, CallError>,
        is_report: bool,
    ) -> Told {
        let Ok(answer) = result else {
            return Told::Broken;
        };
        match answer.outcome() {
            Some("not-run") => return Told::NotRun,
            Some(_) => return Told::Unknown,
            None => {}
        }
        let is_own = answer.body.starts_with(self.service().plan.name.as_bytes());
        let is_whole = is_report || answer.body.len() == LISTING_LEN;
        if is_own && is_whole {
            Told::Answered
        } else {
            Told::WrongAnswer
        }
    }

    /// Holds a stream that carries data both ways for as long as the demonstration runs.
    async fn stream(self) {
        let Some(caller) = self.connect().await else {
            return;
        };
        let Ok(mut stream) = caller.open(&Call::post("/scan", Bytes::new())).await else {
            self.counts().flow_broken();
            return;
        };
        if !self.echo(&mut stream, true).await {
            self.counts().flow_broken();
            return;
        }
        while !self.is_stopped() {
            time::sleep(Duration::from_millis(STREAM_PAUSE_MS)).await;
            if !self.echo(&mut stream, false).await {
                self.counts().flow_broken();
                return;
            }
        }
        // The end of the demonstration is the end of the stream.
        let _ = stream.finish().await;
    }

    async fn echo(&self, stream: &mut RequestStream, is_first: bool) -> bool {
        let piece = Bytes::from_static(b"scan 4711\n");
        let expected_len = piece.len();
        if stream.send_data(piece).await.is_err() {
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

/// A report when there is a key, else a listing; with the class that the policy gives it.
fn demo_call(key: Option<&str>, work_ms: u64) -> (&'static str, Call) {
    if let Some(key) = key {
        let call = Call::post(format!("/report?work_ms={work_ms}"), "tuned");
        return ("urgent", call.with_header("idempotency-key", key));
    }
    let path = format!("/listing?bytes={LISTING_LEN}&work_ms={work_ms}");
    ("normal", Call::get(path))
}
