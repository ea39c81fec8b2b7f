//! Packet handling of an agent: packets from balancers, from other agents and from its local
//! target.
//!
//! The target is authoritative for the flows it holds and returns every other packet. The agent
//! also stores the owners of the flows that hash to it, so that a balancer without an entry for a
//! flow can look up its owner.

use std::{net::SocketAddrV4, sync::Arc};

use super::{
    flows::{AgentFlows, CallerPacket, ResponseTiming},
    probe::ProbePacket,
    slot_requests::SlotRequests,
    suspicion::{self, Outcome, Suspicion, SuspicionChange, class_tag},
    syn_queue::SynQueue,
    target::{Heartbeat, HeartbeatOutcome, Target},
    target_check::{CheckOutcome, CheckResult, StartedCheck},
    warmup::{self, ColdBounds, ColdTarget, SynWindow},
};
use crate::{
    control::store::StoreEra,
    flow::{
        packet::{FlowKey, HopMetadata, PacketFormat},
        routes::{RouteTable, RouteVersion},
        table::FlowTable,
    },
    forward::{
        absence::{FlowAbsence, TargetAnswer},
        decision::{Decision, SearchGap, SuspicionReport},
        notices::{Notice, OwnerEvidence},
        peering::{MAX_LOAD_INTERVAL_MS, Peering},
    },
    membership::{
        directory::{MemberChange, REGISTERED_AGAIN_MS},
        instance::{Instance, InstanceRole, TargetLoad, TargetState},
    },
    placement,
};

/// Time after startup during which other instances may still be undiscovered.
const DISCOVERY_MS: u64 = 500;
/// Time after startup during which the agent waits to learn which failure domains are evacuated.
/// After that nothing can be learned, because neither the store nor another instance answers.
const EVACUATIONS_TIMEOUT_MS: u64 = 1_000;
/// Interval between two sweeps of the flow tables.
const SWEEP_INTERVAL_MS: u64 = 500;
/// Time for which the owner of a flow is stored without a new registration. Owners register their
/// flows again well before this expires.
const REGISTRATION_TTL_MS: u64 = 60_000;

/// Interval between two comparisons with the siblings, and between two load reports with responses by
/// class, so that load reports grow little.
const SUSPICION_INTERVAL_MS: u64 = 200;
/// Time between two ticks from which this process counts as having been paused. Responses may then be
/// unread, so no request is taken to be missing its response.
const MAX_TICK_GAP_MS: u64 = 200;
/// Time for which the agent that a SYN was redirected to is stored. By then the flow is registered.
const REDIRECT_TTL_MS: u64 = 10_000;

/// Outcome of the handling of a packet by an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AgentVerdict<R> {
    /// Send the packet to the local target.
    Target,
    /// Send the packet to the instance with this packet address.
    Instance(SocketAddrV4),
    /// Send the packet to the caller at this address.
    Caller(SocketAddrV4),
    /// Send this reset to the caller at this address instead of forwarding the packet.
    Reset(SocketAddrV4, R),
    /// Send nothing: the packet was dropped, or it is a SYN that was queued.
    Drop,
}

