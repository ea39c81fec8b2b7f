//! What an agent believes of the target beside it.

use std::sync::Arc;

use crate::membership::instance::TargetState;

/// Heartbeat intervals after which a silent target counts as gone; one may be lost on the way.
const UNRESPONSIVE_AFTER_INTERVALS: u64 = 3;
/// Heartbeat intervals in which a live target is heard by an agent that has restarted.
const STARTUP_INTERVALS: u64 = 2;
/// Packets that a target would have handed back after which it counts as absent, if no heartbeat
/// has come yet; one may be lost.
const ABSENT_AFTER_PACKETS: u32 = 3;
/// Time in which a target answers a SYN, even a busy one, with room for a paused machine.
const SYN_RESPONSE_MS: u64 = 120;
/// Unanswered SYNs from which on a target counts as unresponsive.
const UNRESPONSIVE_AFTER_SYNS: u32 = 2;
/// Pause between SYNs that try an unresponsive target.
const RETRY_INTERVAL_MS: u64 = 500;
/// Earlier starts of targets whose late heartbeats are recognized.
const MAX_PREVIOUS_INCARNATIONS: usize = 8;

/// A heartbeat of the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Name of the target's start.
    pub id: Arc<str>,
    /// Time of its start in Unix milliseconds, by its own clock.
    pub started_at_unix_ms: u64,
    /// Rises with each heartbeat of a start.
    pub sequence: u64,
    /// Service of the target.
    pub service: Arc<str>,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_left_ms: u64,
}

/// What a heartbeat has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// Nothing that others must know at once.
    Refreshed,
    /// The state or the service.
    StateChanged,
    /// Another start of the target: it holds none of the flows of the one before.
    Restarted,
    /// The heartbeat came late and was ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct Incarnation {
    id: Arc<str>,
    started_at_unix_ms: u64,
}

/// The target beside an agent.
#[derive(Clone, Debug)]
pub struct Target {
    heartbeat_interval_ms: u64,
    last_heartbeat: Option<Heartbeat>,
    heartbeat_at_ms: u64,
    is_exiting: bool,
    previous_incarnations: Vec<Incarnation>,
    unanswered_since_ms: Option<u64>,
    unanswered_syns: u32,
    syn_at_ms: u64,
    /// Service that the settings name, until a heartbeat names one.
    expected_service: Option<Arc<str>>,
    started_at_ms: u64,
    last_packet_at_ms: Option<u64>,
    /// Packets of unknown flows that were not handed back, since the last answer.
    unreturned_packets: u32,
}

