//! Whether a process listens at the address of the local target, as found out by connecting to it with
//! TCP.
//!
//! The load: after a loss of power of all machines, callers of long flows send requests on flows that no
//! target holds. An agent without a target that says so keeps no search for these flows incomplete.
//!
//! A refused connection proves that no process listens, so no flow is held at this time. A flow that is
//! held later was opened by a SYN that this agent has sent since, so a refusal counts for nothing once a
//! SYN was sent after the check started. An accepted connection or one that times out proves nothing: the
//! process lives and may hold flows. Only the agent itself may conclude this, because a machine without
//! power does not refuse connections.
//!
//! Targets that do not listen with TCP refuse every connection. A refusal therefore counts only if a
//! connection was accepted before, or if nothing at all shows that there is a target.

/// Time after which a connection attempt counts as timed out. Responses on one machine take less than
/// a millisecond.
pub const CHECK_TIMEOUT_MS: u64 = 200;
/// Interval between two checks of a target that has not been heard from since the start of the agent.
const START_INTERVAL_MS: u64 = 200;
/// Time after the first check for which a target that has not been heard from is checked. A running one
/// has sent a heartbeat by then.
const START_MS: u64 = 1_500;
/// Interval after the first check that a target that is not heard from has not refused. It doubles with
/// each further one, at most `MAX_STALLED_DOUBLINGS` times.
const STALLED_INTERVAL_MS: u64 = 1_000;
const MAX_STALLED_DOUBLINGS: u32 = 3;
/// Time after the start of a refused check for which searches rely on it.
const REFUSAL_TTL_MS: u64 = 300;
/// Time for which a packet must have gone unanswered before a search relies on refusals of a target
/// that has never accepted a connection. Even a busy target returns a packet within this time.
const UNANSWERED_MS: u64 = 120;
/// Margin for the first heartbeat of a running target, which is due one interval after the agent starts.
const HEARTBEAT_MARGIN_MS: u64 = 100;
/// Time between two ticks from which the agent counts as having been paused. Answers may then be unread.
const MAX_TICK_GAP_MS: u64 = UNANSWERED_MS / 2;
/// Time between the stop command and the second check. It leaves time for a presence message before the
/// exit after 1,000 ms.
const SECOND_EXIT_CHECK_MS: u64 = 750;
/// Maximum number of checks of a running incarnation of the target that has not accepted a connection
/// yet, and the interval between them. The first heartbeat may be sent before the target listens.
const MAX_LISTENING_CHECKS: u32 = 3;
const LISTENING_INTERVAL_MS: u64 = 1_000;

/// What a check is made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckUse {
    /// To find out whether there is a target, after the start of the agent.
    Start,
    /// To find out whether a running target listens, so that later refusals count.
    Listening,
    /// To find out whether the target has ended, before the exit of the agent.
    Exit,
}

impl CheckUse {
    /// Name in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Listening => "listening",
            Self::Exit => "exit",
        }
    }
}

/// Result of a connection attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckResult {
    /// No process listens.
    Refused,
    /// A process listens.
    Accepted,
    /// There was no answer in time; the target may be busy.
    TimedOut,
    /// The connection failed with another error, which tells nothing about the target.
    Failed,
}

impl CheckResult {
    /// Name in the log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Accepted => "accepted",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
        }
    }
}

/// A check that has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartedCheck {
    /// What the check is made for.
    pub used_for: CheckUse,
    /// Time at which it was started.
    pub started_at_ms: u64,
}

/// A check that has ended, as logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CheckOutcome {
    /// What the check was made for.
    pub used_for: CheckUse,
    /// Its result.
    pub result: CheckResult,
    /// Time since the check was started, in milliseconds.
    pub took_ms: u64,
    /// Whether it proves that the target holds no flow at this time.
    pub is_proof: bool,
}

