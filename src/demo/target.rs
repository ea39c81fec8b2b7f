//! A target that records every run, for the quickstart and the tests.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use axum::{
    Router,
    body::{Body, Bytes},
    extract::{Query, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use futures_util::stream;
use serde::Deserialize;
use tokio::{net::TcpListener, task::JoinHandle, time};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const PIECE_LEN: usize = 64 << 10;

/// What a target has seen.
#[derive(Debug, Default)]
pub struct TargetRecord {
    /// Requests that were started.
    pub runs: AtomicU64,
    /// Requests whose caller left before the answer was ready.
    pub abandoned: AtomicU64,
    /// Time spent on requests, in microseconds.
    pub busy_us: AtomicU64,
    /// Most requests that ran at once.
    pub peak: AtomicU32,
    /// Requests that run now.
    pub running: AtomicU32,
    /// Bytes of streamed answers that were handed to the connection.
    pub streamed_bytes: AtomicU64,
    /// Whether uploads are read no further.
    pub is_stalled: AtomicBool,
    keys: Mutex<Vec<String>>,
}

impl TargetRecord {
    /// How often the request with `key` was run.
    #[must_use]
    pub fn runs_of(&self, key: &str) -> usize {
        self.keys().iter().filter(|seen| *seen == key).count()
    }

    /// Keys of all runs, in order.
    #[must_use]
    pub fn all_keys(&self) -> Vec<String> {
        self.keys().clone()
    }

    fn keys(&self) -> MutexGuard<'_, Vec<String>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_key(&self, headers: &HeaderMap) {
        let key = headers
            .get(IDEMPOTENCY_KEY_HEADER)
            .and_then(|value| value.to_str().ok());
        self.keys().extend(key.map(str::to_owned));
    }
}

/// A running target.
pub struct DemoTarget {
    address: SocketAddr,
    record: Arc<TargetRecord>,
    task: JoinHandle<()>,
}

impl DemoTarget {
    /// Starts a target whose answers begin with `name`, on a free port.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when no port is free.
    pub async fn start(name: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let record = Arc::new(TargetRecord::default());
        let state = TargetState {
            name: name.into(),
            record: Arc::clone(&record),
        };
        let router = Router::new()
            .route("/listing", get(listing))
            .route("/report", post(report))
            .route("/recording", get(recording))
            .route("/scan", post(scan))
            .with_state(state);
        let task = tokio::spawn(async move {
            // The server ends when the target is dropped.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self {
            address,
            record,
            task,
        })
    }

    /// Address of the target's port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the target has seen.
    #[must_use]
    pub fn record(&self) -> &Arc<TargetRecord> {
        &self.record
    }
}

impl Drop for DemoTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct TargetState {
    name: Arc<str>,
    record: Arc<TargetRecord>,
}

/// Size of the answer and time that the request takes.
#[derive(Debug, Default, Deserialize)]
struct Work {
    #[serde(default)]
    bytes: usize,
    #[serde(default)]
    work_ms: u64,
}

/// Counts a request while it runs, also when it is abandoned.
struct Run {
    record: Arc<TargetRecord>,
    started_at: Instant,
    is_done: bool,
}

impl Run {
    fn start(record: &Arc<TargetRecord>) -> Self {
        record.runs.fetch_add(1, Ordering::Relaxed);
        let running = record.running.fetch_add(1, Ordering::Relaxed) + 1;
        record.peak.fetch_max(running, Ordering::Relaxed);
        Self {
            record: Arc::clone(record),
            started_at: Instant::now(),
            is_done: false,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let busy_us = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or_default();
        self.record.busy_us.fetch_add(busy_us, Ordering::Relaxed);
        self.record.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_done {
            self.record.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn listing(State(state): State<TargetState>, Query(work): Query<Work>) -> Vec<u8> {
    let mut run = Run::start(&state.record);
    time::sleep(Duration::from_millis(work.work_ms)).await;
    run.is_done = true;
    let mut body = state.name.as_bytes().to_vec();
    body.resize(body.len().max(work.bytes), b'.');
    body
}

async fn report(
    State(state): State<TargetState>,
    Query(work): Query<Work>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let mut run = Run::start(&state.record);
    state.record.note_key(&headers);
    time::sleep(Duration::from_millis(work.work_ms)).await;
    run.is_done = true;
    (
        StatusCode::CREATED,
        format!("{} stored {} bytes", state.name, body.len()),
    )
        .into_response()
}

async fn recording(State(state): State<TargetState>, Query(work): Query<Work>) -> Body {
    let record = Arc::clone(&state.record);
    record.runs.fetch_add(1, Ordering::Relaxed);
    let pieces = stream::unfold(work.bytes, move |left| {
        let record = Arc::clone(&record);
        async move {
            let len = left.min(PIECE_LEN);
            if len == 0 {
                return None;
            }
            time::sleep(Duration::from_millis(work.work_ms)).await;
            record
                .streamed_bytes
                .fetch_add(u64::try_from(len).unwrap_or_default(), Ordering::Relaxed);
            Some((Ok::<_, io::Error>(Bytes::from(vec![b'~'; len])), left - len))
        }
    });
    Body::from_stream(pieces)
}

/// Returns each piece of the upload as it arrives.
async fn scan(State(state): State<TargetState>, body: Body) -> Body {
    state.record.runs.fetch_add(1, Ordering::Relaxed);
    Body::from_stream(body.into_data_stream())
}
