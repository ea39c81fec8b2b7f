//! Failure domains that the operator has taken out of service for new flows.
//!
//! The store holds one key per evacuated domain. Balancers read the keys, and every presence message
//! carries the newest set, so that a process whose own watch is silent or that was away learns of it
//! from any other. This module decides which set is in force in a process.
//!
//! Load: the opening packets of all callers while a domain is evacuated or returned to service, at
//! processes that were partitioned, suspended or restarted, or whose store was restored.

use std::sync::Arc;

use crate::membership::{
    directory::REGISTERED_AGAIN_MS,
    evacuation_set::{EvacuationSet, EvacuationVersion, contains},
};

/// Time for which a domain that only an earlier era of the store knew as evacuated stays evacuated
/// after the first set of the new era. Meanwhile the operator writes the lost keys again.
const HELD_AFTER_RESTORE_MS: u64 = REGISTERED_AGAIN_MS;
/// Time without periodic work from which a process counts as having been suspended, so that it may
/// have missed an evacuation. An evacuation has to be in force within 5,000 ms and spreads within
/// 1,000 ms; the rest is a margin for reading the sockets.
const SUSPENDED_AFTER_MS: u64 = 3_000;
/// Time after the end of a suspension for which received notices may be older than that end. The
/// socket holds some hundred of them.
const BACKLOG_MS: u64 = 300;
/// Maximum time after the end of a suspension to wait for a current notice. Every other instance
/// sends one within half of that.
const REFRESH_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of domains whose return to service is remembered.
const MAX_RETURNED: usize = 64;

/// Where a set of evacuated domains was learned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationSource {
    /// The store.
    Store,
    /// The presence message of the instance with this name.
    Instance(Arc<str>),
    /// Time: domains of an earlier era are no longer held.
    Expiry,
}

/// A failure domain that was returned to service.
#[derive(Clone, Debug)]
struct Returned {
    name: Arc<str>,
    at_ms: u64,
}

/// Evacuated failure domains as known to this process.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The newest known set.
    set: EvacuationSet,
    /// Domains that only a set of an earlier era contains, sorted; they count as evacuated until
    /// `held_until_ms`.
    held: Vec<Arc<str>>,
    held_until_ms: u64,
    /// Domains that were returned to service during the lifetime of this process, oldest first.
    returned: Vec<Returned>,
    /// Time of the last periodic work; `None` before the first.
    ticked_at_ms: Option<u64>,
    /// End of a suspension after which no current notice has been received yet; `None` if there is
    /// none.
    resumed_at_ms: Option<u64>,
}

impl Evacuations {
    /// Creates a state in which it is not known yet which domains are evacuated.
    ///
    /// ```
    /// use bamboowind::control::store::{Revision, StoreEra};
    /// use bamboowind::forward::evacuation::Evacuations;
    /// use bamboowind::membership::evacuation_set::{EvacuationSet, EvacuationVersion};
    ///
    /// let version = |revision| EvacuationVersion::new(StoreEra(1), Revision(revision));
    /// let mut evacuations = Evacuations::new();
    /// evacuations.adopt(&EvacuationSet::new(vec!["b".into()], version(7)), 100);
    /// assert!(evacuations.is_evacuated("b", 100));
    /// evacuations.adopt(&EvacuationSet::new(Vec::new(), version(9)), 800);
    /// assert_eq!(evacuations.returned_at_ms("b"), Some(800));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The newest known set, which presence messages carry. It does not contain the domains that are
    /// evacuated only because of an earlier era: receivers decide on these by their own time.
    #[must_use]
    pub fn set(&self) -> &EvacuationSet {
        &self.set
    }

    /// Version of the newest known set.
    #[must_use]
    pub fn version(&self) -> EvacuationVersion {
        self.set.version
    }

