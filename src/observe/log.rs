//! JSON line logging, and a rate limit for log lines that traffic can trigger.

use std::{io::Write, sync::Mutex};

use slog::{Drain, Level, Logger, o};

/// Capacity of the asynchronous log queue, in lines. While a slow reader keeps it full, new lines
/// are dropped and their number is logged.
const QUEUE_LEN: usize = 4_096;
/// Length of the window that a rate limit applies to.
const WINDOW_MS: u64 = 1_000;

/// Creates a logger that writes JSON lines to `output`, each with the name of the instance.
pub fn logger<W: Write + Send + 'static>(output: W, level: Level, name: &str) -> Logger {
    let json = slog_json::Json::new(output)
        .add_default_keys()
        .set_flush(true)
        .build();
    let drain = Mutex::new(json).fuse();
    let queue = slog_async::Async::new(drain).chan_size(QUEUE_LEN).build();
    let filtered = slog::LevelFilter::new(queue, level).fuse();
    Logger::root(filtered, o!("instance" => name.to_owned()))
}

/// Creates a logger that discards everything.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Limits the log lines per second and counts those that it suppresses.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    per_second: u32,
    remaining: u32,
    window_started_at_ms: u64,
    suppressed: u64,
}

impl RateLimit {
    /// Creates a limit of `per_second` lines.
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
            remaining: per_second,
            window_started_at_ms: 0,
            suppressed: 0,
        }
    }

    /// Returns the number of lines suppressed since the last permitted one, or `None` if the limit
    /// is reached and this line is to be suppressed too.
    pub fn permit(&mut self, now_ms: u64) -> Option<u64> {
        if now_ms.saturating_sub(self.window_started_at_ms) >= WINDOW_MS {
            self.remaining = self.per_second;
            self.window_started_at_ms = now_ms;
        }
        if self.remaining == 0 {
            self.suppressed += 1;
            return None;
        }
        self.remaining -= 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
