//! New flows at an agent: given to the target, left to wait, passed on or refused.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    agent::{AgentCore, AgentVerdict},
    decision::{Decision, Reason},
    notices::Notice,
    syn_queue::{HANDSHAKE_MS, Pace, WaitingSyn},
};
use crate::{
    flow::packet::{FlowKey, HopMetadata, PacketFormat, Segment},
    membership::{
        directory::Member,
        instance::TargetState,
        rendezvous::{flow_hash, tag},
    },
    placement::{self, Candidate, Request},
};

/// Agents that a SYN is offered to at most.
const MAX_PLACEMENTS: u8 = 3;
/// Agents that a SYN is given to at most, with those that kept a slot for it.
const MAX_GRANTS: u8 = 16;
/// Age of a sibling's report up to which it tells which slots are free: about one service time.
const MAX_REPORT_AGE_MS: u64 = 40;
/// The same where the other's report is older.
const PASS_ON_STALE_PERCENT: u64 = 50;
/// Time in which a sibling with a free slot answers a request for it, with room for a paused
/// process: a round trip between failure domains takes two milliseconds.
const GRANT_WAIT_MS: u64 = 4;
/// Requests beyond those expected to end during a handshake that are admitted to a busy target, so
/// that its slots are not idle when some end early.
const SPARE_REQUESTS: u32 = 1;
/// Service time, as a multiple of the service's usual one, from which on a target gets no requests
/// beyond its slots: it has stalled.
const STALLED_FACTOR: u64 = 3;
/// Part of the own cost at which another target is better by more than the hop is worth, percent.
const PASS_ON_PERCENT: u64 = 80;

impl<F: PacketFormat> AgentCore<F> {
    /// Decides on a SYN: the target gets it if a slot is free, another target if that one is
    /// better by far; otherwise it waits.
    pub(super) fn syn(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        if hop.tried > 0 {
            self.slots.grant_used();
        }
        let service = self.service();
        let is_ours = service
            .as_deref()
            .is_some_and(|name| tag(name) == hop.service_tag);
        if !is_ours || !self.target.takes_syn(now_ms) {
            return self.pass_on(datagram, segment, hop, false, now_ms);
        }
        if self.waiting.contains(flow) {
            return AgentVerdict::Drop;
        }
        if hop.tried == 0
            && self.busy() >= self.capacity()
            && self.is_better_elsewhere(flow, now_ms)
        {
            return self.pass_on(datagram, segment, hop, false, now_ms);
        }
        if !self.flows.contains(flow)
            && (!self.waiting.is_empty() || self.flows.running() >= self.capacity())
        {
            return self.wait(datagram, segment, hop, now_ms);
        }
        self.admit(flow, hop, 0, now_ms);
        AgentVerdict::Target
    }

    fn admit(&mut self, flow: FlowKey, hop: HopMetadata, waited_ms: u64, now_ms: u64) {
        self.flows.syn(flow, waited_ms, now_ms);
        self.target.syn_sent(now_ms);
        self.tell_entry(flow, hop);
    }

    /// Lets a SYN wait for a slot, or refuses it if none will be free in time.
    fn wait(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let age_ms = self.format.attempt_age_ms(segment);
        let syn = WaitingSyn {
            flow: segment.caller_flow(),
            datagram: datagram.to_vec(),
            arrived_at_ms: now_ms,
            began_at_ms: now_ms.saturating_sub(age_ms),
            ends_at_ms: now_ms + F::OPEN_TIMEOUT_MS.saturating_sub(age_ms),
            aim_ms: hop.target_latency_ms.into(),
            priority: hop.priority,
        };
        let pace = self.pace(now_ms);
        let is_refused = self.waiting.push(syn, now_ms, pace).is_err();
        if is_refused && hop.tried + 1 < MAX_PLACEMENTS {
            return self.pass_on(datagram, segment, hop, false, now_ms);
        }
        if is_refused {
            let reason = Reason::NoSlotInTime {
                waiting: self.waiting.len(),
                service_ms: pace.service_ms,
            };
            return self.refuse(segment, segment.caller_flow(), reason);
        }
        self.peering.decisions.push(Decision::Waits {
            flow: segment.caller_flow(),
            running: self.flows.running(),
            waiting: self.waiting.len(),
        });
        self.tell_entry(segment.caller_flow(), hop);
        self.request_slots(now_ms);
        AgentVerdict::Drop
    }