/// Checks of the local target, and what follows from them.
///
/// ```
/// use bamboowind::forward::agent::target_check::{CheckResult, TargetChecks};
///
/// let mut checks = TargetChecks::default();
/// checks.leave(1_000);
/// let check = checks.next(false, 1_000).unwrap();
/// checks.record_result(check, CheckResult::Refused);
/// assert!(checks.is_gone());
/// ```
#[derive(Clone, Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // These are independent conditions.
pub struct TargetChecks {
    /// Time after the first check within which a running target sends a heartbeat.
    heartbeat_timeout_ms: u64,
    /// Time of the first check; `None` before it.
    first_at_ms: Option<u64>,
    /// The check that is in progress; `None` if there is none.
    in_progress: Option<StartedCheck>,
    /// The last check that has ended, with its result; `None` if there was none.
    last: Option<(StartedCheck, CheckResult)>,
    /// Whether the current incarnation of the target, or a process before its first heartbeat, has
    /// accepted a connection.
    is_listening_known: bool,
    /// Number of consecutive checks with [`CheckUse::Start`] that were accepted or timed out.
    stalled_checks: u32,
    /// Number of checks of the current incarnation with [`CheckUse::Listening`].
    listening_checks: u32,
    /// Whether a connection was refused before any sign of life since the start of the agent, so that
    /// the target holds no flow that an earlier process of the agent has opened.
    was_refused: bool,
    /// Time of the last heartbeat, or packet of a flow that the target holds; `None` before the first
    /// one.
    alive_at_ms: Option<u64>,
    /// Time of the last SYN sent to the target; `None` before the first one.
    syn_at_ms: Option<u64>,
    /// Time of the first packet with data sent to the target that has not been answered; `None` if there is
    /// none.
    unanswered_since_ms: Option<u64>,
    /// Time of the last tick; `None` before the first one.
    ticked_at_ms: Option<u64>,
    /// Time of the stop command; `None` before it.
    leaving_at_ms: Option<u64>,
    /// Number of checks with [`CheckUse::Exit`].
    exit_checks: u32,
    /// Whether the agent knows flows that the target may hold, although it was not heard: a target that
    /// does not listen refuses connections and may send only bare acknowledgements.
    knows_flows: bool,
    /// Whether the agent has announced that its target has ended.
    is_announced: bool,
}

impl TargetChecks {
    /// Creates the state before the first check of a target that sends heartbeats at this interval.
    #[must_use]
    pub fn new(heartbeat_interval_ms: u64) -> Self {
        Self {
            heartbeat_timeout_ms: heartbeat_interval_ms + HEARTBEAT_MARGIN_MS,
            ..Self::default()
        }
    }

    /// Starts the next check if one is due. `is_known` tells whether the target has sent a heartbeat or
    /// a packet of a flow.
    ///
    /// A target that is known to run is not checked, since that costs it a connection, except until it
    /// has accepted one.
    pub fn next(&mut self, is_known: bool, now_ms: u64) -> Option<StartedCheck> {
        let used_for = self.due(is_known, now_ms)?;
        match used_for {
            CheckUse::Exit => self.exit_checks += 1,
            CheckUse::Listening => self.listening_checks += 1,
            CheckUse::Start => {}
        }
        let check = StartedCheck {
            used_for,
            started_at_ms: now_ms,
        };
        self.first_at_ms.get_or_insert(now_ms);
        self.in_progress = Some(check);
        Some(check)
    }

    fn due(&self, is_known: bool, now_ms: u64) -> Option<CheckUse> {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        if let Some(leaving_at_ms) = self.leaving_at_ms {
            let is_due = match self.exit_checks {
                0 => true,
                1 => !self.is_gone() && age_ms(leaving_at_ms) >= SECOND_EXIT_CHECK_MS,
                _ => false,
            };
            return is_due.then_some(CheckUse::Exit);
        }
        if self.in_progress.is_some() {
            return None;
        }
        let is_rested = |interval_ms| {
            let started_at_ms = self.last.map(|(check, _)| check.started_at_ms);
            started_at_ms.is_none_or(|at_ms| age_ms(at_ms) >= interval_ms)
        };
        if !is_known && self.may_hold_flows() {
            let doublings = self.stalled_checks.saturating_sub(1);
            let interval_ms = STALLED_INTERVAL_MS << doublings.min(MAX_STALLED_DOUBLINGS);
            return is_rested(interval_ms).then_some(CheckUse::Start);
        }
        if self.alive_at_ms.is_none() && age_ms(self.first_at_ms.unwrap_or(now_ms)) < START_MS {
            return is_rested(START_INTERVAL_MS).then_some(CheckUse::Start);
        }
        let is_due = self.alive_at_ms.is_some()
            && !self.is_listening_known
            && match self.listening_checks {
                0 => true,
                checks => checks < MAX_LISTENING_CHECKS && is_rested(LISTENING_INTERVAL_MS),
            };
        is_due.then_some(CheckUse::Listening)
    }

    /// Records the result of a check. One that was replaced by a later check is ignored.
    pub fn record_result(&mut self, check: StartedCheck, result: CheckResult) {
        if self.in_progress != Some(check) {
            return;
        }
        self.in_progress = None;
        self.last = Some((check, result));
        self.is_listening_known |= result == CheckResult::Accepted;
        if check.used_for == CheckUse::Start {
            let is_stalled = matches!(result, CheckResult::Accepted | CheckResult::TimedOut);
            self.stalled_checks = if is_stalled {
                self.stalled_checks + 1
            } else {
                0
            };
        }
        self.was_refused |= result == CheckResult::Refused && self.alive_at_ms.is_none();
        self.is_announced |= self.is_gone();
    }

    /// Records a heartbeat or a packet of a flow that the target holds.
    pub fn record_alive(&mut self, now_ms: u64) {
        self.alive_at_ms = Some(now_ms);
    }

