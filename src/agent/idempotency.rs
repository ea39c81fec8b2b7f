//! At-most-once execution of requests with an idempotency key.
//!
//! Every key has one owner among the agents of the service (see [`members`](super::members)). The
//! owner grants at most one claim per key and stores the outcome of its request. This module claims
//! and settles keys at their owners and handles the claims of other agents.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::time;
use uuid::Uuid;

use super::{
    members::{KeyOwner, MAX_CLOCK_SKEW_MS},
    outcomes::{self, ClaimStatus, Outcome, Outcomes, StoredResponse},
    state::Shared,
};
use crate::{
    clock::unix_ms,
    control::rpc_client::{self, RpcError},
    proto::control::{
        Claim, ClaimReply, ClaimResult, Header, KeptAnswer as WireResponse, Settle, SettleReply,
        Settlement, inner_request::Body,
    },
    wire::key_ring::SharedKeyRing,
};

const SETTLE_ATTEMPTS: u32 = 5;
/// Delay after the first failed settlement; doubled after every further one.
const SETTLE_BACKOFF_MS: u64 = 100;
const UUID_VERSION: usize = 7;
/// Number of bits below the timestamp in a version 7 UUID.
const UUID_TIME_SHIFT: u32 = 80;

/// An idempotency key and its creation time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct IdempotencyKey {
    /// Canonical text form of the UUID.
    pub text: Arc<str>,
    /// Timestamp of the UUID, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
}

/// Why an idempotency key is invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IdempotencyKeyError {
    /// The key is not a version 7 UUID.
    NotUuidV7,
    /// The timestamp is further in the future than the tolerated clock skew.
    CreatedInFuture,
}

impl IdempotencyKey {
    /// Parses a key. It must be a version 7 UUID, since its timestamp determines which agent owns
    /// the key.
    pub fn parse(text: &str, now_ms: u64) -> Result<Self, IdempotencyKeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| IdempotencyKeyError::NotUuidV7)?;
        if uuid.get_version_num() != UUID_VERSION {
            return Err(IdempotencyKeyError::NotUuidV7);
        }
        let created_at_ms = u64::try_from(uuid.as_u128() >> UUID_TIME_SHIFT).unwrap_or(u64::MAX);
        if created_at_ms > now_ms + MAX_CLOCK_SKEW_MS {
            return Err(IdempotencyKeyError::CreatedInFuture);
        }
        Ok(Self {
            text: uuid.to_string().into(),
            created_at_ms,
        })
    }
}

/// A granted claim: permission to run the request with a key once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Grant {
    owner: KeyOwner,
    key: IdempotencyKey,
    /// Random ID of the claim, which the owner requires for the settlement.
    claim_id: u64,
}

/// Decision of a key's owner on a claim.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ClaimDecision {
    /// The request may run, and its claim must be settled with the key's owner.
    Granted(Grant),
    /// An earlier request had the same key and the same content.
    Duplicate(Outcome),
    /// An earlier request had the same key and different content.
    FingerprintMismatch,
    /// The owner stores the maximum number of outcomes.
    Full,
    /// The key has no known owner, or the owner gave no decision. The request must not run, but an
    /// earlier one with the same key may have run.
    OwnerUnavailable,
}

/// Claims and settles idempotency keys, at this agent or at the agent that owns the key.
#[derive(Clone)]
pub(crate) struct IdempotencyRegistry {
    shared: Arc<Shared>,
    key_ring: SharedKeyRing,
    /// Outcomes of the keys that this agent owns.
    outcomes: Arc<Mutex<Outcomes>>,
}

impl IdempotencyRegistry {
    pub fn new(shared: Arc<Shared>, key_ring: SharedKeyRing) -> Self {
        Self {
            shared,
            key_ring,
            outcomes: Arc::default(),
        }
    }

