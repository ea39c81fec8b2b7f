//! Forwarding decisions and state changes, as written to the log and counted.

use std::{net::SocketAddrV4, sync::Arc};

use slog::{Logger, info, warn};

use super::{
    absence::AbsenceGround,
    agent::suspicion::{Outcome, SuspicionChange},
    agent::target_check::CheckOutcome,
    agent::warmup::{ColdTarget, ColdWindow},
    evacuation::EvacuationSource,
    history::HistoryGap,
};
use crate::{
    flow::{
        packet::{FlowKey, Lookup},
        routes::RouteVersion,
    },
    membership::{
        directory::{AwaitReason, MemberChange},
        evacuation_set::EvacuationVersion,
        instance::TargetState,
    },
    observe::{
        counters::{Counters, Event},
        log::RateLimit,
    },
};

/// Maximum log lines per second about flows, per process; enough for every flow at current loads.
const FLOW_LINES_PER_SECOND: u32 = 300;
/// Maximum log lines per second about resets to callers, per process.
const RESET_LINES_PER_SECOND: u32 = 100;
/// Maximum log lines per second about other instances, per process.
const MEMBER_LINES_PER_SECOND: u32 = 100;
/// Maximum log lines per second about the local target and the routes, per process.
const LOCAL_LINES_PER_SECOND: u32 = 20;

/// Why a packet was refused or dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No route table has arrived yet.
    NoConfiguration,
    /// No route matches the destination address.
    NoRoute,
    /// No target of the service accepts new flows.
    NoTarget,
    /// Every target that the SYN was tried at has returned it.
    AllTargetsRefused,
    /// None of the agents that were tried holds the flow, but others may.
    FlowNotFound,
    /// No target holds the flow any more.
    FlowLost(AbsenceGround),
    /// No slot will be free before the caller abandons the attempt.
    NoSlotInTime {
        /// Number of queued SYNs.
        waiting: usize,
        /// Service time of a request, in milliseconds.
        service_ms: u64,
    },
    /// The caller abandoned the attempt while its SYN was queued.
    AttemptEnded,
    /// All targets that would accept the flow are in evacuated failure domains.
    DomainEvacuated,
    /// The target of an evacuated failure domain already got a copy of the SYN.
    CopyAdmitted,
    /// The target is cold and would not be sent the SYN before the caller abandons the attempt, or
    /// the SYN is a retransmission that exceeds the limit.
    ColdTarget {
        /// State of the limit.
        window: ColdWindow,
        /// Time until the target may be sent the SYN, in milliseconds.
        wait_ms: u64,
    },
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoTarget => "no_target",
            Self::AllTargetsRefused => "all_targets_refused",
            Self::FlowNotFound => "flow_not_found",
            Self::FlowLost(ground) => ground.name(),
            Self::AttemptEnded => "attempt_ended",
            Self::NoSlotInTime { .. } => "no_slot_in_time",
            Self::DomainEvacuated => "domain_evacuated",
            Self::CopyAdmitted => "copy_admitted",
            Self::ColdTarget { .. } => "cold_target",
        }
    }
}

/// Why a search for a flow cannot prove that no target holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SearchGap {
    /// The list of instances has not been read from the store yet.
    InstancesUnknown,
    /// Instances that have been running for longer may know of agents that the store does not list.
    HistoryUnknown(HistoryGap),
    /// The agents that two agents on the way know are not the same, or have changed meanwhile, so
    /// that one may not have been asked.
    ViewsDiffer,
    /// The target of an agent that has just started neither returned the packet nor sent a
    /// heartbeat.
    TargetSilent,
    /// An agent that may hold the flow was not asked.
    AgentLeftOut {
        /// Name of the agent.
        agent: Arc<str>,
        /// Why it was not asked.
        reason: AwaitReason,
        /// Time since the agent was last heard from, in milliseconds.
        silent_ms: u64,
    },
}

