//! Per-request state derived from the connection, the headers and the policy.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use http::{Request, StatusCode, header};

use super::{
    handover::SlotRequirements,
    idempotency::{IdempotencyKey, IdempotencyKeyError},
    problem::Problem,
    slots::AcquireSlot,
    state::Shared,
};
use crate::{
    clock::unix_ms,
    control::policy::{self, Classification},
};

/// Header with the idempotency key, by which a request is executed at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the caller's timeout in milliseconds; a request is refused if it cannot start within
/// this time.
pub const REQUEST_TIMEOUT_HEADER: &str = "request-timeout-ms";

/// State of a request that the agent derives from its connection, headers and the policy.
pub(crate) struct RequestContext {
    pub connection: quinn::Connection,
    pub caller: SocketAddr,
    pub classification: Classification,
    /// `None` if the request has no idempotency key and may run more than once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Hash of the request's method, URI and content length.
    pub fingerprint: u64,
    /// Latest start time, from the caller's timeout header, on the clock of [`Shared`].
    pub start_by_ms: Option<u64>,
    pub arrived_at: Instant,
}

impl RequestContext {
    /// Parses the headers that the agent evaluates and classifies the request.
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
            idempotency_key: idempotency_key(request)?,
            fingerprint: fingerprint(request),
            start_by_ms: timeout_ms
                .map(|timeout_ms| shared.clock.now_ms().saturating_add(timeout_ms)),
            arrived_at: Instant::now(),
        })
    }

    /// Message that requests a slot at this agent's target.
    pub fn acquire_slot(&self, start_by_ms: Option<u64>) -> AcquireSlot {
        AcquireSlot {
            class: Arc::clone(&self.classification.class),
            caller: self.caller.ip(),
            start_by_ms,
            long_stream: self.classification.long_stream,
        }
    }

    /// Requirements for a slot at another agent's target.
    pub fn slot_requirements(&self) -> SlotRequirements {
        SlotRequirements {
            class: Arc::clone(&self.classification.class),
            caller: self.caller.ip(),
        }
    }

    /// Time since the request was received, in milliseconds.
    pub fn elapsed_ms(&self) -> f64 {
        self.arrived_at.elapsed().as_secs_f64() * 1_000.0
    }
}

fn idempotency_key(request: &Request<()>) -> Result<Option<IdempotencyKey>, Problem> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let refuse = |detail| Err(Problem::not_run(StatusCode::BAD_REQUEST, detail));
    match IdempotencyKey::parse(value.to_str().unwrap_or_default(), unix_ms()) {
        Ok(key) => Ok(Some(key)),
        Err(IdempotencyKeyError::NotUuidV7) => {
            refuse("idempotency-key must be a UUID of version 7")
        }
        Err(IdempotencyKeyError::CreatedInFuture) => {
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

/// Hash of the parts of a request that must match when its idempotency key is used again.
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
