//! Commits an operator's change to the store and settles replies that were lost.

use std::time::Duration;

use super::{
    policy::{self, ChangeRefusal},
    store::{Revision, Store, StoreError, SwapOutcome, Versioned},
};
use crate::proto::policy::{Change, ChangeRequest, Policy};

/// How often the store is asked before the outcome is left unknown.
const MAX_ATTEMPTS: u32 = 6;
const FIRST_BACKOFF_MS: u64 = 50;

/// What became of a change.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The change is in the store; this is the policy that it made or is part of.
    Accepted(Box<Policy>),
    /// Another change came first; nothing was written.
    Conflict {
        /// Version in the store.
        current_version: u64,
        /// Changes since the version that the operator had seen.
        changes: Vec<Change>,
    },
    /// The change is not valid; nothing was written.
    Refused(ChangeRefusal),
    /// The store cannot be reached and no write was tried.
    Unavailable(StoreError),
    /// A write was tried and the store cannot say whether it took effect.
    Unknown(StoreError),
}

/// What a commit starts from.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// The policy that holds as long as the store has none.
    pub initial: &'a Policy,
    /// When the change is made, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
}

/// What one reading of the store means for a change.
enum Step {
    Done(CommitOutcome),
    Write {
        next: Box<Policy>,
        revision: Revision,
    },
}

/// Commits `request` under `key`, trying again until the outcome is certain.
///
/// The same request may be committed again: its change identifier is looked up first.
pub async fn commit<S: Store>(
    store: &S,
    key: &str,
    request: &ChangeRequest,
    start: &Start<'_>,
) -> CommitOutcome {
    let mut is_tried = false;
    let mut backoff_ms = FIRST_BACKOFF_MS;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let error = match attempt_once(store, key, request, start, &mut is_tried).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => continue,
            Err(error) => error,
        };
        if attempt >= MAX_ATTEMPTS {
            return if is_tried {
                CommitOutcome::Unknown(error)
            } else {
                CommitOutcome::Unavailable(error)
            };
        }
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms *= 2;
    }
}

/// Reads and writes once; returns `None` when the store changed in between.
async fn attempt_once<S: Store>(
    store: &S,
    key: &str,
    request: &ChangeRequest,
    start: &Start<'_>,
    is_tried: &mut bool,
) -> Result<Option<CommitOutcome>, StoreError> {
    let stored = store.get(key).await?;
    let (next, revision) = match decide(&stored, request, start) {
        Step::Done(outcome) => return Ok(Some(outcome)),
        Step::Write { next, revision } => (next, revision),
    };
    *is_tried = true;
    // A lost reply is settled by the next attempt: either its reading finds the change, or its
    // write under the same revision succeeds, or the revision has moved and neither can land.
    let swapped = store
        .compare_and_swap(key, &policy::encode(&next), revision)
        .await?;
    match swapped {
        SwapOutcome::Swapped => Ok(Some(CommitOutcome::Accepted(next))),
        SwapOutcome::Mismatch => Ok(None),
    }
}

fn decide(stored: &Versioned, request: &ChangeRequest, start: &Start<'_>) -> Step {
    let stored_policy = match stored.value {
        Some(_) => current_policy(stored),
        None => Some(start.initial.clone()),
    };
    let Some(current) = stored_policy else {
        let reason = "the stored policy has faults".to_owned();
        let error = StoreError::Unexpected { reason };
        return Step::Done(CommitOutcome::Unavailable(error));
    };
    let is_present = current
        .history
        .iter()
        .any(|entry| entry.change_id == request.change_id);
    if is_present {
        return Step::Done(CommitOutcome::Accepted(Box::new(current)));
    }
    if current.version != request.base_version {
        let changes = current.history.iter();
        let changes = changes.filter(|entry| entry.version > request.base_version);
        return Step::Done(CommitOutcome::Conflict {
            current_version: current.version,
            changes: changes.cloned().collect(),
        });
    }
    match policy::apply(&current, request, start.changed_at_ms) {
        Ok(next) => Step::Write {
            next: Box::new(next),
            revision: stored.revision,
        },
        Err(refusal) => Step::Done(CommitOutcome::Refused(refusal)),
    }
}

/// The policy that a reading holds; the initial one when the key does not exist.
#[must_use]
pub fn current_policy(stored: &Versioned) -> Option<Policy> {
    match &stored.value {
        Some(value) => policy::decode(value),
        None => Some(policy::initial()),
    }
}
