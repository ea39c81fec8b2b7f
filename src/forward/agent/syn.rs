//! Handling of SYNs at an agent: admission to the local target, queueing, redirection to another
//! agent and refusal.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    core::{AgentCore, AgentVerdict},
    syn_queue::{HANDSHAKE_MS, QueuedSyn, ServiceRate},
    warmup::{ColdTarget, ColdWindow},
};
use crate::{
    flow::packet::{FlowKey, HopMetadata, PacketFormat, Segment},
    forward::{
        decision::{Decision, Reason},
        notices::Notice,
    },
    membership::{
        directory::Member,
        instance::{TargetLoad, TargetState},
        rendezvous::{flow_hash, tag},
    },
    placement::{self, Candidate, PlacementRequest},
};

/// Maximum number of agents that a SYN is tried at.
const MAX_PLACEMENTS: u8 = 3;
/// Maximum number of agents that a SYN visits, including those that granted it a slot.
pub(super) const MAX_GRANT_HOPS: u8 = 16;
/// Interval between two checks whether the queue grows while failure domains are evacuated.
const QUEUE_CHECK_INTERVAL_MS: u64 = 1_000;
/// Maximum age of a sibling's load report for it to tell which slots are free; about one service
/// time.
const MAX_REPORT_AGE_MS: u64 = 40;
/// Like `REDIRECT_PERCENT`, for a load report older than `MAX_REPORT_AGE_MS`.
const REDIRECT_STALE_PERCENT: u64 = 50;
/// Time within which a sibling with a free slot replies to a slot request. A round trip between
/// failure domains takes two milliseconds; the rest is a margin for a paused process.
const GRANT_WAIT_MS: u64 = 4;
/// Requests admitted to a busy target on top of those expected to complete during a handshake, so
/// that no slot is idle when some complete early.
const SPARE_REQUESTS: u32 = 1;
/// A target counts as stalled when its service time is this multiple of the service's median. It is
/// then sent no requests beyond its capacity.
const STALLED_FACTOR: u64 = 3;
/// A SYN is redirected to another agent if its cost there is below this percentage of the local
/// cost. The margin accounts for the extra hop.
const REDIRECT_PERCENT: u64 = 80;

