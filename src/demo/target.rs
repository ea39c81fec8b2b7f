//! HTTP target that records the requests it runs, for the quickstart and the tests.

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
const CHUNK_LEN: usize = 64 << 10;

/// Statistics of one target since its start.
#[derive(Debug, Default)]
pub struct TargetStats {
    /// Requests that were started.
    pub runs: AtomicU64,
    /// Requests that were cancelled before the response was ready; streamed requests are not
    /// counted.
    pub abandoned: AtomicU64,
    /// Total time spent on finished and cancelled requests, in microseconds; streamed requests are
    /// not counted.
    pub busy_us: AtomicU64,
    /// Highest value that `running` has had.
    pub peak_running: AtomicU32,
    /// Requests that are running now; streamed requests are not counted.
    pub running: AtomicU32,
    /// Bytes of streamed responses that were handed to the connection.
    pub streamed_bytes: AtomicU64,
    /// Whether the target should stop reading uploads; no handler reads this yet.
    pub is_stalled: AtomicBool,
    keys: Mutex<Vec<String>>,
}

impl TargetStats {
    /// Returns how often a request with the idempotency key `key` was run.
    #[must_use]
    pub fn run_count(&self, key: &str) -> usize {
        self.keys()
            .iter()
            .filter(|recorded| *recorded == key)
            .count()
    }

    /// Returns the idempotency keys of the `/report` requests that ran, in the order of their start.
    #[must_use]
    pub fn idempotency_keys(&self) -> Vec<String> {
        self.keys().clone()
    }

    fn keys(&self) -> MutexGuard<'_, Vec<String>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_key(&self, headers: &HeaderMap) {
        let key = headers
            .get(IDEMPOTENCY_KEY_HEADER)
            .and_then(|value| value.to_str().ok());
        self.keys().extend(key.map(str::to_owned));
    }
}

/// A running target, which stops when it is dropped.
pub struct DemoTarget {
    address: SocketAddr,
    stats: Arc<TargetStats>,
    task: JoinHandle<()>,
}

impl DemoTarget {
    /// Starts a target on a free loopback port. The bodies of its non-streamed responses begin with
    /// `name`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when no port is free.
    pub async fn start(name: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let stats = Arc::new(TargetStats::default());
        let shared = TargetState {
            name: name.into(),
            stats: Arc::clone(&stats),
        };
        let router = Router::new()
            .route("/listing", get(listing))
            .route("/report", post(report))
            .route("/recording", get(recording))
            .route("/scan", post(scan))
            .with_state(shared);
        let task = tokio::spawn(async move {
            // The server runs until its task is aborted, so there is no result to handle.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self {
            address,
            stats,
            task,
        })
    }

    /// Returns the address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the statistics of the target.
    #[must_use]
    pub fn stats(&self) -> &Arc<TargetStats> {
        &self.stats
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
    stats: Arc<TargetStats>,
}

/// Query parameters: the size of the response and the time that the request takes. For a stream,
/// the time is per chunk.
#[derive(Debug, Default, Deserialize)]
struct WorkQuery {
    #[serde(default)]
    bytes: usize,
    #[serde(default)]
    work_ms: u64,
}

/// Counts a request as running until dropped, and as abandoned if it is dropped before it is done.
struct RunGuard {
    stats: Arc<TargetStats>,
    started_at: Instant,
    is_done: bool,
}

impl RunGuard {
    fn start(stats: &Arc<TargetStats>) -> Self {
        stats.runs.fetch_add(1, Ordering::Relaxed);
        let running = stats.running.fetch_add(1, Ordering::Relaxed) + 1;
        stats.peak_running.fetch_max(running, Ordering::Relaxed);
        Self {
            stats: Arc::clone(stats),
            started_at: Instant::now(),
            is_done: false,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let busy_us = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or_default();
        self.stats.busy_us.fetch_add(busy_us, Ordering::Relaxed);
        self.stats.running.fetch_sub(1, Ordering::Relaxed);
        if !self.is_done {
            self.stats.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn listing(State(target): State<TargetState>, Query(query): Query<WorkQuery>) -> Vec<u8> {
    let mut guard = RunGuard::start(&target.stats);
    time::sleep(Duration::from_millis(query.work_ms)).await;
    guard.is_done = true;
    let mut body = target.name.as_bytes().to_vec();
    body.resize(body.len().max(query.bytes), b'.');
    body
}

async fn report(
    State(target): State<TargetState>,
    Query(query): Query<WorkQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let mut guard = RunGuard::start(&target.stats);
    target.stats.record_key(&headers);
    time::sleep(Duration::from_millis(query.work_ms)).await;
    guard.is_done = true;
    (
        StatusCode::CREATED,
        format!("{} stored {} bytes", target.name, body.len()),
    )
        .into_response()
}

async fn recording(State(target): State<TargetState>, Query(query): Query<WorkQuery>) -> Body {
    let stats = Arc::clone(&target.stats);
    stats.runs.fetch_add(1, Ordering::Relaxed);
    let chunks = stream::unfold(query.bytes, move |remaining| {
        let stats = Arc::clone(&stats);
        async move {
            let len = remaining.min(CHUNK_LEN);
            if len == 0 {
                return None;
            }
            time::sleep(Duration::from_millis(query.work_ms)).await;
            stats
                .streamed_bytes
                .fetch_add(u64::try_from(len).unwrap_or_default(), Ordering::Relaxed);
            Some((
                Ok::<_, io::Error>(Bytes::from(vec![b'~'; len])),
                remaining - len,
            ))
        }
    });
    Body::from_stream(chunks)
}

/// Echoes each chunk of the upload as it arrives.
async fn scan(State(target): State<TargetState>, body: Body) -> Body {
    target.stats.runs.fetch_add(1, Ordering::Relaxed);
    Body::from_stream(body.into_data_stream())
}