    /// Gives waiting SYNs to the target while it has slots, or to another target that has.
    pub fn release(&mut self, now_ms: u64) {
        self.flows.expire_openings(now_ms);
        self.pass_unanswered(now_ms);
        let reason = Reason::AttemptEnded;
        let expired = self.waiting.expired(now_ms);
        let ended = expired.map(|syn| Decision::Dropped {
            flow: syn.flow,
            reason,
        });
        self.peering.decisions.extend(ended);
        while !self.waiting.is_empty() {
            let is_free =
                self.target.takes_syn(now_ms) && self.flows.running() < self.admitted(now_ms);
            if !is_free && !self.is_free_elsewhere(now_ms) {
                return;
            }
            let pace = self.pace(now_ms);
            let Some(mut syn) = self.waiting.take(now_ms, pace) else {
                return;
            };
            let hop = self.format.read_hop_metadata(&syn.datagram);
            let may_move = hop.tried + 1 < MAX_PLACEMENTS;
            let verdict = match self.format.decode(&syn.datagram) {
                _ if is_free => {
                    let waited_ms = now_ms.saturating_sub(syn.arrived_at_ms);
                    self.peering.decisions.push(Decision::Admitted {
                        flow: syn.flow,
                        waited_ms,
                        running: self.flows.running(),
                    });
                    self.admit(syn.flow, hop, waited_ms, now_ms);
                    AgentVerdict::Target
                }
                Some(segment) if may_move => {
                    self.pass_on(&mut syn.datagram, &segment, hop, false, now_ms)
                }
                Some(_) => {
                    self.waiting.put_back(syn);
                    return;
                }
                None => AgentVerdict::Drop,
            };
            self.released.push((syn.datagram, verdict));
        }
    }

    /// Asks some siblings for a slot while SYNs wait, again and again.
    pub(super) fn request_slots(&mut self, now_ms: u64) {
        let Some(service) = self.service() else {
            return;
        };
        let siblings = self.slots.asked(&self.peering.directory, &service, now_ms);
        for sibling in siblings {
            self.peering.outbox.push(sibling, Notice::SlotRequest);
        }
    }

    /// Keeps free slots of the own target for the siblings that have asked.
    pub fn grant_slots(&mut self, now_ms: u64) {
        if self.target.state(now_ms) != TargetState::Ready || !self.waiting.is_empty() {
            return;
        }
        let free = self.capacity().saturating_sub(self.busy());
        while let Some(sibling) = self.slots.grant(free, now_ms) {
            self.peering.outbox.push(sibling, Notice::SlotGrant);
        }
    }

    /// Gives a SYN that waits to a sibling that keeps a slot for it.
    pub(super) fn use_grant(&mut self, from: SocketAddrV4, now_ms: u64) {
        let Some(sibling) = self.peering.directory.by_control_address(from) else {
            return;
        };
        let name = Arc::clone(&sibling.instance.name);
        let address = sibling.instance.packet_address;
        let pace = self.pace(now_ms);
        let Some(mut syn) = self.waiting.take(now_ms, pace) else {
            return;
        };
        let hop = self.format.read_hop_metadata(&syn.datagram);
        let hop = HopMetadata {
            tried: hop.tried + 1,
            ..hop
        };
        if hop.tried >= MAX_GRANTS {
            self.waiting.put_back(syn);
            return;
        }
        self.format.write_hop_metadata(&mut syn.datagram, hop);
        self.peering.decisions.push(Decision::PassedOn {
            flow: syn.flow,
            agent: name,
            is_returned: false,
            running: self.busy(),
        });
        let verdict = AgentVerdict::Instance(address);
        self.released.push((syn.datagram, verdict));
    }

    /// SYNs that have waited, with what happens to them now.
    pub fn released(&mut self) -> Vec<(Vec<u8>, AgentVerdict<F::Reset>)> {
        std::mem::take(&mut self.released)
    }

    /// Whether another target of the service has an unused slot.
    fn is_free_elsewhere(&self, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        self.peering.directory.members().iter().any(|member| {
            member.serves(&service)
                && !self.peering.directory.is_local(member)
                && member.load.state == TargetState::Ready
                && member.load_age_ms(now_ms) <= MAX_REPORT_AGE_MS
                && member.load.running + member.placed_since_report < member.load.capacity
        })
    }

