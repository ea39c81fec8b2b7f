//! Set of failure domains that the operator has evacuated, as read from the store at one revision.

use std::sync::Arc;

use super::instance::MAX_NAME_LEN;
use crate::control::store::{Revision, StoreEra};

/// Maximum total length of the names in a set, in bytes, so that a presence message with it fits
/// into a datagram.
const MAX_NAMES_LEN: usize = 1_000;

/// Version of an evacuation set: revisions are comparable only within one era of the store.
///
/// ```
/// use bamboowind::control::store::{Revision, StoreEra};
/// use bamboowind::membership::evacuation_set::EvacuationVersion;
///
/// let lost = EvacuationVersion::new(StoreEra(1), Revision(90));
/// assert!(EvacuationVersion::new(StoreEra(2), Revision(40)) > lost);
/// assert!(!EvacuationVersion::default().is_known());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EvacuationVersion {
    /// Era of the store in which the set was read.
    pub era: StoreEra,
    /// Revision of the store up to which changes are included; 0 if nothing has been read.
    pub revision: Revision,
}

impl Default for EvacuationVersion {
    fn default() -> Self {
        Self::new(StoreEra::default(), Revision::ABSENT)
    }
}

impl EvacuationVersion {
    /// Creates the version of a set that includes all changes up to `revision`.
    #[must_use]
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Whether a set has been read from the store at all.
    #[must_use]
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

/// Evacuated failure domains and the version at which they were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EvacuationSet {
    /// Names of the failure domains, sorted and without duplicates.
    names: Vec<Arc<str>>,
    /// Version of the set.
    pub version: EvacuationVersion,
}

impl EvacuationSet {
    /// Creates a set from names in any order.
    ///
    /// ```
    /// use bamboowind::membership::evacuation_set::{EvacuationSet, EvacuationVersion};
    ///
    /// let names = vec!["b".into(), "a".into(), "b".into()];
    /// let set = EvacuationSet::new(names, EvacuationVersion::default());
    /// assert!(set.contains("b") && !set.contains("c"));
    /// assert_eq!(set.names().len(), 2);
    /// ```
    #[must_use]
    pub fn new(mut names: Vec<Arc<str>>, version: EvacuationVersion) -> Self {
        names.sort_unstable();
        names.dedup();
        Self { names, version }
    }

    /// Names of the failure domains, sorted.
    #[must_use]
    pub fn names(&self) -> &[Arc<str>] {
        &self.names
    }

    /// Whether the set contains a failure domain.
    #[must_use]
    pub fn contains(&self, failure_domain: &str) -> bool {
        contains(&self.names, failure_domain)
    }
}

/// Whether sorted names contain `name`.
#[must_use]
pub fn contains(names: &[Arc<str>], name: &str) -> bool {
    names.binary_search_by(|other| (**other).cmp(name)).is_ok()
}

/// Whether a failure domain of this name can exist and a set has room for it beside `others`.
#[must_use]
pub fn has_room(others: &[Arc<str>], name: &str) -> bool {
    let len: usize = others.iter().map(|other| other.len()).sum();
    name.len() <= MAX_NAME_LEN && len + name.len() <= MAX_NAMES_LEN
}