    /// Claims a key at its owner, which decides whether the request may run.
    pub async fn claim(&self, key: &IdempotencyKey, fingerprint: u64) -> ClaimDecision {
        let owner = self
            .shared
            .members()
            .key_owner(&key.text, key.created_at_ms);
        let claim_id = rand::random();
        match owner {
            KeyOwner::Local => self.decide_local(key, fingerprint, claim_id),
            KeyOwner::Remote(address) => {
                self.claim_remote(address, key, fingerprint, claim_id).await
            }
            KeyOwner::Unknown => ClaimDecision::OwnerUnavailable,
        }
    }

    /// Reports the outcome of a granted request to the key's owner; `None` means that the request
    /// has not run.
    pub async fn settle(&self, grant: &Grant, outcome: Option<Outcome>) {
        match grant.owner {
            KeyOwner::Local => self
                .outcomes()
                .settle(&grant.key.text, grant.claim_id, outcome),
            KeyOwner::Remote(address) => self.settle_remote(address, grant, outcome).await,
            KeyOwner::Unknown => {}
        }
    }

    /// Handles a claim of another agent.
    pub fn handle_claim(&self, claim: &Claim) -> ClaimReply {
        let Ok(key) = IdempotencyKey::parse(&claim.key, unix_ms()) else {
            return ClaimReply::default();
        };
        let decision = self.decide_local(&key, claim.fingerprint, claim.claim_id);
        let (result, answer) = match decision {
            ClaimDecision::Granted(_) => (ClaimResult::Granted, None),
            ClaimDecision::Duplicate(Outcome::Running) => (ClaimResult::Running, None),
            ClaimDecision::Duplicate(Outcome::Unknown) => (ClaimResult::Unknown, None),
            ClaimDecision::Duplicate(Outcome::Answered(response)) => {
                (ClaimResult::Answered, Some(to_wire(&response)))
            }
            ClaimDecision::FingerprintMismatch => (ClaimResult::OtherContent, None),
            ClaimDecision::Full => (ClaimResult::Full, None),
            ClaimDecision::OwnerUnavailable => (ClaimResult::ClaimUnspecified, None),
        };
        ClaimReply {
            result: result.into(),
            answer,
        }
    }

    /// Handles a settlement of another agent.
    pub fn handle_settle(&self, settle: Settle) -> SettleReply {
        let settlement = settle.settlement();
        if let Ok(key) = IdempotencyKey::parse(&settle.key, unix_ms()) {
            let outcome = match (settlement, settle.answer) {
                (Settlement::NotRun, _) => None,
                (Settlement::Done, Some(response)) => {
                    Some(from_wire(response).map_or(Outcome::Unknown, Outcome::Answered))
                }
                _ => Some(Outcome::Unknown),
            };
            self.outcomes().settle(&key.text, settle.claim_id, outcome);
        }
        SettleReply {}
    }

    /// Decides on a claim as the owner of the key.
    fn decide_local(&self, key: &IdempotencyKey, fingerprint: u64, claim_id: u64) -> ClaimDecision {
        let now_ms = unix_ms();
        let retention_ms = self.shared.limits().outcome_retention_ms;
        let retention_cutoff_ms = {
            let mut members = self.shared.members();
            members.set_retention_ms(now_ms, retention_ms);
            if !members.may_decide(&key.text, key.created_at_ms, now_ms) {
                return ClaimDecision::OwnerUnavailable;
            }
            members.advance_retention_cutoff(now_ms)
        };
        let mut outcomes = self.outcomes();
        outcomes.remove_created_before(retention_cutoff_ms);
        let claim = outcomes::Claim {
            created_at_ms: key.created_at_ms,
            fingerprint,
            claim_id,
        };
        match outcomes.try_claim(&key.text, claim) {
            ClaimStatus::Granted => ClaimDecision::Granted(Grant {
                owner: KeyOwner::Local,
                key: key.clone(),
                claim_id,
            }),
            ClaimStatus::Duplicate(outcome) => ClaimDecision::Duplicate(outcome),
            ClaimStatus::FingerprintMismatch => ClaimDecision::FingerprintMismatch,
            ClaimStatus::Full => ClaimDecision::Full,
        }
    }

