//! Remembers what became of requests that must not run twice.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// Largest body that is kept with an outcome, in bytes.
pub const MAX_KEPT_BODY_LEN: usize = 16 << 10;
/// Outcomes that are kept at once.
pub const MAX_OUTCOMES: usize = 10_000;

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
    fingerprint: u64,
    outcome: Outcome,
    expires_at_ms: u64,
}

/// Outcomes by key, sorted, limited in number and in time.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    records: Vec<Record>,
}

impl Outcomes {
    /// Makes an empty memory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request with `key`.
    ///
    /// ```
    /// use bamboowind::agent::outcomes::{Begin, Outcome, Outcomes};
    ///
    /// let mut outcomes = Outcomes::new();
    /// assert_eq!(outcomes.begin(0, "report-7", 1, 1_000), Begin::Run);
    /// assert_eq!(outcomes.begin(1, "report-7", 1, 1_000), Begin::Repeat(Outcome::Running));
    /// assert_eq!(outcomes.begin(1, "report-7", 2, 1_000), Begin::OtherContent);
    /// ```
    pub fn begin(&mut self, now_ms: u64, key: &str, fingerprint: u64, retention_ms: u64) -> Begin {
        match self.search(key) {
            Ok(index) if self.is_kept(index, now_ms) => {
                let record = &self.records[index];
                if record.fingerprint == fingerprint {
                    Begin::Repeat(record.outcome.clone())
                } else {
                    Begin::OtherContent
                }
            }
            Ok(index) => {
                self.records.remove(index);
                self.insert(now_ms, key, fingerprint, retention_ms)
            }
            Err(_) => self.insert(now_ms, key, fingerprint, retention_ms),
        }
    }

    /// Notes that a request with `key` has not run after all.
    pub fn forget(&mut self, key: &str) {
        if let Ok(index) = self.search(key) {
            self.records.remove(index);
        }
    }

    /// Notes the outcome of the request with `key`.
    pub fn settle(&mut self, now_ms: u64, key: &str, outcome: Outcome, retention_ms: u64) {
        if let Ok(index) = self.search(key) {
            let record = &mut self.records[index];
            record.outcome = outcome;
            record.expires_at_ms = now_ms + retention_ms;
        }
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

    fn insert(&mut self, now_ms: u64, key: &str, fingerprint: u64, retention_ms: u64) -> Begin {
        if self.records.len() >= MAX_OUTCOMES {
            self.expire(now_ms);
        }
        if self.records.len() >= MAX_OUTCOMES {
            return Begin::Full;
        }
        let record = Record {
            key: key.into(),
            fingerprint,
            outcome: Outcome::Running,
            expires_at_ms: now_ms + retention_ms,
        };
        let index = self.search(key).unwrap_or_else(|index| index);
        self.records.insert(index, record);
        Begin::Run
    }

    fn expire(&mut self, now_ms: u64) {
        self.records
            .retain(|record| record.outcome == Outcome::Running || record.expires_at_ms > now_ms);
    }

    /// A running request is kept however long it runs.
    fn is_kept(&self, index: usize, now_ms: u64) -> bool {
        let record = &self.records[index];
        record.outcome == Outcome::Running || record.expires_at_ms > now_ms
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.key).cmp(key))
    }
}
