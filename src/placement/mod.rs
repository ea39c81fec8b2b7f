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
/// Minimum advantage of a target in another failure domain over the best one in the own domain, in
/// percent of the median service time. Without it, flows would move back and forth between domains
/// with small differences of load.
const CROSS_DOMAIN_BAND_PERCENT: u64 = 25;
/// Weight of an idle open flow relative to a running request, in percent. A caller that keeps a
/// flow open occupies a slot for a few hundredths of the time.
const IDLE_FLOW_PERCENT: u64 = 3;

/// The suspect targets of a service are avoided if they are at most one in this many.
const MAX_SUSPECTS_DIVISOR: usize = 3;

/// Maximum number of targets of the own failure domain, and of the others, that are compared for a
/// flow. If it were larger, all balancers with the same load reports would choose the same target
/// until the next report.
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
///
/// A target in the own failure domain is preferred until another domain is expected to answer sooner
/// by [`CROSS_DOMAIN_BAND_PERCENT`]. This serves demand that swings between failure domains: flows
/// leave a domain only while waiting there costs their callers more.
#[must_use]
pub fn choose<'a>(directory: &'a Directory, request: PlacementRequest<'_>) -> Option<&'a Member> {
    let accepts_flows = |member: &&Member| {
        accepts_flows(directory, member, request.service, request.now_ms)
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
    retain_trusted(&mut members);
    let (local, remote): (Vec<&Member>, Vec<&Member>) = members
        .into_iter()
        .partition(|member| *member.instance.failure_domain == *request.failure_domain);
    let local = cheapest(&local, request.hash, false, median_us);
    let remote = cheapest(&remote, request.hash, true, median_us);
    let band_us = median_us * CROSS_DOMAIN_BAND_PERCENT / 100;
    let chosen = match (local, remote) {
        (Some(local), Some(remote)) if remote.0.saturating_add(band_us) < local.0 => remote,
        (local, remote) => local.or(remote)?,
    };
    Some(chosen.1)
}

/// Whether the member's target belongs to `service` and may be given new flows.
fn accepts_flows(directory: &Directory, member: &Member, service: &str, now_ms: u64) -> bool {
    member.serves(service)
        && member.load.state == TargetState::Ready
        && member.is_staying(now_ms)
        && !directory.is_evacuated(member)
}

/// The member with the lowest cost among a sample of `members`, and its cost in microseconds.
fn cheapest<'a>(
    members: &[&'a Member],
    hash: u64,
    is_remote: bool,
    median_us: u64,
) -> Option<(u64, &'a Member)> {
    let cost = |member: &Member| {
        let candidate = Candidate::new(&member.load, member.placed_since_report, is_remote);
        cost_us(&candidate, median_us)
    };
    let sampled = sample(hash, members.len()).filter_map(|index| members.get(index));
    sampled
        .map(|&member| (cost(member), member))
        .min_by_key(|(cost_us, _)| *cost_us)
}

/// Whether so few targets are suspect that the suspicion is credible. With more, all of them fail
/// alike or what is known of them is wrong.
fn is_credible(suspects: usize, targets: usize) -> bool {
    suspects * MAX_SUSPECTS_DIVISOR <= targets
}

/// Removes the suspect targets if that is credible.
fn retain_trusted(members: &mut Vec<&Member>) {
    let suspects = members.iter().filter(|m| m.load.is_suspect).count();
    if suspects > 0 && is_credible(suspects, members.len()) {
        members.retain(|member| !member.load.is_suspect);
    }
}

/// Numbers of the suspect targets of a service and of all its targets that accept flows.
#[must_use]
pub fn count_suspects(directory: &Directory, service: &str, now_ms: u64) -> (usize, usize) {
    let members = directory.members().iter();
    let accepting = members.filter(|member| accepts_flows(directory, member, service, now_ms));
    accepting.fold((0, 0), |(suspects, targets), member| {
        let is_suspect = usize::from(member.load.is_suspect);
        (suspects + is_suspect, targets + 1)
    })
}

/// Whether new flows avoid the suspect targets of a service, which then has others.
#[must_use]
pub fn avoids_suspects(directory: &Directory, service: &str, now_ms: u64) -> bool {
    let (suspects, targets) = count_suspects(directory, service, now_ms);
    suspects < targets && is_credible(suspects, targets)
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
