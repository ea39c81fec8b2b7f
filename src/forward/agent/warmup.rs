//! Limits the SYNs that a cold target is sent.
//!
//! Load: targets that were added, restarted or returned from an evacuation have free slots, so every
//! sender that places flows by load prefers them at the same moment, while they serve only a part of
//! their usual rate. The agent is the only process that sees all SYNs of its target. It admits them at
//! the rate that the cold target sustains, and in any second at most up to a limit.

use std::collections::VecDeque;

use crate::flow::routes::WarmUp;

/// Time for which an admitted SYN counts. It exceeds the second that the limit refers to by a margin,
/// because an agent that is paused between the decision and the sending delays the SYN.
const WINDOW_MS: u64 = 1_050;
/// Maximum number of admitted SYNs that are remembered; larger limits are reduced to it.
const MAX_ADMITTED: u32 = 4_096;
/// One SYN in the units of the token bucket. The product of a time in milliseconds and a rate in
/// SYNs per thousand seconds is a number of these units.
const TOKENS_PER_SYN: u64 = 1_000_000;

/// How far the SYNs of a second may exceed the sustainable rate of a cold target; from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBounds {
    /// Permitted SYNs per second relative to the sustainable rate, in thousandths.
    pub over_permille: u64,
    /// Number of SYNs that are permitted in addition, in thousandths.
    pub slack_milli: u64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            over_permille: 1_000,
            slack_milli: 0,
        }
    }
}

/// The limits of a target that is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdTarget {
    /// Remaining time for which the target is cold, in milliseconds; `None` if it is not known yet.
    pub left_ms: Option<u64>,
    /// Requests that the target sustains, per thousand seconds.
    pub rate_per_1000_s: u64,
    /// Maximum number of SYNs in any second.
    pub limit: u32,
}

impl ColdTarget {
    /// Derives the limits from the figures of the service and the bounds of the settings. `None` if
    /// the service has no rate or the target is warm.
    ///
    /// `heartbeat_left_ms` is the remaining time according to the target; `None` before its first
    /// heartbeat, when it may be cold. `returned_at_ms` is the time at which the failure domain of
    /// the target was returned to service; `None` if it was not.
    ///
    /// ```
    /// use bamboowind::{
    ///     flow::routes::WarmUp,
    ///     forward::agent::warmup::{ColdBounds, ColdTarget},
    /// };
    ///
    /// let warm_up = WarmUp::new("catalogo", 4_000, 12_500);
    /// let bounds = ColdBounds { over_permille: 1_200, slack_milli: 2_000 };
    /// let cold = ColdTarget::new(&warm_up, bounds, Some(300), None, 9_000).unwrap();
    /// assert_eq!((cold.limit, cold.left_ms), (17, Some(300)));
    /// assert_eq!(ColdTarget::new(&warm_up, bounds, Some(0), Some(1_000), 9_000), None);
    /// ```
    #[must_use]
    pub fn new(
        warm_up: &WarmUp,
        bounds: ColdBounds,
        heartbeat_left_ms: Option<u64>,
        returned_at_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Self> {
        let rate = warm_up.rate_per_1000_s;
        let returned_left_ms = returned_left_ms(warm_up, returned_at_ms, now_ms);
        let left_ms = heartbeat_left_ms.map(|left_ms| left_ms.max(returned_left_ms));
        if rate == 0 || left_ms == Some(0) {
            return None;
        }
        let limit_milli =
            (rate.saturating_mul(bounds.over_permille) / 1_000).saturating_add(bounds.slack_milli);
        let limit = u32::try_from(limit_milli / 1_000).unwrap_or(MAX_ADMITTED);
        Some(Self {
            left_ms,
            rate_per_1000_s: rate,
            limit: limit.min(MAX_ADMITTED),
        })
    }

    /// Tokens of a target that has been sent no SYN for some time: what the limit leaves in a second
    /// besides the sustainable rate, and at least one SYN.
    fn max_tokens(&self) -> u64 {
        let limit_tokens = u64::from(self.limit) * TOKENS_PER_SYN;
        let burst_tokens = limit_tokens.saturating_sub(self.rate_per_1000_s.saturating_mul(1_000));
        burst_tokens.max(TOKENS_PER_SYN)
    }
}

/// Remaining time for which a target is cold after its failure domain was returned to service, in
/// milliseconds.
#[must_use]
pub fn returned_left_ms(warm_up: &WarmUp, returned_at_ms: Option<u64>, now_ms: u64) -> u64 {
    returned_at_ms.map_or(0, |at_ms| {
        warm_up
            .warmup_ms
            .saturating_sub(now_ms.saturating_sub(at_ms))
    })
}

/// State of the limit when a SYN was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdWindow {
    /// Number of SYNs admitted in the last second. While the admissions of an earlier agent process
    /// are not known, this is the limit.
    pub admitted: u32,
    /// Maximum number of SYNs in any second.
    pub limit: u32,
    /// Remaining time for which the target is cold, in milliseconds; `None` if it is not known yet.
    pub left_ms: Option<u64>,
}

