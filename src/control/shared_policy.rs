//! Current policy of a process, replaced only by higher versions.

use std::sync::Arc;

use tokio::sync::watch;

use super::policy;
use crate::proto::policy::Policy;

/// Shared handle to the current policy, with change notification.
#[derive(Clone, Debug)]
pub struct SharedPolicy {
    sender: Arc<watch::Sender<Arc<Policy>>>,
}

impl Default for SharedPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl SharedPolicy {
    /// Starts with [`policy::initial`], whose version is zero.
    ///
    /// ```
    /// use bamboowind::control::{policy, shared_policy::SharedPolicy};
    /// use bamboowind::proto::policy::Policy;
    ///
    /// let policy = SharedPolicy::new();
    /// assert!(policy.update_if_newer(Policy { version: 2, ..policy::initial() }));
    /// assert!(!policy.update_if_newer(Policy { version: 1, ..policy::initial() }));
    /// assert_eq!(policy.current().version, 2);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::with_initial(policy::initial())
    }

    /// Starts with the given policy.
    #[must_use]
    pub fn with_initial(initial: Policy) -> Self {
        let (sender, _) = watch::channel(Arc::new(initial));
        Self {
            sender: Arc::new(sender),
        }
    }

    /// Replaces the policy if `policy` has a higher version. Returns whether it did.
    #[allow(clippy::must_use_candidate)] // The result is optional.
    pub fn update_if_newer(&self, policy: Policy) -> bool {
        self.sender.send_if_modified(|current| {
            let is_newer = policy.version > current.version;
            if is_newer {
                *current = Arc::new(policy);
            }
            is_newer
        })
    }

    /// Returns the current policy.
    #[must_use]
    pub fn current(&self) -> Arc<Policy> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the version of the current policy.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.sender.borrow().version
    }

    /// Returns a receiver that is notified of each replacement.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Policy>> {
        self.sender.subscribe()
    }
}
