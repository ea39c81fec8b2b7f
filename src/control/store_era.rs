//! The newest era of the store that a process knows of.

use std::sync::Arc;

use tokio::sync::watch;

use super::store::StoreEra;

/// Shared handle to the newest known era, with change notification.
#[derive(Clone, Debug)]
pub struct SharedStoreEra {
    sender: Arc<watch::Sender<StoreEra>>,
}

impl Default for SharedStoreEra {
    fn default() -> Self {
        Self::new()
    }
}

impl SharedStoreEra {
    /// Starts with era 0, before the first response of the store.
    ///
    /// ```
    /// use bamboowind::control::{store::StoreEra, store_era::SharedStoreEra};
    ///
    /// let era = SharedStoreEra::new();
    /// assert_eq!(era.advance(StoreEra(3)), None);
    /// assert_eq!(era.advance(StoreEra(4)), Some(StoreEra(3)));
    /// assert_eq!(era.advance(StoreEra(3)), None);
    /// assert_eq!(era.current(), StoreEra(4));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            sender: Arc::new(watch::channel(StoreEra::default()).0),
        }
    }

    /// Records an era. Returns the previous one if the store has been restored since, and `None` if
    /// `era` is the first known one or not a newer one.
    #[allow(clippy::must_use_candidate)] // The result is optional.
    pub fn advance(&self, era: StoreEra) -> Option<StoreEra> {
        let mut previous = None;
        self.sender.send_if_modified(|current| {
            let is_newer = era > *current;
            if is_newer {
                previous = Some(std::mem::replace(current, era));
            }
            is_newer
        });
        previous.filter(|previous| *previous != StoreEra::default())
    }

    /// The newest known era.
    #[must_use]
    pub fn current(&self) -> StoreEra {
        *self.sender.borrow()
    }

    /// Returns a receiver that is notified of each newer era.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<StoreEra> {
        self.sender.subscribe()
    }
}
