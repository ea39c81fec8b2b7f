//! Flows of the local target, the requests in progress on them and the measured service time.

use std::collections::{HashMap, VecDeque};

use super::suspicion::{MIN_MISSING_MS, Outcome};
use crate::flow::packet::{FlowKey, Segment};

/// Time after which a request without a response no longer counts as in progress.
const REQUEST_TIMEOUT_MS: u64 = 5_000;
/// Time after the SYN for which a flow without a request occupies a slot: several round trips to
/// the caller. After it the caller has given up or was served by another target.
const AWAITED_REQUEST_TIMEOUT_MS: u64 = 40;
/// Time for which a flow with an unfinished handshake is kept.
const HANDSHAKE_TIMEOUT_MS: u64 = 1_400;
/// Time for which a flow closed by the target is kept, so that the final acknowledgements reach it.
const CLOSED_RETENTION_MS: u64 = 2_000;
/// Largest distance between the sequence number of the target's SYN+ACK and the acknowledgement
/// that completes the handshake. It covers the data that a target may have sent by then, with a
/// margin.
const MAX_HANDSHAKE_ACK_DISTANCE: u32 = 100_000;
/// Responses per sample of the service time.
const RESPONSES_PER_SAMPLE: u64 = 8;
/// Divisor of the moving average: the newest sample has a weight of one in `MEAN_DIVISOR`.
const MEAN_DIVISOR: u64 = 3;
/// A target with requests in progress counts as stalled when it has sent no response for this
/// multiple of its mean service time. Service times vary by less than this factor, and it is rare
/// that all slots run long requests at the same time.
const STALLED_FACTOR: u64 = 3;
/// Age after which the mean service time is discarded if there are no new samples.
const MEAN_TTL_MS: u64 = 3_000;

/// State of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The target has been sent the SYN.
    Handshake,
    /// The caller has acknowledged the target's SYN+ACK.
    Open,
    /// The target has sent a FIN.
    Closed,
}

/// A flow of the local target.
#[derive(Clone, Debug)]
struct AgentFlow {
    stage: Stage,
    /// Time of the last packet in either direction.
    last_packet_at_ms: u64,
    /// Arrival time of the request in progress; `None` if there is none.
    request_started_at_ms: Option<u64>,
    /// Sequence number just past the caller's last new data. Data up to here is a retransmission.
    request_end_sequence: u32,
    /// Acknowledgement number of the caller's most recent packet. Until one arrives it is 0, or the
    /// sequence number of the target's packet if the agent learned of the flow from that.
    caller_ack: u32,
    /// Sequence number of the target's SYN+ACK; `None` until it is sent.
    syn_ack_sequence: Option<u32>,
    /// Time that the SYN spent in the queue; 0 once it has been reported with the first response.
    syn_queued_ms: u64,
    /// The caller's last packet without data, with which the target can be asked whether it holds
    /// the flow; empty before the first one.
    bare_packet: Vec<u8>,
    /// Whether the request in progress has come in several packets, some of which may be missing.
    has_long_request: bool,
    /// Whether the flow was opened at an earlier incarnation of the target, which has lost it.
    predates_target: bool,
    /// Whether the caller has sent a FIN.
    has_caller_fin: bool,
}

impl AgentFlow {
    /// Whether the caller's packet acknowledges the SYN+ACK of another target, which received a
    /// retransmission of the SYN. It does if this target has not sent one.
    fn acknowledges_other_target(&self, segment: &Segment) -> bool {
        self.stage == Stage::Handshake
            && self.syn_ack_sequence.is_none_or(|sequence| {
                segment.acknowledged.wrapping_sub(sequence) > MAX_HANDSHAKE_ACK_DISTANCE
            })
    }
}

/// Mean time for which a request occupies a slot. It is computed from slot time and the number of
/// responses, so it excludes time in the target's own queue.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    /// Slot time accumulated since the last sample, in milliseconds.
    slot_ms: u64,
    /// Slot time accumulated since the last response, in milliseconds.
    slot_ms_since_response: u64,
    /// Responses since the last sample.
    responses: u64,
    /// Time up to which slot time has been accumulated.
    accumulated_at_ms: u64,
    /// Moving average of the service time, in microseconds; 0 before the first sample.
    mean_us: u64,
    /// Time of the last sample.
    sampled_at_ms: u64,
}

