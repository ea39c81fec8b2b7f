//! What was decided on a flow or is newly believed, for the log.

use std::{net::SocketAddrV4, sync::Arc};

use slog::{Logger, info, warn};

use crate::{
    flow::packet::FlowKey,
    membership::{directory::MemberChange, instance::TargetState},
    observe::{
        counters::{Counters, Event},
        log::RateLimit,
    },
};

/// Lines a second and process for flows; enough for each flow at today's loads.
const FLOW_LINES_PER_SECOND: u32 = 300;
/// Lines a second and process for changes of belief.
const STATE_LINES_PER_SECOND: u32 = 100;

/// Why a packet was refused or dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No configuration has arrived yet.
    NoConfiguration,
    /// No route leads to the address.
    NoRoute,
    /// No target of the service takes new flows.
    NoTarget,
    /// Every target that was tried has handed the SYN back.
    AllTargetsRefused,
    /// No agent that was asked holds the flow.
    FlowNotFound,
    /// No slot will be free before the caller gives the attempt up.
    NoSlotInTime {
        /// SYNs that wait.
        waiting: usize,
        /// Time for one request, in milliseconds.
        service_ms: u64,
    },
    /// The caller has given the attempt up while its SYN waited.
    AttemptEnded,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoTarget => "no_target",
            Self::AllTargetsRefused => "all_targets_refused",
            Self::FlowNotFound => "flow_not_found",
            Self::AttemptEnded => "attempt_ended",
            Self::NoSlotInTime { .. } => "no_slot_in_time",
        }
    }
}

/// One decision on a flow, or one change of belief.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A new flow was given to an agent.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The agent.
        agent: Arc<str>,
        /// Earlier copies of the SYN.
        copy: u32,
        /// Requests under way there when it was chosen.
        running: u32,
        /// Age of that figure, in milliseconds.
        load_age_ms: u64,
        /// Version of the routes.
        route_version: u64,
    },
    /// An agent has passed a SYN on to another agent.
    PassedOn {
        /// The flow.
        flow: FlowKey,
        /// The other agent.
        agent: Arc<str>,
        /// Whether the own target has handed the SYN back.
        is_returned: bool,
        /// Requests under way at the own target.
        running: u32,
    },
    /// A SYN waits for a slot of the own target.
    Queued {
        /// The flow.
        flow: FlowKey,
        /// Requests under way at the own target.
        running: u32,
        /// SYNs that wait, this one included.
        waiting: usize,
    },
    /// A SYN that has waited was given to the own target.
    Admitted {
        /// The flow.
        flow: FlowKey,
        /// How long it has waited.
        waited_ms: u64,
        /// Requests under way at the own target.
        running: u32,
    },
    /// A request of a flow was given to the own target.
    RequestForwarded {
        /// The flow.
        flow: FlowKey,
        /// The caller's name for the request.
        request: Option<Arc<str>>,
        /// Requests under way at the own target, this one included.
        running: u32,
    },
    /// A SYN was answered with a reset.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// Why.
        reason: Reason,
        /// Version of the routes; 0 at agents.
        route_version: u64,
    },
    /// A packet was dropped without an answer.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// Why.
        reason: Reason,
    },
    /// A packet of an unknown flow is sent to an agent that may know it.
    LookedUp {
        /// The flow.
        flow: FlowKey,
        /// The agent.
        agent: Arc<str>,
        /// Agents that were tried before.
        tried: u8,
    },
    /// The search for a flow cannot prove that nobody holds it, so that its caller gets no reset.
    SearchIncomplete {
        /// The flow.
        flow: FlowKey,
        /// A silent agent that may hold it; `None` if the store has not told of the agents yet.
        awaited: Option<Arc<str>>,
        /// How long that agent has been silent, in milliseconds.
        silent_ms: u64,
    },
    /// The owner of a flow was learned.
    OwnerLearned {
        /// The flow.
        flow: FlowKey,
        /// The owner's packet address.
        owner: SocketAddrV4,
    },
    /// An open flow was ended because its target is gone.
    FlowLost {
        /// The flow.
        flow: FlowKey,
    },
    /// Another instance has changed.
    MemberChanged {
        /// Its name.
        name: Arc<str>,
        /// Its incarnation.
        incarnation: u64,
        /// What has changed.
        change: MemberChange,
    },
    /// An instance is not heard of any more and was forgotten.
    MemberForgotten {
        /// Its name.
        name: Arc<str>,
    },
    /// The state of the own target has changed.
    TargetChanged {
        /// Identity of the target's start.
        target: Arc<str>,
        /// The new state.
        state: TargetState,
        /// Its sequence number.
        sequence: u64,
    },
    /// New routes are in force.
    RoutesChanged {
        /// Their version.
        version: u64,
        /// The version before.
        previous: u64,
        /// Number of routes.
        len: usize,
    },
}

