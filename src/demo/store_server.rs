//! A stand-in for the platform's store: serves a store in memory over Consul's HTTP interface.

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
/// Index of a key that does not exist; Consul never answers zero.
const ABSENT_INDEX: u64 = 1;
const DEFAULT_TTL_MS: u64 = 15_000;

/// A running stand-in.
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
            .route("/v1/kv/{*key}", get(read).put(write))
            .route("/v1/session/create", put(create_session))
            .route("/v1/session/renew/{id}", put(renew_session))
            .route("/v1/session/destroy/{id}", put(destroy_session))
            .with_state(state);
        let task = tokio::spawn(async move {
            // The server ends when the stand-in is dropped.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self {
            address,
            store,
            task,
        })
    }

    /// Address of the stand-in.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The store that is served.
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

/// A session and the lease that it holds.
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

async fn read(
    State(state): State<ServerState>,
    Path(key): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let result = match query.index {
        None => state.store.get(&key).await,
        Some(index) => {
            let seen = if index <= ABSENT_INDEX {
                Revision::ABSENT
            } else {
                Revision(index)
            };
            let wait = duration(query.wait.as_deref());
            match time::timeout(wait, state.store.watch(&key, seen)).await {
                Ok(result) => result,
                Err(_) => state.store.get(&key).await,
            }
        }
    };
    match result {
        Ok(versioned) => entry(&key, versioned),
        Err(error) => failed(&error),
    }
}

fn entry(key: &str, versioned: VersionedValue) -> Response {
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

async fn write(
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
        Ok(outcome) => flag(outcome == SwapOutcome::Swapped),
        Err(error) => failed(&error),
    }
}

async fn acquire(state: &ServerState, key: &str, id: &str) -> Response {
    let Some(mut session) = state.session(id) else {
        return flag(false);
    };
    match state.store.acquire_lease(key, id, session.ttl_ms).await {
        Ok(lease) => {
            let is_held = lease.is_some();
            session.lease = lease;
            state.put_session(session);
            flag(is_held)
        }
        Err(error) => failed(&error),
    }
}

async fn release(state: &ServerState, id: &str) -> Response {
    if let Some(lease) = state.session(id).and_then(|session| session.lease)
        && let Err(error) = state.store.release_lease(&lease).await
    {
        return failed(&error);
    }
    flag(true)
}

async fn create_session(State(state): State<ServerState>, Json(body): Json<Value>) -> Response {
    let id = uuid::Uuid::now_v7().to_string();
    let ttl = body.get("TTL").and_then(Value::as_str);
    let ttl_ms = u64::try_from(duration(ttl).as_millis()).unwrap_or(DEFAULT_TTL_MS);
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
        Err(error) => failed(&error),
    }
}

async fn destroy_session(State(state): State<ServerState>, Path(id): Path<String>) -> Response {
    let answer = release(&state, &id).await;
    state.remove_session(&id);
    answer
}

fn flag(value: bool) -> Response {
    Json(value).into_response()
}

fn failed(error: &StoreError) -> Response {
    (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response()
}

/// Reads a duration such as `1500ms`.
fn duration(text: Option<&str>) -> Duration {
    let ms = text.and_then(|text| text.strip_suffix("ms")?.parse().ok());
    Duration::from_millis(ms.unwrap_or(DEFAULT_TTL_MS))
}