impl ServiceTime {
    /// Adds the slot time since the last call. Must be called before the number of requests
    /// changes.
    fn accumulate(&mut self, requests: u32, capacity: u32, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.accumulated_at_ms);
        let slot_ms = u64::from(requests.min(capacity)) * elapsed_ms;
        self.slot_ms += slot_ms;
        self.slot_ms_since_response += slot_ms;
        self.accumulated_at_ms = now_ms;
    }

    /// Mean service time in microseconds; 0 if there is no recent sample. For a stalled target,
    /// returns the time since its last response instead, which reveals the stall before any request
    /// completes.
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

    /// Counts a response and updates the mean when the sample is complete.
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

/// Result of recording a caller's packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPacket {
    /// The target is not known to hold the flow.
    Unknown,
    /// The target holds the flow.
    Known {
        /// Whether the packet completes the handshake with this target.
        completes_handshake: bool,
        /// Whether the packet's data starts a request.
        starts_request: bool,
    },
}

/// Effect of a packet that the target has sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetPacket {
    /// Whether the packet added a flow that was not known before.
    pub adds_flow: bool,
    /// What became of the request in progress; `None` if the packet does not end one, or if it says
    /// nothing about the current incarnation of the target.
    pub outcome: Option<Outcome>,
}

/// Timing of a response that has started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseTiming {
    /// The flow of the request.
    pub flow: FlowKey,
    /// Time from the arrival of the request to the start of the response, in milliseconds.
    pub latency_ms: u64,
    /// Time that the SYN of the flow spent in the queue, in milliseconds; 0 except for the first
    /// response on the flow.
    pub queued_ms: u64,
}

/// All flows of the local target.
#[derive(Clone, Debug, Default)]
pub struct AgentFlows {
    flows: HashMap<FlowKey, AgentFlow, ahash::RandomState>,
    /// Flows whose first request is still expected, oldest first, with the time at which the target
    /// was sent the SYN.
    awaiting_request: VecDeque<(FlowKey, u64)>,
    /// Number of requests in progress.
    requests: u32,
    /// Responses that have started since they were last taken.
    responses: Vec<ResponseTiming>,
    /// Requests by arrival, with the time of it, for at least as long as they are too young to be
    /// missing their response.
    recent_requests: VecDeque<(FlowKey, u64)>,
    /// Older requests without a response.
    overdue_requests: Vec<(FlowKey, u64)>,
    /// Number of requests that the target runs concurrently.
    capacity: u32,
    service_time: ServiceTime,
}

