//! Imbalance and latency of strategies for choosing a target: `cargo bench --bench choosing`.
//!
//! A discrete-event simulation of one service runs the admission and rebalancing code of the agent
//! (`Admission`, `Members`) and compares it with simpler strategies and with an ideal queue that
//! all targets of the service share.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
};

use bamboowind::agent::{
    admission::{
        Admission, AdmissionLimits, AdmissionRequest, FinishedRequest, QueueDecision, Verdict,
    },
    load::Utilisation,
    members::{MemberReport, Members},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEED: u64 = 20_261_204;
/// Simulated time at which a run ends.
const SIMULATED_US: u64 = 120_000_000;
/// Requests that arrive before this time are not measured.
const WARMUP_US: u64 = 10_000_000;
/// Range of the uniformly distributed service times.
const SERVICE_TIME_US: std::ops::Range<u64> = 4_000..16_000;
const MEAN_SERVICE_TIME_US: f64 = 10_000.0;
/// Interval at which `LeastLoaded` learns the load of the hosts.
const LOAD_REPORT_INTERVAL_US: u64 = 1_000_000;
/// Interval at which an agent announces its load to the others.
const ANNOUNCE_INTERVAL_US: u64 = 500_000;
/// Interval at which an agent samples the utilisation of its target.
const UTILISATION_INTERVAL_MS: u32 = 10;
/// Time that a request for a slot takes from one agent to another.
const HOP_LATENCY_US: u64 = 500;
/// Pause between two searches for a free slot for a queued request.
const SEARCH_INTERVAL_US: u64 = 2_000;
/// Agents that are asked for a slot in one search.
const MAX_AGENTS_PER_SEARCH: usize = 3;
/// Searches that an agent runs at the same time.
const MAX_CONCURRENT_SEARCHES: usize = 4;
const MANY_FLOWS_PER_SLOT: f64 = 8.0;
const FEW_FLOWS_PER_SLOT: f64 = 0.8;
/// Factor by which the service times of a straggler are longer.
const STRAGGLER_SLOWDOWN: u64 = 4;

/// How the host for a request is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strategy {
    /// A random host for each request.
    Random,
    /// The hosts in turn, by a counter that all requests share.
    RoundRobin,
    /// The host with the highest hash of flow and host.
    Rendezvous,
    /// The host with the lowest load in the last report; ties are broken at random.
    LeastLoaded,
    /// The decisions of the agents: requests start at the owner of their flow and may move.
    Bamboowind,
    /// One ideal queue for all hosts, which is compared with the others.
    IdealQueue,
}

const STRATEGIES: [(Strategy, &str); 6] = [
    (Strategy::Random, "random"),
    (Strategy::RoundRobin, "round robin"),
    (Strategy::Rendezvous, "rendezvous"),
    (Strategy::LeastLoaded, "least loaded, 1 s old"),
    (Strategy::Bamboowind, "bamboowind"),
    (Strategy::IdealQueue, "ideal queue"),
];

/// Size and load of a simulated service.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    host_count: usize,
    /// Slots per host.
    slots: u32,
    /// Arrival rate as a share of the capacity without stragglers.
    load: f64,
    /// Whether host 0 is slower than the others by [`STRAGGLER_SLOWDOWN`].
    has_straggler: bool,
    /// Open flows per slot of the service.
    flows_per_slot: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A new request arrives.
    Arrival,
    Finish {
        host: usize,
        request: usize,
    },
    /// The owner of the flow asks another host for a slot.
    TryHost {
        request: usize,
        host: usize,
        /// Hosts that this search has asked, with this one.
        asked_count: usize,
    },
    /// The owner of the flow starts another search for a queued request.
    Search {
        request: usize,
    },
    /// The hosts report their load, for `LeastLoaded`.
    LoadReport,
    /// An agent announces its load to the others.
    Announce {
        host: usize,
    },
    SampleUtilisation,
    /// A request arrives at the host to which its owner sent it to even out the utilisation.
    RebalancedArrival {
        request: usize,
        destination: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived_us: u64,
    /// Host that was chosen on arrival; for `Bamboowind`, the owner of the flow.
    owner: usize,
    /// Service time on a host that is not a straggler.
    service_time_us: u64,
    has_started: bool,
}

