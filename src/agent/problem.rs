//! Answers that the agent itself gives, as problem details (RFC 9457).

use http::{HeaderValue, Response, StatusCode, header};
use serde_json::json;

use super::admission::{Refusal, RefusalReason};

/// Header that says what became of a request that has no answer of its target.
pub const OUTCOME_HEADER: &str = "bamboowind-outcome";
/// Header with the time after which to try again, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

const PROBLEM_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/problem+json");

/// What became of a request that its target has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It has not run and will not.
    NotRun,
    /// It ran, or may have run, or still runs.
    Unknown,
}

impl Outcome {
    fn header(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "outcome-unknown",
        })
    }
}

/// An answer of the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Status of the answer.
    pub status: StatusCode,
    /// What became of the request.
    pub outcome: Outcome,
    /// What is wrong, for people.
    pub detail: String,
    /// When to try again.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// A request that has not run.
    pub fn not_run(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// A request whose outcome is not known.
    pub fn unknown(status: StatusCode, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// A request that was refused a slot.
    pub fn refused(refusal: Refusal) -> Self {
        let detail = match refusal.reason {
            RefusalReason::QueueFull => "too many requests of this class wait",
            RefusalReason::TooLate => "the request cannot start in time",
            RefusalReason::NoLongStream => "all long streams are in use",
        };
        let problem = Self::not_run(StatusCode::SERVICE_UNAVAILABLE, detail);
        problem.with_retry_after_ms(refusal.retry_after_ms)
    }

    /// Says when to try again.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Head of the answer.
    pub fn head(&self) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, PROBLEM_CONTENT_TYPE);
        headers.insert(OUTCOME_HEADER, self.outcome.header());
        if let Some(retry_after_ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, retry_after_ms.div_ceil(1_000).into());
            headers.insert(RETRY_AFTER_MS_HEADER, retry_after_ms.into());
        }
        response
    }

    /// Body of the answer.
    pub fn body(&self) -> Vec<u8> {
        let outcome = self.outcome.header();
        let body = json!({
            "title": self.status.canonical_reason(),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "outcome": outcome.to_str().unwrap_or_default(),
        });
        body.to_string().into_bytes()
    }
}
