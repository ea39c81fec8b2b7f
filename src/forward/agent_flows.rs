//! Flows of the target beside an agent, and the work that they bring.

use std::collections::{HashMap, VecDeque};

use crate::flow::packet::{FlowKey, Segment};

/// Time after which a request without an answer no longer counts as under way.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Time after which a SYN whose caller has not answered no longer counts as under way: several
/// trips to the caller and back. Its caller has given up or was served elsewhere.
const HANDSHAKE_SLOT_MS: u64 = 40;
/// Time for which a flow is remembered whose caller has not answered.
const HANDSHAKE_TIMEOUT_MS: u64 = 1_400;
/// Time for which a closed flow is remembered, for the last acknowledgements.
const CLOSED_RETENTION_MS: u64 = 2_000;
/// Largest distance between a target's SYN+ACK and the acknowledgement that opens its flow: what a
/// target may have sent by then, with room.
const MAX_HANDSHAKE_ACK_DISTANCE: u32 = 100_000;
/// Answers after which a new mean of the service time is taken.
const RESPONSES_PER_SAMPLE: u64 = 8;
/// Weight of the newest sample in the mean, as one part in so many.
const MEAN_DIVISOR: u64 = 3;
/// Time without an answer, as a multiple of the mean time of a request, from which on a target with
/// requests counts as stalled: work times vary by less, and all slots seldom take long together.
const STALLED_FACTOR: u64 = 3;
/// Time after which a mean without new samples says nothing any more.
const MEAN_TTL_MS: u64 = 3_000;

/// How far a flow has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The target has got the SYN.
    Handshake,
    /// The caller has answered the target.
    Open,
    /// The target has ended the flow.
    Closed,
}

/// A flow of the target.
#[derive(Clone, Copy, Debug)]
pub struct AgentFlow {
    stage: Stage,
    last_packet_at_ms: u64,
    /// When the request under way began, if there is one.
    request_started_at_ms: Option<u64>,
    request_end_sequence: u32,
    caller_ack: u32,
    /// Sequence number of the target's SYN+ACK.
    syn_ack_sequence: Option<u32>,
    /// Time for which the SYN has waited, until the first answer.
    syn_queued_ms: u64,
}

impl AgentFlow {
    /// Whether a caller that opens the flow answers another target, to which a copy of its SYN
    /// went.
    fn acknowledges_other_target(&self, segment: &Segment) -> bool {
        self.stage == Stage::Handshake
            && self.syn_ack_sequence.is_some_and(|sequence| {
                segment.acknowledged.wrapping_sub(sequence) > MAX_HANDSHAKE_ACK_DISTANCE
            })
    }

    /// Last position that the caller has acknowledged.
    #[must_use]
    pub fn caller_ack(&self) -> u32 {
        self.caller_ack
    }
}

/// Mean time for which a request holds a slot, from slot time and answers, so that time in the
/// target's own queue does not count.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    slot_ms: u64,
    /// Slot time since the last answer.
    slot_ms_since_response: u64,
    responses: u64,
    accumulated_at_ms: u64,
    mean_us: u64,
    sampled_at_ms: u64,
}

impl ServiceTime {
    fn accumulate(&mut self, requests: u32, capacity: u32, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.accumulated_at_ms);
        let slot_ms = u64::from(requests.min(capacity)) * elapsed_ms;
        self.slot_ms += slot_ms;
        self.slot_ms_since_response += slot_ms;
        self.accumulated_at_ms = now_ms;
    }

    /// Mean time of a request in microseconds, 0 if there is none of late. A target that has
    /// stopped answering shows in the slot time of its requests before they are answered.
    fn mean_us(&self, requests: u32, capacity: u32, now_ms: u64) -> u64 {
        let is_stale = now_ms.saturating_sub(self.sampled_at_ms) > MEAN_TTL_MS;
        let known_us = if is_stale { 0 } else { self.mean_us };
        let elapsed_ms = now_ms.saturating_sub(self.accumulated_at_ms);
        let slots = u64::from(requests.min(capacity));
        let slot_ms_since_response = self.slot_ms_since_response + slots * elapsed_ms;
        let since_response_us = slot_ms_since_response * 1_000 / slots.max(1);
        if since_response_us > self.mean_us * STALLED_FACTOR && self.mean_us > 0 {
            since_response_us
        } else {
            known_us
        }
    }

    fn record_response(&mut self, now_ms: u64) {
        self.slot_ms_since_response = 0;
        self.responses += 1;
        if self.responses < RESPONSES_PER_SAMPLE {
            return;
        }
        let sample_us = (self.slot_ms * 1_000 / self.responses).max(1);
        let is_stale = now_ms.saturating_sub(self.sampled_at_ms) > MEAN_TTL_MS;
        self.mean_us = if is_stale || self.mean_us == 0 {
            sample_us
        } else {
            (self.mean_us * (MEAN_DIVISOR - 1) + sample_us) / MEAN_DIVISOR
        };
        self.sampled_at_ms = now_ms;
        self.slot_ms = 0;
        self.responses = 0;
    }
}

