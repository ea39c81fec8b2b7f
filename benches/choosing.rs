//! Imbalance and latency of ways to choose a target: `cargo bench --bench choosing`.
//!
//! A queue model of one service drives the real decisions (`Admission`, `Members`) and compares
//! them with simpler ways and with one ideal queue for the whole service.
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
const SIMULATED_US: u64 = 120_000_000;
/// Start of the model, which is not measured.
const WARM_UP_US: u64 = 10_000_000;
const SERVICE_US: std::ops::Range<u64> = 4_000..16_000;
const MEAN_SERVICE_US: f64 = 10_000.0;
const REPORT_INTERVAL_US: u64 = 1_000_000;
const ANNOUNCE_INTERVAL_US: u64 = 500_000;
const OBSERVE_INTERVAL_MS: u32 = 10;
const ASK_US: u64 = 500;
const SEARCH_INTERVAL_US: u64 = 2_000;
const MAX_ASKED: usize = 3;
const MAX_SEARCHES: usize = 4;
const MANY_FLOWS: f64 = 8.0;
const FEW_FLOWS: f64 = 0.8;
const STRAGGLER_FACTOR: u64 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Random,
    RoundRobin,
    Rendezvous,
    LeastLoaded,
    Bamboowind,
    IdealQueue,
}

const WAYS: [(Way, &str); 6] = [
    (Way::Random, "random"),
    (Way::RoundRobin, "round robin"),
    (Way::Rendezvous, "rendezvous"),
    (Way::LeastLoaded, "least loaded, 1 s old"),
    (Way::Bamboowind, "bamboowind"),
    (Way::IdealQueue, "ideal queue"),
];

#[derive(Clone, Copy, Debug)]
struct Scene {
    name: &'static str,
    hosts: usize,
    slots: u32,
    load: f64,
    has_straggler: bool,
    flows_per_slot: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Finish {
        host: usize,
        request: usize,
    },
    Ask {
        request: usize,
        host: usize,
        asked: usize,
    },
    Search {
        request: usize,
    },
    Report,
    Announce {
        host: usize,
    },
    Observe,
    ArriveElsewhere {
        request: usize,
        other: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived_us: u64,
    home: usize,
    work_us: u64,
    is_started: bool,
}

struct Host {
    admission: Admission,
    members: Members,
    queue: VecDeque<usize>,
    running: u32,
    reported: u32,
    busy_us: u64,
    searches: usize,
    utilisation: Utilisation,
}

struct Model {
    scene: Scene,
    way: Way,
    random: StdRng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<Host>,
    flows: Vec<usize>,
    requests: Vec<Request>,
    shared_queue: VecDeque<usize>,
    next_host: usize,
    latencies_us: Vec<u64>,
}

fn address(host: usize) -> SocketAddrV4 {
    SocketAddrV4::new(
        [10, 0, 0, u8::try_from(host).expect("few hosts")].into(),
        7000,
    )
}

impl Model {
    fn new(scene: Scene, way: Way) -> Self {
        let hosts = (0..scene.hosts).map(|host| Host {
            admission: Admission::new(AdmissionLimits {
                slots: scene.slots,
                long_streams: 0,
                queue_length: 1_000_000,
                queue_timeout_ms: 1_000_000,
                classes: vec![(Arc::from("normal"), 1)],
            }),
            members: Members::new(address(host), 600_000),
            queue: VecDeque::new(),
            running: 0,
            reported: 0,
            busy_us: 0,
            searches: 0,
            utilisation: Utilisation::default(),
        });
        let slots = scene.hosts as f64 * f64::from(scene.slots);
        let flows = (slots * scene.flows_per_slot).round() as usize;
        let mut model = Self {
            scene,
            way,
            random: StdRng::seed_from_u64(SEED),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: hosts.collect(),
            // Flows are spread evenly by connections, as the balancer's choice of two does.
            flows: (0..flows).map(|flow| flow % scene.hosts).collect(),
            requests: Vec::new(),
            shared_queue: VecDeque::new(),
            next_host: 0,
            latencies_us: Vec::new(),
        };
        model.push(0, Event::Arrive);
        model.push(0, Event::Report);
        model.push(0, Event::Observe);
        for host in 0..scene.hosts {
            let phase_us = ANNOUNCE_INTERVAL_US * host as u64 / scene.hosts as u64;
            model.push(phase_us, Event::Announce { host });
        }
        model
    }

