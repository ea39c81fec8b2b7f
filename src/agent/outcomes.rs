//! Outcomes of requests with an idempotency key, stored by the agent that owns the key.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Maximum length of a response body that is stored with an outcome, in bytes.
pub const MAX_STORED_BODY_LEN: usize = 16 << 10;
/// Maximum number of stored outcomes.
pub const MAX_OUTCOMES: usize = 10_000;
/// Minimum advance of the retention cutoff, in milliseconds, before old outcomes are removed.
const REMOVAL_STEP_MS: u64 = 1_000;

/// A response of a target that can be replayed.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response; `None` if it was longer than [`MAX_STORED_BODY_LEN`].
    pub body: Option<Bytes>,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The request is still running.
    Running,
    /// The target sent a complete response.
    Answered(Arc<StoredResponse>),
    /// The request ran or may have run, and its response is not available.
    Unknown,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStatus {
    /// No earlier request had the key; the request may run.
    Granted,
    /// An earlier request had the same key and the same content; this is its outcome.
    Duplicate(Outcome),
    /// An earlier request had the same key and different content.
    FingerprintMismatch,
    /// The maximum number of outcomes is stored; the request must not run.
    Full,
}

/// A granted claim and the outcome of its request.
#[derive(Clone, Debug)]
struct OutcomeRecord {
    key: Arc<str>,
    created_at_ms: u64,
    fingerprint: u64,
    claim_id: u64,
    outcome: Outcome,
}

/// An attempt to run the request with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Creation time of the key, in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// Hash that identifies the request's content.
    pub fingerprint: u64,
    /// Random ID of the attempt; settlements with a different ID are ignored.
    pub claim_id: u64,
}

/// Outcomes by key, limited in number.
///
/// An outcome is removed only when claims of keys of its age are no longer decided on.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Sorted by key.
    records: Vec<OutcomeRecord>,
    /// Retention cutoff at the last removal.
    removed_before_ms: u64,
}

impl Outcomes {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on an attempt to run the request with `key`, and stores it as running if it is
    /// granted.
    ///
    /// ```
    /// use bamboowind::agent::outcomes::{Claim, ClaimStatus, Outcome, Outcomes};
    ///
    /// let mut outcomes = Outcomes::new();
    /// let first = Claim { created_at_ms: 1_000, fingerprint: 1, claim_id: 71 };
    /// let again = Claim { claim_id: 72, ..first };
    /// assert_eq!(outcomes.try_claim("report-7", first), ClaimStatus::Granted);
    /// assert_eq!(outcomes.try_claim("report-7", again), ClaimStatus::Duplicate(Outcome::Running));
    /// outcomes.settle("report-7", again.claim_id, None);
    /// assert_eq!(outcomes.try_claim("report-7", again), ClaimStatus::Duplicate(Outcome::Running));
    /// outcomes.settle("report-7", first.claim_id, None);
    /// assert_eq!(outcomes.try_claim("report-7", again), ClaimStatus::Granted);
    /// ```
    pub fn try_claim(&mut self, key: &str, claim: Claim) -> ClaimStatus {
        let index = match self.search(key) {
            Ok(index) => {
                let record = &self.records[index];
                return if record.fingerprint == claim.fingerprint {
                    ClaimStatus::Duplicate(record.outcome.clone())
                } else {
                    ClaimStatus::FingerprintMismatch
                };
            }
            Err(index) => index,
        };
        if self.records.len() >= MAX_OUTCOMES {
            return ClaimStatus::Full;
        }
        let record = OutcomeRecord {
            key: key.into(),
            created_at_ms: claim.created_at_ms,
            fingerprint: claim.fingerprint,
            claim_id: claim.claim_id,
            outcome: Outcome::Running,
        };
        self.records.insert(index, record);
        ClaimStatus::Granted
    }

    /// Stores the outcome of a granted claim; `None` means that the request has not run and the key
    /// may be claimed again.
    pub fn settle(&mut self, key: &str, claim_id: u64, outcome: Option<Outcome>) {
        let Ok(index) = self.search(key) else {
            return;
        };
        if self.records[index].claim_id != claim_id {
            return;
        }
        match outcome {
            Some(outcome) => self.records[index].outcome = outcome,
            None => drop(self.records.remove(index)),
        }
    }

    /// Removes the outcomes of keys created before `retention_cutoff_ms`. Each removal scans all
    /// outcomes, so calls have no effect until the cutoff has advanced by `REMOVAL_STEP_MS`.
    pub fn remove_created_before(&mut self, retention_cutoff_ms: u64) {
        if retention_cutoff_ms < self.removed_before_ms + REMOVAL_STEP_MS {
            return;
        }
        self.removed_before_ms = retention_cutoff_ms;
        self.records
            .retain(|record| record.created_at_ms >= retention_cutoff_ms);
    }

    /// Number of stored outcomes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no outcome is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.key).cmp(key))
    }
}