/// SYNs that the target was sent lately.
#[derive(Clone, Debug)]
pub struct SynWindow {
    /// Times of the SYNs admitted within `WINDOW_MS`, oldest first, at most `MAX_ADMITTED`.
    admitted_at_ms: VecDeque<u64>,
    /// Tokens at `refilled_at_ms`, which may exceed the maximum of a cold target.
    tokens: u64,
    refilled_at_ms: u64,
    /// Time before which an earlier agent process may have admitted as many SYNs as the limit
    /// permits.
    unknown_until_ms: u64,
}

impl SynWindow {
    /// Creates the window of an agent that starts at `now_ms` and does not know what an earlier
    /// process has admitted.
    ///
    /// ```
    /// use bamboowind::forward::agent::warmup::{ColdTarget, SynWindow};
    ///
    /// let cold = ColdTarget { left_ms: Some(4_000), rate_per_1000_s: 10_000, limit: 12 };
    /// let mut window = SynWindow::new(0);
    /// assert_eq!(window.allowance(cold, 900), 0);
    /// assert_eq!(window.allowance(cold, 1_100), 2);
    /// window.record(Some(cold), 1_100);
    /// window.record(Some(cold), 1_100);
    /// assert_eq!(window.wait_ms(cold, 1, 1_100), 100);
    /// ```
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            admitted_at_ms: VecDeque::new(),
            tokens: u64::MAX,
            refilled_at_ms: now_ms,
            unknown_until_ms: now_ms.saturating_add(WINDOW_MS),
        }
    }

    /// Records a SYN that is sent to the target. `cold` holds the limits of a cold target.
    pub fn record(&mut self, cold: Option<ColdTarget>, now_ms: u64) {
        while let Some(at_ms) = self.admitted_at_ms.front()
            && !is_recent(*at_ms, now_ms)
        {
            self.admitted_at_ms.pop_front();
        }
        if self.admitted_at_ms.len() >= MAX_ADMITTED as usize {
            self.admitted_at_ms.pop_front();
        }
        self.admitted_at_ms.push_back(now_ms);
        self.tokens = cold.map_or(u64::MAX, |cold| {
            self.tokens(cold, now_ms).saturating_sub(TOKENS_PER_SYN)
        });
        self.refilled_at_ms = now_ms;
    }

    /// Number of SYNs that a cold target may be sent now.
    #[must_use]
    pub fn allowance(&self, cold: ColdTarget, now_ms: u64) -> u32 {
        let left = cold.limit.saturating_sub(self.admitted(cold, now_ms));
        let paced = self.tokens(cold, now_ms) / TOKENS_PER_SYN;
        left.min(u32::try_from(paced).unwrap_or(u32::MAX))
    }

    /// State of the limit of a cold target.
    #[must_use]
    pub fn state(&self, cold: ColdTarget, now_ms: u64) -> ColdWindow {
        ColdWindow {
            admitted: self.admitted(cold, now_ms),
            limit: cold.limit,
            left_ms: cold.left_ms,
        }
    }

    /// Time until a cold target may be sent `syns` more SYNs, in milliseconds; `u64::MAX` if it may
    /// be sent none while it is cold and it is not known for how long it is.
    #[must_use]
    pub fn wait_ms(&self, cold: ColdTarget, syns: u32, now_ms: u64) -> u64 {
        let cold_ms = cold.left_ms.unwrap_or(u64::MAX);
        if cold.limit == 0 {
            return cold_ms;
        }
        let limit_rate = u64::from(cold.limit) * 1_000;
        let rate = cold.rate_per_1000_s.min(limit_rate).max(1);
        let missing = (u64::from(syns) * TOKENS_PER_SYN).saturating_sub(self.tokens(cold, now_ms));
        let paced_ms = missing.div_ceil(rate);
        let unknown_ms = self.unknown_until_ms.saturating_sub(now_ms);
        paced_ms
            .max(unknown_ms)
            .max(self.window_wait_ms(cold, syns, now_ms))
            .min(cold_ms)
    }

    /// Time until so many of the recorded SYNs no longer count that `syns` more fit the limit, in
    /// milliseconds.
    fn window_wait_ms(&self, cold: ColdTarget, syns: u32, now_ms: u64) -> u64 {
        let recent = self.admitted_at_ms.iter();
        let mut recent = recent.filter(|at_ms| is_recent(**at_ms, now_ms));
        let len = recent.clone().count() as u64 + u64::from(syns);
        let Some(excess) = len.checked_sub(u64::from(cold.limit) + 1) else {
            return 0;
        };
        let last = recent.clone().next_back();
        let expires = usize::try_from(excess)
            .ok()
            .and_then(|index| recent.nth(index));
        expires
            .or(last)
            .map_or(0, |at_ms| (at_ms + WINDOW_MS + 1).saturating_sub(now_ms))
    }

    /// Number of SYNs that count against the limit.
    fn admitted(&self, cold: ColdTarget, now_ms: u64) -> u32 {
        if now_ms < self.unknown_until_ms {
            return cold.limit;
        }
        let recent = self.admitted_at_ms.iter().rev();
        let recent = recent.take_while(|at_ms| is_recent(**at_ms, now_ms));
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }

    /// Tokens available now.
    fn tokens(&self, cold: ColdTarget, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let refill = elapsed_ms.saturating_mul(cold.rate_per_1000_s);
        self.tokens.saturating_add(refill).min(cold.max_tokens())
    }
}

/// Whether a SYN that was admitted at `at_ms` still counts.
fn is_recent(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) <= WINDOW_MS
}