    /// Claims a key at another agent.
    async fn claim_remote(
        &self,
        address: SocketAddrV4,
        key: &IdempotencyKey,
        fingerprint: u64,
        claim_id: u64,
    ) -> ClaimDecision {
        let grant = Grant {
            owner: KeyOwner::Remote(address),
            key: key.clone(),
            claim_id,
        };
        let body = Body::Claim(Claim {
            key: key.text.to_string(),
            fingerprint,
            claim_id,
        });
        let result: Result<ClaimReply, RpcError> =
            rpc_client::call(SocketAddr::V4(address), self.key_ring.clone(), body).await;
        let reply = match result {
            Ok(reply) => reply,
            Err(RpcError::Connect { .. }) => return ClaimDecision::OwnerUnavailable,
            Err(RpcError::Exchange { .. } | RpcError::Timeout) => {
                // The owner may still grant the claim; settle it as not run.
                let registry = self.clone();
                tokio::spawn(async move { registry.settle(&grant, None).await });
                return ClaimDecision::OwnerUnavailable;
            }
        };
        match reply.result() {
            ClaimResult::Granted => ClaimDecision::Granted(grant),
            ClaimResult::Running => ClaimDecision::Duplicate(Outcome::Running),
            ClaimResult::Answered => {
                let response = reply.answer.and_then(from_wire);
                ClaimDecision::Duplicate(response.map_or(Outcome::Unknown, Outcome::Answered))
            }
            ClaimResult::Unknown => ClaimDecision::Duplicate(Outcome::Unknown),
            ClaimResult::OtherContent => ClaimDecision::FingerprintMismatch,
            ClaimResult::Full => ClaimDecision::Full,
            ClaimResult::ClaimUnspecified => ClaimDecision::OwnerUnavailable,
        }
    }

    /// Settles a claim at another agent. If all attempts fail, the owner keeps reporting the
    /// request as running.
    async fn settle_remote(&self, address: SocketAddrV4, grant: &Grant, outcome: Option<Outcome>) {
        let (settlement, answer) = match &outcome {
            None => (Settlement::NotRun, None),
            Some(Outcome::Answered(response)) => (Settlement::Done, Some(to_wire(response))),
            Some(Outcome::Running | Outcome::Unknown) => (Settlement::Lost, None),
        };
        let settle = Settle {
            key: grant.key.text.to_string(),
            settlement: settlement.into(),
            answer,
            claim_id: grant.claim_id,
        };
        for attempt in 0..SETTLE_ATTEMPTS {
            let body = Body::Settle(settle.clone());
            let result: Result<SettleReply, RpcError> =
                rpc_client::call(SocketAddr::V4(address), self.key_ring.clone(), body).await;
            if result.is_ok() {
                return;
            }
            time::sleep(Duration::from_millis(SETTLE_BACKOFF_MS << attempt)).await;
        }
    }

    fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_wire(response: &Arc<StoredResponse>) -> WireResponse {
    let headers = response.headers.iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    WireResponse {
        status: response.status.as_u16().into(),
        headers: headers.collect(),
        body: response.body.as_deref().unwrap_or_default().to_vec(),
        body_dropped: response.body.is_none(),
    }
}

fn from_wire(response: WireResponse) -> Option<Arc<StoredResponse>> {
    let status = StatusCode::from_u16(u16::try_from(response.status).ok()?).ok()?;
    let mut headers = HeaderMap::new();
    for header in response.headers {
        let name: HeaderName = header.name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    let body = (!response.body_dropped).then(|| Bytes::from(response.body));
    Some(Arc::new(StoredResponse {
        status,
        headers,
        body,
    }))
}
