//! Flows of the target beside an agent, and the work that they bring.

use std::collections::HashMap;

use crate::flow::packet::{FlowKey, Segment};

/// Time after which a request without an answer no longer counts as under way.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Time after which a SYN without a further packet no longer counts as under way.
const OPENING_TIMEOUT_MS: u64 = 1_400;
/// Time for which a closed flow is remembered, for the last acknowledgements.
const CLOSED_KEPT_MS: u64 = 2_000;
/// Weight of the newest service time in the mean, as one part in so many.
const MEAN_WEIGHT: u64 = 8;
/// Time after which a mean without new samples says nothing any more.
const MEAN_LIFE_MS: u64 = 3_000;

/// How far a flow has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The target has got the SYN.
    Opening,
    /// The caller has answered the target.
    Open,
    /// The target has ended the flow.
    Closed,
}

/// A flow of the target.
#[derive(Clone, Copy, Debug)]
pub struct AgentFlow {
    stage: Stage,
    used_at_ms: u64,
    request_at_ms: Option<u64>,
    is_request_timed: bool,
    next_sequence: u32,
    caller_acknowledged: u32,
}

impl AgentFlow {
    /// Last position that the caller has acknowledged.
    #[must_use]
    pub fn caller_acknowledged(&self) -> u32 {
        self.caller_acknowledged
    }
}

/// What a caller's packet means for its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPacket {
    /// The flow is not known here.
    Unknown,
    /// The packet opens the flow at this target.
    Opened,
    /// The flow is known.
    Known,
}

/// All flows of the target.
#[derive(Clone, Debug, Default)]
pub struct AgentFlows {
    flows: HashMap<FlowKey, AgentFlow, ahash::RandomState>,
    running: u32,
    mean_us: u64,
    sampled_at_ms: u64,
}

impl AgentFlows {
    /// Makes an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests under way, SYNs included.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of flows that are not closed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no flow.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Whether the target holds a flow, as far as is known.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Mean service time in microseconds; 0 if there is none of late.
    #[must_use]
    pub fn service_time_us(&self, now_ms: u64) -> u32 {
        if now_ms.saturating_sub(self.sampled_at_ms) > MEAN_LIFE_MS {
            return 0;
        }
        u32::try_from(self.mean_us).unwrap_or(u32::MAX)
    }

    /// Open flows.
    pub fn open(&self) -> impl Iterator<Item = FlowKey> + '_ {
        let open = self.flows.iter().filter(|(_, f)| f.stage == Stage::Open);
        open.map(|(&flow, _)| flow)
    }

    /// Notes a SYN that is handed to the target.
    pub fn syn(&mut self, flow: FlowKey, now_ms: u64) {
        self.remove(flow);
        let entry = AgentFlow {
            stage: Stage::Opening,
            used_at_ms: now_ms,
            request_at_ms: Some(now_ms),
            is_request_timed: false,
            next_sequence: 0,
            caller_acknowledged: 0,
        };
        self.flows.insert(flow, entry);
        self.running += 1;
    }

    /// Notes another packet of the caller; `capacity` tells whether a request starts at once.
    pub fn caller(
        &mut self,
        flow: FlowKey,
        segment: &Segment,
        capacity: u32,
        now_ms: u64,
    ) -> CallerPacket {
        let Some(entry) = self.flows.get_mut(&flow) else {
            return CallerPacket::Unknown;
        };
        entry.used_at_ms = now_ms;
        entry.caller_acknowledged = segment.acknowledged;
        let was_opening = entry.stage == Stage::Opening;
        if was_opening {
            entry.stage = Stage::Open;
        }
        let end = segment
            .sequence
            .wrapping_add(u32::from(segment.data_len));
        let is_new = was_opening || is_after(end, entry.next_sequence);
        if segment.data_len > 0 && is_new {
            entry.next_sequence = end;
            if entry.request_at_ms.is_none() {
                entry.request_at_ms = Some(now_ms);
                self.running += 1;
                entry.is_request_timed = self.running <= capacity;
            } else if !entry.is_request_timed && was_opening {
                entry.request_at_ms = Some(now_ms);
                entry.is_request_timed = self.running <= capacity;
            }
        }
        if segment.flags.rst {
            self.remove(flow);
        }
        if was_opening {
            CallerPacket::Opened
        } else {
            CallerPacket::Known
        }
    }

    /// Notes a packet that the target sends to a caller. Returns whether the flow was unknown.
    pub fn target(&mut self, flow: FlowKey, segment: &Segment, now_ms: u64) -> bool {
        let is_new = !self.flows.contains_key(&flow);
        if is_new && (segment.flags.rst || segment.flags.syn || segment.flags.fin) {
            return false;
        }
        let entry = self.flows.entry(flow).or_insert(AgentFlow {
            stage: Stage::Open,
            used_at_ms: now_ms,
            request_at_ms: None,
            is_request_timed: false,
            next_sequence: segment.acknowledged,
            caller_acknowledged: segment.sequence,
        });
        entry.used_at_ms = now_ms;
        if segment.data_len > 0
            && let Some(since_ms) = entry.request_at_ms.take()
        {
            self.running = self.running.saturating_sub(1);
            if entry.is_request_timed {
                entry.is_request_timed = false;
                let sample_us = now_ms.saturating_sub(since_ms).max(1) * 1_000;
                self.mean_us = if self.mean_us == 0 {
                    sample_us
                } else {
                    (self.mean_us * (MEAN_WEIGHT - 1) + sample_us) / MEAN_WEIGHT
                };
                self.sampled_at_ms = now_ms;
            }
        }
        if segment.flags.fin {
            entry.stage = Stage::Closed;
            if entry.request_at_ms.take().is_some() {
                self.running = self.running.saturating_sub(1);
            }
        }
        if segment.flags.rst {
            self.remove(flow);
        }
        is_new
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: FlowKey) {
        if let Some(entry) = self.flows.remove(&flow)
            && entry.request_at_ms.is_some()
        {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Forgets all flows and returns those that were open.
    pub fn clear(&mut self) -> Vec<(FlowKey, AgentFlow)> {
        self.running = 0;
        self.mean_us = 0;
        let flows = std::mem::take(&mut self.flows).into_iter();
        flows.filter(|(_, f)| f.stage == Stage::Open).collect()
    }

    /// Forgets flows that were silent for long, and requests that will not be answered.
    pub fn sweep(&mut self, now_ms: u64, idle_timeout_ms: u64) {
        let mut running = 0;
        self.flows.retain(|_, entry| {
            let silent_ms = now_ms.saturating_sub(entry.used_at_ms);
            if let Some(since_ms) = entry.request_at_ms {
                let timeout_ms = match entry.stage {
                    Stage::Opening => OPENING_TIMEOUT_MS,
                    Stage::Open | Stage::Closed => REQUEST_TIMEOUT_MS,
                };
                if now_ms.saturating_sub(since_ms) > timeout_ms {
                    entry.request_at_ms = None;
                }
            }
            let kept_ms = match entry.stage {
                Stage::Opening => OPENING_TIMEOUT_MS,
                Stage::Open => idle_timeout_ms,
                Stage::Closed => CLOSED_KEPT_MS,
            };
            let is_kept = silent_ms < kept_ms;
            if is_kept && entry.request_at_ms.is_some() {
                running += 1;
            }
            is_kept
        });
        self.running = running;
    }
}

/// Whether position `a` comes after `b` in sequence numbers that wrap around.
fn is_after(a: u32, b: u32) -> bool {
    let distance = a.wrapping_sub(b);
    distance != 0 && distance < u32::MAX / 2
}