impl SearchGap {
    fn name(&self) -> &'static str {
        match self {
            Self::InstancesUnknown => "instances_unknown",
            Self::HistoryUnknown(gap) => gap.name(),
            Self::ViewsDiffer => "views_differ",
            Self::TargetSilent => "target_silent",
            Self::AgentLeftOut { reason, .. } => match reason {
                AwaitReason::Leaving => "agent_leaving",
                AwaitReason::Silent => "agent_silent",
                AwaitReason::Unconfirmed => "agent_unconfirmed",
            },
        }
    }
}

/// Change of the suspicion of the local target, with what the agent knows of the service's targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspicionReport {
    /// What has changed.
    pub change: SuspicionChange,
    /// Number of suspect targets before the change.
    pub suspects: usize,
    /// Number of targets that accept flows.
    pub targets: usize,
}

/// A forwarding decision or a state change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A balancer placed a new flow on an agent.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// Name of the agent.
        agent: Arc<str>,
        /// Number of previous transmissions of the SYN.
        copy: u32,
        /// Requests in progress at the agent's target, as known when it was chosen.
        running: u32,
        /// Age of the load report that `running` is based on, in milliseconds.
        load_age_ms: u64,
        /// Version of the route table.
        route_version: u64,
    },
    /// An agent redirected a SYN to another agent.
    Redirected {
        /// The flow.
        flow: FlowKey,
        /// Name of the other agent.
        agent: Arc<str>,
        /// Whether the local target returned the SYN.
        is_returned: bool,
        /// Whether the failure domain of this agent is evacuated.
        is_evacuated: bool,
        /// Whether the local target is suspect.
        is_suspect: bool,
        /// Requests in progress at the local target, queued SYNs included.
        running: u32,
        /// State of the limit of the cold local target, if that is why; otherwise `None`.
        cold: Option<ColdWindow>,
    },
    /// A SYN was queued for a slot of the local target.
    Queued {
        /// The flow.
        flow: FlowKey,
        /// Requests in progress at the local target.
        running: u32,
        /// Number of queued SYNs, including this one.
        waiting: usize,
        /// State of the limit of the cold local target, if that is why; otherwise `None`.
        cold: Option<ColdWindow>,
    },
    /// A queued SYN was sent to the local target.
    Admitted {
        /// The flow.
        flow: FlowKey,
        /// Time that the SYN spent in the queue, in milliseconds.
        waited_ms: u64,
        /// Requests in progress at the local target.
        running: u32,
    },
    /// A request was sent to the local target.
    RequestForwarded {
        /// The flow.
        flow: FlowKey,
        /// The caller's identifier of the request; `None` if it has none.
        request: Option<Arc<str>>,
        /// Requests in progress at the local target, including this one.
        running: u32,
    },
    /// A SYN, or data for a flow that no agent holds, was answered with a reset.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// Why it was refused.
        reason: Reason,
        /// Version of the route table; 0 if the agent refused a SYN.
        route_version: u64,
        /// See [`crate::flow::packet::HopMetadata::tried`].
        tried: u8,
    },
    /// A packet was dropped without a reset.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// Why it was dropped.
        reason: Reason,
    },
    /// A packet of an unknown flow was sent to an agent that may hold the flow or know its owner.
    LookedUp {
        /// The flow.
        flow: FlowKey,
        /// Name of the agent.
        agent: Arc<str>,
        /// Number of agents tried before this one.
        tried: u8,
    },
    /// The search for a flow could not reach every agent that may hold it, so the caller is sent no
    /// reset.
    SearchIncomplete {
        /// The flow.
        flow: FlowKey,
        /// Why the search is incomplete.
        gap: SearchGap,
    },
    /// The search for a flow ended at this agent without finding its owner.
    SearchEnded {
        /// The flow.
        flow: FlowKey,
        /// Stage of the lookup by which the packet arrived.
        lookup: Lookup,
        /// See [`crate::flow::packet::HopMetadata::tried`].
        tried: u8,
        /// Number of live agents that this agent knows, itself included.
        agents: usize,
        /// Number of agents that may hold the flow and were not asked, as far as this agent knows.
        left_out_agents: usize,
        /// Time since the start of this agent, in milliseconds.
        uptime_ms: u64,
        /// Whether an agent that may hold the flow was not reached.
        is_incomplete: bool,
        /// Whether the caller was sent a reset.
        is_reset: bool,
    },
    /// The local target sent a reset to a caller.
    TargetReset {
        /// The flow.
        flow: FlowKey,
        /// Whether the target was known to hold the flow.
        is_held: bool,
    },
    /// A started agent was sent the flows that its earlier incarnation had registered here.
    FlowsReturned {
        /// Name of the agent.
        agent: Arc<str>,
        /// Number of flows.
        len: usize,
    },
    /// Another agent has named flows that an earlier incarnation of this one owned.
    FlowsRecovered {
        /// Number of flows that were not known.
        len: usize,
    },
    /// At its exit an agent sent the owners of flows, whose agents are away, to other agents.
    OwnersHandedOver {
        /// Number of flows.
        len: usize,
    },
    /// A balancer received the owner of a flow.
    OwnerLearned {
        /// The flow.
        flow: FlowKey,
        /// Packet address of the owner.
        owner: SocketAddrV4,
    },
    /// Another instance joined, is leaving or reported a new target state.
    MemberChanged {
        /// Name of the instance.
        name: Arc<str>,
        /// Incarnation of the instance.
        incarnation: u64,
        /// What has changed.
        change: MemberChange,
    },
    /// This process has received the list of an instance that has been running for longer, and
    /// knows of every agent that is known there.
    HistoryExtended {
        /// Control address of the instance.
        from: SocketAddrV4,
        /// Time for which this process knows of every agent, in milliseconds.
        history_ms: u64,
        /// The same before the list, in milliseconds.
        previous_ms: u64,
        /// Time since the start of this process, in milliseconds.
        uptime_ms: u64,
    },
    /// The view of the agents has become complete or incomplete.
    ViewChanged {
        /// Why it is incomplete; `None` if it is complete.
        gap: Option<SearchGap>,
        /// Time for which this process knows of every agent, in milliseconds.
        history_ms: u64,
        /// Time since the start of this process, in milliseconds.
        uptime_ms: u64,
        /// Number of known instances.
        members: usize,
    },
    /// An instance was removed because it left or was silent for too long.
    MemberRemoved {
        /// Name of the instance.
        name: Arc<str>,
    },
    /// The state of the local target changed.
    TargetChanged {
        /// Identifier of the target incarnation.
        target: Arc<str>,
        /// The new state.
        state: TargetState,
        /// Sequence number of the heartbeat; 0 if the target announced its exit.
        sequence: u64,
    },
    /// The local target has become suspect, has had a relapse or is trusted again.
    SuspicionChanged(SuspicionReport),
    /// The local target became cold, or the limits of the cold target changed.
    TargetCold {
        /// The limits.
        cold: ColdTarget,
        /// Whether the failure domain of the target was returned to service lately.
        is_returned_domain: bool,
        /// Sequence number of the last heartbeat; 0 before the first one.
        sequence: u64,
        /// Version of the route table.
        route_version: u64,
    },
    /// The local target is no longer cold, or its service no longer has a limit.
    TargetWarm {
        /// Sequence number of the last heartbeat; 0 before the first one.
        sequence: u64,
        /// Version of the route table.
        route_version: u64,
    },
    /// A check whether the local target's process is running has ended.
    TargetChecked(CheckOutcome),
    /// A newer route table came into force.
    RoutesChanged {
        /// Version of the new table.
        version: RouteVersion,
        /// Version of the previous table.
        previous: RouteVersion,
        /// Number of routes in the new table; 0 at agents, which store only its version.
        len: usize,
    },
    /// Other failure domains than before are evacuated.
    EvacuationsChanged {
        /// Names of all evacuated failure domains.
        names: Vec<Arc<str>>,
        /// Version of the newest known set.
        version: EvacuationVersion,
        /// Where the change was learned.
        source: EvacuationSource,
    },
    /// While failure domains are evacuated, no other target of the service has a free slot and the
    /// queue of this agent grows.
    RemainingTargetsFull {
        /// The service.
        service: Arc<str>,
        /// Number of queued SYNs.
        waiting: usize,
        /// Number of queued SYNs a second before.
        previous: usize,
        /// Names of the evacuated failure domains.
        evacuated: Vec<Arc<str>>,
    },
}

