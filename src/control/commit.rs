//! Commits a policy change to the store and resolves writes whose replies were lost.

use std::time::Duration;

use super::{
    policy::{self, ChangeError},
    recovery,
    store::{Revision, Store, StoreError, SwapOutcome, VersionedValue},
};
use crate::proto::policy::{Change, ChangeRequest, Policy};

/// Number of attempts after which a store error is returned to the caller. A revision mismatch is
/// always retried.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before the first retry, in milliseconds; doubles with each retry.
const INITIAL_BACKOFF_MS: u64 = 50;

/// Result of committing a change.
#[derive(Debug)]
pub enum CommitOutcome {
    /// The store contains the change. Holds the policy that the change produced, or the current
    /// policy if the change was applied earlier.
    Accepted(Box<Policy>),
    /// The stored policy is not at the base version of the request; nothing was written.
    Conflict {
        /// Version of the stored policy.
        current_version: u64,
        /// Changes made after the base version of the request, oldest first, as far as the history
        /// reaches.
        changes: Vec<Change>,
    },
    /// The change is invalid; nothing was written.
    Refused(ChangeError),
    /// The store failed before any write was attempted, or the stored policy is invalid.
    Unavailable(StoreError),
    /// A write was attempted and its result could not be determined.
    Unknown(StoreError),
}

/// Inputs of a commit other than the request.
#[derive(Clone, Copy, Debug)]
pub struct CommitContext<'a> {
    /// Policy to change if the store contains none.
    pub initial: &'a Policy,
    /// Newest policy that this process holds. The store may have lost it.
    pub known: &'a Policy,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub changed_at_ms: u64,
}

/// Next action for a request, given the stored value.
enum Action {
    Return(CommitOutcome),
    Write {
        next: Box<Policy>,
        revision: Revision,
    },
}

/// Commits `request` under `key`, retrying until the result is known or the attempts are used up.
///
/// A request can safely be repeated: a change whose ID is in the stored history is not applied
/// again.
pub async fn commit<S: Store>(
    store: &S,
    key: &str,
    request: &ChangeRequest,
    context: &CommitContext<'_>,
) -> CommitOutcome {
    let mut write_attempted = false;
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let error = match attempt_once(store, key, request, context, &mut write_attempted).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => continue,
            Err(error) => error,
        };
        if attempt >= MAX_ATTEMPTS {
            return if write_attempted {
                CommitOutcome::Unknown(error)
            } else {
                CommitOutcome::Unavailable(error)
            };
        }
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms *= 2;
    }
}

/// Performs one read and, if needed, one write. Returns `None` if the key was modified in between.
async fn attempt_once<S: Store>(
    store: &S,
    key: &str,
    request: &ChangeRequest,
    context: &CommitContext<'_>,
    write_attempted: &mut bool,
) -> Result<Option<CommitOutcome>, StoreError> {
    let stored = store.get(key).await?;
    let (next, revision) = match next_action(&stored, request, context) {
        Action::Return(outcome) => return Ok(Some(outcome)),
        Action::Write { next, revision } => (next, revision),
    };
    *write_attempted = true;
    // The next attempt resolves a lost reply: its read finds the change in the history, or its
    // write under the same revision succeeds, or the revision has moved on and neither write can
    // take effect.
    let swapped = store
        .compare_and_swap(key, &policy::encode(&next), revision)
        .await?;
    match swapped {
        SwapOutcome::Swapped => Ok(Some(CommitOutcome::Accepted(next))),
        SwapOutcome::Mismatch => Ok(None),
    }
}

fn next_action(
    stored: &VersionedValue,
    request: &ChangeRequest,
    context: &CommitContext<'_>,
) -> Action {
    let current = match stored.value {
        Some(_) => policy_or_initial(stored),
        None => Some(context.initial.clone()),
    };
    let Some(current) = current else {
        let reason = "the stored policy has faults".to_owned();
        let error = StoreError::Unexpected { reason };
        return Action::Return(CommitOutcome::Unavailable(error));
    };
    let recovered = recovery::policy_to_write(context.known, &current, context.changed_at_ms);
    let is_recovered = recovered.is_some();
    let current = recovered.unwrap_or(current);
    let already_applied = current
        .history
        .iter()
        .any(|entry| entry.change_id == request.change_id);
    if already_applied && is_recovered {
        return Action::Write {
            next: Box::new(current),
            revision: stored.revision,
        };
    }
    if already_applied {
        return Action::Return(CommitOutcome::Accepted(Box::new(current)));
    }
    if current.version != request.base_version {
        let changes = current.history.iter();
        let changes = changes.filter(|entry| entry.version > request.base_version);
        return Action::Return(CommitOutcome::Conflict {
            current_version: current.version,
            changes: changes.cloned().collect(),
        });
    }
    match policy::apply(&current, request, context.changed_at_ms) {
        Ok(next) => Action::Write {
            next: Box::new(next),
            revision: stored.revision,
        },
        Err(error) => Action::Return(CommitOutcome::Refused(error)),
    }
}

/// Decodes the stored policy, or returns the initial policy if the key does not exist. Returns
/// `None` if the stored policy is invalid.
#[must_use]
pub fn policy_or_initial(stored: &VersionedValue) -> Option<Policy> {
    match &stored.value {
        Some(value) => policy::decode(value),
        None => Some(policy::initial()),
    }
}