/// State of an agent, without sockets or a clock of its own.
#[derive(Debug)]
pub struct AgentCore<F: PacketFormat> {
    /// Membership state shared with balancers.
    pub peering: Peering,
    /// The local target.
    pub target: Target,
    pub(super) format: F,
    /// Flows of the local target.
    pub(super) flows: AgentFlows,
    /// Owners of the flows for which this agent is a registry agent, as registered by themselves.
    pub(super) flow_owners: FlowTable,
    /// Owners of flows according to others, or to incarnations of the owners that have exited.
    pub(super) recovered_owners: FlowTable,
    /// Flows that an earlier incarnation of this agent has registered and that the target may still
    /// hold.
    pub(super) recovered_flows: FlowTable,
    /// Agents that SYNs were redirected to.
    pub(super) redirects: FlowTable,
    /// Time at which the full list of instances was first read from the store; `None` before.
    members_known_at_ms: Option<u64>,
    /// Why the view of the agents was incomplete at the last tick; `None` if it was complete.
    reported_gap: Option<SearchGap>,
    /// Version of the newest known route table.
    pub(super) route_version: RouteVersion,
    /// The newest known route table, of which only the figures of the services are used.
    routes: Arc<RouteTable>,
    /// Bounds from the settings for the SYNs that a cold target is sent.
    cold_bounds: ColdBounds,
    /// SYNs that the target was sent lately.
    pub(super) syn_window: SynWindow,
    /// Limits of the cold target at the last check; `None` if it was warm.
    logged_cold: Option<ColdTarget>,
    /// Time without packets after which an open flow is removed; `REGISTRATION_TTL_MS` until the
    /// first route table.
    pub(super) idle_timeout_ms: u64,
    /// Load in the most recent report to other instances.
    pub(super) reported_load: TargetLoad,
    /// Time of that report.
    pub(super) load_reported_at_ms: u64,
    /// Directory generation at the last registration of all open flows.
    pub(super) registered_generation: u64,
    /// Time of the last registration of all open flows.
    pub(super) flows_registered_at_ms: u64,
    /// Time of the last sweep of the flow tables.
    pub(super) swept_at_ms: u64,
    /// SYNs waiting for a slot of the target.
    pub(super) syn_queue: SynQueue,
    /// Time of the last check whether the queue grows, and its length then.
    pub(super) queue_checked: (u64, usize),
    /// Slot requests and grants exchanged with the sibling agents, which are the other agents of
    /// the service.
    pub(super) slot_requests: SlotRequests,
    /// Whether the local target seems to fail requests.
    pub(super) suspicion: Suspicion,
    /// Time of the last comparison with the siblings.
    compared_at_ms: u64,
    /// Time of the last load report with responses by class.
    classes_reported_at_ms: u64,
    /// Whether the suspicion has changed since the last load report.
    is_suspicion_unreported: bool,
    /// Time of the last tick.
    ticked_at_ms: u64,
    /// Packets of unknown flows that were sent to the target.
    pub(super) probes: Vec<ProbePacket>,
    /// Packets that were held back and are now ready to be sent, with their verdicts.
    pub(super) dispatched: Vec<(Vec<u8>, AgentVerdict<F::Reset>)>,
}

impl<F: PacketFormat> AgentCore<F> {
    /// Creates an agent that has received nothing from its target yet.
    #[must_use]
    pub fn new(
        format: F,
        local_instance: Instance,
        seeds: Vec<SocketAddrV4>,
        target: Target,
        now_ms: u64,
    ) -> Self {
        Self {
            peering: Peering::new(local_instance, seeds, now_ms),
            target,
            format,
            flows: AgentFlows::new(),
            flow_owners: FlowTable::new(),
            recovered_owners: FlowTable::new(),
            recovered_flows: FlowTable::new(),
            redirects: FlowTable::new(),
            members_known_at_ms: None,
            reported_gap: Some(SearchGap::InstancesUnknown),
            route_version: RouteVersion::default(),
            routes: Arc::new(RouteTable::default()),
            cold_bounds: ColdBounds::default(),
            syn_window: SynWindow::new(now_ms),
            logged_cold: None,
            idle_timeout_ms: REGISTRATION_TTL_MS,
            reported_load: TargetLoad::default(),
            load_reported_at_ms: now_ms,
            registered_generation: 0,
            flows_registered_at_ms: now_ms,
            swept_at_ms: now_ms,
            syn_queue: SynQueue::new(),
            queue_checked: (now_ms, 0),
            slot_requests: SlotRequests::new(),
            suspicion: Suspicion::new(),
            compared_at_ms: now_ms,
            classes_reported_at_ms: now_ms,
            is_suspicion_unreported: false,
            ticked_at_ms: now_ms,
            probes: Vec::new(),
            dispatched: Vec::new(),
        }
    }