/// Logs decisions at a limited rate and counts them.
#[derive(Debug)]
pub struct DecisionLog {
    log: Logger,
    counters: Counters,
    flow_limit: RateLimit,
    reset_limit: RateLimit,
    member_limit: RateLimit,
    local_limit: RateLimit,
}

impl DecisionLog {
    /// Creates a decision log.
    #[must_use]
    pub fn new(log: Logger, counters: Counters) -> Self {
        Self {
            log,
            counters,
            flow_limit: RateLimit::new(FLOW_LINES_PER_SECOND),
            reset_limit: RateLimit::new(RESET_LINES_PER_SECOND),
            member_limit: RateLimit::new(MEMBER_LINES_PER_SECOND),
            local_limit: RateLimit::new(LOCAL_LINES_PER_SECOND),
        }
    }

    /// Counts all decisions and logs those that the rate limit permits.
    pub fn record(&mut self, decisions: &mut Vec<Decision>, now_ms: u64) {
        for decision in decisions.drain(..) {
            self.counters.count(event(&decision));
            if is_due_to_evacuation(&decision) {
                self.counters.count(Event::FlowEvacuated);
            }
            if is_cold_limited(&decision) {
                self.counters.count(Event::FlowColdLimited);
            }
            let limit = self.limit(&decision);
            if let Some(suppressed) = limit.permit(now_ms) {
                write(&self.log, decision, suppressed);
            }
        }
    }

