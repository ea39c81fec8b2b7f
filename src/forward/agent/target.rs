//! State of the local target, as inferred by its agent from heartbeats and packets.

use std::sync::Arc;

use super::target_check::{StartedCheck, TargetChecks};
use crate::membership::instance::TargetState;

/// Number of heartbeat intervals without a heartbeat after which a target counts as unresponsive. A
/// single heartbeat may be lost.
const UNRESPONSIVE_AFTER_INTERVALS: u64 = 3;
/// Number of heartbeat intervals after startup of the agent within which a running target sends a
/// heartbeat.
const STARTUP_INTERVALS: u64 = 2;
/// Time within which even a busy target replies to a SYN, with a margin for a paused machine.
const SYN_RESPONSE_MS: u64 = 120;
/// Number of unanswered SYNs from which a target may count as unresponsive.
const UNRESPONSIVE_AFTER_SYNS: u32 = 2;
/// Interval between two SYNs that probe an unresponsive target.
const RETRY_INTERVAL_MS: u64 = 500;
/// Maximum number of previous target incarnations remembered, to recognize their delayed
/// heartbeats.
const MAX_PREVIOUS_INCARNATIONS: usize = 8;

/// A heartbeat of the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Identifier of the target incarnation.
    pub id: Arc<str>,
    /// Startup time of the target in Unix milliseconds, by its own clock.
    pub started_at_unix_ms: u64,
    /// Sequence number, increasing with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Service of the target.
    pub service: Arc<str>,
    /// Whether the target accepts no new flows because it is shutting down.
    pub is_draining: bool,
    /// Number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Remaining time for which the target is slow after startup, in milliseconds.
    pub cold_left_ms: u64,
}

/// Effect of a heartbeat on the state of the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// Nothing changed that other instances must learn at once.
    Refreshed,
    /// The state or the service changed.
    StateChanged,
    /// The heartbeat is the first of a new target incarnation, which holds none of the flows of the
    /// previous one.
    Restarted,
    /// The heartbeat was delayed and has been ignored.
    Stale,
}

/// A target process from startup to exit.
#[derive(Clone, Debug)]
struct Incarnation {
    id: Arc<str>,
    started_at_unix_ms: u64,
}

/// The local target of an agent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Interval between two heartbeats, from the settings.
    heartbeat_interval_ms: u64,
    /// The last heartbeat that was not stale; `None` before the first one.
    last_heartbeat: Option<Heartbeat>,
    /// Arrival time of `last_heartbeat`; 0 before the first one.
    heartbeat_at_ms: u64,
    /// Whether the current incarnation has announced its exit.
    is_exiting: bool,
    /// Previous incarnations, oldest first.
    previous_incarnations: Vec<Incarnation>,
    /// Time of the first SYN since the target last sent a packet or a heartbeat; `None` if there
    /// was none.
    unanswered_since_ms: Option<u64>,
    /// Number of SYNs since the target last sent a packet or a heartbeat.
    unanswered_syns: u32,
    /// Time of the last SYN sent to the target; 0 before the first one.
    syn_at_ms: u64,
    /// Service from the settings, used until the first heartbeat; `None` if they name none.
    expected_service: Option<Arc<str>>,
    /// Startup time of the agent; 0 without an expected service.
    started_at_ms: u64,
    /// Time of the target's last packet of a flow that it holds; `None` before the first one.
    last_packet_at_ms: Option<u64>,
    /// Whether the target was draining before the agent started, according to other instances.
    was_draining: bool,
    /// Checks whether a process listens at the target's address.
    pub checks: TargetChecks,
}

impl Target {
    /// Creates the state of a target that has not been heard from yet.
    ///
    /// ```
    /// use bamboowind::{forward::agent::target::Target, membership::instance::TargetState};
    ///
    /// assert_eq!(Target::new(1_000).state(0), TargetState::Unknown);
    /// ```
    #[must_use]
    pub fn new(heartbeat_interval_ms: u64) -> Self {
        Self {
            heartbeat_interval_ms,
            last_heartbeat: None,
            heartbeat_at_ms: 0,
            is_exiting: false,
            previous_incarnations: Vec::new(),
            unanswered_since_ms: None,
            unanswered_syns: 0,
            syn_at_ms: 0,
            expected_service: None,
            started_at_ms: 0,
            last_packet_at_ms: None,
            was_draining: false,
            checks: TargetChecks::new(heartbeat_interval_ms),
        }
    }