    /// Sets the bounds for the SYNs that a cold target is sent.
    #[must_use]
    pub fn with_cold_bounds(mut self, cold_bounds: ColdBounds) -> Self {
        self.cold_bounds = cold_bounds;
        self
    }

    /// Applies the version, the idle timeout and the warm-up figures of a route table if it is newer
    /// than the current one.
    pub fn set_routes(&mut self, routes: &Arc<RouteTable>) {
        let version = routes.version();
        if version > self.route_version {
            self.peering.decisions.push(Decision::RoutesChanged {
                version,
                previous: self.route_version,
                len: 0,
            });
            self.route_version = version;
            self.idle_timeout_ms = routes.idle_timeout_ms();
            self.peering.limits_cold_targets = routes.limits_cold_targets();
            self.routes = Arc::clone(routes);
        }
    }

    /// Whether another instance has routes that limit the new flows of cold targets, while this agent
    /// has none yet.
    #[must_use]
    pub fn awaits_limits(&self, now_ms: u64) -> bool {
        let mut members = self.peering.directory.members().iter();
        self.route_version.number == 0
            && members.any(|member| member.limits_cold_targets && member.is_staying(now_ms))
    }

    /// Version of the newest route table known to the agent; 0 before the first one.
    #[must_use]
    pub fn route_version(&self) -> RouteVersion {
        self.route_version
    }

    /// Returns the responses that have started since the last call.
    pub fn take_responses(&mut self) -> Vec<ResponseTiming> {
        self.flows.take_responses()
    }