    /// Rate limit of a decision. Rare lines have limits of their own, so that frequent ones do not
    /// suppress them.
    fn limit(&mut self, decision: &Decision) -> &mut RateLimit {
        match decision {
            Decision::Refused { .. }
            | Decision::SearchEnded { .. }
            | Decision::TargetReset { .. } => &mut self.reset_limit,
            Decision::MemberChanged { .. }
            | Decision::MemberRemoved { .. }
            | Decision::FlowsReturned { .. }
            | Decision::FlowsRecovered { .. }
            | Decision::OwnersHandedOver { .. } => &mut self.member_limit,
            Decision::TargetChanged { .. }
            | Decision::TargetChecked(_)
            | Decision::TargetCold { .. }
            | Decision::TargetWarm { .. }
            | Decision::SuspicionChanged(_)
            | Decision::RoutesChanged { .. }
            | Decision::HistoryExtended { .. }
            | Decision::ViewChanged { .. }
            | Decision::EvacuationsChanged { .. }
            | Decision::RemainingTargetsFull { .. } => &mut self.local_limit,
            _ => &mut self.flow_limit,
        }
    }
}

fn event(decision: &Decision) -> Event {
    match decision {
        Decision::Placed { .. } => Event::FlowPlaced,
        Decision::Redirected {
            is_suspect: true, ..
        } => Event::FlowKeptFromSuspect,
        Decision::Redirected { .. } => Event::FlowPassedOn,
        Decision::Queued { .. } => Event::FlowWaits,
        Decision::Admitted { .. } => Event::FlowAdmitted,
        Decision::RequestForwarded { .. } => Event::RequestForwarded,
        Decision::Refused {
            reason: Reason::FlowLost(_),
            ..
        } => Event::FlowLost,
        Decision::Refused { .. } => Event::FlowRefused,
        Decision::Dropped { .. } => Event::DroppedUnroutable,
        Decision::LookedUp { .. } => Event::FlowLookedUp,
        Decision::SearchIncomplete { .. } => Event::FlowSearchIncomplete,
        Decision::SearchEnded { .. } => Event::FlowSearchEnded,
        Decision::TargetReset { .. } => Event::TargetReset,
        Decision::FlowsReturned { .. }
        | Decision::FlowsRecovered { .. }
        | Decision::OwnersHandedOver { .. } => Event::FlowOwnersRecovered,
        Decision::OwnerLearned { .. } => Event::FlowOwnerLearned,
        Decision::MemberChanged { .. } | Decision::MemberRemoved { .. } => Event::MemberChanged,
        Decision::HistoryExtended { .. } => Event::HistoryExtended,
        Decision::ViewChanged { .. } => Event::ViewChanged,
        Decision::TargetChanged { .. } => Event::TargetChanged,
        Decision::SuspicionChanged(report) => match report.change {
            SuspicionChange::Suspected(_) => Event::TargetSuspected,
            SuspicionChange::Trusted { .. } => Event::TargetTrusted,
        },
        Decision::TargetCold { .. } | Decision::TargetWarm { .. } => Event::TargetWarmthChanged,
        Decision::TargetChecked(_) => Event::TargetChecked,
        Decision::RoutesChanged { .. } => Event::RoutesChanged,
        Decision::EvacuationsChanged { .. } => Event::EvacuationsChanged,
        Decision::RemainingTargetsFull { .. } => Event::RemainingTargetsFull,
    }
}

