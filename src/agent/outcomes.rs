//! Remembers what became of requests that must not run twice.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Largest body that is kept with an outcome, in bytes.
pub const MAX_KEPT_BODY_LEN: usize = 16 << 10;
/// Outcomes that are kept at once.
pub const MAX_OUTCOMES: usize = 10_000;
/// Span of birth times that is forgotten at once.
const FORGET_STEP_MS: u64 = 1_000;

/// An answer that can be given again.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer; `None` when it was too long to keep.
    pub body: Option<Bytes>,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It runs.
    Running,
    /// It was answered.
    Answered(Arc<KeptAnswer>),
    /// It ran, or may have run, and its answer was lost.
    Unknown,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
    /// It is the first with its key and may run.
    Run,
    /// An earlier request had the same key and the same content.
    Repeat(Outcome),
    /// An earlier request had the same key and another content.
    OtherContent,
    /// Too many outcomes are kept; the request must not run.
    Full,
}

#[derive(Clone, Debug)]
struct Record {
    key: Arc<str>,
    birth_ms: u64,
    fingerprint: u64,
    claim_id: u64,
    outcome: Outcome,
}

/// One try to run the request with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claim {
    /// When the key was born, in milliseconds since the Unix epoch.
    pub birth_ms: u64,
    /// Hash of the request's content.
    pub fingerprint: u64,
    /// Random number of the try; only its own settlement is taken.
    pub claim_id: u64,
}

/// Outcomes by key, sorted and limited in number.
///
/// A record may be dropped once keys of its age are no longer decided on.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    records: Vec<Record>,
    forgotten_before_ms: u64,
}

impl Outcomes {
    /// Makes an empty memory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a try to run the request with `key`.
    ///
    /// ```
    /// use bamboowind::agent::outcomes::{Begin, Claim, Outcome, Outcomes};
    ///
    /// let mut outcomes = Outcomes::new();
    /// let first = Claim { birth_ms: 1_000, fingerprint: 1, claim_id: 71 };
    /// let again = Claim { claim_id: 72, ..first };
    /// assert_eq!(outcomes.begin("report-7", first), Begin::Run);
    /// assert_eq!(outcomes.begin("report-7", again), Begin::Repeat(Outcome::Running));
    /// outcomes.settle("report-7", again.claim_id, None);
    /// assert_eq!(outcomes.begin("report-7", again), Begin::Repeat(Outcome::Running));
    /// outcomes.settle("report-7", first.claim_id, None);
    /// assert_eq!(outcomes.begin("report-7", again), Begin::Run);
    /// ```
    pub fn begin(&mut self, key: &str, claim: Claim) -> Begin {
        let index = match self.search(key) {
            Ok(index) => {
                let record = &self.records[index];
                return if record.fingerprint == claim.fingerprint {
                    Begin::Repeat(record.outcome.clone())
                } else {
                    Begin::OtherContent
                };
            }
            Err(index) => index,
        };
        if self.records.len() >= MAX_OUTCOMES {
            return Begin::Full;
        }
        let record = Record {
            key: key.into(),
            birth_ms: claim.birth_ms,
            fingerprint: claim.fingerprint,
            claim_id: claim.claim_id,
            outcome: Outcome::Running,
        };
        self.records.insert(index, record);
        Begin::Run
    }

    /// Notes what became of a try that was let run; `None` says that it has not run after all.
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

    /// Drops the records of keys that were born before `oldest_birth_ms`; many at a time, since it
    /// looks at all of them.
    pub fn forget_before(&mut self, oldest_birth_ms: u64) {
        if oldest_birth_ms < self.forgotten_before_ms + FORGET_STEP_MS {
            return;
        }
        self.forgotten_before_ms = oldest_birth_ms;
        self.records
            .retain(|record| record.birth_ms >= oldest_birth_ms);
    }

    /// Number of outcomes that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no outcome is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.key).cmp(key))
    }
}
