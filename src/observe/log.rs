//! Logs as JSON lines, and the limit on events that a flood could repeat.

use std::{io::Write, sync::Mutex};

use slog::{Drain, Level, Logger, o};

/// Lines that wait for a slow reader before new ones are dropped and counted.
const QUEUE_LEN: usize = 4_096;
const REFILL_MS: u64 = 1_000;

/// Makes a logger that writes JSON lines to `output`.
pub fn logger<W: Write + Send + 'static>(output: W, level: Level, name: &str) -> Logger {
    let json = slog_json::Json::new(output)
        .add_default_keys()
        .set_flush(true)
        .build();
    let lines = Mutex::new(json).fuse();
    let queue = slog_async::Async::new(lines).chan_size(QUEUE_LEN).build();
    let filtered = slog::LevelFilter::new(queue, level).fuse();
    Logger::root(filtered, o!("instance" => name.to_owned()))
}

/// A logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Lets a limited number of lines a second through and counts the rest.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: u32,
    left: u32,
    refilled_at_ms: u64,
    suppressed: u64,
}

impl RateLimit {
    /// Makes a limit of `per_second` lines.
    ///
    /// ```
    /// use bamboowind::observe::log::RateLimit;
    ///
    /// let mut limit = RateLimit::new(1);
    /// assert_eq!(limit.permit(0), Some(0));
    /// assert_eq!(limit.permit(10), None);
    /// assert_eq!(limit.permit(1_000), Some(1));
    /// ```
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second,
            left: per_second,
            refilled_at_ms: 0,
            suppressed: 0,
        }
    }

    /// Returns how many lines were left out before this one, or `None` to leave it out too.
    pub fn permit(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms.saturating_sub(self.refilled_at_ms) >= REFILL_MS {
            self.left = self.per_second;
            self.refilled_at_ms = now_ms;
        }
        if self.left == 0 {
            self.suppressed += 1;
            return None;
        }
        self.left -= 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