/// An agent and its target.
struct Host {
    admission: Admission,
    members: Members,
    /// Waiting requests of the strategies that do not use `admission`.
    queue: VecDeque<usize>,
    /// Requests that run now.
    running: u32,
    /// Running and waiting requests at the last load report.
    reported_load: u32,
    /// Service time of the requests that started after the warm-up.
    busy_us: u64,
    /// Searches for slots at other hosts that are under way.
    search_count: usize,
    utilisation: Utilisation,
}

struct Simulation {
    scenario: Scenario,
    strategy: Strategy,
    random: StdRng,
    now_us: u64,
    /// Pending events by time and then by order of creation.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events created so far.
    sequence: u64,
    hosts: Vec<Host>,
    /// Host that owns each flow.
    flow_owners: Vec<usize>,
    requests: Vec<Request>,
    /// Waiting requests of `IdealQueue`.
    shared_queue: VecDeque<usize>,
    /// Counter of `RoundRobin`.
    next_host: usize,
    /// Time from arrival to completion of the measured requests.
    latencies_us: Vec<u64>,
}

/// Inner address of the agent of a host; the last octet is the index of the host.
fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        [
            10,
            0,
            0,
            u8::try_from(host).expect("host index out of range"),
        ]
        .into(),
        7000,
    )
}

impl Simulation {
    fn new(scenario: Scenario, strategy: Strategy) -> Self {
        let hosts = (0..scenario.host_count).map(|host| Host {
            admission: Admission::new(AdmissionLimits {
                slots: scenario.slots,
                long_streams: 0,
                queue_length: 1_000_000,
                queue_timeout_ms: 1_000_000,
                classes: vec![(Arc::from("normal"), 1)],
            }),
            members: Members::new(address(host), 600_000),
            queue: VecDeque::new(),
            running: 0,
            reported_load: 0,
            busy_us: 0,
            search_count: 0,
            utilisation: Utilisation::default(),
        });
        let slots = scenario.host_count as f64 * f64::from(scenario.slots);
        let flow_count = (slots * scenario.flows_per_slot).round() as usize;
        let mut simulation = Self {
            scenario,
            strategy,
            random: StdRng::seed_from_u64(SEED),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: hosts.collect(),
            // Each host owns the same number of flows, as the balancer's choice of the less loaded
            // of two random agents achieves.
            flow_owners: (0..flow_count)
                .map(|flow| flow % scenario.host_count)
                .collect(),
            requests: Vec::new(),
            shared_queue: VecDeque::new(),
            next_host: 0,
            latencies_us: Vec::new(),
        };
        simulation.schedule(0, Event::Arrival);
        simulation.schedule(0, Event::LoadReport);
        simulation.schedule(0, Event::SampleUtilisation);
        for host in 0..scenario.host_count {
            let phase_us = ANNOUNCE_INTERVAL_US * host as u64 / scenario.host_count as u64;
            simulation.schedule(phase_us, Event::Announce { host });
        }
        simulation
    }