    /// Number of flows that the target is known to hold, including those in their handshake.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    pub(super) fn service(&self) -> Option<Arc<str>> {
        self.target.service().map(Arc::clone)
    }

    /// Number of requests that the target runs concurrently. Until its first heartbeat, the
    /// smallest capacity reported by the other agents of the service is used, or 1 if there is
    /// none.
    pub(super) fn capacity(&self) -> u32 {
        if let Some(heartbeat) = self.target.last_heartbeat() {
            return heartbeat.capacity;
        }
        let Some(service) = self.target.service() else {
            return 1;
        };
        let directory = &self.peering.directory;
        let members = directory.members().iter();
        let siblings = members.filter(|m| m.serves(service) && !directory.is_local(m));
        let capacities = siblings.map(|member| member.load.capacity);
        capacities.min().unwrap_or(1).max(1)
    }

    /// Time at which the failure domain of this agent was last returned to service from an evacuation;
    /// `None` if it was not in the lifetime of this process.
    fn domain_returned_at_ms(&self) -> Option<u64> {
        let domain = &self.peering.local_instance().failure_domain;
        self.peering.evacuations.returned_at_ms(domain)
    }

    /// Limits for the SYNs that the target is sent now; `None` if it is warm or its service has no
    /// limit.
    pub(super) fn cold_target(&self, now_ms: u64) -> Option<ColdTarget> {
        let warm_up = self.routes.warm_up(self.target.service()?)?;
        let heartbeat = self.target.last_heartbeat();
        let heartbeat_left_ms = heartbeat.map(|_| self.target.cold_left_ms(now_ms));
        let returned_at_ms = self.domain_returned_at_ms();
        ColdTarget::new(
            warm_up,
            self.cold_bounds,
            heartbeat_left_ms,
            returned_at_ms,
            now_ms,
        )
    }

    /// Remaining time for which the target is slow, in milliseconds; 0 if it is not slow.
    fn cold_left_ms(&self, now_ms: u64) -> u64 {
        let service = self.target.service();
        let warm_up = service.and_then(|service| self.routes.warm_up(service));
        let returned_left_ms = warm_up.map_or(0, |warm_up| {
            warmup::returned_left_ms(warm_up, self.domain_returned_at_ms(), now_ms)
        });
        self.target.cold_left_ms(now_ms).max(returned_left_ms)
    }

    /// Number of SYNs that the target may be sent now, queued ones included; `None` if there is no
    /// limit.
    pub(super) fn cold_allowance(&self, now_ms: u64) -> Option<u32> {
        let cold = self.cold_target(now_ms)?;
        Some(self.syn_window.allowance(cold, now_ms))
    }

    /// Logs that the target has become cold or warm, or that its limits have changed.
    fn record_warmth(&mut self, now_ms: u64) {
        let cold = self.cold_target(now_ms);
        let limits = |cold: ColdTarget| (cold.rate_per_1000_s, cold.limit, cold.left_ms.is_some());
        if cold.map(limits) == self.logged_cold.map(limits) {
            return;
        }
        self.logged_cold = cold;
        let heartbeat = self.target.last_heartbeat();
        let sequence = heartbeat.map_or(0, |heartbeat| heartbeat.sequence);
        let route_version = self.route_version.number;
        let decision = match cold {
            Some(cold) => Decision::TargetCold {
                cold,
                is_returned_domain: self.cold_left_ms(now_ms) > self.target.cold_left_ms(now_ms),
                sequence,
                route_version,
            },
            None => Decision::TargetWarm {
                sequence,
                route_version,
            },
        };
        self.peering.decisions.push(decision);
    }

    /// Occupied slots of the target plus queued SYNs.
    pub(super) fn outstanding_requests(&self) -> u32 {
        self.flows.running() + u32::try_from(self.syn_queue.len()).unwrap_or(u32::MAX)
    }

    /// Current load of the target, as reported to other instances.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> TargetLoad {
        let state = self.target.state(now_ms);
        let queued = u32::try_from(self.syn_queue.len()).unwrap_or(u32::MAX);
        let known_flows = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
        let flows = if self.target.has_exited() {
            0
        } else if state == TargetState::Draining
            || self.target.may_hold_earlier_flows()
            || self.target.checks.is_leaving() && !self.recovered_flows.is_empty()
        {
            // It may hold idle flows that this process has not seen since its start.
            known_flows.max(1)
        } else {
            known_flows
        };
        TargetLoad {
            state,
            service: self.service(),
            capacity: self.capacity(),
            running: self.outstanding_requests(),
            flows,
            service_time_us: self.flows.service_time_us(now_ms),
            cold_left_ms: u32::try_from(self.cold_left_ms(now_ms)).unwrap_or(u32::MAX),
            cold_allowance: self
                .cold_allowance(now_ms)
                .map(|allowance| allowance.saturating_sub(queued)),
            is_suspect: self.suspicion.is_suspect(now_ms),
            class_responses: Vec::new(),
        }
    }

    /// Whether the instance stays registered in the store when this process stops, because its
    /// target may hold flows. Agents that start before this one restarts then know that it may
    /// return.
    #[must_use]
    pub fn stays_registered(&self, now_ms: u64) -> bool {
        let may_hold_flows = self.target.is_known() || self.target.checks.may_hold_flows();
        !self.target.has_exited() && (may_hold_flows || self.load(now_ms).flows > 0)
    }

    /// Handles a packet from a balancer or another agent.
    pub fn handle_inbound(&mut self, datagram: &mut [u8], now_ms: u64) -> AgentVerdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return AgentVerdict::Drop;
        };
        let hop = self.format.read_hop_metadata(datagram);
        let flow = segment.caller_flow();
        if segment.opens_flow() {
            return self.handle_syn(datagram, &segment, hop, now_ms);
        }
        match self
            .flows
            .record_caller_packet(flow, &segment, datagram, now_ms)
        {
            CallerPacket::Known {
                completes_handshake,
                starts_request,
            } => {
                if starts_request {
                    self.peering.decisions.push(Decision::RequestForwarded {
                        flow,
                        request: self.format.request_id(datagram).map(Into::into),
                        running: self.flows.running(),
                    });
                }
                if completes_handshake {
                    self.register_flow(flow, OwnerEvidence::Registered, now_ms);
                }
                self.notify_entry_balancer(flow, hop);
                AgentVerdict::Target
            }
            CallerPacket::Unknown => self.handle_unknown_flow(datagram, &segment, hop, now_ms),
        }
    }

    /// Handles a packet sent by the local target.
    pub fn handle_outbound(&mut self, datagram: &mut [u8], now_ms: u64) -> AgentVerdict<F::Reset> {
        let Some(segment) = self.format.decode(datagram) else {
            return AgentVerdict::Drop;
        };
        self.target.record_activity();
        if !segment.flags.returned {
            let flow = segment.target_flow();
            if segment.flags.rst {
                let is_held = self.flows.is_opened(flow);
                self.peering
                    .decisions
                    .push(Decision::TargetReset { flow, is_held });
                if !is_held {
                    self.flows.remove(flow, now_ms);
                    self.recovered_flows.remove(flow);
                    self.resume_denied(flow, now_ms);
                    return AgentVerdict::Drop;
                }
            }
            let answers_data = self.has_sent_only_data(flow);
            let shows_life = self.flows.shows_life(flow, &segment, answers_data);
            if shows_life {
                self.target.record_packet(now_ms);
            }
            self.probes.retain(|packet| packet.flow != flow);
            let is_bare = segment.data_len == 0
                && !segment.flags.syn
                && !segment.flags.fin
                && !segment.flags.rst;
            if is_bare && !shows_life && !self.flows.is_opened(flow) {
                return AgentVerdict::Caller(segment.destination);
            }
            let packet = self.flows.record_target_packet(flow, &segment, now_ms);
            if let Some(outcome) = packet.outcome {
                self.record_outcome(flow, outcome, now_ms);
            }
            if packet.adds_flow {
                self.recovered_flows.remove(flow);
                self.register_flow(flow, OwnerEvidence::Registered, now_ms);
            }
            return AgentVerdict::Caller(segment.destination);
        }
        let hop = self.format.read_hop_metadata(datagram);
        let flow = segment.caller_flow();
        let open_caller_ack = self.flows.open_caller_ack(flow);
        self.flows.remove(flow, now_ms);
        self.recovered_flows.remove(flow);
        self.probes.retain(|packet| packet.flow != flow);
        if segment.opens_flow() {
            return self.redirect_syn(datagram, &segment, hop, true, now_ms);
        }
        if let Some(sequence) = open_caller_ack {
            let absence = FlowAbsence::from_holder();
            return self.reset_flow(flow, sequence, hop, absence);
        }
        self.continue_search(datagram, &segment, hop, TargetAnswer::Denied, now_ms)
    }

    /// Records that the full list of instances has been read from the store. Until then a failed
    /// search for a flow does not prove that no agent holds it.
    ///
    /// A list that is read soon after a restore lacks running instances. How long ago the store was
    /// restored is not known, so an agent that starts relies only on a later list.
    pub fn set_members_known(&mut self, era: StoreEra, now_ms: u64) {
        let is_settled = self.peering.uptime_ms(now_ms) >= REGISTERED_AGAIN_MS;
        if !era.is_after_restore() || is_settled {
            self.members_known_at_ms.get_or_insert(now_ms);
        }
    }

    /// Why agents that may hold flows may be unknown to this one; `None` if its view is complete.
    /// It rests on the store's list and on the knowledge of the instances that have been running for
    /// longest, since the store may have lost the entry of an agent that is away.
    pub(super) fn view_gap(&self, now_ms: u64) -> Option<SearchGap> {
        let Some(known_at_ms) = self.members_known_at_ms else {
            return Some(SearchGap::InstancesUnknown);
        };
        let listed_for_ms = now_ms.saturating_sub(known_at_ms);
        let gap = self.peering.history_gap(listed_for_ms, now_ms)?;
        Some(SearchGap::HistoryUnknown(gap))
    }

    /// Reports when the view of the agents becomes complete or incomplete.
    fn report_view(&mut self, now_ms: u64) {
        let gap = self.view_gap(now_ms);
        if gap == self.reported_gap {
            return;
        }
        self.peering.decisions.push(Decision::ViewChanged {
            gap: gap.clone(),
            history_ms: self.peering.history_ms(now_ms),
            uptime_ms: self.peering.uptime_ms(now_ms),
            members: self.peering.directory.members().len(),
        });
        self.reported_gap = gap;
    }

    /// Applies a heartbeat of the target. Returns `false` if it was stale and ignored.
    pub fn handle_heartbeat(&mut self, heartbeat: Heartbeat, now_ms: u64) -> bool {
        let (id, sequence) = (Arc::clone(&heartbeat.id), heartbeat.sequence);
        let before = self.target.state(now_ms);
        let outcome = self.target.apply_heartbeat(heartbeat, now_ms);
        self.flows.set_capacity(self.capacity());
        if outcome == HeartbeatOutcome::Restarted {
            let change = self.suspicion.restart_target(now_ms);
            self.push_suspicion(change, now_ms);
            self.probe_open_flows();
        }
        self.record_warmth(now_ms);
        let state = self.target.state(now_ms);
        if matches!(
            outcome,
            HeartbeatOutcome::StateChanged | HeartbeatOutcome::Restarted
        ) || before != state
        {
            self.peering.decisions.push(Decision::TargetChanged {
                target: id,
                state,
                sequence,
            });
            self.broadcast_state(now_ms);
        }
        outcome != HeartbeatOutcome::Stale
    }

    /// Handles the target's announcement that it is exiting.
    pub fn handle_target_exit(&mut self, id: &str, now_ms: u64) {
        if self.target.apply_exit(id) {
            self.peering.decisions.push(Decision::TargetChanged {
                target: id.into(),
                state: TargetState::Draining,
                sequence: 0,
            });
            self.broadcast_state(now_ms);
        }
    }

    /// Announces that this agent is about to exit.
    pub fn stop(&mut self, now_ms: u64) {
        self.target.checks.leave(now_ms);
        let load = Some(self.load(now_ms));
        self.peering.leave(self.route_version, load, now_ms);
    }

    /// Whether the agent knows open flows, or flows of its earlier incarnation, that the target may hold.
    fn may_hold_known_flows(&self) -> bool {
        !self.recovered_flows.is_empty() || self.flows.open_flows().next().is_some()
    }

    /// Applies the result of a check whether the target's process is running.
    pub fn handle_target_check(&mut self, check: StartedCheck, result: CheckResult, now_ms: u64) {
        let before = self.load(now_ms);
        self.target.checks.record_flows(self.may_hold_known_flows());
        self.target.checks.record_result(check, result);
        let outcome = CheckOutcome {
            used_for: check.used_for,
            result,
            took_ms: now_ms.saturating_sub(check.started_at_ms),
            is_proof: self.target.checks.is_proof(now_ms),
        };
        self.peering
            .decisions
            .push(Decision::TargetChecked(outcome));
        let after = self.load(now_ms);
        if before.state != after.state || (before.flows == 0) != (after.flows == 0) {
            self.broadcast_state(now_ms);
        }
        self.reset_flows_of_ended_target(now_ms);
    }

    /// Resets the open flows of a target that has ended, so that their callers learn of it before they
    /// send the next request.
    fn reset_flows_of_ended_target(&mut self, now_ms: u64) {
        let open: Vec<_> = self.flows.open_flows().collect();
        for flow in open {
            let Some(absence) = FlowAbsence::from_ended_holder(&self.target.checks) else {
                return;
            };
            let Some(sequence) = self.flows.open_caller_ack(flow) else {
                continue;
            };
            self.flows.remove(flow, now_ms);
            let verdict = self.reset_flow(flow, sequence, HopMetadata::default(), absence);
            self.dispatched.push((Vec::new(), verdict));
        }
    }

    /// Asks a new incarnation of the target which of the open flows it holds. It may have opened
    /// some of them before its first heartbeat; it returns the packets of the others, which were
    /// lost with the previous incarnation.
    fn probe_open_flows(&mut self) {
        let packets = self.flows.restart_target().into_iter();
        let packets = packets.map(|datagram| (datagram, AgentVerdict::Target));
        self.dispatched.extend(packets);
    }

    /// Records the outcome of a request at the local target.
    fn record_outcome(&mut self, flow: FlowKey, outcome: Outcome, now_ms: u64) {
        let change = self.suspicion.record(flow, outcome, now_ms);
        self.push_suspicion(change, now_ms);
    }

    /// Adds a change of the suspicion to the decisions. The next tick reports it.
    fn push_suspicion(&mut self, change: Option<SuspicionChange>, now_ms: u64) {
        let Some(change) = change else {
            return;
        };
        self.is_suspicion_unreported = true;
        let service = self.service().unwrap_or_default();
        let directory = &self.peering.directory;
        let (suspects, targets) = placement::count_suspects(directory, &service, now_ms);
        let report = SuspicionReport {
            change,
            suspects,
            targets,
        };
        self.peering
            .decisions
            .push(Decision::SuspicionChanged(report));
    }

    /// Finds requests without a response, and compares the responses with those of the siblings when
    /// that is due.
    fn update_suspicion(&mut self, now_ms: u64) {
        let since_tick_ms = now_ms.saturating_sub(self.ticked_at_ms);
        self.ticked_at_ms = now_ms;
        if since_tick_ms > MAX_TICK_GAP_MS {
            self.flows.forget_recent_requests();
        }
        self.suspicion.tick(now_ms);
        let suspicion = &self.suspicion;
        let limit = |flow: FlowKey| suspicion.missing_after_ms(class_tag(flow.service));
        for (flow, waited_ms) in self.flows.take_missing(limit, now_ms) {
            self.record_outcome(flow, Outcome::Missing { waited_ms }, now_ms);
        }
        if now_ms.saturating_sub(self.compared_at_ms) < SUSPICION_INTERVAL_MS {
            return;
        }
        self.compared_at_ms = now_ms;
        let Some(service) = self.service() else {
            return;
        };
        let directory = &self.peering.directory;
        let siblings = directory.members().iter().filter(|member| {
            let age_ms = now_ms.saturating_sub(member.class_responses_at_ms);
            member.serves(&service)
                && !directory.is_local(member)
                && !member.load.is_suspect
                && age_ms <= suspicion::FIGURES_TTL_MS
        });
        let reports = siblings.map(|member| &member.class_responses[..]);
        let references = suspicion::class_references(reports);
        let change = self.suspicion.set_references(references, now_ms);
        self.push_suspicion(change, now_ms);
    }

    /// Sends a load report when it is due, at once if the suspicion has changed.
    fn report_load(&mut self, load: TargetLoad, now_ms: u64) {
        let since_report_ms = now_ms.saturating_sub(self.load_reported_at_ms);
        let is_due = since_report_ms >= self.peering.load_interval_ms();
        // A load report also serves as a liveness signal, so it is sent even when nothing has
        // changed.
        let is_changed = load.running != self.reported_load.running
            || load.cold_allowance != self.reported_load.cold_allowance
            || load.is_suspect != self.reported_load.is_suspect;
        let is_overdue = since_report_ms >= u64::from(MAX_LOAD_INTERVAL_MS);
        if !self.is_suspicion_unreported && !(is_due && (is_changed || is_overdue)) {
            return;
        }
        self.is_suspicion_unreported = false;
        let since_classes_ms = now_ms.saturating_sub(self.classes_reported_at_ms);
        let class_responses = if since_classes_ms >= SUSPICION_INTERVAL_MS {
            self.classes_reported_at_ms = now_ms;
            self.suspicion.class_responses(now_ms)
        } else {
            Vec::new()
        };
        self.peering.broadcast_load(&load, &class_responses);
        self.reported_load = load;
        self.load_reported_at_ms = now_ms;
    }

    /// Sends the current presence and load to all known instances.
    fn broadcast_state(&mut self, now_ms: u64) {
        let load = self.load(now_ms);
        self.reported_load = load.clone();
        self.load_reported_at_ms = now_ms;
        let version = self.route_version;
        self.peering.broadcast_presence(version, Some(load), now_ms);
    }

    /// Handles a notice from another instance.
    pub fn handle_notice(&mut self, from: SocketAddrV4, notice: Notice, now_ms: u64) {
        let version = self.route_version;
        match notice {
            Notice::Presence(presence, wants_members) => {
                if presence.receiver_was_draining {
                    self.target.record_draining();
                }
                let load = Some(self.load(now_ms));
                let sender = presence.instance.clone();
                let change =
                    self.peering
                        .handle_presence(*presence, wants_members, version, load, now_ms);
                if change == Some(MemberChange::Joined) && sender.role == InstanceRole::Agent {
                    self.return_flows(&sender);
                }
            }
            Notice::Load(load) => self.peering.handle_load(from, &load, now_ms),
            Notice::FlowOwner {
                owner,
                flows,
                evidence,
            } => self.record_owner(owner, flows, evidence, now_ms),
            Notice::SlotRequest => self.slot_requests.record_request(from, now_ms),
            Notice::SlotGrant => self.use_slot_grant(from, now_ms),
            Notice::Members(list) => {
                let load = self.load(now_ms);
                self.peering
                    .handle_members(from, &list, version, Some(&load), now_ms);
            }
        }
    }

    /// Runs the periodic work: reports, slot requests, registrations and sweeps.
    pub fn tick(&mut self, now_ms: u64) {
        self.target.checks.record_tick(now_ms);
        self.flows.set_capacity(self.capacity());
        self.record_warmth(now_ms);
        self.update_suspicion(now_ms);
        let load = self.load(now_ms);
        let version = self.route_version;
        let presence = self.peering.presence(version, Some(load.clone()), now_ms);
        self.peering.directory.update_local(presence, now_ms);
        if load.state != self.reported_load.state {
            if let Some(heartbeat) = self.target.last_heartbeat() {
                self.peering.decisions.push(Decision::TargetChanged {
                    target: Arc::clone(&heartbeat.id),
                    state: load.state,
                    sequence: heartbeat.sequence,
                });
            }
            self.broadcast_state(now_ms);
        }
        self.peering.tick(version, Some(load.clone()), now_ms);
        self.report_view(now_ms);
        self.peering.update_load_receivers(version, &load, now_ms);
        self.report_load(load, now_ms);
        if !self.syn_queue.is_empty() {
            self.request_slots(now_ms);
        }
        self.check_queue_growth(now_ms);
        self.reregister_flows(now_ms);
        if now_ms.saturating_sub(self.swept_at_ms) >= SWEEP_INTERVAL_MS {
            self.swept_at_ms = now_ms;
            self.flows.sweep(now_ms, self.idle_timeout_ms);
            self.flow_owners.remove_idle(now_ms, REGISTRATION_TTL_MS);
            self.recovered_owners
                .remove_idle(now_ms, REGISTRATION_TTL_MS);
            self.recovered_flows
                .remove_idle(now_ms, self.idle_timeout_ms);
            self.redirects.remove_idle(now_ms, REDIRECT_TTL_MS);
        }
    }

    /// Whether packets should be read from the socket yet. A freshly started agent leaves them in
    /// the socket buffer, because it discovers the other instances, learns from them which failure
    /// domains are evacuated, and fetches the routes within some tens of milliseconds.
    #[must_use]
    pub fn accepts_packets(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut agents = members.filter(|m| m.instance.role == InstanceRole::Agent);
        let uptime_ms = self.peering.uptime_ms(now_ms);
        let knows_agent = agents.any(|m| m.is_alive(now_ms) && !self.peering.directory.is_local(m));
        let knows_evacuations = self.peering.evacuations.is_known();
        (knows_agent && !self.awaits_limits(now_ms) || uptime_ms >= DISCOVERY_MS)
            && (knows_evacuations || uptime_ms >= EVACUATIONS_TIMEOUT_MS)
    }

    /// Whether a live balancer is known, so that callers can reach the target.
    #[must_use]
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let members = self.peering.directory.members().iter();
        let mut balancers = members.filter(|m| m.instance.role == InstanceRole::Balancer);
        balancers.any(|member| member.is_staying(now_ms))
    }
}