    fn is_better_elsewhere(&self, flow: FlowKey, now_ms: u64) -> bool {
        let Some(service) = self.service() else {
            return false;
        };
        let Some(other) = self.other_target(&service, flow, now_ms) else {
            return false;
        };
        let percent = if other.load_age_ms(now_ms) <= MAX_REPORT_AGE_MS {
            PASS_ON_PERCENT
        } else {
            PASS_ON_STALE_PERCENT
        };
        let is_remote = other.instance.failure_domain != self.peering.own().failure_domain;
        let theirs = Candidate::new(&other.load, other.placed_since_report, is_remote);
        let load = self.load(now_ms);
        let ours = Candidate::new(&load, 0, false);
        let usual_us = placement::usual_service_time_us(&self.peering.directory, &service);
        placement::cost_us(&theirs, usual_us) * 100 < placement::cost_us(&ours, usual_us) * percent
    }

    fn other_target(&self, service: &str, flow: FlowKey, now_ms: u64) -> Option<&Member> {
        let request = Request {
            service,
            failure_domain: &self.peering.own().failure_domain,
            excluded: Some(&self.peering.own().name),
            hash: flow_hash(flow),
            now_ms,
        };
        placement::choose(&self.peering.directory, request)
    }

    /// Service that a SYN was routed to.
    fn routed_service(&self, hop: HopMetadata) -> Option<Arc<str>> {
        let own = self.service();
        if hop.service_tag == 0
            || own
                .as_deref()
                .is_some_and(|name| tag(name) == hop.service_tag)
        {
            return own;
        }
        let members = self.peering.directory.members().iter();
        let mut services = members.filter_map(|member| member.load.service.clone());
        services.find(|name| tag(name) == hop.service_tag)
    }

    /// Gives a SYN that the own target does not take to another agent, or refuses it.
    pub(super) fn pass_on(
        &mut self,
        datagram: &mut [u8],
        segment: &Segment,
        hop: HopMetadata,
        is_returned: bool,
        now_ms: u64,
    ) -> AgentVerdict<F::Reset> {
        let flow = segment.caller_flow();
        let service = self.routed_service(hop);
        let other = service
            .as_deref()
            .filter(|_| hop.tried + 1 < MAX_PLACEMENTS)
            .and_then(|service| self.other_target(service, flow, now_ms));
        let Some(other) = other else {
            return self.refuse(segment, flow, Reason::AllTargetsRefused);
        };
        let address = other.instance.packet_address;
        let name = Arc::clone(&other.instance.name);
        let hop = HopMetadata {
            tried: hop.tried + 1,
            service_tag: service.as_deref().map_or(0, tag),
            ..hop
        };
        self.format.write_hop_metadata(datagram, hop);
        self.peering.directory.count_placed(&name);
        self.peering.decisions.push(Decision::PassedOn {
            flow,
            agent: name,
            is_returned,
            running: self.busy(),
        });
        AgentVerdict::Instance(address)
    }

    pub(super) fn refuse(
        &mut self,
        segment: &Segment,
        flow: FlowKey,
        reason: Reason,
    ) -> AgentVerdict<F::Reset> {
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
        });
        AgentVerdict::Reset(flow.caller, self.format.reset(flow, 0))
    }

    /// Requests that the target may have at once. When no sibling has granted a slot, those whose
    /// callers have yet to send them come on top: the slots would be idle during the handshake.
    fn admitted(&self, now_ms: u64) -> u32 {
        let capacity = self.capacity();
        if self.waiting.longest_wait_ms(now_ms) < GRANT_WAIT_MS {
            return capacity;
        }
        let service_ms = self.pace(now_ms).service_ms.max(1);
        let usual_us = self.service().map_or(0, |service| {
            placement::usual_service_time_us(&self.peering.directory, &service)
        });
        if service_ms * 1_000 >= usual_us * STALLED_FACTOR {
            return capacity;
        }
        let ending = (u64::from(capacity) * HANDSHAKE_MS).div_ceil(service_ms);
        let ending = u32::try_from(ending).unwrap_or(u32::MAX).min(capacity);
        capacity + ending + SPARE_REQUESTS
    }

    fn pace(&self, now_ms: u64) -> Pace {
        let service_us = match self.flows.service_time_us(now_ms) {
            0 => placement::DEFAULT_SERVICE_TIME_US,
            known => u64::from(known),
        };
        Pace {
            capacity: self.capacity(),
            service_ms: service_us / 1_000,
        }
    }
}