    /// Records any packet of the target, including a returned one and a reset of a flow that it does
    /// not hold. Such packets may also come from the address of a target that has ended.
    pub fn record_answer(&mut self) {
        self.unanswered_since_ms = None;
    }

    /// Records that a new incarnation of the target has started, which may not listen.
    pub fn record_restart(&mut self) {
        self.is_listening_known = false;
        // An accepted connection may have been one of the previous incarnation.
        self.in_progress = None;
        self.listening_checks = 0;
    }

    /// Records that a SYN was sent to the target.
    pub fn record_syn(&mut self, now_ms: u64) {
        self.syn_at_ms = Some(now_ms);
    }

    /// Records that data of an unknown flow was sent to the target, which even a target that does not
    /// hold the flow answers.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
    }

    /// Records that the agent runs. After a pause, packets count as unanswered anew.
    pub fn record_tick(&mut self, now_ms: u64) {
        if self.is_paused(now_ms)
            && let Some(since_ms) = &mut self.unanswered_since_ms
        {
            *since_ms = now_ms;
        }
        self.ticked_at_ms = Some(now_ms);
    }

    /// Whether the agent has not run lately, so that answers may be unread.
    fn is_paused(&self, now_ms: u64) -> bool {
        let ticked_at_ms = self.ticked_at_ms;
        ticked_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) > MAX_TICK_GAP_MS)
    }

    /// Records whether the agent knows flows that the target may hold.
    pub fn record_flows(&mut self, knows_flows: bool) {
        self.knows_flows = knows_flows;
    }

    /// Whether the agent is about to exit.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_at_ms.is_some()
    }

    /// Records that the agent is about to exit.
    pub fn leave(&mut self, now_ms: u64) {
        self.leaving_at_ms.get_or_insert(now_ms);
    }

    /// Start time of the last check if it was refused and nothing has happened since that may have
    /// changed its result.
    fn refused_at_ms(&self) -> Option<u64> {
        let (check, result) = self.last?;
        let is_before = |at_ms: Option<u64>| at_ms.is_none_or(|at_ms| at_ms < check.started_at_ms);
        let is_unchanged = is_before(self.alive_at_ms) && is_before(self.syn_at_ms);
        (result == CheckResult::Refused && is_unchanged).then_some(check.started_at_ms)
    }

    /// Whether the agent is leaving and its target has ended. No time limit is needed, because the agent
    /// sends the target no SYN from then on.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        let is_exit = |(check, _): &(StartedCheck, _)| check.used_for == CheckUse::Exit;
        // A target that does not listen may not have sent its first heartbeat yet.
        let is_heartbeat_overdue =
            self.last
                .zip(self.first_at_ms)
                .is_some_and(|((check, _), at_ms)| {
                    check.started_at_ms.saturating_sub(at_ms) >= self.heartbeat_timeout_ms
                });
        let shows_no_target =
            self.alive_at_ms.is_none() && !self.knows_flows && is_heartbeat_overdue;
        let counts = self.is_listening_known || shows_no_target;
        self.last.as_ref().is_some_and(is_exit) && counts && self.refused_at_ms().is_some()
    }

    /// Whether the target may be sent SYNs. It may not once the agent has announced that the target has
    /// ended, also if another one starts.
    #[must_use]
    pub fn permits_syns(&self) -> bool {
        !self.is_announced
    }

    /// Whether a recent check was refused.
    fn is_recently_refused(&self, now_ms: u64) -> bool {
        let refused_at_ms = self.refused_at_ms();
        refused_at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REFUSAL_TTL_MS)
    }

    /// Whether no process listens at the address of the target at this time.
    #[must_use]
    pub fn shows_no_process(&self, now_ms: u64) -> bool {
        let is_unanswered = self
            .unanswered_since_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) >= UNANSWERED_MS);
        let counts = self.is_listening_known || is_unanswered && !self.is_paused(now_ms);
        counts && self.is_recently_refused(now_ms)
    }

    /// Time for which a packet must go unanswered before a search concludes from it that there is no
    /// target; `None` if nothing is concluded from it.
    #[must_use]
    pub fn unanswered_timeout_ms(&self, now_ms: u64) -> Option<u64> {
        self.is_recently_refused(now_ms).then_some(UNANSWERED_MS)
    }

    /// Whether a process listens, or may, that can hold flows from before the start of the agent.
    #[must_use]
    pub fn may_hold_flows(&self) -> bool {
        let result = self.last.map(|(_, result)| result);
        let may_listen = matches!(result, Some(CheckResult::Accepted | CheckResult::TimedOut));
        may_listen && !self.was_refused
    }

    /// Whether the last check counts as proof that the target holds no flow.
    #[must_use]
    pub fn is_proof(&self, now_ms: u64) -> bool {
        self.is_gone() || self.shows_no_process(now_ms)
    }
}
