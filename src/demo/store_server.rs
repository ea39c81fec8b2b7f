//! Fake Consul server: serves a store in memory over the part of Consul's HTTP API that
//! bamboowind uses.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, Query, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, put},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::{Mutex, PoisonError};
use tokio::{net::TcpListener, task::JoinHandle, time};

use crate::control::{
    memory_store::{MemoryLease, MemoryStore},
    store::{Revision, Store, StoreError, SwapOutcome, VersionedValue},
};

const INDEX_HEADER: &str = "x-consul-index";
/// Index reported for a key that does not exist. Consul never reports index zero.
const ABSENT_INDEX: u64 = 1;
/// Session TTL and watch timeout used when the request gives none in milliseconds.
const DEFAULT_DURATION_MS: u64 = 15_000;

/// A running server, which stops when it is dropped.
pub struct StoreServer {
    address: SocketAddr,
    store: MemoryStore,
    task: JoinHandle<()>,
}

impl StoreServer {
    /// Starts serving `store` on `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the address cannot be bound.
    pub async fn start(address: SocketAddr, store: MemoryStore) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = ServerState {
            store: store.clone(),
            sessions: Arc::default(),
        };
        let router = Router::new()
            .route("/v1/kv/{*key}", get(read_key).put(write_key))
            .route("/v1/session/create", put(create_session))
            .route("/v1/session/renew/{id}", put(renew_session))
            .route("/v1/session/destroy/{id}", put(destroy_session))
            .with_state(state);
        let task = tokio::spawn(async move {
            // The server runs until its task is aborted, so there is no result to handle.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self {
            address,
            store,
            task,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the store that is served.
    #[must_use]
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A Consul session and the lease that it holds; `None` before the lease is acquired.
#[derive(Clone, Debug)]
struct Session {
    id: String,
    ttl_ms: u64,
    lease: Option<MemoryLease>,
}

#[derive(Clone)]
struct ServerState {
    store: MemoryStore,
    sessions: Arc<Mutex<Vec<Session>>>,
}

impl ServerState {
    fn session(&self, id: &str) -> Option<Session> {
        let sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.iter().find(|session| session.id == id).cloned()
    }

    fn put_session(&self, session: Session) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.retain(|other| other.id != session.id);
        sessions.push(session);
    }

    fn remove_session(&self, id: &str) {
        let mut sessions = self.sessions.lock().unwrap_or_else(PoisonError::into_inner);
        sessions.retain(|session| session.id != id);
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    index: Option<u64>,
    wait: Option<String>,
}

#[derive(Deserialize)]
struct WriteQuery {
    cas: Option<u64>,
    acquire: Option<String>,
    release: Option<String>,
}

async fn read_key(
    State(state): State<ServerState>,
    Path(key): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let result = match query.index {
        None => state.store.get(&key).await,
        Some(index) => {
            let last_seen = if index <= ABSENT_INDEX {
                Revision::ABSENT
            } else {
                Revision(index)
            };
            let wait = parse_duration(query.wait.as_deref());
            match time::timeout(wait, state.store.watch(&key, last_seen)).await {
                Ok(result) => result,
                Err(_) => state.store.get(&key).await,
            }
        }
    };
    match result {
        Ok(versioned) => entry_response(&key, versioned),
        Err(error) => store_error(&error),
    }
}

fn entry_response(key: &str, versioned: VersionedValue) -> Response {
    let index = versioned.revision.0.max(ABSENT_INDEX);
    let mut headers = HeaderMap::new();
    headers.insert(INDEX_HEADER, index.into());
    let Some(value) = versioned.value else {
        return (StatusCode::NOT_FOUND, headers).into_response();
    };
    let entry = json!([{
        "Key": key,
        "ModifyIndex": index,
        "Value": STANDARD.encode(value),
    }]);
    (headers, Json(entry)).into_response()
}

async fn write_key(
    State(state): State<ServerState>,
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
    body: Bytes,
) -> Response {
    if let Some(id) = query.acquire {
        return acquire(&state, &key, &id).await;
    }
    if let Some(id) = query.release {
        return release(&state, &id).await;
    }
    let expected = Revision(query.cas.unwrap_or_default());
    match state.store.compare_and_swap(&key, &body, expected).await {
        Ok(outcome) => json_bool(outcome == SwapOutcome::Swapped),
        Err(error) => store_error(&error),
    }
}

async fn acquire(state: &ServerState, key: &str, id: &str) -> Response {
    let Some(mut session) = state.session(id) else {
        return json_bool(false);
    };
    match state.store.acquire_lease(key, id, session.ttl_ms).await {
        Ok(lease) => {
            let is_held = lease.is_some();
            session.lease = lease;
            state.put_session(session);
            json_bool(is_held)
        }
        Err(error) => store_error(&error),
    }
}

async fn release(state: &ServerState, id: &str) -> Response {
    if let Some(lease) = state.session(id).and_then(|session| session.lease)
        && let Err(error) = state.store.release_lease(&lease).await
    {
        return store_error(&error);
    }
    json_bool(true)
}

async fn create_session(State(state): State<ServerState>, Json(body): Json<Value>) -> Response {
    let id = uuid::Uuid::now_v7().to_string();
    let ttl = body.get("TTL").and_then(Value::as_str);
    let ttl_ms = u64::try_from(parse_duration(ttl).as_millis()).unwrap_or(DEFAULT_DURATION_MS);
    state.put_session(Session {
        id: id.clone(),
        ttl_ms,
        lease: None,
    });
    Json(json!({ "ID": id })).into_response()
}

async fn renew_session(State(state): State<ServerState>, Path(id): Path<String>) -> Response {
    let Some(lease) = state.session(&id).and_then(|session| session.lease) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    match state.store.renew_lease(&lease).await {
        Ok(true) => Json(json!([{ "ID": id }])).into_response(),
        Ok(false) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => store_error(&error),
    }
}

async fn destroy_session(State(state): State<ServerState>, Path(id): Path<String>) -> Response {
    let response = release(&state, &id).await;
    state.remove_session(&id);
    response
}

fn json_bool(value: bool) -> Response {
    Json(value).into_response()
}

fn store_error(error: &StoreError) -> Response {
    (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response()
}

/// Parses a duration in milliseconds, such as `1500ms`.
fn parse_duration(text: Option<&str>) -> Duration {
    let ms = text.and_then(|text| text.strip_suffix("ms")?.parse().ok());
    Duration::from_millis(ms.unwrap_or(DEFAULT_DURATION_MS))
}