    /// Whether it is known which domains are evacuated.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.set.version.is_known()
    }

    /// Whether new flows must not be sent to the targets of a failure domain.
    #[must_use]
    pub fn is_evacuated(&self, failure_domain: &str, now_ms: u64) -> bool {
        let is_held = now_ms < self.held_until_ms && contains(&self.held, failure_domain);
        is_held || self.set.contains(failure_domain)
    }

    /// All evacuated domains, sorted, including those that only an earlier era of the store knew.
    #[must_use]
    pub fn evacuated(&self, now_ms: u64) -> Vec<Arc<str>> {
        let mut names = self.set.names().to_vec();
        if now_ms < self.held_until_ms {
            names.extend(self.held.iter().map(Arc::clone));
            names.sort_unstable();
        }
        names
    }

    /// Time at which this process learned that a failure domain, which it knew as evacuated, was
    /// returned to service, in milliseconds on its clock. `None` if it is evacuated or this process
    /// never knew it as evacuated.
    #[must_use]
    pub fn returned_at_ms(&self, failure_domain: &str) -> Option<u64> {
        let mut returned = self.returned.iter();
        let found = returned.find(|returned| *returned.name == *failure_domain);
        found.map(|returned| returned.at_ms)
    }

    /// Adopts a set if it is newer than the known one. Returns whether the evacuated domains have
    /// changed.
    pub fn adopt(&mut self, set: &EvacuationSet, now_ms: u64) -> bool {
        let before = self.evacuated(now_ms);
        let (known, new) = (self.set.version, set.version);
        if !new.is_known() {
            return false;
        }
        if new <= known {
            // An instance that has not heard of the restore yet may be the only one that knows the
            // last evacuations of the lost era.
            if new.era < known.era && now_ms < self.held_until_ms {
                self.hold(set.names());
            }
            return self.update_returned(&before, now_ms);
        }
        self.set = set.clone();
        if known.is_known() && new.era > known.era {
            self.held_until_ms = now_ms + HELD_AFTER_RESTORE_MS;
            self.hold(&before);
        }
        self.held.retain(|name| !set.contains(name));
        self.update_returned(&before, now_ms)
    }

    /// Lets domains of an earlier era count as evacuated for some time.
    fn hold(&mut self, names: &[Arc<str>]) {
        let missing = names.iter().filter(|name| !self.set.contains(name));
        self.held.extend(missing.map(Arc::clone));
        self.held.sort_unstable();
        self.held.dedup();
    }

    /// Records the domains that were evacuated `before` and no longer are as returned to service.
    /// Returns whether the evacuated domains have changed.
    fn update_returned(&mut self, before: &[Arc<str>], now_ms: u64) -> bool {
        let after = self.evacuated(now_ms);
        if before == after {
            return false;
        }
        self.returned
            .retain(|returned| !contains(&after, &returned.name));
        for name in before.iter().filter(|name| !contains(&after, name)) {
            self.returned.retain(|returned| returned.name != *name);
            self.returned.push(Returned {
                name: Arc::clone(name),
                at_ms: now_ms,
            });
        }
        let excess = self.returned.len().saturating_sub(MAX_RETURNED);
        self.returned.drain(..excess);
        true
    }

    /// Runs the periodic work. Returns whether the evacuated domains have changed because those of an
    /// earlier era are no longer held.
    pub fn tick(&mut self, now_ms: u64) -> bool {
        self.check_suspension(now_ms);
        self.ticked_at_ms = Some(now_ms);
        if self.held.is_empty() || now_ms < self.held_until_ms {
            return false;
        }
        let until_ms = self.held_until_ms;
        let before = self.evacuated(until_ms.saturating_sub(1));
        self.held.clear();
        self.update_returned(&before, until_ms)
    }

    /// Records the end of a suspension if there has been no periodic work for too long.
    fn check_suspension(&mut self, now_ms: u64) {
        let is_overdue = |at_ms: u64| now_ms.saturating_sub(at_ms) >= SUSPENDED_AFTER_MS;
        if self.ticked_at_ms.is_some_and(is_overdue) {
            self.ticked_at_ms = Some(now_ms);
            self.resumed_at_ms = Some(now_ms);
        }
    }

    /// Records that a presence message was received. After a suspension, the first ones may have
    /// waited in the socket.
    pub fn record_presence(&mut self, now_ms: u64) {
        self.check_suspension(now_ms);
        let is_current = |at_ms: u64| now_ms.saturating_sub(at_ms) >= BACKLOG_MS;
        if self.resumed_at_ms.is_some_and(is_current) {
            self.resumed_at_ms = None;
        }
    }

    /// Whether this process was suspended and has received no current notice since, so that it may
    /// have missed an evacuation.
    pub fn is_outdated(&mut self, now_ms: u64) -> bool {
        self.check_suspension(now_ms);
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < REFRESH_TIMEOUT_MS;
        self.resumed_at_ms.is_some_and(is_recent)
    }
}
