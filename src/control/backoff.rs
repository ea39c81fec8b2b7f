//! Exponential backoff with jitter for retries.

use std::time::Duration;

use rand::Rng;
use tokio::time;

/// Retry delays that double up to a maximum. Jitter keeps processes that failed together from
/// retrying at the same time.
#[allow(clippy::struct_field_names)] // The shared suffix is the unit.
#[derive(Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `min_ms` to `max_ms` milliseconds.
    #[must_use]
    pub fn new(min_ms: u64, max_ms: u64) -> Self {
        Self {
            min_ms,
            max_ms,
            next_ms: min_ms,
        }
    }

    /// Resets the next delay to the minimum.
    pub fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }

    /// Sleeps for a random time between half of the current delay and all of it, then doubles the
    /// delay.
    pub async fn wait(&mut self) {
        let delay_ms = rand::rng().random_range(self.next_ms / 2..=self.next_ms);
        time::sleep(Duration::from_millis(delay_ms)).await;
        self.next_ms = (self.next_ms * 2).min(self.max_ms);
    }
}