impl<F: PacketFormat> AgentCore<F> {
    /// Handles a SYN: it is admitted if the target has a free slot, redirected to another agent if
    /// the cost there is much lower, and queued otherwise.
    pub(super) fn handle_syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        if hop.tried > 0 {
            self.slot_requests.record_grant_used();
        }
        if self.peering.is_evacuated(now_ms) {
            return self.handle_evacuated_syn(datagram, segment, hop, now_ms);
        }
        let service = self.service();
        let serves_routed_service = service
            .as_deref()
            .is_some_and(|name| tag(name) == hop.service_tag);
        if !serves_routed_service || !self.target.accepts_syn(now_ms) {
            return self.redirect_syn(datagram, segment, hop, false, now_ms);
        }
        if self.syn_queue.contains(flow) {
            return AgentVerdict::Drop;
        }
        if self.peering.evacuations.is_outdated(now_ms) {
            return self.enqueue_syn(datagram, segment, hop, None, now_ms);
        }
        if !self.flows.contains(flow)
            && hop.tried + 1 < MAX_PLACEMENTS
            && self.avoids_local_target(now_ms)
        {
            return self.redirect_syn(datagram, segment, hop, false, now_ms);
        }
        // Queued SYNs come first, but not before a retransmission to the flow's target.
        let ahead = if self.flows.contains(flow) {
            0
        } else {
            self.syn_queue.len()
        };
        if let Some(cold) = self.cold_target(now_ms)
            && self.syn_window.allowance(cold, now_ms) as usize <= ahead
        {
            return self.defer_syn(datagram, segment, hop, cold, now_ms);
        }
        if hop.tried == 0
            && self.outstanding_requests() >= self.capacity()
            && self.is_cheaper_elsewhere(flow, now_ms)
        {
            return self.redirect_syn(datagram, segment, hop, false, now_ms);
        }
        if !self.flows.contains(flow)
            && (!self.syn_queue.is_empty() || self.flows.running() >= self.capacity())
        {
            return self.enqueue_syn(datagram, segment, hop, None, now_ms);
        }
        self.admit(flow, hop, 0, now_ms);
        AgentVerdict::Target
    }

    /// Handles a SYN while the failure domain of this agent is evacuated. Whatever instance has sent
    /// it and however long it has waited, it does not reach the target.
    ///
    /// If the target has got an earlier copy, the flow is never refused with a reset, since it may be
    /// open there. A copy of an open flow's SYN is late and is dropped.
    fn handle_evacuated_syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        if self.syn_queue.contains(flow) {
            return AgentVerdict::Drop;
        }
        if self.flows.contains(flow) && !self.flows.is_in_handshake(flow) {
            return self.drop_syn(flow, Reason::CopyAdmitted);
        }
        self.redirect_syn(datagram, segment, hop, false, now_ms)
    }

    /// Redirects or refuses all queued SYNs, because the failure domain of this agent is evacuated.
    fn evacuate_queue(&mut self, now_ms: u64) {
        let rate = self.service_rate(now_ms);
        while let Some(mut syn) = self.syn_queue.pop(now_ms, rate) {
            let Some(segment) = self.format.decode(&syn.datagram) else {
                continue;
            };
            let hop = self.format.read_hop_metadata(&syn.datagram);
            let verdict = self.handle_evacuated_syn(&mut syn.datagram, &segment, hop, now_ms);
            self.dispatched.push((syn.datagram, verdict));
        }
    }

    /// Records that the queue grows while failure domains are evacuated and no other target has a free
    /// slot, so that the operator sees that the remaining targets do not suffice.
    pub(super) fn check_queue_growth(&mut self, now_ms: u64) {
        let (checked_at_ms, previous) = self.queue_checked;
        if now_ms.saturating_sub(checked_at_ms) < QUEUE_CHECK_INTERVAL_MS {
            return;
        }
        let waiting = self.syn_queue.len();
        self.queue_checked = (now_ms, waiting);
        let evacuated = self.peering.evacuations.evacuated(now_ms);
        if waiting <= previous || evacuated.is_empty() || self.has_free_slot_elsewhere(now_ms) {
            return;
        }
        if let Some(service) = self.service() {
            self.peering.decisions.push(Decision::RemainingTargetsFull {
                service,
                waiting,
                previous,
                evacuated,
            });
        }
    }

    /// Records a SYN as sent to the local target after `waited_ms` in the queue.
    fn admit(&mut self, flow: FlowKey, hop: HopMetadata, waited_ms: u64, now_ms: u64) {
        self.flows.record_syn(flow, waited_ms, now_ms);
        self.target.record_syn(now_ms);
        self.suspicion.record_admitted(now_ms);
        self.syn_window.record(self.cold_target(now_ms), now_ms);
        self.notify_entry_balancer(flow, hop);
    }

    /// Handles a SYN that the cold target must not be sent now: it is redirected to a sibling that
    /// would serve it sooner, queued until the target may be sent it, or refused if that is too late.
    fn defer_syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        cold: ColdTarget,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let window = self.syn_window.state(cold, now_ms);
        let position = u32::try_from(self.syn_queue.len() + 1).unwrap_or(u32::MAX);
        let wait_ms = self.syn_window.wait_ms(cold, position, now_ms);
        let reason = Reason::ColdTarget { window, wait_ms };
        if self.flows.contains(flow) {
            // An earlier copy has reached the target, so the flow must not be opened elsewhere.
            return self.drop_syn(flow, reason);
        }
        let age_ms = self.format.attempt_age_ms(segment);
        let left_ms = F::OPEN_TIMEOUT_MS.saturating_sub(age_ms);
        let is_late = wait_ms.saturating_add(HANDSHAKE_MS) >= left_ms;
        if hop.tried + 1 < MAX_PLACEMENTS && self.is_sooner_elsewhere(flow, wait_ms, now_ms) {
            return self.redirect(datagram, segment, hop, false, Some(window), now_ms);
        }
        if is_late {
            return self.refuse(segment, hop, reason);
        }
        self.enqueue_syn(datagram, segment, hop, Some(window), now_ms)
    }

    /// Whether another target that may be sent the flow now is expected to respond sooner than the
    /// cold local one after `wait_ms`.
    fn is_sooner_elsewhere(&self, flow: FlowKey, wait_ms: u64, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        let other = self.choose_other_agent(&service, flow, now_ms);
        let Some(other) = other.filter(|other| other.has_cold_allowance()) else {
            return false;
        };
        let is_remote =
            other.instance.failure_domain != self.peering.local_instance().failure_domain;
        let other_candidate = Candidate::new(&other.load, other.placed_since_report, is_remote);
        let load = TargetLoad {
            running: self.flows.running(),
            ..self.load(now_ms)
        };
        let local_candidate = Candidate::new(&load, 0, false);
        let median_us = placement::median_service_time_us(&self.peering.directory, &service);
        let local_us = placement::cost_us(&local_candidate, median_us);
        placement::cost_us(&other_candidate, median_us)
            < local_us.saturating_add(wait_ms.saturating_mul(1_000))
    }

    /// Queues a SYN until a slot is free, or redirects or refuses it if none will be free in time.
    /// `cold` is the state of the limit if the SYN is queued because the target is cold.
    fn enqueue_syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        cold: Option<ColdWindow>,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let age_ms = self.format.attempt_age_ms(segment);
        let syn = QueuedSyn {
            flow: segment.caller_flow(),
            datagram: datagram.to_vec(),
            queued_at_ms: now_ms,
            attempt_started_at_ms: now_ms.saturating_sub(age_ms),
            attempt_ends_at_ms: now_ms + F::OPEN_TIMEOUT_MS.saturating_sub(age_ms),
            target_latency_ms: hop.target_latency_ms.into(),
            priority: hop.priority,
        };
        let rate = self.service_rate(now_ms);
        let is_refused = self.syn_queue.push(syn, now_ms, rate).is_err();
        if is_refused && hop.tried + 1 < MAX_PLACEMENTS {
            return self.redirect_syn(datagram, segment, hop, false, now_ms);
        }
        if is_refused {
            let reason = Reason::NoSlotInTime {
                waiting: self.syn_queue.len(),
                service_ms: rate.service_time_ms,
            };
            return self.refuse(segment, hop, reason);
        }
        self.peering.decisions.push(Decision::Queued {
            flow: segment.caller_flow(),
            running: self.flows.running(),
            waiting: self.syn_queue.len(),
            cold,
        });
        self.notify_entry_balancer(segment.caller_flow(), hop);
        self.request_slots(now_ms);
        AgentVerdict::Drop
    }

    /// Sends queued SYNs to the target while it has free slots, and otherwise redirects them to
    /// another agent with a free slot.
    pub fn dispatch_queued(&mut self, now_ms: u64) {
        self.flows.expire_awaited_requests(now_ms);
        self.resume_unreturned(now_ms);
        let reason = Reason::AttemptEnded;
        let expired = self.syn_queue.drain_expired(now_ms);
        let ended = expired.map(|syn| Decision::Dropped {
            flow: syn.flow,
            reason,
        });
        self.peering.decisions.extend(ended);
        if self.peering.evacuations.is_outdated(now_ms) {
            return;
        }
        if self.peering.is_evacuated(now_ms) {
            self.evacuate_queue(now_ms);
            return;
        }
        while !self.syn_queue.is_empty() {
            let avoids_target = self.avoids_local_target(now_ms);
            let is_free = self.target.accepts_syn(now_ms)
                && self.flows.running() < self.admission_limit(now_ms)
                && self.cold_allowance(now_ms) != Some(0);
            if !is_free && !avoids_target && !self.has_free_slot_elsewhere(now_ms) {
                return;
            }
            let rate = self.service_rate(now_ms);
            let Some(mut syn) = self.syn_queue.pop(now_ms, rate) else {
                return;
            };
            let hop = self.format.read_hop_metadata(&syn.datagram);
            let may_redirect = hop.tried + 1 < MAX_PLACEMENTS;
            let verdict = match self.format.decode(&syn.datagram) {
                _ if is_free && !(avoids_target && may_redirect) => {
                    let waited_ms = now_ms.saturating_sub(syn.queued_at_ms);
                    self.peering.decisions.push(Decision::Admitted {
                        flow: syn.flow,
                        waited_ms,
                        running: self.flows.running(),
                    });
                    self.admit(syn.flow, hop, waited_ms, now_ms);
                    AgentVerdict::Target
                }
                Some(segment) if may_redirect => {
                    let cold = self.exhausted_window(now_ms);
                    self.redirect(&mut syn.datagram, &segment, hop, false, cold, now_ms)
                }
                Some(_) => {
                    self.syn_queue.put_back(syn);
                    return;
                }
                None => AgentVerdict::Drop,
            };
            self.dispatched.push((syn.datagram, verdict));
        }
    }

    /// Requests a slot from some of the sibling agents. Called repeatedly while SYNs are queued.
    pub(super) fn request_slots(&mut self, now_ms: u64) {
        let Some(service) = self.service() else {
            return;
        };
        let siblings =
            self.slot_requests
                .next_recipients(&self.peering.directory, &service, now_ms);
        for sibling in siblings {
            self.peering.outbox.push(sibling, Notice::SlotRequest);
        }
    }

    /// Grants free slots of the local target to the siblings that have requested one.
    pub fn grant_slots(&mut self, now_ms: u64) {
        if self.target.state(now_ms) != TargetState::Ready
            || self.avoids_local_target(now_ms)
            || !self.syn_queue.is_empty()
            || self.peering.is_evacuated(now_ms)
        {
            return;
        }
        let free = self.capacity().saturating_sub(self.outstanding_requests());
        let free = free.min(self.cold_allowance(now_ms).unwrap_or(u32::MAX));
        while let Some(sibling) = self.slot_requests.grant(free, now_ms) {
            self.peering.outbox.push(sibling, Notice::SlotGrant);
        }
    }

    /// Redirects a queued SYN to the sibling at `from`, which has granted a slot.
    pub(super) fn use_slot_grant(&mut self, from: SocketAddrV4, now_ms: u64) {
        let Some(sibling) = self.peering.directory.by_control_address(from) else {
            return;
        };
        if self.peering.directory.is_evacuated(sibling) {
            return;
        }
        let name = Arc::clone(&sibling.instance.name);
        let address = sibling.instance.packet_address;
        let rate = self.service_rate(now_ms);
        let cold = self.exhausted_window(now_ms);
        let Some(mut syn) = self.syn_queue.pop(now_ms, rate) else {
            return;
        };
        let hop = self.format.read_hop_metadata(&syn.datagram);
        let hop = HopMetadata {
            tried: hop.tried + 1,
            ..hop
        };
        if hop.tried >= MAX_GRANT_HOPS {
            self.syn_queue.put_back(syn);
            return;
        }
        self.format.write_hop_metadata(&mut syn.datagram, hop);
        self.record_redirect(syn.flow, address, now_ms);
        self.peering.decisions.push(Decision::Redirected {
            flow: syn.flow,
            agent: name,
            is_returned: false,
            is_evacuated: false,
            is_suspect: self.suspicion.is_suspect(now_ms),
            running: self.outstanding_requests(),
            cold,
        });
        let verdict = AgentVerdict::Instance(address);
        self.dispatched.push((syn.datagram, verdict));
    }

    /// Returns the packets that are ready to be sent, with their verdicts.
    pub fn take_dispatched(&mut self) -> Vec<(Vec<u8>, AgentVerdict<F::Reset>)> {
        std::mem::take(&mut self.dispatched)
    }

    /// Whether new flows are to be sent to other targets because the local one is suspect.
    fn avoids_local_target(&self, now_ms: u64) -> bool {
        self.suspicion.is_suspect(now_ms)
            && self.service().is_some_and(|service| {
                placement::avoids_suspects(&self.peering.directory, &service, now_ms)
            })
    }

    /// Whether a recent report shows a free slot at another target of the service.
    fn has_free_slot_elsewhere(&self, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        self.peering.directory.members().iter().any(|member| {
            member.serves(&service)
                && !self.peering.directory.is_local(member)
                && !self.peering.directory.is_evacuated(member)
                && member.load.state == TargetState::Ready
                && member.load_age_ms(now_ms) <= MAX_REPORT_AGE_MS
                && member.expected_running() < member.load.capacity
                && !(member.load.is_suspect
                    && placement::avoids_suspects(&self.peering.directory, &service, now_ms))
                && member.has_cold_allowance()
        })
    }

    /// Whether the cost of placing the flow on another target is lower by more than the required
    /// margin.
    fn is_cheaper_elsewhere(&self, flow: FlowKey, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        let Some(other) = self.choose_other_agent(&service, flow, now_ms) else {
            return false;
        };
        let percent = if other.load_age_ms(now_ms) <= MAX_REPORT_AGE_MS {
            REDIRECT_PERCENT
        } else {
            REDIRECT_STALE_PERCENT
        };
        let is_remote =
            other.instance.failure_domain != self.peering.local_instance().failure_domain;
        let other_candidate = Candidate::new(&other.load, other.placed_since_report, is_remote);
        let load = self.load(now_ms);
        let local_candidate = Candidate::new(&load, 0, false);
        let median_us = placement::median_service_time_us(&self.peering.directory, &service);
        placement::cost_us(&other_candidate, median_us).saturating_mul(100)
            < placement::cost_us(&local_candidate, median_us).saturating_mul(percent)
    }

    /// Agent with the lowest cost for the flow, other than this one; `None` if there is none.
    fn choose_other_agent(&self, service: &str, flow: FlowKey, now_ms: u64) -> Option<&Member> {
        let request = PlacementRequest {
            service,
            failure_domain: &self.peering.local_instance().failure_domain,
            excluded: Some(&self.peering.local_instance().name),
            hash: flow_hash(flow),
            now_ms,
        };
        placement::choose(&self.peering.directory, request)
    }

    /// Service that the SYN was routed to: the one named by its service tag, or the local target's
    /// if the tag is 0. `None` if the service is unknown.
    fn routed_service(&self, hop: HopMetadata) -> Option<Arc<str>> {
        let local_service = self.service();
        if hop.service_tag == 0
            || local_service
                .as_deref()
                .is_some_and(|name| tag(name) == hop.service_tag)
        {
            return local_service;
        }
        let members = self.peering.directory.members().iter();
        let mut services = members.filter_map(|member| member.load.service.clone());
        services.find(|name| tag(name) == hop.service_tag)
    }

    /// Redirects a SYN that the local target does not accept to another agent, or refuses it.
    /// `is_returned` tells whether the target returned the SYN.
    pub(super) fn redirect_syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        is_returned: bool,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        self.redirect(datagram, segment, hop, is_returned, None, now_ms)
    }

    /// State of the limit if the target is cold and must not be sent a SYN now; otherwise `None`.
    fn exhausted_window(&self, now_ms: u64) -> Option<ColdWindow> {
        let cold = self.cold_target(now_ms)?;
        let is_exhausted = self.syn_window.allowance(cold, now_ms) == 0;
        is_exhausted.then(|| self.syn_window.state(cold, now_ms))
    }

    /// Redirects a SYN as [`Self::redirect_syn`] does. `cold` is the state of the limit if the SYN is
    /// redirected because the target is cold.
    fn redirect(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        is_returned: bool,
        cold: Option<ColdWindow>,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let service = self.routed_service(hop);
        let is_evacuated = self.peering.is_evacuated(now_ms);
        // The agents before this one did not try their targets if they are evacuated too.
        let max_tried = if is_evacuated {
            MAX_GRANT_HOPS
        } else {
            MAX_PLACEMENTS
        };
        let may_redirect = hop.tried < max_tried - 1;
        let other = service
            .as_deref()
            .filter(|_| may_redirect)
            .and_then(|service| self.choose_other_agent(service, flow, now_ms));
        let Some(other) = other else {
            let directory = &self.peering.directory;
            let has_evacuated = |service: &str| directory.has_evacuated_target(service, now_ms);
            let is_due_to_evacuation =
                is_evacuated || may_redirect && service.as_deref().is_some_and(has_evacuated);
            if !is_due_to_evacuation {
                return self.refuse(segment, hop, Reason::AllTargetsRefused);
            }
            if self.flows.contains(flow) {
                return self.drop_syn(flow, Reason::CopyAdmitted);
            }
            return self.refuse(segment, hop, Reason::DomainEvacuated);
        };
        let address = other.instance.packet_address;
        let name = Arc::clone(&other.instance.name);
        let hop = HopMetadata {
            tried: hop.tried + 1,
            service_tag: service.as_deref().map_or(0, tag),
            ..hop
        };
        self.format.write_hop_metadata(datagram, hop);
        self.record_redirect(flow, address, now_ms);
        self.peering.directory.count_placed(&name);
        self.peering.decisions.push(Decision::Redirected {
            flow,
            agent: name,
            is_returned,
            is_evacuated,
            is_suspect: self.suspicion.is_suspect(now_ms),
            running: self.outstanding_requests(),
            cold,
        });
        AgentVerdict::Instance(address)
    }

    /// Records the agent that a SYN was redirected to, so that packets of the flow which a balancer
    /// sends here can follow it.
    fn record_redirect(&mut self, flow: FlowKey, address: SocketAddrV4, now_ms: u64) {
        self.redirects.insert(flow, address, now_ms);
    }

    /// Answers a first SYN with a reset. A retransmitted SYN is dropped without one, because an
    /// earlier one may have opened the flow.
    pub(super) fn refuse(
        &mut self,
        segment: &Segment,
        hop: HopMetadata,
        reason: Reason,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        if !segment.is_first_syn() {
            self.peering
                .decisions
                .push(Decision::Dropped { flow, reason });
            return AgentVerdict::Drop;
        }
        self.peering.decisions.push(Decision::Refused {
            flow,
            reason,
            route_version: 0,
            tried: hop.tried,
        });
        AgentVerdict::Reset(flow.caller, self.format.reset(flow, 0))
    }

    /// Drops a SYN whose flow the target may hold.
    fn drop_syn(&mut self, flow: FlowKey, reason: Reason) -> AgentVerdict<F::Reset> {
        let decision = Decision::Dropped { flow, reason };
        self.peering.decisions.push(decision);
        AgentVerdict::Drop
    }

    /// Maximum number of requests that the target may have.
    ///
    /// Normally this is its capacity. Once a queued SYN has received no slot grant in time, the
    /// requests expected to complete during a handshake are added, because their slots would be
    /// idle until the admitted callers send their requests.
    fn admission_limit(&self, now_ms: u64) -> u32 {
        let capacity = self.capacity();
        if self.syn_queue.longest_wait_ms(now_ms) < GRANT_WAIT_MS {
            return capacity;
        }
        let service_time_ms = self.service_rate(now_ms).service_time_ms.max(1);
        let median_us = self.service().map_or(0, |service| {
            placement::median_service_time_us(&self.peering.directory, &service)
        });
        if service_time_ms * 1_000 >= median_us * STALLED_FACTOR {
            return capacity;
        }
        let completing = (u64::from(capacity) * HANDSHAKE_MS).div_ceil(service_time_ms);
        let completing = u32::try_from(completing).unwrap_or(u32::MAX).min(capacity);
        capacity
            .saturating_add(completing)
            .saturating_add(SPARE_REQUESTS)
    }

    /// Rate at which the local target serves requests.
    fn service_rate(&self, now_ms: u64) -> ServiceRate {
        let service_us = match self.flows.service_time_us(now_ms) {
            0 => placement::DEFAULT_SERVICE_TIME_US,
            known => u64::from(known),
        };
        ServiceRate {
            capacity: self.capacity(),
            service_time_ms: service_us / 1_000,
        }
    }
}
