//! Pauses between tries that double and vary, so that processes do not return together.

use std::time::Duration;

use rand::Rng;
use tokio::time;

/// Pauses that double, with jitter.
#[allow(clippy::struct_field_names)] // Fields carry their unit.
#[derive(Debug)]
pub struct Backoff {
    min_ms: u64,
    max_ms: u64,
    next_ms: u64,
}

impl Backoff {
    /// Makes pauses from `min_ms` to `max_ms`.
    #[must_use]
    pub fn new(min_ms: u64, max_ms: u64) -> Self {
        Self {
            min_ms,
            max_ms,
            next_ms: min_ms,
        }
    }

    /// Starts again with the shortest pause.
    pub fn reset(&mut self) {
        self.next_ms = self.min_ms;
    }

    /// Waits for half a pause to a whole one.
    pub async fn wait(&mut self) {
        let pause_ms = rand::rng().random_range(self.next_ms / 2..=self.next_ms);
        time::sleep(Duration::from_millis(pause_ms)).await;
        self.next_ms = (self.next_ms * 2).min(self.max_ms);
    }
}