    /// Sets the service that the target is expected to belong to, and the startup time of the
    /// agent. If the target is already sending packets when the agent starts, it counts as ready
    /// until its next heartbeat is due.
    #[must_use]
    pub fn with_expected_service(mut self, service: Arc<str>, now_ms: u64) -> Self {
        self.expected_service = Some(service);
        self.started_at_ms = now_ms;
        self
    }

    /// Service of the target; `None` if it is unknown.
    #[must_use]
    pub fn service(&self) -> Option<&Arc<str>> {
        match &self.last_heartbeat {
            Some(heartbeat) => Some(&heartbeat.service),
            None => self.expected_service.as_ref(),
        }
    }

    /// Whether the target counts as ready before its first heartbeat to this agent, because it
    /// sends packets.
    fn is_presumed_ready(&self, now_ms: u64) -> bool {
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        self.last_heartbeat.is_none()
            && self.expected_service.is_some()
            && !self.was_draining
            && self.last_packet_at_ms.is_some()
            && uptime_ms < STARTUP_INTERVALS * self.heartbeat_interval_ms
    }

    /// Whether packets cannot be sent to the target: it has exited, no process listens at its
    /// address, or none has been heard from since the agent started.
    #[must_use]
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        self.has_exited()
            || self.checks.shows_no_process(now_ms)
            || self.last_heartbeat.is_none() && self.is_absent(now_ms)
    }

    /// Whether the target has announced its exit or was found to have ended when the agent was
    /// stopped, so that it holds no flows any more.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        self.is_exiting || self.checks.is_gone()
    }

    /// Whether the target has sent a heartbeat or a packet of a flow since the agent started.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.last_heartbeat.is_some() || self.last_packet_at_ms.is_some()
    }

    /// Whether a target that has not been heard from may hold flows from before the start of the
    /// agent, because its process is running.
    #[must_use]
    pub fn may_hold_earlier_flows(&self) -> bool {
        !self.is_known() && self.checks.may_hold_flows()
    }

    /// Starts a check whether the target's process is running, if one is due.
    pub fn next_check(&mut self, now_ms: u64) -> Option<StartedCheck> {
        if self.is_exiting {
            return None;
        }
        self.checks.next(self.is_known(), now_ms)
    }

    /// Whether no target seems to be running. A running one would have sent a heartbeat by now, or
    /// its process is known to be suspended. Packets that it does not return prove nothing: it may
    /// hold their flows and be busy.
    fn is_absent(&self, now_ms: u64) -> bool {
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        let is_overdue = uptime_ms > STARTUP_INTERVALS * self.heartbeat_interval_ms;
        self.last_packet_at_ms.is_none() && is_overdue && !self.may_hold_earlier_flows()
    }

    /// The last heartbeat that was not stale; `None` before the first one.
    #[must_use]
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.last_heartbeat.as_ref()
    }

    /// Remaining time for which the target is slow after startup, in milliseconds; 0 if it is not
    /// slow.
    #[must_use]
    pub fn cold_left_ms(&self, now_ms: u64) -> u64 {
        let left = self
            .last_heartbeat
            .as_ref()
            .map_or(0, |heartbeat| heartbeat.cold_left_ms);
        left.saturating_sub(now_ms.saturating_sub(self.heartbeat_at_ms))
    }

    /// Applies a heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) -> HeartbeatOutcome {
        let is_previous = |incarnation: &Incarnation| {
            incarnation.id == heartbeat.id
                && incarnation.started_at_unix_ms == heartbeat.started_at_unix_ms
        };
        if self.previous_incarnations.iter().any(is_previous) {
            return HeartbeatOutcome::Stale;
        }
        let outcome = match &self.last_heartbeat {
            None => HeartbeatOutcome::StateChanged,
            Some(current)
                if current.id == heartbeat.id
                    && current.started_at_unix_ms == heartbeat.started_at_unix_ms =>
            {
                if heartbeat.sequence <= current.sequence {
                    return HeartbeatOutcome::Stale;
                }
                let is_same = current.is_draining == heartbeat.is_draining
                    && current.service == heartbeat.service
                    && !self.is_exiting;
                if is_same {
                    HeartbeatOutcome::Refreshed
                } else {
                    HeartbeatOutcome::StateChanged
                }
            }
            Some(current) => {
                let silent_ms = now_ms.saturating_sub(self.heartbeat_at_ms);
                let is_silent = silent_ms > 2 * self.heartbeat_interval_ms;
                if heartbeat.started_at_unix_ms < current.started_at_unix_ms && !is_silent {
                    return HeartbeatOutcome::Stale;
                }
                let incarnation = Incarnation {
                    id: Arc::clone(&current.id),
                    started_at_unix_ms: current.started_at_unix_ms,
                };
                if self.previous_incarnations.len() == MAX_PREVIOUS_INCARNATIONS {
                    self.previous_incarnations.remove(0);
                }
                self.previous_incarnations.push(incarnation);
                self.checks.record_restart();
                HeartbeatOutcome::Restarted
            }
        };
        self.last_heartbeat = Some(heartbeat);
        self.heartbeat_at_ms = now_ms;
        self.is_exiting = false;
        self.record_activity();
        self.checks.record_alive(now_ms);
        outcome
    }

    /// Records that the target incarnation `id` is exiting. Returns whether it is the current one.
    pub fn apply_exit(&mut self, id: &str) -> bool {
        let is_current = self
            .last_heartbeat
            .as_ref()
            .is_some_and(|heartbeat| *heartbeat.id == *id);
        self.is_exiting |= is_current;
        is_current
    }

    /// Records that the target was draining before the agent started. It is not taken for ready
    /// before a heartbeat says so.
    pub fn record_draining(&mut self) {
        self.was_draining = true;
    }

    /// Records that a SYN was sent to the target.
    pub fn record_syn(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
        self.unanswered_syns += 1;
        self.syn_at_ms = now_ms;
        self.checks.record_syn(now_ms);
    }

    /// Records that the target has sent a packet of a flow that it holds.
    pub fn record_packet(&mut self, now_ms: u64) {
        self.last_packet_at_ms = Some(now_ms);
        self.checks.record_alive(now_ms);
    }

    /// Records that the target has sent a heartbeat or any packet, including a returned one.
    pub fn record_activity(&mut self) {
        self.unanswered_since_ms = None;
        self.unanswered_syns = 0;
        self.checks.record_answer();
    }

    /// Whether the target has left SYNs unanswered for too long.
    fn is_unresponsive(&self, now_ms: u64) -> bool {
        self.unanswered_syns >= UNRESPONSIVE_AFTER_SYNS
            && self
                .unanswered_since_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) > SYN_RESPONSE_MS)
    }

    /// Current state of the target towards new flows.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> TargetState {
        if self.checks.is_gone() {
            return TargetState::Absent;
        }
        let Some(heartbeat) = &self.last_heartbeat else {
            return if self.is_presumed_ready(now_ms) && !self.is_unresponsive(now_ms) {
                TargetState::Ready
            } else if self.is_absent(now_ms) {
                TargetState::Absent
            } else {
                TargetState::Unknown
            };
        };
        let silent_ms = now_ms.saturating_sub(self.heartbeat_at_ms);
        if self.is_exiting || heartbeat.is_draining {
            TargetState::Draining
        } else if silent_ms > UNRESPONSIVE_AFTER_INTERVALS * self.heartbeat_interval_ms
            || self.is_unresponsive(now_ms)
        {
            TargetState::Unresponsive
        } else {
            TargetState::Ready
        }
    }

    /// Whether a SYN may be sent to the target now. An unresponsive target is sent one SYN per
    /// `RETRY_INTERVAL_MS`.
    #[must_use]
    pub fn accepts_syn(&self, now_ms: u64) -> bool {
        if !self.checks.permits_syns() {
            return false;
        }
        match self.state(now_ms) {
            TargetState::Ready => true,
            TargetState::Unresponsive => {
                !self.is_exiting && now_ms.saturating_sub(self.syn_at_ms) >= RETRY_INTERVAL_MS
            }
            TargetState::Unknown | TargetState::Draining | TargetState::Absent => false,
        }
    }
}