    fn push(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn run(mut self) -> (f64, Vec<u64>) {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > SIMULATED_US {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrive => self.arrive(),
                Event::Finish { host, request } => self.finish(host, request),
                Event::Ask {
                    request,
                    host,
                    asked,
                } => self.ask(request, host, asked),
                Event::Search { request } => self.search(request),
                Event::Report => self.report(),
                Event::Observe => self.observe(),
                Event::ArriveElsewhere { request, other } => self.arrive_elsewhere(request, other),
                Event::Announce { host } => self.announce(host),
            }
        }
        let busy = self.hosts.iter().map(|host| host.busy_us);
        let max = busy.clone().max().unwrap_or_default();
        let sum: u64 = busy.sum();
        self.latencies_us.sort_unstable();
        (
            max as f64 * self.scene.hosts as f64 / sum as f64,
            self.latencies_us,
        )
    }

    fn arrive(&mut self) {
        let capacity = f64::from(self.scene.slots) * self.scene.hosts as f64 / MEAN_SERVICE_US;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / (capacity * self.scene.load);
        self.push(gap as u64, Event::Arrive);
        let flow = self.random.random_range(0..self.flows.len());
        let request = self.requests.len();
        let work_us = self.random.random_range(SERVICE_US);
        let home = self.choose(flow);
        self.requests.push(Request {
            arrived_us: self.now_us,
            home,
            work_us,
            is_started: false,
        });
        match self.way {
            Way::IdealQueue => {
                self.shared_queue.push_back(request);
                self.drain_shared();
            }
            Way::Bamboowind => self.admit(request),
            _ => {
                self.hosts[home].queue.push_back(request);
                self.drain_host(home);
            }
        }
    }

    fn choose(&mut self, flow: usize) -> usize {
        match self.way {
            Way::Random => self.random.random_range(0..self.scene.hosts),
            Way::RoundRobin => {
                self.next_host += 1;
                self.next_host % self.scene.hosts
            }
            Way::Rendezvous => {
                let weight = |host: &usize| {
                    *blake3::hash(&[flow as u8, (flow >> 8) as u8, *host as u8]).as_bytes()
                };
                (0..self.scene.hosts).max_by_key(weight).unwrap_or_default()
            }
            Way::LeastLoaded => {
                let lowest = self
                    .hosts
                    .iter()
                    .map(|host| host.reported)
                    .min()
                    .unwrap_or_default();
                let equal: Vec<usize> = (0..self.scene.hosts)
                    .filter(|&host| self.hosts[host].reported == lowest)
                    .collect();
                equal[self.random.random_range(0..equal.len())]
            }
            Way::Bamboowind | Way::IdealQueue => self.flows[flow],
        }
    }

    fn start(&mut self, host: usize, request: usize) {
        let is_slow = self.scene.has_straggler && host == 0;
        let work_us = self.requests[request].work_us * if is_slow { STRAGGLER_FACTOR } else { 1 };
        self.requests[request].is_started = true;
        self.hosts[host].running += 1;
        if self.now_us > WARM_UP_US {
            self.hosts[host].busy_us += work_us;
        }
        self.push(work_us, Event::Finish { host, request });
    }

    fn finish(&mut self, host: usize, request: usize) {
        let Request {
            arrived_us,
            work_us,
            ..
        } = self.requests[request];
        if arrived_us > WARM_UP_US {
            self.latencies_us.push(self.now_us - arrived_us);
        }
        self.hosts[host].running -= 1;
        match self.way {
            Way::IdealQueue => self.drain_shared(),
            Way::Bamboowind => {
                let is_slow = self.scene.has_straggler && host == 0;
                let service_us = work_us * if is_slow { STRAGGLER_FACTOR } else { 1 };
                let class = Arc::from("normal");
                let finished = FinishedRequest {
                    class,
                    service_us,
                    long_stream: false,
                };
                self.hosts[host].admission.finish(&finished);
                self.settle(host);
            }
            _ => self.drain_host(host),
        }
    }

