//! What the agent knows of a request besides its content.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use http::{Request, StatusCode, header};

use super::{
    handover::Need,
    home::{Key, KeyFault},
    problem::Problem,
    slots::Ask,
    state::Shared,
};
use crate::{
    clock::unix_ms,
    control::policy::{self, Classification},
};

/// Header that names the request for the at-most-once promise.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the time in which the answer is of use, in milliseconds.
pub const REQUEST_TIMEOUT_HEADER: &str = "request-timeout-ms";

/// What the agent knows of a request besides its content.
pub(crate) struct Context {
    pub connection: quinn::Connection,
    pub caller: SocketAddr,
    pub classification: Classification,
    pub key: Option<Key>,
    pub fingerprint: u64,
    pub start_by_ms: Option<u64>,
    pub arrived_at: Instant,
}

impl Context {
    /// Reads the headers that the agent itself obeys.
    pub fn new(
        shared: &Shared,
        connection: quinn::Connection,
        request: &Request<()>,
    ) -> Result<Self, Problem> {
        let policy = shared.policy.current();
        let service = &shared.identity.service;
        let path = request.uri().path();
        let classification = policy::classify(&policy, service, request.method().as_str(), path);
        let timeout_ms = timeout_ms(request)?;
        Ok(Self {
            caller: connection.remote_address(),
            connection,
            classification,
            key: idempotency_key(request)?,
            fingerprint: fingerprint(request),
            start_by_ms: timeout_ms.map(|timeout_ms| shared.clock.now_ms() + timeout_ms),
            arrived_at: Instant::now(),
        })
    }

    /// What the request asks of a slot here.
    pub fn ask(&self, start_by_ms: Option<u64>) -> Ask {
        Ask {
            class: Arc::clone(&self.classification.class),
            caller: self.caller.ip(),
            start_by_ms,
            long_stream: self.classification.long_stream,
        }
    }

    /// What the request asks of a slot elsewhere.
    pub fn need(&self) -> Need {
        Need {
            class: Arc::clone(&self.classification.class),
            caller: self.caller.ip(),
        }
    }

    /// Time since the request arrived.
    pub fn elapsed_ms(&self) -> f64 {
        self.arrived_at.elapsed().as_secs_f64() * 1_000.0
    }
}

fn idempotency_key(request: &Request<()>) -> Result<Option<Key>, Problem> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let refuse = |detail| Err(Problem::not_run(StatusCode::BAD_REQUEST, detail));
    match Key::parse(value.to_str().unwrap_or_default(), unix_ms()) {
        Ok(key) => Ok(Some(key)),
        Err(KeyFault::NotUuid7) => refuse("idempotency-key must be a UUID of version 7"),
        Err(KeyFault::FromTheFuture) => {
            refuse("idempotency-key was made in the future; set the caller's clock")
        }
    }
}

fn timeout_ms(request: &Request<()>) -> Result<Option<u64>, Problem> {
    let Some(value) = request.headers().get(REQUEST_TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let detail = format!("{REQUEST_TIMEOUT_HEADER} must be a whole number of milliseconds");
    match parsed {
        Some(timeout_ms) => Ok(Some(timeout_ms)),
        None => Err(Problem::not_run(StatusCode::BAD_REQUEST, detail)),
    }
}

/// Hash of what must be the same when a key is used again.
fn fingerprint(request: &Request<()>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.method().as_str().as_bytes());
    hasher.update(request.uri().path().as_bytes());
    hasher.update(request.uri().query().unwrap_or_default().as_bytes());
    if let Some(length) = request.headers().get(header::CONTENT_LENGTH) {
        hasher.update(length.as_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_be_bytes(bytes)
}