/// Whether a SYN was redirected, refused or dropped because of an evacuation.
fn is_due_to_evacuation(decision: &Decision) -> bool {
    match decision {
        Decision::Redirected { is_evacuated, .. } => *is_evacuated,
        Decision::Refused { reason, .. } | Decision::Dropped { reason, .. } => {
            matches!(reason, Reason::DomainEvacuated | Reason::CopyAdmitted)
        }
        _ => false,
    }
}

/// Whether a SYN was not sent to the target because the target is cold.
fn is_cold_limited(decision: &Decision) -> bool {
    match decision {
        Decision::Redirected { cold, .. } | Decision::Queued { cold, .. } => cold.is_some(),
        Decision::Refused { reason, .. } | Decision::Dropped { reason, .. } => {
            matches!(reason, Reason::ColdTarget { .. })
        }
        _ => false,
    }
}

/// Names as one text, separated by commas.
fn joined(names: &[Arc<str>]) -> String {
    names.join(",")
}

fn write_evacuations(
    log: &Logger,
    names: &[Arc<str>],
    version: EvacuationVersion,
    source: &EvacuationSource,
    suppressed: u64,
) {
    let source = match source {
        EvacuationSource::Store => "store",
        EvacuationSource::Instance(name) => &**name,
        EvacuationSource::Expiry => "expiry",
    };
    info!(log, "failure domains evacuated"; "domains" => joined(names),
        "revision" => version.revision.0, "era" => version.era.0, "source" => source,
        "left_out" => suppressed);
}

fn write_gap(log: &Logger, flow: FlowKey, gap: &SearchGap, suppressed: u64) {
    let (awaited, silent_ms) = match gap {
        SearchGap::AgentLeftOut {
            agent, silent_ms, ..
        } => (&**agent, *silent_ms),
        _ => ("", 0),
    };
    info!(log, "flow search incomplete"; "flow" => %flow, "reason" => gap.name(),
        "awaited" => awaited, "silent_ms" => silent_ms, "left_out" => suppressed);
}

fn write_suspicion(log: &Logger, report: SuspicionReport, suppressed: u64) {
    let (suspects, targets) = (report.suspects, report.targets);
    match report.change {
        SuspicionChange::Suspected(figures) => {
            let (outcome, latency_ms, len) = match figures.outcome {
                Outcome::Response {
                    latency_ms,
                    first_packet_len,
                } => ("response", latency_ms, first_packet_len),
                Outcome::Reset => ("reset", 0, 0),
                Outcome::Missing { waited_ms } => ("missing", waited_ms, 0),
            };
            warn!(log, "target suspected"; "failed" => figures.failed, "judged" => figures.judged,
                "outcome" => outcome, "latency_ms" => latency_ms, "first_packet_len" => len,
                "sibling_latency_ms" => figures.reference.latency_ms,
                "sibling_first_packet_len" => figures.reference.first_packet_len,
                "siblings" => figures.reference.siblings, "pause_ms" => figures.pause_ms,
                "is_relapse" => figures.is_relapse, "suspects" => suspects, "targets" => targets,
                "left_out" => suppressed);
        }
        SuspicionChange::Trusted {
            reason,
            suspect_for_ms,
        } => info!(log, "target trusted again"; "reason" => reason.name(),
            "suspect_for_ms" => suspect_for_ms, "suspects" => suspects, "targets" => targets,
            "left_out" => suppressed),
    }
}

