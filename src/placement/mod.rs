//! Placement: which target takes a new flow.
//!
//! Answers the load where each target has few slots and several balancers place at once on
//! reports that are some milliseconds old: the expected time to an answer decides, not the number
//! of flows, so a slow or cold target is used only as far as it still helps.

use crate::membership::{
    directory::{Directory, Member},
    instance::{TargetLoad, TargetState},
};

/// Service time assumed while no target of the service has reported one, in microseconds.
pub const DEFAULT_SERVICE_TIME_US: u64 = 20_000;
/// Slow-down of a target that has just started, in percent: the platform's targets start at 1.6
/// times their usual service time.
const COLD_SERVICE_TIME_PERCENT: u64 = 160;
/// Part of the service time that a fully used target is expected to add by chance, in percent.
const CONTENTION_PERCENT: u64 = 40;
/// Price of leaving the failure domain, in percent of the service time: bytes between failure
/// domains cost, a queue costs more.
const CROSS_DOMAIN_PERCENT: u64 = 10;
/// Weight of an idle open flow against a running request, in percent: a caller that keeps a flow
/// open uses a slot a few hundredths of the time.
const IDLE_FLOW_PERCENT: u64 = 3;

/// Targets that are compared for a flow. With more, all balancers that compare the same reports
/// choose the same target until the next one.
const MAX_SAMPLED: u64 = 8;

/// A target that a flow may be placed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Requests that the target runs at once.
    pub capacity: u32,
    /// Requests under way, with those placed since the last report.
    pub running: u32,
    /// Open flows.
    pub flows: u32,
    /// Mean service time in microseconds; 0 if not known.
    pub service_time_us: u32,
    /// Whether the target has started within the last seconds.
    pub is_cold: bool,
    /// Whether the target is in another failure domain.
    pub is_remote: bool,
}

impl Candidate {
    /// A target with the load that its agent has reported, and flows placed there since.
    #[must_use]
    pub fn new(load: &TargetLoad, placed_since_report: u32, is_remote: bool) -> Self {
        Self {
            capacity: load.capacity,
            running: load.running + placed_since_report,
            flows: load.flows + placed_since_report,
            service_time_us: load.service_time_us,
            is_cold: load.cold_left_ms > 0,
            is_remote,
        }
    }
}

/// Expected cost of placing one more request on a target, in microseconds.
///
/// ```
/// use bamboowind::placement::{Candidate, cost_us};
///
/// let free = Candidate {
///     capacity: 2, running: 0, flows: 0, service_time_us: 10_000, is_cold: false, is_remote: false,
/// };
/// let full = Candidate { running: 2, ..free.clone() };
/// assert!(cost_us(&free, 10_000) < cost_us(&full, 10_000));
/// ```
#[must_use]
pub fn cost_us(candidate: &Candidate, median_service_time_us: u64) -> u64 {
    let capacity = u64::from(candidate.capacity.max(1));
    let own_us = match candidate.service_time_us {
        0 => median_service_time_us,
        known => u64::from(known),
    };
    let service_us = if candidate.is_cold {
        median_service_time_us.max(own_us) * COLD_SERVICE_TIME_PERCENT / 100
    } else {
        own_us
    };
    let running = u64::from(candidate.running);
    let waiting = (running + 1).saturating_sub(capacity);
    let idle = u64::from(candidate.flows).saturating_sub(running);
    let used_percent = (running * 100 + idle * IDLE_FLOW_PERCENT) / capacity;
    let contention_us = service_us * CONTENTION_PERCENT * used_percent / 10_000;
    let cross_domain_us = if candidate.is_remote {
        median_service_time_us * CROSS_DOMAIN_PERCENT / 100
    } else {
        0
    };
    service_us + service_us * waiting / capacity + contention_us + cross_domain_us
}

/// Where a new flow is placed from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the flow is routed to.
    pub service: &'a str,
    /// Failure domain of the process that places it.
    pub failure_domain: &'a str,
    /// Names an instance that must not take it.
    pub excluded: Option<&'a str>,
    /// Breaks ties.
    pub hash: u64,
    /// Time on the clock of the process.
    pub now_ms: u64,
}

/// Chooses the agent for a new flow; `None` if no target of the service takes flows.
#[must_use]
pub fn choose<'a>(directory: &'a Directory, request: PlacementRequest<'_>) -> Option<&'a Member> {
    let takes_flows = |member: &&Member| {
        member.serves(request.service)
            && member.load.state == TargetState::Ready
            && member.is_alive(request.now_ms)
            && request.excluded != Some(&*member.instance.name)
    };
    let median_us = median_service_time_us(directory, request.service);
    let members: Vec<&Member> = directory.members().iter().filter(takes_flows).collect();
    sample(request.hash, members.len())
        .filter_map(|index| members.get(index))
        .min_by_key(|member| {
            let is_remote = *member.instance.failure_domain != *request.failure_domain;
            let candidate = Candidate::new(&member.load, member.placed_since_report, is_remote);
            cost_us(&candidate, median_us)
        })
        .copied()
}

/// The places of the targets that are compared, of `len`, in an order that `hash` draws.
fn sample(hash: u64, len: usize) -> impl Iterator<Item = usize> {
    let len = len as u64;
    let (first, step) = (hash % len.max(1), 1 + (hash >> 32) % len.max(1));
    let step = if len <= MAX_SAMPLED { 1 } else { step };
    (0..len.min(MAX_SAMPLED))
        .filter_map(move |number| usize::try_from((first + number * step) % len).ok())
}

/// The middle one of the service times that targets report, in microseconds.
#[must_use]
pub fn median_service_time_us(directory: &Directory, service: &str) -> u64 {
    let serving = directory.members().iter().filter(|m| m.serves(service));
    let reported = serving.map(|member| u64::from(member.load.service_time_us));
    let mut sorted: Vec<u64> = reported.filter(|&time_us| time_us > 0).collect();
    sorted.sort_unstable();
    let middle = sorted.get(sorted.len() / 2);
    middle.copied().unwrap_or(DEFAULT_SERVICE_TIME_US)
}