    fn drain_host(&mut self, host: usize) {
        while self.hosts[host].running < self.scene.slots {
            let Some(request) = self.hosts[host].queue.pop_front() else {
                return;
            };
            self.start(host, request);
        }
    }

    fn drain_shared(&mut self) {
        while !self.shared_queue.is_empty() {
            let free = (0..self.scene.hosts)
                .filter(|&host| self.hosts[host].running < self.scene.slots)
                .min_by_key(|&host| {
                    (
                        self.scene.has_straggler && host == 0,
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

    fn ticket(request: usize, start_by_ms: Option<u64>) -> AdmissionRequest {
        AdmissionRequest {
            id: request as u64,
            class: Arc::from("normal"),
            caller: [10, 9, 0, 1].into(),
            start_by_ms,
            long_stream: false,
        }
    }

    /// Takes a slot that is free now.
    fn try_start(&mut self, host: usize, request: usize) -> bool {
        let ticket = Self::ticket(request, Some(0));
        let verdict = self.hosts[host]
            .admission
            .submit(self.now_us / 1_000, &ticket, 0);
        if verdict == Verdict::Run {
            self.start(host, request);
        }
        verdict == Verdict::Run
    }

    fn admit(&mut self, request: usize) {
        let home = self.requests[request].home;
        let draw = self.random.random();
        let host = &self.hosts[home];
        if let Some(address) = host.members.rebalance_destination(host.utilisation, draw) {
            let other = usize::from(address.ip().octets()[3]);
            self.push(ASK_US, Event::ArriveElsewhere { request, other });
            return;
        }
        self.admit_here(request);
    }

    /// Tries the host that a request was sent to, and goes on at its own when that is full.
    fn arrive_elsewhere(&mut self, request: usize, other: usize) {
        if !self.try_start(other, request) {
            self.admit_here(request);
        }
    }

    fn admit_here(&mut self, request: usize) {
        let home = self.requests[request].home;
        if self.try_start(home, request) {
            return;
        }
        self.hosts[home].searches += 1;
        self.ask_next(request, 0);
    }

    /// Asks the next host, or ends the search.
    fn ask_next(&mut self, request: usize, asked: usize) {
        let home = self.requests[request].home;
        if asked < MAX_ASKED {
            let host = self.next_asked(home);
            self.push(
                ASK_US,
                Event::Ask {
                    request,
                    host,
                    asked: asked + 1,
                },
            );
        } else {
            self.hosts[home].searches -= 1;
            self.wait_once(request);
        }
    }

    fn wait(&mut self, request: usize) {
        let home = self.requests[request].home;
        let ticket = Self::ticket(request, None);
        match self.hosts[home]
            .admission
            .submit(self.now_us / 1_000, &ticket, 0)
        {
            Verdict::Run => self.start(home, request),
            Verdict::Wait => self.push(SEARCH_INTERVAL_US, Event::Search { request }),
            Verdict::Refuse(_) => {}
        }
    }

    fn ask(&mut self, request: usize, host: usize, asked: usize) {
        let home = self.requests[request].home;
        if self.requests[request].is_started {
            self.hosts[home].searches -= 1;
            return;
        }
        let is_started = self.try_start(host, request);
        let admission = &self.hosts[host].admission;
        let work = admission.running() + admission.waiting();
        self.hosts[home]
            .members
            .set_outstanding(address(host), work);
        if is_started {
            self.hosts[home].searches -= 1;
            self.hosts[home].admission.cancel(request as u64);
            return;
        }
        self.ask_next(request, asked);
    }

    /// Queues a request at home unless it waits there already.
    fn wait_once(&mut self, request: usize) {
        let home = self.requests[request].home;
        self.hosts[home].admission.cancel(request as u64);
        self.wait(request);
    }

    fn search(&mut self, request: usize) {
        if self.requests[request].is_started {
            return;
        }
        let home = self.requests[request].home;
        if self.hosts[home].searches < MAX_SEARCHES {
            self.hosts[home].searches += 1;
            self.ask_next(request, 0);
        } else {
            self.push(SEARCH_INTERVAL_US, Event::Search { request });
        }
    }

    fn settle(&mut self, host: usize) {
        while let Some(effect) = self.hosts[host]
            .admission
            .next_queue_decision(self.now_us / 1_000)
        {
            if let QueueDecision::Start(id) = effect {
                self.start(host, usize::try_from(id).expect("a request"));
            }
        }
    }

    /// The host thought to have the most room, or any when none is thought to have some.
    fn next_asked(&mut self, home: usize) -> usize {
        let rooms = self.hosts[home].members.by_free_slots();
        match rooms.first().filter(|room| room.free_slots > 0) {
            Some(room) => usize::from(room.address.ip().octets()[3]),
            None => (home + self.random.random_range(1..self.scene.hosts)) % self.scene.hosts,
        }
    }

    fn observe(&mut self) {
        for host in &mut self.hosts {
            host.utilisation
                .observe(host.running, self.scene.slots, OBSERVE_INTERVAL_MS);
        }
        self.push(u64::from(OBSERVE_INTERVAL_MS) * 1_000, Event::Observe);
    }

    fn report(&mut self) {
        for host in &mut self.hosts {
            host.reported = host.running + u32::try_from(host.queue.len()).unwrap_or(u32::MAX);
        }
        self.push(REPORT_INTERVAL_US, Event::Report);
    }

    /// Every other agent hears of this one, through the acknowledgements of the balancers.
    fn announce(&mut self, host: usize) {
        let admission = &self.hosts[host].admission;
        let notice = MemberReport {
            address: address(host),
            owner_since_ms: None,
            owner_until_ms: None,
            outstanding: admission.running() + admission.waiting(),
            slots: self.scene.slots,
            is_accepting: true,
            utilisation: self.hosts[host].utilisation,
        };
        let now_ms = self.now_us / 1_000;
        for other in &mut self.hosts {
            other.members.apply_reports(now_ms, [notice]);
        }
        self.push(ANNOUNCE_INTERVAL_US, Event::Announce { host });
    }
}

fn percentile_ms(sorted_us: &[u64], per_mille: usize) -> f64 {
    let index = (sorted_us.len() * per_mille / 1_000).min(sorted_us.len().saturating_sub(1));
    sorted_us.get(index).copied().unwrap_or_default() as f64 / 1_000.0
}

fn main() {
    let plain = |name, hosts, slots, load| Scene {
        name,
        hosts,
        slots,
        load,
        has_straggler: false,
        flows_per_slot: MANY_FLOWS,
    };
    let mut scenes = Vec::new();
    let services = [
        ("catalogo", 7, 5),
        ("sonoteca", 3, 5),
        ("tracker", 7, 3),
        ("inspect", 3, 3),
    ];
    for (name, hosts, slots) in services {
        for load in [0.5, 0.8, 0.95] {
            scenes.push(plain(name, hosts, slots, load));
        }
    }
    let few = plain("inspect, fewer flows than slots", 3, 3, 0.65);
    scenes.push(Scene {
        flows_per_slot: FEW_FLOWS,
        ..few
    });
    let slow = plain("catalogo, one host four times slower", 7, 5, 0.6);
    scenes.push(Scene {
        has_straggler: true,
        ..slow
    });
    for scene in scenes {
        println!("{} at {:.0}% load", scene.name, scene.load * 100.0);
        for (way, name) in WAYS {
            let (imbalance, latencies_us) = Model::new(scene, way).run();
            println!(
                "  {name:<24} max/mean {imbalance:.3}  p50 {:7.1} ms  p99 {:8.1} ms  p99.9 {:8.1} ms",
                percentile_ms(&latencies_us, 500),
                percentile_ms(&latencies_us, 990),
                percentile_ms(&latencies_us, 999),
            );
        }
    }
}
