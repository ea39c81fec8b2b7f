//! Asks the home of a key whether its request may run, and answers as a home.

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
    members::{Home, MAX_CLOCK_ERROR_MS},
    outcomes::{self, Begin, KeptAnswer, Outcome, Outcomes},
    state::Shared,
};
use crate::{
    clock::unix_ms,
    control::rpc_client::{self, RpcError},
    proto::control::{
        Claim, ClaimReply, ClaimResult, Header, KeptAnswer as WireAnswer, Settle, SettleReply,
        Settlement, inner_request::Body,
    },
    wire::key_ring::SharedKeyRing,
};

const SETTLE_ATTEMPTS: u32 = 5;
const SETTLE_BACKOFF_MS: u64 = 100;
const UUID_VERSION: usize = 7;
/// Bits of a version 7 UUID below its time.
const UUID_TIME_SHIFT: u32 = 80;

/// A key with the time of its birth.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Key {
    pub text: Arc<str>,
    pub birth_ms: u64,
}

/// Why a key cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyFault {
    NotUuid7,
    FromTheFuture,
}

impl Key {
    /// Reads a key; it must be a UUID of version 7, whose time tells which agent is its home.
    pub fn parse(text: &str, now_ms: u64) -> Result<Self, KeyFault> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyFault::NotUuid7)?;
        if uuid.get_version_num() != UUID_VERSION {
            return Err(KeyFault::NotUuid7);
        }
        let birth_ms = u64::try_from(uuid.as_u128() >> UUID_TIME_SHIFT).unwrap_or(u64::MAX);
        if birth_ms > now_ms + MAX_CLOCK_ERROR_MS {
            return Err(KeyFault::FromTheFuture);
        }
        Ok(Self {
            text: uuid.to_string().into(),
            birth_ms,
        })
    }
}

/// Leave to run the request with a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Grant {
    home: Home,
    key: Key,
    claim_id: u64,
}

/// Decision of a key's home.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// The request may run and must be settled with its home.
    Granted(Grant),
    /// An earlier request decides.
    Repeat(Outcome),
    /// The key was used for another request.
    OtherContent,
    /// Too many outcomes are kept.
    Full,
    /// The home was not asked or has not heard the question, and this request will not run; an
    /// earlier one with the key may have.
    NoHome,
}

/// The outcomes that this agent keeps, and the way to those that others keep.
#[derive(Clone)]
pub(crate) struct HomeBook {
    shared: Arc<Shared>,
    keys: SharedKeyRing,
    outcomes: Arc<Mutex<Outcomes>>,
}

impl HomeBook {
    pub fn new(shared: Arc<Shared>, keys: SharedKeyRing) -> Self {
        Self {
            shared,
            keys,
            outcomes: Arc::default(),
        }
    }

    /// Asks the key's home whether the request may run.
    pub async fn claim(&self, key: &Key, fingerprint: u64) -> Decision {
        let home = self.shared.members().home(&key.text, key.birth_ms);
        let claim_id = rand::random();
        match home {
            Home::Own => self.decide(key, fingerprint, claim_id),
            Home::Other(address) => self.claim_at(address, key, fingerprint, claim_id).await,
            Home::Unknown => Decision::NoHome,
        }
    }

    /// Tells the key's home what became of the request; `None` says that it has not run.
    pub async fn settle(&self, grant: &Grant, outcome: Option<Outcome>) {
        match grant.home {
            Home::Own => self
                .outcomes()
                .settle(&grant.key.text, grant.claim_id, outcome),
            Home::Other(address) => self.settle_at(address, grant, outcome).await,
            Home::Unknown => {}
        }
    }

    /// Answers a claim of another agent.
    pub fn answer_claim(&self, claim: &Claim) -> ClaimReply {
        let Ok(key) = Key::parse(&claim.key, unix_ms()) else {
            return ClaimReply::default();
        };
        let decision = self.decide(&key, claim.fingerprint, claim.claim_id);
        let (result, answer) = match decision {
            Decision::Granted(_) => (ClaimResult::Granted, None),
            Decision::Repeat(Outcome::Running) => (ClaimResult::Running, None),
            Decision::Repeat(Outcome::Unknown) => (ClaimResult::Unknown, None),
            Decision::Repeat(Outcome::Answered(answer)) => {
                (ClaimResult::Answered, Some(to_wire(&answer)))
            }
            Decision::OtherContent => (ClaimResult::OtherContent, None),
            Decision::Full => (ClaimResult::Full, None),
            Decision::NoHome => (ClaimResult::ClaimUnspecified, None),
        };
        ClaimReply {
            result: result.into(),
            answer,
        }
    }

