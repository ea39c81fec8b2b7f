//! The policy in force in one process; it only ever moves to a higher version.

use std::sync::Arc;

use tokio::sync::watch;

use super::policy;
use crate::proto::policy::Policy;

/// Shares the policy in force and tells when it changes.
#[derive(Clone, Debug)]
pub struct PolicyCell {
    sender: Arc<watch::Sender<Arc<Policy>>>,
}

impl Default for PolicyCell {
    fn default() -> Self {
        Self::new()
    }
}

impl PolicyCell {
    /// Starts with the initial policy, whose version is zero.
    ///
    /// ```
    /// use bamboowind::control::{policy, policy_cell::PolicyCell};
    /// use bamboowind::proto::policy::Policy;
    ///
    /// let cell = PolicyCell::new();
    /// assert!(cell.offer(Policy { version: 2, ..policy::initial() }));
    /// assert!(!cell.offer(Policy { version: 1, ..policy::initial() }));
    /// assert_eq!(cell.current().version, 2);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::with_initial(policy::initial())
    }

    /// Starts with another policy.
    #[must_use]
    pub fn with_initial(initial: Policy) -> Self {
        let (sender, _) = watch::channel(Arc::new(initial));
        Self {
            sender: Arc::new(sender),
        }
    }

    /// Puts `policy` in force if its version is higher, and returns whether it was.
    #[allow(clippy::must_use_candidate)] // Most callers need only the effect.
    pub fn offer(&self, policy: Policy) -> bool {
        self.sender.send_if_modified(|current| {
            let is_higher = policy.version > current.version;
            if is_higher {
                *current = Arc::new(policy);
            }
            is_higher
        })
    }

    /// The policy in force.
    #[must_use]
    pub fn current(&self) -> Arc<Policy> {
        Arc::clone(&self.sender.borrow())
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.sender.borrow().version
    }

    /// Follows the changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Policy>> {
        self.sender.subscribe()
    }
}