impl AgentFlows {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of requests that the target runs concurrently.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity;
    }

    /// Number of occupied slots: requests in progress, and flows whose first request is still
    /// expected.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.requests + u32::try_from(self.awaiting_request.len()).unwrap_or(u32::MAX)
    }

    /// Number of flows in any state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there are no flows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Whether the target is known to hold a flow.
    #[must_use]
    pub fn contains(&self, flow: FlowKey) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Whether a flow has been opened at the target.
    #[must_use]
    pub fn is_opened(&self, flow: FlowKey) -> bool {
        let entry = self.flows.get(&flow);
        entry.is_some_and(|entry| entry.stage != Stage::Handshake)
    }

    /// Whether a packet of the target, which is not a returned one, shows that the target holds flows.
    /// The address of a target that has ended answers data with a reset and a FIN with a bare
    /// acknowledgement. `answers_data` tells whether a bare acknowledgement can only answer data.
    #[must_use]
    pub fn shows_life(&self, flow: FlowKey, segment: &Segment, answers_data: bool) -> bool {
        if segment.flags.rst {
            return false;
        }
        if segment.data_len > 0 || segment.flags.syn {
            return true;
        }
        match self.flows.get(&flow) {
            Some(entry) if entry.stage == Stage::Closed => false,
            _ if segment.flags.fin => true,
            Some(entry) if entry.stage == Stage::Open => !entry.has_caller_fin,
            _ => answers_data,
        }
    }

    /// Mean service time in microseconds; 0 if there is no recent sample.
    #[must_use]
    pub fn service_time_us(&self, now_ms: u64) -> u32 {
        let mean_us = self
            .service_time
            .mean_us(self.requests, self.capacity, now_ms);
        u32::try_from(mean_us).unwrap_or(u32::MAX)
    }

    /// Flows in the open state.
    pub fn open_flows(&self) -> impl Iterator<Item = FlowKey> + '_ {
        let open = self.flows.iter().filter(|(_, f)| f.stage == Stage::Open);
        open.map(|(&flow, _)| flow)
    }

    /// Returns the responses that have started since the last call.
    pub fn take_responses(&mut self) -> Vec<ResponseTiming> {
        std::mem::take(&mut self.responses)
    }

    /// Records a SYN that is sent to the target after `queued_ms` in the queue. A retransmission
    /// for a known flow is ignored.
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
            bare_packet: Vec::new(),
            has_long_request: false,
            predates_target: false,
            has_caller_fin: false,
        };
        self.flows.insert(flow, entry);
        self.awaiting_request.push_back((flow, now_ms));
    }

    /// Records a packet from a caller other than a SYN.
    pub fn record_caller_packet(
        &mut self,
        flow: FlowKey,
        segment: &Segment,
        datagram: &[u8],
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
        entry.has_caller_fin |= segment.flags.fin;
        if segment.data_len == 0 && !segment.flags.rst && !segment.flags.fin {
            entry.bare_packet.clear();
            entry.bare_packet.extend_from_slice(datagram);
        }
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
                entry.has_long_request = false;
                starts_request = true;
                self.recent_requests.push_back((flow, now_ms));
                self.service_time
                    .accumulate(self.requests, self.capacity, now_ms);
                self.requests += 1;
            } else {
                entry.has_long_request = true;
            }
        }
        if segment.data_len > 0 || segment.flags.rst {
            self.stop_awaiting_request(flow);
        }
        if segment.flags.rst {
            self.remove(flow, now_ms);
        }
        CallerPacket::Known {
            completes_handshake: was_handshaking,
            starts_request,
        }
    }

    /// Records a packet that the target sends to a caller.
    pub fn record_target_packet(
        &mut self,
        flow: FlowKey,
        segment: &Segment,
        now_ms: u64,
    ) -> TargetPacket {
        let is_new = !self.flows.contains_key(&flow);
        let mut outcome = None;
        if is_new && (segment.flags.rst || segment.flags.syn || segment.flags.fin) {
            return TargetPacket {
                adds_flow: false,
                outcome,
            };
        }
        let entry = self.flows.entry(flow).or_insert(AgentFlow {
            stage: Stage::Open,
            last_packet_at_ms: now_ms,
            request_started_at_ms: None,
            request_end_sequence: segment.acknowledged,
            caller_ack: segment.sequence,
            syn_ack_sequence: None,
            syn_queued_ms: 0,
            bare_packet: Vec::new(),
            has_long_request: false,
            predates_target: false,
            has_caller_fin: false,
        });
        if segment.flags.syn {
            entry.syn_ack_sequence = Some(segment.sequence);
        }
        entry.last_packet_at_ms = now_ms;
        if segment.flags.fin {
            entry.stage = Stage::Closed;
        }
        let is_judged = !entry.predates_target;
        if segment.flags.rst && is_judged && entry.request_started_at_ms.is_some() {
            outcome = Some(Outcome::Reset);
        }
        let is_response = segment.data_len > 0 || segment.flags.fin;
        if is_response && let Some(since_ms) = entry.request_started_at_ms.take() {
            let latency_ms = now_ms.saturating_sub(since_ms);
            outcome = outcome.or(is_judged.then_some(Outcome::Response {
                latency_ms,
                first_packet_len: segment.data_len,
            }));
            self.responses.push(ResponseTiming {
                flow,
                latency_ms,
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
        TargetPacket {
            adds_flow: is_new,
            outcome,
        }
    }

    /// Returns the requests that have newly been without a response for too long, with the time
    /// since their arrival. `missing_after_ms` gives the limit of a flow's class; `None` if it has
    /// none.
    pub fn take_missing(
        &mut self,
        missing_after_ms: impl Fn(FlowKey) -> Option<u64>,
        now_ms: u64,
    ) -> Vec<(FlowKey, u64)> {
        let waited_ms = |since_ms: u64| now_ms.saturating_sub(since_ms);
        while let Some(&(flow, since_ms)) = self.recent_requests.front()
            && waited_ms(since_ms) >= MIN_MISSING_MS
        {
            self.recent_requests.pop_front();
            self.overdue_requests.push((flow, since_ms));
        }
        let flows = &self.flows;
        self.overdue_requests.retain(|(flow, since_ms)| {
            flows.get(flow).is_some_and(|entry| {
                entry.request_started_at_ms == Some(*since_ms)
                    && !entry.has_long_request
                    && !entry.predates_target
            })
        });
        let is_missing = |request: &mut (FlowKey, u64)| {
            missing_after_ms(request.0).is_some_and(|limit_ms| waited_ms(request.1) >= limit_ms)
        };
        let missing = self.overdue_requests.extract_if(.., is_missing);
        missing
            .map(|(flow, since_ms)| (flow, waited_ms(since_ms)))
            .collect()
    }

    /// Stops expecting responses to the requests in progress, which may be unread because this
    /// process was paused.
    pub fn forget_recent_requests(&mut self) {
        self.recent_requests.clear();
        self.overdue_requests.clear();
    }

    /// Stops counting a flow as an occupied slot for its first request.
    fn stop_awaiting_request(&mut self, flow: FlowKey) {
        if let Some(index) = self
            .awaiting_request
            .iter()
            .position(|(other, _)| *other == flow)
        {
            self.awaiting_request.remove(index);
        }
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: FlowKey, now_ms: u64) {
        self.stop_awaiting_request(flow);
        if let Some(entry) = self.flows.remove(&flow)
            && entry.request_started_at_ms.is_some()
        {
            self.service_time
                .accumulate(self.requests, self.capacity, now_ms);
            self.requests = self.requests.saturating_sub(1);
        }
    }

    /// Whether the target has been sent the SYN of a flow that the caller has not completed yet.
    #[must_use]
    pub fn is_in_handshake(&self, flow: FlowKey) -> bool {
        let entry = self.flows.get(&flow);
        entry.is_some_and(|entry| entry.stage == Stage::Handshake)
    }

    /// Acknowledgement number of the caller's most recent packet of a flow that was opened at the
    /// target and that the target has not closed; `None` if there is no such flow.
    #[must_use]
    pub fn open_caller_ack(&self, flow: FlowKey) -> Option<u32> {
        let entry = self.flows.get(&flow)?;
        (entry.stage == Stage::Open).then_some(entry.caller_ack)
    }

    /// Discards what was measured of the previous incarnation of the target, and returns a packet
    /// of each open flow. The new incarnation returns those of flows that were lost with the
    /// previous one.
    pub fn restart_target(&mut self) -> Vec<Vec<u8>> {
        self.service_time = ServiceTime::default();
        self.forget_recent_requests();
        for entry in self.flows.values_mut() {
            entry.predates_target = true;
        }
        let open = self.flows.values().filter(|f| f.stage == Stage::Open);
        let packets = open.map(|entry| entry.bare_packet.clone());
        packets.filter(|packet| !packet.is_empty()).collect()
    }

    /// Stops counting flows as occupied slots whose first request is overdue.
    pub fn expire_awaited_requests(&mut self, now_ms: u64) {
        while let Some((_, since_ms)) = self.awaiting_request.front()
            && now_ms.saturating_sub(*since_ms) > AWAITED_REQUEST_TIMEOUT_MS
        {
            self.awaiting_request.pop_front();
        }
    }

    /// Removes idle flows, and stops counting requests that have timed out.
    pub fn sweep(&mut self, now_ms: u64, idle_timeout_ms: u64) {
        self.service_time
            .accumulate(self.requests, self.capacity, now_ms);
        let mut requests = 0;
        self.flows.retain(|_, entry| {
            let silent_ms = now_ms.saturating_sub(entry.last_packet_at_ms);
            let is_overdue = |since_ms| now_ms.saturating_sub(since_ms) > REQUEST_TIMEOUT_MS;
            if entry.request_started_at_ms.is_some_and(is_overdue) {
                entry.request_started_at_ms = None;
            }
            let retention_ms = match entry.stage {
                Stage::Handshake => HANDSHAKE_TIMEOUT_MS,
                Stage::Open => idle_timeout_ms,
                Stage::Closed => CLOSED_RETENTION_MS,
            };
            let is_retained = silent_ms < retention_ms;
            requests += u32::from(is_retained && entry.request_started_at_ms.is_some());
            is_retained
        });
        self.requests = requests;
    }
}

/// Whether sequence number `a` comes after `b`, allowing for wraparound.
fn is_after(a: u32, b: u32) -> bool {
    let distance = a.wrapping_sub(b);
    distance != 0 && distance < u32::MAX / 2
}