    /// Answers a settlement of another agent.
    pub fn answer_settle(&self, settle: Settle) -> SettleReply {
        let settlement = settle.settlement();
        if let Ok(key) = Key::parse(&settle.key, unix_ms()) {
            let outcome = match (settlement, settle.answer) {
                (Settlement::NotRun, _) => None,
                (Settlement::Done, Some(answer)) => {
                    Some(from_wire(answer).map_or(Outcome::Unknown, Outcome::Answered))
                }
                _ => Some(Outcome::Unknown),
            };
            self.outcomes().settle(&key.text, settle.claim_id, outcome);
        }
        SettleReply {}
    }

    fn decide(&self, key: &Key, fingerprint: u64, claim_id: u64) -> Decision {
        let now_ms = unix_ms();
        let retention_ms = self.shared.limits().outcome_retention_ms;
        let oldest_birth_ms = {
            let mut members = self.shared.members();
            members.set_retention_ms(now_ms, retention_ms);
            if !members.may_decide(&key.text, key.birth_ms, now_ms) {
                return Decision::NoHome;
            }
            members.forget_old(now_ms)
        };
        let mut outcomes = self.outcomes();
        outcomes.forget_before(oldest_birth_ms);
        let claim = outcomes::Claim {
            birth_ms: key.birth_ms,
            fingerprint,
            claim_id,
        };
        match outcomes.begin(&key.text, claim) {
            Begin::Run => Decision::Granted(Grant {
                home: Home::Own,
                key: key.clone(),
                claim_id,
            }),
            Begin::Repeat(outcome) => Decision::Repeat(outcome),
            Begin::OtherContent => Decision::OtherContent,
            Begin::Full => Decision::Full,
        }
    }

    async fn claim_at(
        &self,
        address: SocketAddrV4,
        key: &Key,
        fingerprint: u64,
        claim_id: u64,
    ) -> Decision {
        let grant = Grant {
            home: Home::Other(address),
            key: key.clone(),
            claim_id,
        };
        let body = Body::Claim(Claim {
            key: key.text.to_string(),
            fingerprint,
            claim_id,
        });
        let asked: Result<ClaimReply, RpcError> =
            rpc_client::call(SocketAddr::V4(address), self.keys.clone(), body).await;
        let reply = match asked {
            Ok(reply) => reply,
            Err(RpcError::Connect { .. }) => return Decision::NoHome,
            Err(RpcError::Exchange { .. } | RpcError::Timeout) => {
                // The home may grant the claim yet, and nobody will run it.
                let book = self.clone();
                tokio::spawn(async move { book.settle(&grant, None).await });
                return Decision::NoHome;
            }
        };
        match reply.result() {
            ClaimResult::Granted => Decision::Granted(grant),
            ClaimResult::Running => Decision::Repeat(Outcome::Running),
            ClaimResult::Answered => {
                let answer = reply.answer.and_then(from_wire);
                Decision::Repeat(answer.map_or(Outcome::Unknown, Outcome::Answered))
            }
            ClaimResult::Unknown => Decision::Repeat(Outcome::Unknown),
            ClaimResult::OtherContent => Decision::OtherContent,
            ClaimResult::Full => Decision::Full,
            ClaimResult::ClaimUnspecified => Decision::NoHome,
        }
    }

    /// Tells another agent; if it cannot be told, it goes on to say that the request runs.
    async fn settle_at(&self, address: SocketAddrV4, grant: &Grant, outcome: Option<Outcome>) {
        let (settlement, answer) = match &outcome {
            None => (Settlement::NotRun, None),
            Some(Outcome::Answered(answer)) => (Settlement::Done, Some(to_wire(answer))),
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
            let asked: Result<SettleReply, RpcError> =
                rpc_client::call(SocketAddr::V4(address), self.keys.clone(), body).await;
            if asked.is_ok() {
                return;
            }
            time::sleep(Duration::from_millis(SETTLE_BACKOFF_MS << attempt)).await;
        }
    }

    fn outcomes(&self) -> MutexGuard<'_, Outcomes> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_wire(answer: &Arc<KeptAnswer>) -> WireAnswer {
    let headers = answer.headers.iter().map(|(name, value)| Header {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    });
    WireAnswer {
        status: answer.status.as_u16().into(),
        headers: headers.collect(),
        body: answer.body.as_deref().unwrap_or_default().to_vec(),
        body_dropped: answer.body.is_none(),
    }
}

fn from_wire(answer: WireAnswer) -> Option<Arc<KeptAnswer>> {
    let status = StatusCode::from_u16(u16::try_from(answer.status).ok()?).ok()?;
    let mut headers = HeaderMap::new();
    for header in answer.headers {
        let name: HeaderName = header.name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    let body = (!answer.body_dropped).then(|| Bytes::from(answer.body));
    Some(Arc::new(KeptAnswer {
        status,
        headers,
        body,
    }))
}