impl Target {
    /// Makes a target that was not heard of yet.
    ///
    /// ```
    /// use bamboowind::{forward::target::Target, membership::instance::TargetState};
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
            unreturned_packets: 0,
        }
    }

    /// Sets the service that the target is expected to belong to. An agent that has restarted
    /// beside a target which sends packets takes it for ready until the next heartbeat.
    #[must_use]
    pub fn with_expected_service(mut self, service: Arc<str>, now_ms: u64) -> Self {
        self.expected_service = Some(service);
        self.started_at_ms = now_ms;
        self
    }

    /// The service that the target belongs to, as far as is known.
    #[must_use]
    pub fn service(&self) -> Option<&Arc<str>> {
        match &self.last_heartbeat {
            Some(beat) => Some(&beat.service),
            None => self.expected_service.as_ref(),
        }
    }

    /// Whether the target sends packets before its first heartbeat to this agent.
    fn is_presumed_ready(&self, now_ms: u64) -> bool {
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        self.last_heartbeat.is_none()
            && self.expected_service.is_some()
            && self.last_packet_at_ms.is_some()
            && uptime_ms < STARTUP_INTERVALS * self.heartbeat_interval_ms
    }

    /// Whether the target has said that it ends, or none has shown itself for long, so that no
    /// packet can be handed to it.
    #[must_use]
    pub fn is_unreachable(&self, now_ms: u64) -> bool {
        self.is_exiting || self.last_heartbeat.is_none() && self.is_absent(now_ms)
    }

    /// Whether no target has shown itself since the agent's start: one that is running would have
    /// sent a heartbeat by now, or handed back packets of unknown flows.
    fn is_absent(&self, now_ms: u64) -> bool {
        let uptime_ms = now_ms.saturating_sub(self.started_at_ms);
        let is_late = uptime_ms > STARTUP_INTERVALS * self.heartbeat_interval_ms;
        self.last_packet_at_ms.is_none()
            && (is_late || self.unreturned_packets >= ABSENT_AFTER_PACKETS)
    }

    /// The last heartbeat that was taken.
    #[must_use]
    pub fn last_heartbeat(&self) -> Option<&Heartbeat> {
        self.last_heartbeat.as_ref()
    }

    /// Time for which the target is still slow, in milliseconds.
    #[must_use]
    pub fn cold_left_ms(&self, now_ms: u64) -> u64 {
        let left = self
            .last_heartbeat
            .as_ref()
            .map_or(0, |beat| beat.cold_left_ms);
        left.saturating_sub(now_ms.saturating_sub(self.heartbeat_at_ms))
    }

    /// Takes a heartbeat.
    pub fn apply_heartbeat(&mut self, beat: Heartbeat, now_ms: u64) -> HeartbeatOutcome {
        let is_previous = |incarnation: &Incarnation| {
            incarnation.id == beat.id && incarnation.started_at_unix_ms == beat.started_at_unix_ms
        };
        if self.previous_incarnations.iter().any(is_previous) {
            return HeartbeatOutcome::Stale;
        }
        let change = match &self.last_heartbeat {
            None => HeartbeatOutcome::StateChanged,
            Some(current)
                if current.id == beat.id
                    && current.started_at_unix_ms == beat.started_at_unix_ms =>
            {
                if beat.sequence <= current.sequence {
                    return HeartbeatOutcome::Stale;
                }
                let is_same = current.is_draining == beat.is_draining
                    && current.service == beat.service
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
                if beat.started_at_unix_ms < current.started_at_unix_ms && !is_silent {
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
                HeartbeatOutcome::Restarted
            }
        };
        self.last_heartbeat = Some(beat);
        self.heartbeat_at_ms = now_ms;
        self.is_exiting = false;
        self.record_response();
        change
    }

    /// The target says that it ends. Returns whether it is the current one.
    pub fn apply_exit(&mut self, id: &str) -> bool {
        let is_current = self
            .last_heartbeat
            .as_ref()
            .is_some_and(|beat| *beat.id == *id);
        self.is_exiting |= is_current;
        is_current
    }

    /// A SYN was handed to the target.
    pub fn record_syn(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
        self.unanswered_syns += 1;
        self.syn_at_ms = now_ms;
    }

    /// The target has sent a packet of a flow that it holds.
    pub fn record_packet(&mut self, now_ms: u64) {
        self.last_packet_at_ms = Some(now_ms);
    }

    /// The target has answered, if only by handing a packet back.
    pub fn record_response(&mut self) {
        self.unanswered_since_ms = None;
        self.unanswered_syns = 0;
        self.unreturned_packets = 0;
    }

    /// The target has not handed back a packet of an unknown flow in time.
    pub fn record_unreturned_packet(&mut self) {
        self.unreturned_packets += 1;
    }

    fn is_unresponsive(&self, now_ms: u64) -> bool {
        self.unanswered_syns >= UNRESPONSIVE_AFTER_SYNS
            && self
                .unanswered_since_ms
                .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) > SYN_RESPONSE_MS)
    }

    /// State towards new flows.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> TargetState {
        let Some(beat) = &self.last_heartbeat else {
            return if self.is_presumed_ready(now_ms) && !self.is_unresponsive(now_ms) {
                TargetState::Ready
            } else if self.is_absent(now_ms) {
                TargetState::Absent
            } else {
                TargetState::Unknown
            };
        };
        let silent_ms = now_ms.saturating_sub(self.heartbeat_at_ms);
        if self.is_exiting || beat.is_draining {
            TargetState::Draining
        } else if silent_ms > UNRESPONSIVE_AFTER_INTERVALS * self.heartbeat_interval_ms
            || self.is_unresponsive(now_ms)
        {
            TargetState::Unresponsive
        } else {
            TargetState::Ready
        }
    }

    /// Whether a SYN may be handed to the target now.
    #[must_use]
    pub fn accepts_syn(&self, now_ms: u64) -> bool {
        match self.state(now_ms) {
            TargetState::Ready => true,
            TargetState::Unresponsive => {
                !self.is_exiting && now_ms.saturating_sub(self.syn_at_ms) >= RETRY_INTERVAL_MS
            }
            TargetState::Unknown | TargetState::Draining | TargetState::Absent => false,
        }
    }
}