    /// Schedules an event.
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    /// Runs the simulation; returns the imbalance (busy time of the busiest host over the mean)
    /// and the sorted latencies.
    fn run(mut self) -> (f64, Vec<u64>) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > SIMULATED_US {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival => self.handle_arrival(),
                Event::Finish { host, request } => self.finish(host, request),
                Event::TryHost {
                    request,
                    host,
                    asked_count,
                } => self.try_host(request, host, asked_count),
                Event::Search { request } => self.search(request),
                Event::LoadReport => self.report_loads(),
                Event::SampleUtilisation => self.sample_utilisation(),
                Event::RebalancedArrival {
                    request,
                    destination,
                } => self.handle_rebalanced_arrival(request, destination),
                Event::Announce { host } => self.announce(host),
            }
        }
        let busy = self.hosts.iter().map(|host| host.busy_us);
        let max = busy.clone().max().unwrap_or_default();
        let sum: u64 = busy.sum();
        self.latencies_us.sort_unstable();
        (
            max as f64 * self.scenario.host_count as f64 / sum as f64,
            self.latencies_us,
        )
    }

    fn handle_arrival(&mut self) {
        let capacity_per_us =
            f64::from(self.scenario.slots) * self.scenario.host_count as f64 / MEAN_SERVICE_TIME_US;
        let gap_us =
            -(1.0 - self.random.random::<f64>()).ln() / (capacity_per_us * self.scenario.load);
        self.schedule(gap_us as u64, Event::Arrival);
        let flow = self.random.random_range(0..self.flow_owners.len());
        let request = self.requests.len();
        let service_time_us = self.random.random_range(SERVICE_TIME_US);
        let owner = self.choose_host(flow);
        self.requests.push(Request {
            arrived_us: self.now_us,
            owner,
            service_time_us,
            has_started: false,
        });
        match self.strategy {
            Strategy::IdealQueue => {
                self.shared_queue.push_back(request);
                self.start_from_shared_queue();
            }
            Strategy::Bamboowind => self.admit_or_rebalance(request),
            _ => {
                self.hosts[owner].queue.push_back(request);
                self.start_from_host_queue(owner);
            }
        }
    }

    /// Chooses the host at which a request arrives.
    fn choose_host(&mut self, flow: usize) -> usize {
        match self.strategy {
            Strategy::Random => self.random.random_range(0..self.scenario.host_count),
            Strategy::RoundRobin => {
                self.next_host += 1;
                self.next_host % self.scenario.host_count
            }
            Strategy::Rendezvous => {
                let hash = |host: &usize| {
                    *blake3::hash(&[flow as u8, (flow >> 8) as u8, *host as u8]).as_bytes()
                };
                (0..self.scenario.host_count)
                    .max_by_key(hash)
                    .unwrap_or_default()
            }
            Strategy::LeastLoaded => {
                let lowest_load = self
                    .hosts
                    .iter()
                    .map(|host| host.reported_load)
                    .min()
                    .unwrap_or_default();
                let least_loaded: Vec<usize> = (0..self.scenario.host_count)
                    .filter(|&host| self.hosts[host].reported_load == lowest_load)
                    .collect();
                least_loaded[self.random.random_range(0..least_loaded.len())]
            }
            Strategy::Bamboowind | Strategy::IdealQueue => self.flow_owners[flow],
        }
    }

    fn start(&mut self, host: usize, request: usize) {
        let is_slow = self.scenario.has_straggler && host == 0;
        let service_time_us =
            self.requests[request].service_time_us * if is_slow { STRAGGLER_SLOWDOWN } else { 1 };
        self.requests[request].has_started = true;
        self.hosts[host].running += 1;
        if self.now_us > WARMUP_US {
            self.hosts[host].busy_us += service_time_us;
        }
        self.schedule(service_time_us, Event::Finish { host, request });
    }

    fn finish(&mut self, host: usize, request: usize) {
        let Request {
            arrived_us,
            service_time_us,
            ..
        } = self.requests[request];
        if arrived_us > WARMUP_US {
            self.latencies_us.push(self.now_us - arrived_us);
        }
        self.hosts[host].running -= 1;
        match self.strategy {
            Strategy::IdealQueue => self.start_from_shared_queue(),
            Strategy::Bamboowind => {
                let is_slow = self.scenario.has_straggler && host == 0;
                let service_us = service_time_us * if is_slow { STRAGGLER_SLOWDOWN } else { 1 };
                let class = Arc::from("normal");
                let finished = FinishedRequest {
                    class,
                    service_us,
                    long_stream: false,
                };
                self.hosts[host].admission.finish(&finished);
                self.apply_queue_decisions(host);
            }
            _ => self.start_from_host_queue(host),
        }
    }

    fn start_from_host_queue(&mut self, host: usize) {
        while self.hosts[host].running < self.scenario.slots {
            let Some(request) = self.hosts[host].queue.pop_front() else {
                return;
            };
            self.start(host, request);
        }
    }

    fn start_from_shared_queue(&mut self) {
        while !self.shared_queue.is_empty() {
            let free = (0..self.scenario.host_count)
                .filter(|&host| self.hosts[host].running < self.scenario.slots)
                .min_by_key(|&host| {
                    (
                        self.scenario.has_straggler && host == 0,
                        self.hosts[host].running,
                    )
                });
            let (Some(host), Some(request)) = (free, self.shared_queue.front().copied()) else {
                return;
            };
            self.shared_queue.pop_front();
            self.start(host, request);
        }
    }

    fn admission_request(request: usize, start_by_ms: Option<u64>) -> AdmissionRequest {
        AdmissionRequest {
            id: request as u64,
            class: Arc::from("normal"),
            caller: [10, 9, 0, 1].into(),
            start_by_ms,
            long_stream: false,
        }
    }

    /// Starts a request if the host has a free slot; returns whether it started.
    fn try_start(&mut self, host: usize, request: usize) -> bool {
        let admission_request = Self::admission_request(request, Some(0));
        let verdict = self.hosts[host]
            .admission
            .submit(self.now_us / 1_000, &admission_request, 0);
        if verdict == Verdict::Run {
            self.start(host, request);
        }
        verdict == Verdict::Run
    }

    /// Admits a request at the owner of its flow, or sends it to a host with a lower utilisation.
    fn admit_or_rebalance(&mut self, request: usize) {
        let owner = self.requests[request].owner;
        let draw = self.random.random();
        let host = &self.hosts[owner];
        if let Some(address) = host.members.rebalance_destination(host.utilisation, draw) {
            let destination = usize::from(address.ip().octets()[3]);
            self.schedule(
                HOP_LATENCY_US,
                Event::RebalancedArrival {
                    request,
                    destination,
                },
            );
            return;
        }
        self.admit_at_owner(request);
    }

    /// Starts a request at the host to which it was sent, or admits it at its owner if no slot is
    /// free there.
    fn handle_rebalanced_arrival(&mut self, request: usize, destination: usize) {
        if !self.try_start(destination, request) {
            self.admit_at_owner(request);
        }
    }

    /// Starts a request at its owner, or searches for a free slot at other hosts.
    fn admit_at_owner(&mut self, request: usize) {
        let owner = self.requests[request].owner;
        if self.try_start(owner, request) {
            return;
        }
        self.hosts[owner].search_count += 1;
        self.continue_search(request, 0);
    }

    /// Asks the next host for a slot, or ends the search and queues the request at its owner.
    fn continue_search(&mut self, request: usize, asked_count: usize) {
        let owner = self.requests[request].owner;
        if asked_count < MAX_AGENTS_PER_SEARCH {
            let host = self.next_candidate(owner);
            self.schedule(
                HOP_LATENCY_US,
                Event::TryHost {
                    request,
                    host,
                    asked_count: asked_count + 1,
                },
            );
        } else {
            self.hosts[owner].search_count -= 1;
            self.requeue_at_owner(request);
        }
    }

    /// Queues a request at its owner, or starts it there if a slot has become free.
    fn queue_at_owner(&mut self, request: usize) {
        let owner = self.requests[request].owner;
        let admission_request = Self::admission_request(request, None);
        match self.hosts[owner]
            .admission
            .submit(self.now_us / 1_000, &admission_request, 0)
        {
            Verdict::Run => self.start(owner, request),
            Verdict::Wait => self.schedule(SEARCH_INTERVAL_US, Event::Search { request }),
            Verdict::Refuse(_) => {}
        }
    }

    /// Handles the request of a flow's owner for a slot at another host.
    fn try_host(&mut self, request: usize, host: usize, asked_count: usize) {
        let owner = self.requests[request].owner;
        if self.requests[request].has_started {
            self.hosts[owner].search_count -= 1;
            return;
        }
        let has_started = self.try_start(host, request);
        let admission = &self.hosts[host].admission;
        let outstanding = admission.running() + admission.waiting();
        self.hosts[owner]
            .members
            .set_outstanding(address(host), outstanding);
        if has_started {
            self.hosts[owner].search_count -= 1;
            self.hosts[owner].admission.cancel(request as u64);
            return;
        }
        self.continue_search(request, asked_count);
    }

    /// Replaces the queue entry of a request at its owner, so that it waits there only once.
    fn requeue_at_owner(&mut self, request: usize) {
        let owner = self.requests[request].owner;
        self.hosts[owner].admission.cancel(request as u64);
        self.queue_at_owner(request);
    }

    /// Starts another search for a queued request, unless the owner runs too many searches.
    fn search(&mut self, request: usize) {
        if self.requests[request].has_started {
            return;
        }
        let owner = self.requests[request].owner;
        if self.hosts[owner].search_count < MAX_CONCURRENT_SEARCHES {
            self.hosts[owner].search_count += 1;
            self.continue_search(request, 0);
        } else {
            self.schedule(SEARCH_INTERVAL_US, Event::Search { request });
        }
    }

    /// Applies the pending queue decisions of a host and starts the requests that they name.
    fn apply_queue_decisions(&mut self, host: usize) {
        while let Some(decision) = self.hosts[host]
            .admission
            .next_queue_decision(self.now_us / 1_000)
        {
            if let QueueDecision::Start(id) = decision {
                self.start(
                    host,
                    usize::try_from(id).expect("request index out of range"),
                );
            }
        }
    }

    /// The host with the most free slots as far as the owner knows, or a random one if it
    /// knows of no free slot.
    fn next_candidate(&mut self, owner: usize) -> usize {
        let candidates = self.hosts[owner].members.by_free_slots();
        match candidates
            .first()
            .filter(|candidate| candidate.free_slots > 0)
        {
            Some(candidate) => usize::from(candidate.address.ip().octets()[3]),
            None => {
                (owner + self.random.random_range(1..self.scenario.host_count))
                    % self.scenario.host_count
            }
        }
    }

    fn sample_utilisation(&mut self) {
        for host in &mut self.hosts {
            host.utilisation
                .observe(host.running, self.scenario.slots, UTILISATION_INTERVAL_MS);
        }
        self.schedule(
            u64::from(UTILISATION_INTERVAL_MS) * 1_000,
            Event::SampleUtilisation,
        );
    }

    fn report_loads(&mut self) {
        for host in &mut self.hosts {
            host.reported_load = host.running + u32::try_from(host.queue.len()).unwrap_or(u32::MAX);
        }
        self.schedule(LOAD_REPORT_INTERVAL_US, Event::LoadReport);
    }

    /// Passes the load of an agent to all agents, as the acknowledgements of the balancers do.
    fn announce(&mut self, host: usize) {
        let admission = &self.hosts[host].admission;
        let report = MemberReport {
            address: address(host),
            owner_since_ms: None,
            owner_until_ms: None,
            outstanding: admission.running() + admission.waiting(),
            slots: self.scenario.slots,
            is_accepting: true,
            utilisation: self.hosts[host].utilisation,
        };
        let now_ms = self.now_us / 1_000;
        for other in &mut self.hosts {
            other.members.apply_reports(now_ms, [report]);
        }
        self.schedule(ANNOUNCE_INTERVAL_US, Event::Announce { host });
    }
}