fn write_check(log: &Logger, outcome: CheckOutcome, suppressed: u64) {
    info!(log, "target connection checked"; "use" => outcome.used_for.name(),
        "result" => outcome.result.name(), "took_ms" => outcome.took_ms,
        "is_proof" => outcome.is_proof, "left_out" => suppressed);
}

/// Logs a decision about what this process knows of the agents.
fn write_view(log: &Logger, decision: &Decision, suppressed: u64) {
    match decision {
        Decision::HistoryExtended {
            from,
            history_ms,
            previous_ms,
            uptime_ms,
        } => info!(log, "list of a longer running instance received"; "from" => %from,
            "history_ms" => history_ms, "previous_history_ms" => previous_ms,
            "uptime_ms" => uptime_ms, "left_out" => suppressed),
        Decision::ViewChanged {
            gap,
            history_ms,
            uptime_ms,
            members,
        } => info!(log, "view of the agents changed"; "is_complete" => gap.is_none(),
            "reason" => gap.as_ref().map_or("", SearchGap::name), "history_ms" => history_ms,
            "uptime_ms" => uptime_ms, "members" => members, "left_out" => suppressed),
        _ => {}
    }
}

/// Logs a decision. `suppressed` is the number of lines left out by the rate limit since the last
/// one.
#[allow(clippy::too_many_lines)] // One arm per decision, without logic.
fn write(log: &Logger, decision: Decision, suppressed: u64) {
    match decision {
        Decision::Placed {
            flow,
            agent,
            copy,
            running,
            load_age_ms,
            route_version,
        } => info!(log, "flow placed"; "flow" => %flow, "agent" => &*agent, "copy" => copy,
            "running" => running, "load_age_ms" => load_age_ms, "route_version" => route_version,
            "left_out" => suppressed),
        Decision::Redirected {
            flow,
            agent,
            is_returned,
            is_evacuated,
            is_suspect,
            running,
            cold,
        } => info!(log, "flow redirected to another agent"; "flow" => %flow, "agent" => &*agent,
            "is_returned" => is_returned, "is_evacuated" => is_evacuated,
            "is_suspect" => is_suspect, "running" => running,
            "is_cold" => cold.is_some(), "admitted" => cold.map(|c| c.admitted),
            "limit" => cold.map(|c| c.limit), "left_out" => suppressed),
        Decision::Queued {
            flow,
            running,
            waiting,
            cold,
        } => info!(log, "flow queued for a slot"; "flow" => %flow, "running" => running,
            "waiting" => waiting, "reason" => cold.map_or("no_free_slot", |_| "cold_target"),
            "admitted" => cold.map(|c| c.admitted), "limit" => cold.map(|c| c.limit),
            "left_out" => suppressed),
        Decision::Admitted {
            flow,
            waited_ms,
            running,
        } => info!(log, "flow admitted"; "flow" => %flow, "waited_ms" => waited_ms,
            "running" => running, "left_out" => suppressed),
        Decision::RequestForwarded {
            flow,
            request,
            running,
        } => info!(log, "request forwarded"; "flow" => %flow,
            "request" => request.as_deref().unwrap_or_default(), "running" => running,
            "left_out" => suppressed),
        Decision::Refused {
            flow,
            reason,
            route_version,
            tried,
        } => warn!(log, "flow refused"; "flow" => %flow, "reason" => reason.name(),
            "why" => ?reason, "route_version" => route_version, "tried" => tried,
            "left_out" => suppressed),
        Decision::Dropped { flow, reason } => warn!(log, "packet dropped"; "flow" => %flow,
            "reason" => reason.name(), "left_out" => suppressed),
        Decision::LookedUp { flow, agent, tried } => info!(log, "flow lookup sent";
            "flow" => %flow, "agent" => &*agent, "tried" => tried, "left_out" => suppressed),
        Decision::SearchIncomplete { flow, gap } => write_gap(log, flow, &gap, suppressed),
        Decision::SearchEnded {
            flow,
            lookup,
            tried,
            agents,
            left_out_agents,
            uptime_ms,
            is_incomplete,
            is_reset,
        } => info!(log, "flow search ended"; "flow" => %flow, "lookup" => ?lookup,
            "tried" => tried, "agents" => agents, "left_out_agents" => left_out_agents,
            "uptime_ms" => uptime_ms,
            "is_incomplete" => is_incomplete, "is_reset" => is_reset, "left_out" => suppressed),
        Decision::TargetReset { flow, is_held } => info!(log, "flow reset by the target";
            "flow" => %flow, "is_held" => is_held, "left_out" => suppressed),
        Decision::FlowsReturned { agent, len } => info!(log, "flows returned to a started agent";
            "agent" => &*agent, "flows" => len, "left_out" => suppressed),
        Decision::FlowsRecovered { len } => info!(log, "flows recovered";
            "flows" => len, "left_out" => suppressed),
        Decision::OwnersHandedOver { len } => info!(log, "flow owners handed over";
            "flows" => len, "left_out" => suppressed),
        Decision::OwnerLearned { flow, owner } => info!(log, "flow owner learned";
            "flow" => %flow, "owner" => %owner, "left_out" => suppressed),
        Decision::MemberChanged {
            name,
            incarnation,
            change,
        } => info!(log, "instance changed"; "member" => &*name, "incarnation" => incarnation,
            "change" => ?change, "left_out" => suppressed),
        Decision::HistoryExtended { .. } | Decision::ViewChanged { .. } => {
            write_view(log, &decision, suppressed);
        }
        Decision::MemberRemoved { name } => warn!(log, "instance removed"; "member" => &*name,
            "left_out" => suppressed),
        Decision::TargetChanged { .. }
        | Decision::TargetCold { .. }
        | Decision::TargetWarm { .. }
        | Decision::TargetChecked(_)
        | Decision::SuspicionChanged(_)
        | Decision::EvacuationsChanged { .. }
        | Decision::RemainingTargetsFull { .. }
        | Decision::RoutesChanged { .. } => write_local(log, decision, suppressed),
    }
}