/// Writes decisions to the log and counts them, within limits.
#[derive(Debug)]
pub struct DecisionLog {
    log: Logger,
    counters: Counters,
    flow_limit: RateLimit,
    state_limit: RateLimit,
}

impl DecisionLog {
    /// Makes a log of decisions.
    #[must_use]
    pub fn new(log: Logger, counters: Counters) -> Self {
        Self {
            log,
            counters,
            flow_limit: RateLimit::new(FLOW_LINES_PER_SECOND),
            state_limit: RateLimit::new(STATE_LINES_PER_SECOND),
        }
    }

    /// Writes and counts what was decided.
    pub fn record(&mut self, decisions: &mut Vec<Decision>, now_ms: u64) {
        for decision in decisions.drain(..) {
            self.counters.count(event(&decision));
            let limit = if is_state_change(&decision) {
                &mut self.state_limit
            } else {
                &mut self.flow_limit
            };
            if let Some(suppressed) = limit.permit(now_ms) {
                write(&self.log, decision, suppressed);
            }
        }
    }
}

fn is_state_change(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::MemberChanged { .. }
            | Decision::MemberForgotten { .. }
            | Decision::TargetChanged { .. }
            | Decision::RoutesChanged { .. }
    )
}

fn event(decision: &Decision) -> Event {
    match decision {
        Decision::Placed { .. } => Event::FlowPlaced,
        Decision::PassedOn { .. } => Event::FlowPassedOn,
        Decision::Queued { .. } => Event::FlowWaits,
        Decision::Admitted { .. } => Event::FlowAdmitted,
        Decision::RequestForwarded { .. } => Event::RequestForwarded,
        Decision::Refused { .. } => Event::FlowRefused,
        Decision::Dropped { .. } => Event::DroppedUnroutable,
        Decision::LookedUp { .. } => Event::FlowLookedUp,
        Decision::SearchIncomplete { .. } => Event::FlowSearchIncomplete,
        Decision::OwnerLearned { .. } => Event::FlowOwnerLearned,
        Decision::FlowLost { .. } => Event::FlowLost,
        Decision::MemberChanged { .. } | Decision::MemberForgotten { .. } => Event::MemberChanged,
        Decision::TargetChanged { .. } => Event::TargetChanged,
        Decision::RoutesChanged { .. } => Event::RoutesChanged,
    }
}

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
        Decision::PassedOn {
            flow,
            agent,
            is_returned,
            running,
        } => info!(log, "flow passed on"; "flow" => %flow, "agent" => &*agent,
            "is_returned" => is_returned, "running" => running, "left_out" => suppressed),
        Decision::Queued {
            flow,
            running,
            waiting,
        } => info!(log, "flow waits"; "flow" => %flow, "running" => running,
            "waiting" => waiting, "left_out" => suppressed),
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
        } => warn!(log, "flow refused"; "flow" => %flow, "reason" => reason.name(),
            "why" => ?reason, "route_version" => route_version, "left_out" => suppressed),
        Decision::Dropped { flow, reason } => warn!(log, "packet dropped"; "flow" => %flow,
            "reason" => reason.name(), "left_out" => suppressed),
        Decision::LookedUp { flow, agent, tried } => info!(log, "flow looked up";
            "flow" => %flow, "agent" => &*agent, "tried" => tried, "left_out" => suppressed),
        Decision::SearchIncomplete {
            flow,
            awaited,
            silent_ms,
        } => info!(log, "search incomplete"; "flow" => %flow,
            "awaited" => awaited.as_deref().unwrap_or_default(), "silent_ms" => silent_ms,
            "left_out" => suppressed),
        Decision::OwnerLearned { flow, owner } => info!(log, "flow owner learned";
            "flow" => %flow, "owner" => %owner, "left_out" => suppressed),
        Decision::FlowLost { flow } => warn!(log, "flow lost with its target"; "flow" => %flow,
            "left_out" => suppressed),
        Decision::MemberChanged {
            name,
            incarnation,
            change,
        } => info!(log, "instance changed"; "member" => &*name, "incarnation" => incarnation,
            "change" => ?change, "left_out" => suppressed),
        Decision::MemberForgotten { name } => warn!(log, "instance forgotten"; "member" => &*name,
            "left_out" => suppressed),
        Decision::TargetChanged {
            target,
            state,
            sequence,
        } => info!(log, "target changed"; "target" => &*target, "state" => ?state,
            "sequence" => sequence, "left_out" => suppressed),
        Decision::RoutesChanged {
            version,
            previous,
            len,
        } => info!(log, "routes in force"; "version" => version, "previous" => previous,
            "routes" => len, "left_out" => suppressed),
    }
}