/// Percentile of sorted latencies in milliseconds; 0 if there are none.
fn percentile_ms(sorted_us: &[u64], permille: usize) -> f64 {
    let index = (sorted_us.len() * permille / 1_000).min(sorted_us.len().saturating_sub(1));
    sorted_us.get(index).copied().unwrap_or_default() as f64 / 1_000.0
}

fn main() {
    let uniform = |name, host_count, slots, load| Scenario {
        name,
        host_count,
        slots,
        load,
        has_straggler: false,
        flows_per_slot: MANY_FLOWS_PER_SLOT,
    };
    let mut scenarios = Vec::new();
    let services = [
        ("catalogo", 7, 5),
        ("sonoteca", 3, 5),
        ("tracker", 7, 3),
        ("inspect", 3, 3),
    ];
    for (name, host_count, slots) in services {
        for load in [0.5, 0.8, 0.95] {
            scenarios.push(uniform(name, host_count, slots, load));
        }
    }
    let few_flows = uniform("inspect, fewer flows than slots", 3, 3, 0.65);
    scenarios.push(Scenario {
        flows_per_slot: FEW_FLOWS_PER_SLOT,
        ..few_flows
    });
    let slow_host = uniform("catalogo, one host four times slower", 7, 5, 0.6);
    scenarios.push(Scenario {
        has_straggler: true,
        ..slow_host
    });
    for scenario in scenarios {
        println!("{} at {:.0}% load", scenario.name, scenario.load * 100.0);
        for (strategy, name) in STRATEGIES {
            let (imbalance, latencies_us) = Simulation::new(scenario, strategy).run();
            println!(
                "  {name:<24} max/mean {imbalance:.3}  p50 {:7.1} ms  p99 {:8.1} ms  p99.9 {:8.1} ms",
                percentile_ms(&latencies_us, 500),
                percentile_ms(&latencies_us, 990),
                percentile_ms(&latencies_us, 999),
            );
        }
    }
}