/// Logs a change of the local target or of the routes.
fn write_local(log: &Logger, decision: Decision, suppressed: u64) {
    match decision {
        Decision::TargetChanged {
            target,
            state,
            sequence,
        } => info!(log, "target changed"; "target" => &*target, "state" => ?state,
            "sequence" => sequence, "left_out" => suppressed),
        Decision::SuspicionChanged(report) => write_suspicion(log, report, suppressed),
        Decision::TargetCold {
            cold,
            is_returned_domain,
            sequence,
            route_version,
        } => info!(log, "target cold"; "left_ms" => cold.left_ms, "limit" => cold.limit,
            "rate_per_1000_s" => cold.rate_per_1000_s, "is_returned_domain" => is_returned_domain,
            "sequence" => sequence, "route_version" => route_version, "left_out" => suppressed),
        Decision::TargetWarm {
            sequence,
            route_version,
        } => info!(log, "target warm"; "sequence" => sequence, "route_version" => route_version,
            "left_out" => suppressed),
        Decision::TargetChecked(outcome) => write_check(log, outcome, suppressed),
        Decision::RoutesChanged {
            version,
            previous,
            len,
        } => info!(log, "routes updated"; "version" => version.number, "era" => version.era.0,
            "previous" => previous.number, "previous_era" => previous.era.0,
            "routes" => len, "left_out" => suppressed),
        Decision::EvacuationsChanged {
            names,
            version,
            source,
        } => write_evacuations(log, &names, version, &source, suppressed),
        Decision::RemainingTargetsFull {
            service,
            waiting,
            previous,
            evacuated,
        } => warn!(log, "no free slots outside the evacuated failure domains";
            "service" => &*service, "waiting" => waiting, "waiting_before" => previous,
            "domains" => joined(&evacuated), "left_out" => suppressed),
        _ => {}
    }
}
