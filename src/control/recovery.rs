//! Recovery of policy changes that the store has lost because it was restored from an older copy.
//!
//! A process that holds a lost policy has the only copy of it. Versions are never assigned twice, so
//! that a process needs no other information to tell which of two policies is in force.

use super::policy;
use crate::proto::policy::{Change, Policy};

/// Operator in the history of a version that replaces lost ones.
const RECOVERY_OPERATOR: &str = "bamboowind";

/// Policy to be written to the store, given the policy that this process holds and the stored one;
/// `None` if the store has lost nothing that this process knows of.
///
/// If the store is only behind, this is the local policy. If it has accepted other changes in place
/// of the lost ones, they are in force: it is the stored policy with a version above both.
///
/// ```
/// use bamboowind::{control::{policy, recovery}, proto::policy::Policy};
///
/// let confirmed = Policy { version: 1, ..policy::initial() };
/// let write = recovery::policy_to_write(&confirmed, &policy::initial(), 0);
/// assert_eq!(write, Some(confirmed.clone()));
/// assert_eq!(recovery::policy_to_write(&confirmed, &confirmed, 0), None);
/// ```
#[must_use]
pub fn policy_to_write(local: &Policy, stored: &Policy, now_unix_ms: u64) -> Option<Policy> {
    let is_same = local.version == stored.version && local.change_id == stored.change_id;
    if stored.version > local.version || is_same {
        return None;
    }
    if contains_change(local, stored) {
        return Some(local.clone());
    }
    Some(renumber(stored, local, now_unix_ms))
}

/// Whether the change that produced `older` is part of `newer`, as far as its history reaches.
fn contains_change(newer: &Policy, older: &Policy) -> bool {
    let oldest_version = newer.history.first().map_or(0, |change| change.version);
    older.version < oldest_version
        || older.version == 0
        || newer
            .history
            .iter()
            .any(|change| change.version == older.version && change.change_id == older.change_id)
}

/// The stored policy with a version above that of `lost`.
fn renumber(stored: &Policy, lost: &Policy, now_unix_ms: u64) -> Policy {
    let version = lost.version + 1;
    let change_id = format!("recovery-{version}-{}", stored.change_id);
    let lost_changes = lost_changes(stored, lost);
    let mut next = Policy {
        version,
        change_id: change_id.clone(),
        ..stored.clone()
    };
    let change = Change {
        version,
        change_id,
        operator: RECOVERY_OPERATOR.to_owned(),
        changed_at_ms: now_unix_ms,
        summary: format!("the store was restored and lost changes {lost_changes}"),
    };
    policy::push_change(&mut next.history, change);
    next
}

/// IDs of the changes of `lost` that `stored` lacks, oldest first.
fn lost_changes(stored: &Policy, lost: &Policy) -> String {
    let is_lost = |change: &&Change| {
        let mut kept = stored.history.iter();
        !kept.any(|kept| kept.change_id == change.change_id)
    };
    let lost = lost.history.iter().filter(is_lost);
    let ids: Vec<_> = lost.map(|change| &*change.change_id).collect();
    ids.join(", ")
}