/// What a caller's packet means for its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPacket {
    /// The flow is not known here.
    Unknown,
    /// The flow is known; `opens` tells whether this packet opens it at this target, and
    /// `begins_request` whether a request begins with its data.
    Known {
        /// The packet opens the flow.
        completes_handshake: bool,
        /// A request begins.
        starts_request: bool,
    },
}

/// An answer that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseTiming {
    /// The flow.
    pub flow: FlowKey,
    /// Time since the request came, in milliseconds.
    pub latency_ms: u64,
    /// Time for which the flow's SYN has waited, in milliseconds.
    pub queued_ms: u64,
}

/// All flows of the target.
#[derive(Clone, Debug, Default)]
pub struct AgentFlows {
    flows: HashMap<FlowKey, AgentFlow, ahash::RandomState>,
    /// Flows whose callers have yet to answer, oldest first, with the time of the SYN.
    handshakes: VecDeque<(FlowKey, u64)>,
    requests: u32,
    responses: Vec<ResponseTiming>,
    capacity: u32,
    service_time: ServiceTime,
}

impl AgentFlows {
    /// Makes an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many requests the target runs at once.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Requests under way and SYNs whose callers are about to send theirs.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.requests + u32::try_from(self.handshakes.len()).unwrap_or(u32::MAX)
    }

    /// Number of flows.
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
        let mean_us = self
            .service_time
            .mean_us(self.requests, self.capacity, now_ms);
        u32::try_from(mean_us).unwrap_or(u32::MAX)
    }

    /// Open flows.
    pub fn open_flows(&self) -> impl Iterator<Item = FlowKey> + '_ {
        let open = self.flows.iter().filter(|(_, f)| f.stage == Stage::Open);
        open.map(|(&flow, _)| flow)
    }

    /// Answers that have begun since the last call.
    pub fn take_responses(&mut self) -> Vec<ResponseTiming> {
        std::mem::take(&mut self.responses)
    }

    /// Notes a SYN that is handed to the target after it has waited for `waited_ms`.
    pub fn record_syn(&mut self, flow: FlowKey, queued_ms: u64, now_ms: u64) {
        if self.flows.contains_key(&flow) {
            return;
        }
        let entry = AgentFlow {
            stage: Stage::Handshake,
            last_packet_at_ms: now_ms,
            request_started_at_ms: None,
            request_end_sequence: 0,
            caller_ack: 0,
            syn_ack_sequence: None,
            syn_queued_ms: queued_ms,
        };
        self.flows.insert(flow, entry);
        self.handshakes.push_back((flow, now_ms));
    }

    /// Notes another packet of the caller.
    pub fn record_caller_packet(
        &mut self,
        flow: FlowKey,
        segment: &Segment,
        now_ms: u64,
    ) -> CallerPacket {
        let Some(entry) = self.flows.get_mut(&flow) else {
            return CallerPacket::Unknown;
        };
        if entry.acknowledges_other_target(segment) {
            return CallerPacket::Unknown;
        }
        entry.last_packet_at_ms = now_ms;
        entry.caller_ack = segment.acknowledged;
        let was_handshaking = entry.stage == Stage::Handshake;
        if was_handshaking {
            entry.stage = Stage::Open;
        }
        let mut starts_request = false;
        let end = segment.sequence.wrapping_add(u32::from(segment.data_len));
        let is_new = was_handshaking || is_after(end, entry.request_end_sequence);
        if segment.data_len > 0 && is_new {
            entry.request_end_sequence = end;
            if entry.request_started_at_ms.is_none() {
                entry.request_started_at_ms = Some(now_ms);
                starts_request = true;
                self.service_time
                    .accumulate(self.requests, self.capacity, now_ms);
                self.requests += 1;
            }
        }
        if segment.data_len > 0 || segment.flags.rst {
            self.remove_handshake(flow);
        }
        if segment.flags.rst {
            self.remove(flow, now_ms);
        }
        CallerPacket::Known {
            completes_handshake: was_handshaking,
            starts_request,
        }
    }

    /// Notes a packet that the target sends to a caller. Returns whether the flow was unknown.
    pub fn record_target_packet(&mut self, flow: FlowKey, segment: &Segment, now_ms: u64) -> bool {
        let is_new = !self.flows.contains_key(&flow);
        if is_new && (segment.flags.rst || segment.flags.syn || segment.flags.fin) {
            return false;
        }
        let entry = self.flows.entry(flow).or_insert(AgentFlow {
            stage: Stage::Open,
            last_packet_at_ms: now_ms,
            request_started_at_ms: None,
            request_end_sequence: segment.acknowledged,
            caller_ack: segment.sequence,
            syn_ack_sequence: None,
            syn_queued_ms: 0,
        });
        if segment.flags.syn {
            entry.syn_ack_sequence = Some(segment.sequence);
        }
        entry.last_packet_at_ms = now_ms;
        if segment.flags.fin {
            entry.stage = Stage::Closed;
        }
        let is_response = segment.data_len > 0 || segment.flags.fin;
        if is_response && let Some(since_ms) = entry.request_started_at_ms.take() {
            self.responses.push(ResponseTiming {
                flow,
                latency_ms: now_ms.saturating_sub(since_ms),
                queued_ms: std::mem::take(&mut entry.syn_queued_ms),
            });
            self.service_time
                .accumulate(self.requests, self.capacity, now_ms);
            self.service_time.record_response(now_ms);
            self.requests = self.requests.saturating_sub(1);
        }
        if segment.flags.rst {
            self.remove(flow, now_ms);
        }
        is_new
    }

    fn remove_handshake(&mut self, flow: FlowKey) {
        if let Some(index) = self.handshakes.iter().position(|(other, _)| *other == flow) {
            self.handshakes.remove(index);
        }
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: FlowKey, now_ms: u64) {
        self.remove_handshake(flow);
        if let Some(entry) = self.flows.remove(&flow)
            && entry.request_started_at_ms.is_some()
        {
            self.service_time
                .accumulate(self.requests, self.capacity, now_ms);
            self.requests = self.requests.saturating_sub(1);
        }
    }

    /// Forgets all flows and returns those that were open.
    pub fn clear(&mut self) -> Vec<(FlowKey, AgentFlow)> {
        self.requests = 0;
        self.handshakes.clear();
        self.service_time = ServiceTime::default();
        let flows = std::mem::take(&mut self.flows).into_iter();
        flows.filter(|(_, f)| f.stage == Stage::Open).collect()
    }

    /// Counts no longer the SYNs whose callers do not answer.
    pub fn expire_handshakes(&mut self, now_ms: u64) {
        while let Some((_, since_ms)) = self.handshakes.front()
            && now_ms.saturating_sub(*since_ms) > HANDSHAKE_SLOT_MS
        {
            self.handshakes.pop_front();
        }
    }

    /// Forgets flows that were silent for long, and requests that will not be answered.
    pub fn sweep(&mut self, now_ms: u64, idle_timeout_ms: u64) {
        self.service_time
            .accumulate(self.requests, self.capacity, now_ms);
        let mut requests = 0;
        self.flows.retain(|_, entry| {
            let silent_ms = now_ms.saturating_sub(entry.last_packet_at_ms);
            let is_over = |since_ms| now_ms.saturating_sub(since_ms) > REQUEST_TIMEOUT_MS;
            if entry.request_started_at_ms.is_some_and(is_over) {
                entry.request_started_at_ms = None;
            }
            let retention_ms = match entry.stage {
                Stage::Handshake => HANDSHAKE_TIMEOUT_MS,
                Stage::Open => idle_timeout_ms,
                Stage::Closed => CLOSED_RETENTION_MS,
            };
            let is_kept = silent_ms < retention_ms;
            requests += u32::from(is_kept && entry.request_started_at_ms.is_some());
            is_kept
        });
        self.requests = requests;
    }
}

/// Whether position `a` comes after `b` in sequence numbers that wrap around.
fn is_after(a: u32, b: u32) -> bool {
    let distance = a.wrapping_sub(b);
    distance != 0 && distance < u32::MAX / 2
}
