//! Placement of new flows on targets.
//!
//! Each target has few slots, and several balancers place flows at the same time based on load
//! reports that are some milliseconds old. The choice therefore minimizes the expected time to a
//! response rather than the number of flows, so that a slow or cold target is used only as long as
//! that is beneficial.

use crate::membership::{
    directory::{Directory, Member, SUSPECT_AFTER_MS},
    instance::{TargetLoad, TargetState},
};

/// Service time assumed until a target of the service has reported one, in microseconds.
pub const DEFAULT_SERVICE_TIME_US: u64 = 20_000;
/// Service time of a cold target, in percent of the usual one. The platform's targets start at 1.6
/// times their usual service time.
const COLD_SERVICE_TIME_PERCENT: u64 = 160;
/// Expected increase of the service time at a fully utilized target due to contention, in percent.
const CONTENTION_PERCENT: u64 = 40;
/// Cost of placing a flow in another failure domain, in percent of the service time. Traffic
/// between failure domains is costly, but queueing is worse.
const CROSS_DOMAIN_PERCENT: u64 = 10;
/// Weight of an idle open flow relative to a running request, in percent. A caller that keeps a
/// flow open occupies a slot for a few hundredths of the time.
const IDLE_FLOW_PERCENT: u64 = 3;

/// Maximum number of targets compared for a flow. If it were larger, all balancers with the same
/// load reports would choose the same target until the next report.
const MAX_SAMPLED: u64 = 8;

/// A target on which a flow may be placed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Requests in progress, including those placed since the last report.
    pub running: u32,
    /// Open flows, including those placed since the last report.
    pub flows: u32,
    /// Mean service time in microseconds; 0 if unknown.
    pub service_time_us: u32,
    /// Whether the target is still slow because it has started recently.
    pub is_cold: bool,
    /// Whether the target is in another failure domain.
    pub is_remote: bool,
}

impl Candidate {
    /// Creates a candidate from the load reported by its agent and the number of flows placed since
    /// that report.
    #[must_use]
    pub fn new(load: &TargetLoad, placed_since_report: u32, is_remote: bool) -> Self {
        Self {
            capacity: load.capacity,
            running: load.running.saturating_add(placed_since_report),
            flows: load.flows.saturating_add(placed_since_report),
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
    let base_us = match candidate.service_time_us {
        0 => median_service_time_us,
        known => u64::from(known),
    };
    let service_us = if candidate.is_cold {
        median_service_time_us.max(base_us) * COLD_SERVICE_TIME_PERCENT / 100
    } else {
        base_us
    };
    let running = u64::from(candidate.running);
    let waiting = (running + 1).saturating_sub(capacity);
    let idle = u64::from(candidate.flows).saturating_sub(running);
    let used_percent = (running * 100 + idle * IDLE_FLOW_PERCENT) / capacity;
    let contention_us = (service_us * CONTENTION_PERCENT).saturating_mul(used_percent) / 10_000;
    let cross_domain_us = if candidate.is_remote {
        median_service_time_us * CROSS_DOMAIN_PERCENT / 100
    } else {
        0
    };
    let queueing_us = service_us.saturating_mul(waiting) / capacity;
    (service_us + cross_domain_us)
        .saturating_add(queueing_us)
        .saturating_add(contention_us)
}

/// Parameters of a placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the flow is routed to.
    pub service: &'a str,
    /// Failure domain of the instance that places the flow.
    pub failure_domain: &'a str,
    /// Name of an instance that must not be chosen; `None` to allow all.
    pub excluded: Option<&'a str>,
    /// Hash of the flow, which selects the targets that are compared.
    pub hash: u64,
    /// Current time on the clock of this process.
    pub now_ms: u64,
}

/// Chooses the agent for a new flow; `None` if no target of the service accepts flows.
#[must_use]
pub fn choose<'a>(directory: &'a Directory, request: PlacementRequest<'_>) -> Option<&'a Member> {
    let accepts_flows = |member: &&Member| {
        member.serves(request.service)
            && member.load.state == TargetState::Ready
            && member.is_staying(request.now_ms)
            && request.excluded != Some(&*member.instance.name)
    };
    let median_us = median_service_time_us(directory, request.service);
    let mut members: Vec<&Member> = directory.members().iter().filter(accepts_flows).collect();
    // In a large deployment only some of the agents report their load to this instance.
    let is_reporting = |member: &&Member| member.load_age_ms(request.now_ms) < SUSPECT_AFTER_MS;
    if members.iter().any(is_reporting) {
        members.retain(is_reporting);
    }
    // A cold target whose allowance is used up counts as full: its agent would redirect the flow.
    if members.iter().any(|member| member.has_cold_allowance()) {
        members.retain(|member| member.has_cold_allowance());
    }
    sample(request.hash, members.len())
        .filter_map(|index| members.get(index))
        .min_by_key(|member| {
            let is_remote = *member.instance.failure_domain != *request.failure_domain;
            let candidate = Candidate::new(&member.load, member.placed_since_report, is_remote);
            cost_us(&candidate, median_us)
        })
        .copied()
}

/// Indices below `len` of the targets that are compared, in an order that depends on `hash`.
fn sample(hash: u64, len: usize) -> impl Iterator<Item = usize> {
    let len = len as u64;
    let (first, step) = (hash % len.max(1), 1 + (hash >> 32) % len.max(1));
    let step = if len <= MAX_SAMPLED { 1 } else { step };
    (0..len.min(MAX_SAMPLED))
        .filter_map(move |number| usize::try_from((first + number * step) % len).ok())
}

/// Median of the service times reported by the targets of a service, in microseconds.
/// [`DEFAULT_SERVICE_TIME_US`] if none has been reported.
#[must_use]
pub fn median_service_time_us(directory: &Directory, service: &str) -> u64 {
    let serving = directory.members().iter().filter(|m| m.serves(service));
    let reported = serving.map(|member| u64::from(member.load.service_time_us));
    let mut sorted: Vec<u64> = reported.filter(|&time_us| time_us > 0).collect();
    sorted.sort_unstable();
    let median = sorted.get(sorted.len() / 2);
    median.copied().unwrap_or(DEFAULT_SERVICE_TIME_US)
}
